//! One grant request to a broker on another VM.
//!
//! No grant stays outstanding if the caller stops waiting or the connection
//! breaks: the request is withdrawn, and a grant that arrives too late is
//! returned unused.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use super::errors::PeerError;
use super::links::PeerLink;
use super::messages::GrantWithdrawal;
use super::notices::{GrantNotice, send_notice};
use super::shared::PeerShared;
use super::wire::call_context;
use crate::broker::{AttemptOutcome, Grant, GrantDecision, GrantRelease, GrantRequest};

/// Result of a grant request.
pub(super) type GrantResult = Result<GrantDecision, PeerError>;

/// Returns the release of a grant that was not used.
pub(super) fn unused_grant_release(grant: &Grant) -> GrantRelease {
    GrantRelease {
        grant: grant.id,
        boot: grant.boot,
        outcome: AttemptOutcome::NotRun,
        tokens: 0,
        first_token: None,
        elapsed: Duration::ZERO,
        leaving: false,
    }
}

/// Grant request in flight, with what is needed to withdraw it.
pub(super) struct RemoteGrantRequest {
    pub(super) shared: Arc<PeerShared>,
    pub(super) link: Arc<PeerLink>,
    pub(super) request: GrantRequest,
}

impl RemoteGrantRequest {
    /// Sends the request and passes the decision to the caller, if it still waits.
    pub(super) async fn run(self, mut reply: oneshot::Sender<GrantResult>) {
        self.shared
            .membership()
            .add_outstanding_grant(&self.link.vm);
        let result = {
            let call = pin!(self.call());
            let closed = pin!(reply.closed());
            match select(call, closed).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            }
        };
        let Some(result) = result else {
            self.withdraw();
            return;
        };
        if !matches!(result, Ok(GrantDecision::Granted(_))) {
            self.shared
                .membership()
                .remove_outstanding_grant(&self.link.vm);
        }
        if let Err(Ok(GrantDecision::Granted(grant))) = reply.send(result) {
            self.return_unused(&grant);
        }
    }

    async fn call(&self) -> GrantResult {
        let client = self.link.client(&self.shared).await?;
        let context = call_context(self.request.timeout_left);
        match client.request_grant(context, self.request.clone()).await {
            Ok(decision) => self.check_broker(decision),
            Err(error) => {
                self.notify(GrantNotice::Withdrawal(self.withdrawal()));
                Err(error.into())
            }
        }
    }

    /// Rejects a grant of a VM that took over the address of the requested broker.
    fn check_broker(&self, decision: GrantDecision) -> GrantResult {
        match decision {
            GrantDecision::Granted(grant) if grant.broker != self.link.vm => {
                self.notify(GrantNotice::Withdrawal(self.withdrawal()));
                Err(PeerError::WrongBroker)
            }
            decision => Ok(decision),
        }
    }

    fn withdraw(&self) {
        self.shared
            .membership()
            .remove_outstanding_grant(&self.link.vm);
        self.notify(GrantNotice::Withdrawal(self.withdrawal()));
    }

    fn return_unused(&self, grant: &Grant) {
        self.shared
            .membership()
            .remove_outstanding_grant(&self.link.vm);
        self.notify(GrantNotice::Release(unused_grant_release(grant)));
    }

    fn withdrawal(&self) -> GrantWithdrawal {
        GrantWithdrawal {
            request: self.request.request.clone(),
            entry: self.request.entry.clone(),
            boot: self.request.entry_boot,
        }
    }

    fn notify(&self, notice: GrantNotice) {
        let link = Arc::clone(&self.link);
        send_notice(&Handle::current(), &self.shared, link, notice);
    }
}
