//! What all requests of one entry share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use super::grants::GrantSource;
use super::problem::Problem;
use crate::broker::{Refusal, RefusalReason};
use crate::claims::ClaimHandle;
use crate::ids::{BootId, RequestId, VmId};
use crate::observe::{DaemonMetrics, DecisionLog};
use crate::tables::FleetConfig;

/// Longest time that a caller is told to stay away from a VM that comes or
/// goes.
const AWAY_RETRY: Duration = Duration::from_secs(1);

/// Settings of the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Boot of this VM.
    pub boot: BootId,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Number of callers' connections at once.
    pub max_connections: usize,
    /// Longest wait for the header of a request.
    pub header_timeout: Duration,
    /// Longest wait for the body of a request.
    pub body_timeout: Duration,
    /// Longest wait for a connection to a backend server.
    pub connect_timeout: Duration,
    /// Longest silence of a backend server, or of a caller, in an answer.
    pub silence_timeout: Duration,
    /// Header that names the workspace, in lower case.
    pub workspace_header: String,
    /// Header that a route's label is compared with, in lower case.
    pub class_header: String,
}

/// Gives the configuration in force.
pub trait ConfigSource: Clone + Send + Sync + 'static {
    /// Returns the newest configuration that this VM has.
    fn current(&self) -> Arc<FleetConfig>;

    /// Returns whether requests may be served by that configuration.
    fn is_ready(&self) -> bool;
}

/// What all requests of one entry share.
#[derive(Debug)]
pub struct EntryContext<C, G> {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// The configuration in force.
    pub config: C,
    /// Where grants come from.
    pub grants: G,
    /// The ledger of keyed requests.
    pub claims: ClaimHandle,
    /// Metrics of this VM.
    pub metrics: DaemonMetrics,
    /// Recent decisions of this VM.
    pub decisions: DecisionLog,
    /// Whether new requests are refused because the VM shuts down.
    draining: AtomicBool,
    /// Requests that are being answered.
    in_flight: AtomicUsize,
    /// Number of the latest request.
    counter: AtomicU64,
}

impl<C: ConfigSource, G: GrantSource> EntryContext<C, G> {
    /// Puts the parts together.
    pub fn new(
        settings: EntrySettings,
        config: C,
        grants: G,
        claims: ClaimHandle,
        metrics: DaemonMetrics,
        decisions: DecisionLog,
    ) -> Self {
        Self {
            settings,
            config,
            grants,
            claims,
            metrics,
            decisions,
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            counter: AtomicU64::new(0),
        }
    }

    /// Refuses new requests from now on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that are being answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request in until the guard is dropped.
    pub(super) fn enter(self: &Arc<Self>) -> FlightGuard<C, G> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        FlightGuard {
            context: Arc::clone(self),
        }
    }

    /// Returns an id that no other request of the fleet has.
    pub(super) fn next_id(&self) -> RequestId {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.settings.vm, self.settings.boot)
    }

    /// Returns why this VM takes no request now; nothing of it has run.
    ///
    /// # Errors
    ///
    /// The refusal of a VM that shuts down or has no configuration yet.
    pub(super) fn check_open(&self) -> Result<(), Problem> {
        let retry_after = AWAY_RETRY.mul_f64(rand::random());
        if self.is_draining() {
            return Err(Problem::Refused(Refusal {
                reason: RefusalReason::ShuttingDown,
                retry_after,
            }));
        }
        if !self.config.is_ready() {
            return Err(Problem::NotReady(retry_after));
        }
        Ok(())
    }
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct FlightGuard<C, G> {
    context: Arc<EntryContext<C, G>>,
}

impl<C, G> Drop for FlightGuard<C, G> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
