//! State shared by all requests of one entry.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::grants::GrantSource;
use super::problem::Problem;
use super::uploads::UploadGate;
use crate::broker::{Refusal, RefusalReason};
use crate::claims::ClaimHandle;
use crate::ids::{BootId, RequestId, VmId};
use crate::observe::{DaemonMetrics, DecisionLog};
use crate::tables::FleetConfig;

/// Upper bound of the random retry delay that a VM sends while it starts or
/// shuts down.
const MAX_UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

/// Settings of the entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Id of the current boot (start of the process) of this VM.
    pub boot: BootId,
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Timeout for reading the header of a request.
    pub header_timeout: Duration,
    /// Timeout for reading the body of a request.
    pub body_timeout: Duration,
    /// Timeout for connecting to a backend server.
    pub connect_timeout: Duration,
    /// Idle timeout within a response: for the next bytes of a backend server,
    /// and for a caller to accept the next chunk.
    pub silence_timeout: Duration,
    /// Name of the header with the workspace, in lower case.
    pub workspace_header: String,
    /// Name of the header that is matched against a route's label, in lower
    /// case.
    pub class_header: String,
}

/// Provides the configuration in force.
pub trait ConfigSource: Clone + Send + Sync + 'static {
    /// Returns the newest configuration that this VM has received.
    fn current(&self) -> Arc<FleetConfig>;

    /// Returns whether requests may be served with that configuration.
    fn is_ready(&self) -> bool;
}

/// State shared by all requests of one entry.
#[derive(Debug)]
pub struct EntryContext<C, G> {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// The configuration in force.
    pub config: C,
    /// Source of grants.
    pub grants: G,
    /// Handle of the ledger that records the claims of idempotency keys.
    pub claims: ClaimHandle,
    /// Metrics of this VM.
    pub metrics: DaemonMetrics,
    /// Log of recent decisions of this VM.
    pub decisions: DecisionLog,
    /// Decides which request bodies are read.
    pub uploads: Arc<UploadGate>,
    /// Whether new requests are refused because the VM shuts down.
    draining: AtomicBool,
    /// When the remaining requests are ended, once the VM shuts down.
    drain_end: OnceLock<Instant>,
    /// Whether the remaining requests are ended.
    ended: watch::Sender<bool>,
    /// Number of requests in flight.
    in_flight: AtomicUsize,
    /// Number of requests received so far; part of their ids.
    request_counter: AtomicU64,
}

impl<C: ConfigSource, G: GrantSource> EntryContext<C, G> {
    /// Creates the shared state of an entry that isn't draining.
    pub fn new(
        settings: EntrySettings,
        config: C,
        grants: G,
        claims: ClaimHandle,
        metrics: DaemonMetrics,
        decisions: DecisionLog,
    ) -> Self {
        Self {
            uploads: Arc::new(UploadGate::new(settings.memory_bytes)),
            settings,
            config,
            grants,
            claims,
            metrics,
            decisions,
            draining: AtomicBool::new(false),
            drain_end: OnceLock::new(),
            ended: watch::Sender::new(false),
            in_flight: AtomicUsize::new(0),
            request_counter: AtomicU64::new(0),
        }
    }

    /// Starts to refuse new requests because the VM shuts down; those in flight may
    /// take until `end`.
    pub(super) fn start_draining(&self, end: Instant) {
        self.drain_end.get_or_init(|| end);
        // Ordered with the count of requests in flight, which is read after it.
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused because the VM shuts down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Answers the requests in flight whose responses haven't begun.
    pub(super) fn end_requests(&self) {
        self.ended.send_replace(true);
    }

    /// Completes once the requests in flight are ended.
    pub(super) async fn requests_ended(&self) {
        // The sender lives as long as the context, so that there is no error.
        let mut ended = self.ended.subscribe();
        let _ended = ended.wait_for(|ended| *ended).await;
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(super) fn track_request(self: &Arc<Self>) -> InFlightGuard<C, G> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard {
            context: Arc::clone(self),
        }
    }

    /// Returns a request id that is unique in the fleet.
    pub(super) fn next_id(&self) -> RequestId {
        let number = self.request_counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number}", self.settings.vm, self.settings.boot)
    }

    /// Checks that this VM accepts requests now.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a VM that shuts down or has no configuration that
    /// it may serve with.
    pub(super) fn check_accepting(&self) -> Result<(), Problem> {
        if self.is_draining() {
            return Err(shutdown_refusal());
        }
        if !self.config.is_ready() {
            return Err(Problem::NotReady(random_retry_after()));
        }
        Ok(())
    }

    /// Checks that a request with this timeout ends before the VM does.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a VM that shuts down.
    pub(super) fn check_time_to_run(&self, timeout: Duration) -> Result<(), Problem> {
        match self.drain_end.get() {
            Some(end) if Instant::now() + timeout > *end => Err(shutdown_refusal()),
            _ => Ok(()),
        }
    }
}

fn random_retry_after() -> Duration {
    MAX_UNAVAILABLE_RETRY.mul_f64(rand::random())
}

/// Returns the refusal of a VM that shuts down.
pub(super) fn shutdown_refusal() -> Problem {
    Problem::Refused(Refusal {
        reason: RefusalReason::ShuttingDown,
        retry_after: random_retry_after(),
    })
}

/// Counts a request as in flight until the guard is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard<C, G> {
    context: Arc<EntryContext<C, G>>,
}

impl<C, G> Drop for InFlightGuard<C, G> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
