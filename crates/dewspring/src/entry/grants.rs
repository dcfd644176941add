//! The entry's interface to the brokers, which decide about grants.

use std::future::Future;

use crate::broker::{Grant, GrantDecision, GrantRelease, GrantRequest};
use crate::ids::ServerName;

/// A source of grants for this entry's requests.
///
/// The daemon uses [`FleetGrants`](crate::grants::FleetGrants), which sends a
/// grant request to the broker of the pool, on this VM or another one.
pub trait GrantSource: Clone + Send + Sync + 'static {
    /// Requests a grant and waits for the decision.
    ///
    /// Dropping the future withdraws the grant request; a grant that was issued
    /// meanwhile is returned unused.
    fn request_grant(&self, request: GrantRequest) -> impl Future<Output = GrantDecision> + Send;

    /// Releases a grant and reports how its attempt ended.
    fn release(&self, grant: &Grant, release: GrantRelease);

    /// Notifies the brokers of this VM at once that a server announced its
    /// shutdown; the release notifies the broker that issued the grant.
    fn mark_leaving(&self, server: &ServerName);
}
