//! Connects the peer module, which exchanges messages between VMs, with the
//! broker and with the entry's grant source.

use std::future::Future;

use tokio::sync::oneshot::error::RecvError;

use super::remote::{BrokerLocation, RemoteBrokerError, RemoteBrokers};
use crate::broker::{BrokerHandle, GrantDecision, GrantRelease, GrantRequest, Refusal};
use crate::ids::{BootId, PoolName, RequestId, VmId};
use crate::peer::{self, GrantService, PeerHandle};

impl GrantService for BrokerHandle {
    fn request_grant(
        &self,
        request: GrantRequest,
    ) -> Result<impl Future<Output = Result<GrantDecision, RecvError>> + Send, Refusal> {
        BrokerHandle::request_grant(self, request)
    }

    fn withdraw(&self, request: RequestId, entry: VmId, boot: BootId) {
        BrokerHandle::withdraw(self, request, entry, boot);
    }

    fn release(&self, release: GrantRelease) {
        BrokerHandle::release(self, release);
    }

    fn forget_entry(&self, entry: VmId, boot: BootId) {
        BrokerHandle::forget_entry(self, entry, boot);
    }
}

impl RemoteBrokers for PeerHandle {
    fn broker_location(&self, pool: &PoolName) -> BrokerLocation {
        match self.broker_for(pool) {
            peer::BrokerLocation::Local => BrokerLocation::Local,
            peer::BrokerLocation::Remote(vm) => BrokerLocation::Remote(vm),
        }
    }

    fn live_entries(&self) -> u32 {
        u32::try_from(self.eligible_vm_count()).unwrap_or(u32::MAX)
    }

    async fn request_grant(
        &self,
        broker: &VmId,
        request: GrantRequest,
    ) -> Result<GrantDecision, RemoteBrokerError> {
        PeerHandle::request_grant(self, broker, request)
            .await
            .map_err(|error| RemoteBrokerError(error.to_string()))
    }

    fn release(&self, broker: &VmId, release: GrantRelease) {
        PeerHandle::release(self, broker, release);
    }
}
