//! Interface between the peer worker and the local broker.

use std::future::Future;

use tokio::sync::oneshot::error::RecvError;

use crate::broker::{GrantDecision, GrantRelease, GrantRequest, Refusal};
use crate::ids::{BootId, RequestId, VmId};

/// Broker of this VM, called on behalf of entries on other VMs.
///
/// An entry is the part of a VM that receives callers' requests. No method
/// blocks. All methods except [`request_grant`](Self::request_grant) are
/// idempotent.
pub trait GrantService: Clone + Send + Sync + 'static {
    /// Requests a grant to run a request, and returns a future of the decision.
    ///
    /// The future fails if the request was withdrawn or the broker has stopped.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the broker accepts no more requests.
    fn request_grant(
        &self,
        request: GrantRequest,
    ) -> Result<impl Future<Output = Result<GrantDecision, RecvError>> + Send, Refusal>;

    /// Cancels a grant request; a grant that was made meanwhile is returned.
    fn withdraw(&self, request: RequestId, entry: VmId, boot: BootId);

    /// Ends a grant.
    fn release(&self, release: GrantRelease);

    /// Ends all grants of an entry that died or was restarted.
    fn forget_entry(&self, entry: VmId, boot: BootId);
}

/// Guard that withdraws a grant request when dropped before the decision was
/// returned.
///
/// The broker logs the withdrawal.
pub(crate) struct WithdrawGuard<Grants: GrantService> {
    grants: Grants,
    request: RequestId,
    entry: VmId,
    boot: BootId,
    is_armed: bool,
}

impl<Grants: GrantService> WithdrawGuard<Grants> {
    pub(crate) fn new(grants: Grants, request: &GrantRequest) -> Self {
        WithdrawGuard {
            grants,
            request: request.request.clone(),
            entry: request.entry.clone(),
            boot: request.entry_boot,
            is_armed: true,
        }
    }

    /// Drops the guard without a withdrawal.
    pub(crate) fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl<Grants: GrantService> Drop for WithdrawGuard<Grants> {
    fn drop(&mut self) {
        if self.is_armed {
            let request = std::mem::take(&mut self.request);
            let entry = std::mem::take(&mut self.entry);
            self.grants.withdraw(request, entry, self.boot);
        }
    }
}
