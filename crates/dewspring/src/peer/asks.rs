//! One question to a broker on another VM.
//!
//! A caller that stops waiting, and a connection that breaks, leave a grant
//! behind neither here nor there: the question is withdrawn, and a decision
//! that nobody takes is given back.

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

/// The result as the caller gets it.
pub(super) type AskResult = Result<GrantDecision, PeerError>;

/// Returns the release of a grant that nobody takes.
pub(super) fn unused_grant(grant: &Grant) -> GrantRelease {
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

/// A question with what is needed to take it back.
pub(super) struct BrokerQuestion {
    pub(super) shared: Arc<PeerShared>,
    pub(super) link: Arc<PeerLink>,
    pub(super) request: GrantRequest,
}

impl BrokerQuestion {
    /// Asks the broker and hands the decision to the caller, if it still waits.
    pub(super) async fn run(self, mut reply: oneshot::Sender<AskResult>) {
        self.shared.membership().open_grant(&self.link.vm);
        let waited = {
            let call = pin!(self.call());
            let closed = pin!(reply.closed());
            match select(call, closed).await {
                Either::Left((result, _)) => Some(result),
                Either::Right(_) => None,
            }
        };
        let Some(result) = waited else {
            self.withdraw();
            return;
        };
        if !matches!(result, Ok(GrantDecision::Granted(_))) {
            self.shared.membership().close_grant(&self.link.vm);
        }
        if let Err(Ok(GrantDecision::Granted(grant))) = reply.send(result) {
            self.give_back(&grant);
        }
    }

    async fn call(&self) -> AskResult {
        let client = self.link.client(&self.shared).await?;
        let context = call_context(self.request.timeout_left);
        match client.request_grant(context, self.request.clone()).await {
            Ok(decision) => self.check(decision),
            Err(error) => {
                self.notify(GrantNotice::Withdrawal(self.withdrawal()));
                Err(error.into())
            }
        }
    }

    /// Refuses the grant of a VM that took over the address of another one.
    fn check(&self, decision: GrantDecision) -> AskResult {
        match decision {
            GrantDecision::Granted(grant) if grant.broker != self.link.vm => {
                self.notify(GrantNotice::Withdrawal(self.withdrawal()));
                Err(PeerError::WrongBroker)
            }
            decision => Ok(decision),
        }
    }

    fn withdraw(&self) {
        self.shared.membership().close_grant(&self.link.vm);
        self.notify(GrantNotice::Withdrawal(self.withdrawal()));
    }

    fn give_back(&self, grant: &Grant) {
        self.shared.membership().close_grant(&self.link.vm);
        self.notify(GrantNotice::Release(unused_grant(grant)));
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
