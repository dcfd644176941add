//! What the grants duty sees of the other VMs.

use std::future::Future;

use thiserror::Error;

use crate::broker::{GrantDecision, GrantRelease, GrantRequest};
use crate::ids::{PoolName, VmId};

/// Where the broker of a pool is, as this VM sees it now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BrokerLocation {
    /// On this VM.
    Local,
    /// On another VM.
    Remote(VmId),
}

/// The broker's VM can't be asked; the question may be asked elsewhere.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("the broker's VM can't be asked: {0}")]
pub struct UnreachableBroker(pub String);

/// The brokers on other VMs.
pub trait RemoteBrokers: Clone + Send + Sync + 'static {
    /// Returns where the broker of a pool is now.
    fn broker_location(&self, pool: &PoolName) -> BrokerLocation;

    /// Returns the number of VMs that take callers' requests now, this one
    /// included.
    fn live_entries(&self) -> u32;

    /// Asks the broker on another VM.
    ///
    /// Dropping the future withdraws the question.
    fn request_grant(
        &self,
        broker: &VmId,
        request: GrantRequest,
    ) -> impl Future<Output = Result<GrantDecision, UnreachableBroker>> + Send;

    /// Ends a grant of a broker on another VM.
    fn release(&self, broker: &VmId, release: GrantRelease);
}
