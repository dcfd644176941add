//! Grants from the pool's broker on any VM, with a local fallback.
//!
//! A grant request is pending at one broker at a time. While it waits, the
//! location of the broker is checked periodically. When the broker has moved,
//! the grant request is withdrawn and sent to the new location with its original
//! arrival time, so a request keeps its queue position when its broker moves,
//! shuts down or crashes. While the broker is unreachable, the fallback broker
//! of this VM decides about a conservative share of each server's slots.

use std::time::{Duration, Instant};

use tokio::time::timeout;

use super::local::LocalGrants;
use super::remote::{BrokerLocation, RemoteBrokerError, RemoteBrokers};
use crate::broker::{
    BrokerHandle, Grant, GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason,
    ShareDivisor,
};
use crate::entry::GrantSource;
use crate::ids::{BootId, PoolName, ServerName};

/// Interval at which the location of the broker is checked during a wait.
const LOCATION_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for a decision of the fallback, before the broker is tried again.
const FALLBACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay that a caller receives when its timeout has passed.
const TIMED_OUT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Delay before the next grant request after the broker moved or shut down.
const MOVED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The two brokers of this VM.
///
/// Each has its own boot id, so that a grant is released to the broker that
/// issued it.
#[derive(Clone, Debug)]
pub struct VmBrokers {
    /// The broker of the pools that this VM owns.
    pub own: BrokerHandle,
    /// Boot id in the grants of `own`.
    pub own_boot: BootId,
    /// The broker that decides while a broker on another VM gives no decision.
    pub fallback: BrokerHandle,
    /// Boot id in the grants of `fallback`.
    pub fallback_boot: BootId,
}

/// Requests grants from the pool's broker, on this VM or another one.
#[derive(Clone, Debug)]
pub struct FleetGrants<R> {
    brokers: VmBrokers,
    own: LocalGrants,
    fallback: LocalGrants,
    remote: R,
}

/// The result of a grant request to one broker.
enum RequestResult {
    /// The broker has decided.
    Decided(GrantDecision),
    /// The broker has moved or is shutting down; the request must be repeated.
    Moved,
    /// The broker on another VM gave no decision.
    Failed(RemoteBrokerError),
}

impl<R: RemoteBrokers> FleetGrants<R> {
    /// Creates a grant source from this VM's two brokers and those of other VMs.
    ///
    /// # Panics
    ///
    /// Panics if both brokers have the same boot id.
    pub fn new(brokers: VmBrokers, remote: R) -> Self {
        assert_ne!(
            brokers.own_boot, brokers.fallback_boot,
            "each broker has its own boot id"
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

    /// Requests a grant from the broker at its current location and waits until
    /// it decides or moves.
    async fn request_from_broker(&self, request: &GrantRequest) -> RequestResult {
        let location = self.remote.broker_location(&request.pool);
        match &location {
            BrokerLocation::Local => {
                let decision = self.own.request_grant(request.clone());
                match self
                    .while_located_at(&request.pool, &location, decision)
                    .await
                {
                    Some(decision) => classify_decision(decision),
                    None => RequestResult::Moved,
                }
            }
            BrokerLocation::Remote(broker) => {
                let decision = self.remote.request_grant(broker, request.clone());
                match self
                    .while_located_at(&request.pool, &location, decision)
                    .await
                {
                    Some(Ok(decision)) => classify_decision(decision),
                    Some(Err(error)) => RequestResult::Failed(error),
                    None => RequestResult::Moved,
                }
            }
        }
    }

    /// Waits for a future; returns `None` once the broker has left `location`.
    async fn while_located_at<T>(
        &self,
        pool: &PoolName,
        location: &BrokerLocation,
        future: impl Future<Output = T>,
    ) -> Option<T> {
        let mut future = std::pin::pin!(future);
        loop {
            if let Ok(output) = timeout(LOCATION_CHECK_INTERVAL, &mut future).await {
                return Some(output);
            }
            if self.remote.broker_location(pool) != *location {
                return None;
            }
        }
    }

    /// Requests a grant from the fallback; returns `None` if it doesn't decide
    /// in time.
    async fn request_from_fallback(&self, request: GrantRequest) -> Option<GrantDecision> {
        let share = ShareDivisor::new(self.remote.live_entries());
        self.brokers.fallback.set_share(share);
        let decision = self.fallback.request_grant(request);
        timeout(FALLBACK_TIMEOUT, decision).await.ok()
    }
}

impl<R: RemoteBrokers> GrantSource for FleetGrants<R> {
    async fn request_grant(&self, request: GrantRequest) -> GrantDecision {
        let started = Instant::now();
        while started.elapsed() < request.timeout_left {
            let waited = started.elapsed();
            let current = with_elapsed(&request, waited);
            match self.request_from_broker(&current).await {
                RequestResult::Decided(decision) => return extend_validity(decision, waited),
                RequestResult::Moved => {
                    log::info!("grants: the broker of {} has moved.", request.pool);
                    tokio::time::sleep(MOVED_RETRY_DELAY).await;
                }
                RequestResult::Failed(error) => {
                    log::warn!("grants: {}: {error}.", request.request);
                    let waited = started.elapsed();
                    let current = with_elapsed(&request, waited);
                    if let Some(decision) = self.request_from_fallback(current).await {
                        return extend_validity(decision, waited);
                    }
                }
            }
        }
        GrantDecision::Refused(Refusal {
            reason: RefusalReason::TimedOut,
            retry_after: TIMED_OUT_RETRY_AFTER,
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

/// Treats the refusal of a broker that shuts down as a move of the broker.
fn classify_decision(decision: GrantDecision) -> RequestResult {
    let is_shutting_down = matches!(
        &decision,
        GrantDecision::Refused(Refusal {
            reason: RefusalReason::ShuttingDown,
            ..
        })
    );
    if is_shutting_down {
        RequestResult::Moved
    } else {
        RequestResult::Decided(decision)
    }
}

/// Counts a grant's validity from the first grant request instead of the last.
fn extend_validity(decision: GrantDecision, waited: Duration) -> GrantDecision {
    match decision {
        GrantDecision::Granted(grant) => GrantDecision::Granted(Grant {
            valid_for: grant.valid_for + waited,
            ..grant
        }),
        refused @ GrantDecision::Refused(_) => refused,
    }
}

/// Returns the grant request with its times advanced by a further wait.
fn with_elapsed(request: &GrantRequest, elapsed: Duration) -> GrantRequest {
    GrantRequest {
        waited: request.waited + elapsed,
        target_left: request.target_left.saturating_sub(elapsed),
        timeout_left: request.timeout_left.saturating_sub(elapsed),
        ..request.clone()
    }
}
