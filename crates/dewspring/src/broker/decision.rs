//! A decision about one grant request, as it is logged.

use std::fmt::{Display, Formatter, Result};
use std::time::Duration;

use super::messages::GrantDecision;
use super::queue::ServiceTurn;
use crate::ids::{ClassName, GrantId, PoolName, RequestId, TierLevel, WorkspaceId};

/// A decision with the details that are logged with it.
#[derive(Clone, Debug, PartialEq)]
pub struct TicketDecision {
    /// Ticket of the grant request, as returned by
    /// [`BrokerState::request_grant`](super::BrokerState::request_grant).
    pub ticket: GrantId,
    /// The caller's request.
    pub request: RequestId,
    /// Requested pool.
    pub pool: PoolName,
    /// Class of the request.
    pub class: ClassName,
    /// Tier of the request.
    pub tier: TierLevel,
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Time that the grant request waited at the broker.
    pub waited: Duration,
    /// Why the request was next; `None` for a refusal.
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
