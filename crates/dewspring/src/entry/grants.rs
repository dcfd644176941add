//! What the entry asks of whoever decides about grants.

use std::future::Future;

use crate::broker::{Grant, GrantDecision, GrantRelease, GrantRequest};
use crate::ids::ServerName;

/// Gives out grants for this entry's requests.
///
/// The daemon's own source asks the broker of the pool, here or on another
/// VM; tests use small fakes.
pub trait GrantSource: Clone + Send + Sync + 'static {
    /// Waits for the decision about one request.
    ///
    /// Dropping the future withdraws the request, and gives a grant back that
    /// comes too late.
    fn request_grant(&self, request: GrantRequest) -> impl Future<Output = GrantDecision> + Send;

    /// Ends a grant.
    fn release(&self, grant: &Grant, release: GrantRelease);

    /// Notes at once, for the brokers of this VM, that a server said that it is
    /// leaving; the release tells the broker that gave the grant.
    fn mark_leaving(&self, server: &ServerName);
}
