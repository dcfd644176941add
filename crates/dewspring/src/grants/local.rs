//! Grants from a broker in this process.

use crate::broker::{
    BrokerHandle, Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason,
    ServerMark,
};
use crate::entry::GrantSource;
use crate::ids::ServerName;
use crate::peer::WithdrawGuard;

/// Retry delay that a caller receives when the broker has stopped.
const STOPPED_RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(500);

/// Requests grants from a broker in this process.
#[derive(Clone, Debug)]
pub struct LocalGrants {
    broker: BrokerHandle,
}

impl LocalGrants {
    /// Wraps a running broker.
    pub fn new(broker: BrokerHandle) -> Self {
        Self { broker }
    }
}

impl GrantSource for LocalGrants {
    async fn request_grant(&self, request: GrantRequest) -> GrantDecision {
        let guard = WithdrawGuard::new(self.broker.clone(), &request);
        let decision = match self.broker.request_grant(request) {
            Ok(pending) => pending.await.unwrap_or_else(|_| broker_stopped()),
            Err(refusal) => GrantDecision::Refused(refusal),
        };
        guard.disarm();
        decision
    }

    fn release(&self, _grant: &Grant, release: GrantRelease) {
        self.broker.release(release);
    }

    fn mark_leaving(&self, server: &ServerName) {
        self.broker.mark(server.clone(), ServerMark::Leaving);
    }
}

fn broker_stopped() -> GrantDecision {
    GrantDecision::Refused(Refusal {
        reason: RefusalReason::ShuttingDown,
        retry_after: STOPPED_RETRY_AFTER,
    })
}
