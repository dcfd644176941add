//! One decision, with what the log says of it.

use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

use super::messages::GrantDecision;
use super::queue::ServiceTurn;
use crate::ids::{ClassName, GrantId, PoolName, RequestId, TierLevel, WorkspaceId};

/// A decision with what the log says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct TicketDecision {
    /// Number of the question, as [`BrokerState::request_grant`](super::BrokerState::request_grant)
    /// returned it.
    pub ticket: GrantId,
    /// The caller's request.
    pub request: RequestId,
    /// Pool that was asked for.
    pub pool: PoolName,
    /// Class of the request.
    pub class: ClassName,
    /// Tier of the request.
    pub tier: TierLevel,
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Time for which the question waited at the broker.
    pub waited: Duration,
    /// Why it was the request's turn; `None` for a refusal.
    pub turn: Option<ServiceTurn>,
    /// The decision.
    pub decision: GrantDecision,
}

impl Display for TicketDecision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let verb = match self.decision {
            GrantDecision::Granted(_) => "granted",
            GrantDecision::Refused(_) => "refused",
        };
        write!(
            formatter,
            "{verb} request {} class {} tier {} workspace {} pool {} waited {:?}",
            self.request, self.class, self.tier, self.workspace, self.pool, self.waited,
        )?;
        match &self.decision {
            GrantDecision::Granted(grant) => write!(
                formatter,
                " grant {} server {} turn {:?} reason {}",
                grant.id, grant.server, self.turn, grant.reason,
            ),
            GrantDecision::Refused(refusal) => write!(
                formatter,
                " reason {:?} retry after {:?}",
                refusal.reason, refusal.retry_after,
            ),
        }
    }
}
