//! Finds the route of a request.

use super::model::{RouteRow, RouteTable};

/// What the routes table says of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteMatch<'t> {
    /// The request belongs to this route.
    Route(&'t RouteRow),
    /// No route has the path.
    UnknownPath,
    /// Routes have the path, but none with this model.
    UnknownModel,
    /// Routes have the path and the model, but only with other labels.
    UnknownLabel,
    /// Routes have the path, but none with this method.
    MethodNotAllowed,
}

impl RouteRow {
    /// Returns whether the route matches a request's path.
    ///
    /// A path that ends in `/` matches all paths that begin with it.
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
    /// The longest path that matches decides. Among its routes the method
    /// must be allowed and the model equal; a route of a plain service has no
    /// model and ignores the request's. A route with the request's label goes
    /// before one without a label.
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
                Some(own) if label == Some(own.as_str()) => return RouteMatch::Route(route),
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
