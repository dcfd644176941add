//! Grants of the pool's broker, wherever it is, with a local fallback.
//!
//! One question is with one broker at a time. While it waits, the place of
//! the broker is looked at again and again: when the broker has moved, the
//! question is withdrawn and asked at the new place with its original
//! arrival time, so a request keeps its turn through a move, a shutdown or a
//! crash of its broker. While no broker can be reached, a broker of this VM
//! decides about a cautious share of each server's slots.

use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::local::LocalGrants;
use super::remote::{BrokerLocation, RemoteBrokers, UnreachableBroker};
use crate::broker::{
    BrokerHandle, Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason,
    ShareDivisor,
};
use crate::entry::GrantSource;
use crate::ids::{BootId, PoolName, ServerName};

/// Time between two looks at the place of the broker that is asked.
const PLACE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the fallback is used before the broker is tried again.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a caller may come back when its timeout has passed.
const TIMED_OUT_RETRY: Duration = Duration::from_secs(1);

/// Pause before a broker that shuts down is asked for again.
const MOVE_PAUSE: Duration = Duration::from_millis(50);

/// The two brokers of this VM; each has a boot of its own, so that grants
/// find their way back.
#[derive(Clone, Debug)]
pub struct VmBrokers {
    /// The broker of the pools that are this VM's own.
    pub own: BrokerHandle,
    /// Boot in the grants of `own`.
    pub own_boot: BootId,
    /// The broker that is asked while another VM's can't be reached.
    pub fallback: BrokerHandle,
    /// Boot in the grants of `fallback`.
    pub fallback_boot: BootId,
}

/// Asks the pool's broker, on this VM or another.
#[derive(Clone, Debug)]
pub struct FleetGrants<R> {
    brokers: VmBrokers,
    own: LocalGrants,
    fallback: LocalGrants,
    remote: R,
}

/// How one round of asking ended.
enum AskRound {
    /// The broker has decided.
    Decided(GrantDecision),
    /// The broker has moved, or ends: ask again.
    Moved,
    /// The broker's VM can't be asked.
    Unreachable(UnreachableBroker),
}

impl<R: RemoteBrokers> FleetGrants<R> {
    /// Joins this VM's two brokers with those of other VMs.
    ///
    /// # Panics
    ///
    /// Panics if both brokers have the same boot.
    pub fn new(brokers: VmBrokers, remote: R) -> Self {
        assert_ne!(
            brokers.own_boot, brokers.fallback_boot,
            "each broker has a boot of its own"
        );
        Self {
            own: LocalGrants::new(brokers.own.clone()),
            fallback: LocalGrants::new(brokers.fallback.clone()),
            brokers,
            remote,
        }
    }

    /// Returns the brokers on other VMs.
    pub fn remote(&self) -> &R {
        &self.remote
    }

    /// Asks the broker at its present place until it decides or moves.
    async fn ask_once(&self, request: &GrantRequest) -> AskRound {
        let place = self.remote.broker_location(&request.pool);
        match &place {
            BrokerLocation::Local => {
                let decision = self.own.request_grant(request.clone());
                match self.while_at(&request.pool, &place, decision).await {
                    Some(decision) => decided(decision),
                    None => AskRound::Moved,
                }
            }
            BrokerLocation::Remote(broker) => {
                let decision = self.remote.request_grant(broker, request.clone());
                match self.while_at(&request.pool, &place, decision).await {
                    Some(Ok(decision)) => decided(decision),
                    Some(Err(error)) => AskRound::Unreachable(error),
                    None => AskRound::Moved,
                }
            }
        }
    }

    /// Waits for a future, but only while the broker stays at its place.
    async fn while_at<T>(
        &self,
        pool: &PoolName,
        place: &BrokerLocation,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let mut future = std::pin::pin!(future);
        loop {
            if let Ok(output) = timeout(PLACE_INTERVAL, &mut future).await {
                return Some(output);
            }
            if self.remote.broker_location(pool) != *place {
                return None;
            }
        }
    }

    /// Asks the fallback; `None` if it has not decided within its interval.
    async fn ask_fallback(&self, request: GrantRequest) -> Option<GrantDecision> {
        let share = ShareDivisor::new(self.remote.live_entries());
        self.brokers.fallback.set_share(share);
        let asked = self.fallback.request_grant(request);
        timeout(FALLBACK_INTERVAL, asked).await.ok()
    }
}

impl<R: RemoteBrokers> GrantSource for FleetGrants<R> {
    async fn request_grant(&self, request: GrantRequest) -> GrantDecision {
        let started = Instant::now();
        while started.elapsed() < request.timeout_left {
            let waited = started.elapsed();
            let present = age_request(&request, waited);
            match self.ask_once(&present).await {
                AskRound::Decided(decision) => return lengthen(decision, waited),
                AskRound::Moved => {
                    log::info!("grants: The broker of {} has moved.", request.pool);
                    tokio::time::sleep(MOVE_PAUSE).await;
                }
                AskRound::Unreachable(error) => {
                    log::warn!("grants: {}: {error}.", request.request);
                    let waited = started.elapsed();
                    let present = age_request(&request, waited);
                    if let Some(decision) = self.ask_fallback(present).await {
                        return lengthen(decision, waited);
                    }
                }
            }
        }
        GrantDecision::Refused(Refusal {
            reason: RefusalReason::TimedOut,
            retry_after: TIMED_OUT_RETRY,
        })
    }

    fn release(&self, grant: &Grant, release: GrantRelease) {
        if grant.boot == self.brokers.own_boot {
            self.own.release(grant, release);
        } else if grant.boot == self.brokers.fallback_boot {
            self.fallback.release(grant, release);
        } else {
            self.remote.release(&grant.broker, release);
        }
    }

    fn mark_leaving(&self, server: &ServerName) {
        self.own.mark_leaving(server);
        self.fallback.mark_leaving(server);
    }
}

fn decided(decision: GrantDecision) -> AskRound {
    let is_ending = matches!(
        &decision,
        GrantDecision::Refused(Refusal {
            reason: RefusalReason::ShuttingDown,
            ..
        })
    );
    if is_ending {
        AskRound::Moved
    } else {
        AskRound::Decided(decision)
    }
}

/// Counts a grant's validity from the first question instead of the last.
fn lengthen(decision: GrantDecision, waited: Duration) -> GrantDecision {
    match decision {
        GrantDecision::Granted(grant) => GrantDecision::Granted(Grant {
            valid_for: grant.valid_for + waited,
            ..grant
        }),
        refused @ GrantDecision::Refused(_) => refused,
    }
}

/// Returns the request as it stands after a further wait.
fn age_request(request: &GrantRequest, elapsed: Duration) -> GrantRequest {
    GrantRequest {
        waited: request.waited + elapsed,
        target_left: request.target_left.saturating_sub(elapsed),
        timeout_left: request.timeout_left.saturating_sub(elapsed),
        ..request.clone()
    }
}
