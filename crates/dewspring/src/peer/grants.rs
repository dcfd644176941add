//! The local broker as the peer duty sees it.

use tokio::sync::oneshot;

use crate::broker::{GrantDecision, GrantRelease, GrantRequest, Refusal};
use crate::ids::{BootId, RequestId, VmId};

/// The broker of this VM, asked on behalf of other VMs.
///
/// No method waits. All of them are idempotent but [`request_grant`](Self::request_grant).
pub trait GrantService: Clone + Send + Sync + 'static {
    /// Asks for leave to run a request; the decision comes to `reply`.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the broker takes no more; `reply` is then dropped.
    fn request_grant(
        &self,
        request: GrantRequest,
        reply: oneshot::Sender<GrantDecision>,
    ) -> Result<(), Refusal>;

    /// Forgets a request whose caller is gone; a grant that it got meanwhile
    /// is given back.
    fn withdraw(&self, request: RequestId, entry: VmId, boot: BootId);

    /// Ends a grant.
    fn release(&self, release: GrantRelease);

    /// Ends the grants of an entry that is dead or was restarted.
    fn forget_entry(&self, entry: VmId, boot: BootId);
}

/// Withdraws a request when it is dropped before its decision was returned; the
/// broker logs the withdrawal.
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

    /// Ends the guard without a withdrawal.
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
