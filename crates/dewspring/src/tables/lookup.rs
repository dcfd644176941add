//! Finds the route of a request.

use super::model::{RouteRow, RouteTable};

/// Result of the lookup of a request in the routes table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteMatch<'t> {
    /// The route that matches the request.
    Route(&'t RouteRow),
    /// No route matches the path.
    UnknownPath,
    /// Routes match the path and the method, but none has the model.
    UnknownModel,
    /// Routes match the path, the method and the model, but all require
    /// another label.
    UnknownLabel,
    /// Routes match the path, but none allows the method.
    MethodNotAllowed,
}

impl RouteRow {
    /// Returns whether the route matches the path of a request.
    ///
    /// A route path that ends in `/` matches every path that begins with it.
    #[must_use]
    pub fn matches_path(&self, path: &str) -> bool {
        if self.path.ends_with('/') {
            path.starts_with(&self.path)
        } else {
            path == self.path
        }
    }

    fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|allowed| allowed == method)
    }

    fn matches_model(&self, model: Option<&str>) -> bool {
        self.model.is_none() || self.model.as_deref() == model
    }
}

impl RouteTable {
    /// Finds the route of a request.
    ///
    /// Only the routes with the longest matching path are considered. Of
    /// these, a route must allow the method and have the request's model; a
    /// route of a plain service has no model and matches any. A route with the
    /// request's label takes precedence over one without a label.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewspring::tables::{RouteMatch, RouteTable};
    ///
    /// let table = RouteTable::default();
    /// let found = table.find("POST", "/v1/completions", Some("small"), None);
    /// assert_eq!(found, RouteMatch::UnknownPath);
    /// ```
    #[must_use]
    pub fn find(
        &self,
        method: &str,
        path: &str,
        model: Option<&str>,
        label: Option<&str>,
    ) -> RouteMatch<'_> {
        let Some(longest) = self.longest_path(path) else {
            return RouteMatch::UnknownPath;
        };
        let mut miss = RouteMatch::MethodNotAllowed;
        let mut unlabelled = None;
        for route in self.rows.values() {
            if route.path != longest || !route.matches_method(method) {
                continue;
            }
            if !route.matches_model(model) {
                if miss == RouteMatch::MethodNotAllowed {
                    miss = RouteMatch::UnknownModel;
                }
                continue;
            }
            match &route.label {
                None => unlabelled = Some(route),
                Some(value) if label == Some(value.as_str()) => return RouteMatch::Route(route),
                Some(_) => miss = RouteMatch::UnknownLabel,
            }
        }
        unlabelled.map_or(miss, RouteMatch::Route)
    }

    fn longest_path(&self, path: &str) -> Option<&str> {
        let matching = self.rows.values().filter(|route| route.matches_path(path));
        let paths = matching.map(|route| route.path.as_str());
        paths.max_by_key(|path| path.len())
    }
}
