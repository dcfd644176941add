//! The interface to the brokers on other VMs.

use std::future::Future;

use thiserror::Error;

use crate::broker::{GrantDecision, GrantRelease, GrantRequest};
use crate::ids::{PoolName, VmId};

/// Where the broker of a pool runs, according to this VM's current view.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BrokerLocation {
    /// On this VM.
    Local,
    /// On another VM.
    Remote(VmId),
}

/// The broker on another VM gave no decision; another broker may decide instead.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("no decision from the broker's VM: {0}")]
pub struct RemoteBrokerError(pub String);

/// The brokers on other VMs.
pub trait RemoteBrokers: Clone + Send + Sync + 'static {
    /// Returns where the broker of a pool runs now.
    fn broker_location(&self, pool: &PoolName) -> BrokerLocation;

    /// Returns the number of VMs that accept callers' requests now, including
    /// this one.
    fn live_entries(&self) -> u32;

    /// Requests a grant from the broker on another VM.
    ///
    /// Dropping the future withdraws the grant request.
    fn request_grant(
        &self,
        broker: &VmId,
        request: GrantRequest,
    ) -> impl Future<Output = Result<GrantDecision, RemoteBrokerError>> + Send;

    /// Releases a grant to the broker on another VM.
    fn release(&self, broker: &VmId, release: GrantRelease);
}
