//! Reads request bodies within the memory for them.
//!
//! All bodies are in one [`UploadTable`]. While memory is short, a body may have to
//! wait or is refused; its request hasn't run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use dewbudget::{
    AccountPart, ByteAccount, ByteCharge, MemoryLimits, UploadLimits, UploadRefusal, UploadTable,
};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::Notify;
use tokio::time::{timeout, timeout_at};

use super::problem::Problem;
use crate::broker::{Refusal, RefusalReason};
use crate::ids::WorkspaceId;
use crate::observe::DaemonMetrics;

/// Maximum interval between checks of whether a waiting body may be read.
const WAIT_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two plans of which bodies are read.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Steps in which a body's buffer grows, in bytes.
const GROWTH_BYTES: usize = 64 * 1024;

/// Part of the memory from which limits are derived, in percent; a body is one buffer
/// here, which is copied when it grows.
const BODY_MEMORY_PERCENT: u64 = 75;

/// Upper bound of the random retry delay after a refusal for lack of memory.
const MAX_MEMORY_RETRY: Duration = Duration::from_secs(2);

type UploadId = u64;

/// A body that was read as a whole.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    pub bytes: Bytes,
    pub hold: BodyHold,
}

/// Counts the body of an accepted request until it is dropped.
#[derive(Debug)]
pub(super) struct BodyHold {
    gate: Arc<UploadGate>,
    workspace: WorkspaceId,
    bytes: u64,
    _charge: ByteCharge,
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.release(&self.workspace, self.bytes);
        drop(state);
        self.gate.changed.notify_waiters();
    }
}

#[derive(Debug, Default)]
struct GateState {
    table: UploadTable<UploadId>,
    refused: Vec<UploadId>,
    planned: Option<Duration>,
}

/// Decides which request bodies are read.
#[derive(Debug)]
pub struct UploadGate {
    limits: MemoryLimits,
    account: ByteAccount,
    state: Mutex<GateState>,
    changed: Notify,
    next_id: AtomicU64,
    epoch: Instant,
}

/// The largest size of a body, its workspace, and the time for reading it.
#[derive(Clone, Copy, Debug)]
pub(super) struct UploadTerms<'a> {
    pub workspace: &'a str,
    pub max_bytes: u64,
    pub timeout: Duration,
}

impl UploadGate {
    /// Creates the gate of a process with this much memory, in bytes.
    pub fn new(memory: u64) -> Self {
        Self {
            limits: MemoryLimits::derive(memory / 100 * BODY_MEMORY_PERCENT),
            account: ByteAccount::default(),
            state: Mutex::default(),
            changed: Notify::new(),
            next_id: AtomicU64::new(0),
            epoch: Instant::now(),
        }
    }

    /// Returns the bytes that request bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.account.held(AccountPart::Bodies)
    }

    /// Reads a whole body.
    pub(super) async fn read_body(
        self: &Arc<Self>,
        body: Incoming,
        terms: UploadTerms<'_>,
        metrics: &DaemonMetrics,
    ) -> Result<ReceivedBody, Problem> {
        // A declared length above the limit is refused before the body is read.
        let size = body.size_hint();
        if size.lower() > terms.max_bytes {
            return Err(Problem::BodyTooLarge(terms.max_bytes));
        }
        let upload = self.begin(terms, size.exact()).map_err(|refusal| {
            metrics.count_limit(refusal.name(), "refused");
            log::warn!("entry: A body was refused before it was read: {refusal:?}.");
            no_memory()
        })?;
        let deadline = tokio::time::Instant::now() + terms.timeout;
        match timeout_at(deadline, upload.collect(body)).await {
            Ok(Err(UploadError::NoMemory)) => {
                metrics.count_limit("bodies", "refused");
                log::warn!("entry: A body was given up for lack of memory.");
                Err(no_memory())
            }
            Ok(Err(UploadError::Problem(problem))) => Err(problem),
            Ok(Ok(received)) => Ok(received),
            Err(_) if self.waits(upload.id) => {
                metrics.count_limit("bodies", "refused");
                Err(no_memory())
            }
            Err(_) => Err(Problem::SlowSender),
        }
    }

    fn begin<'a>(
        self: &'a Arc<Self>,
        terms: UploadTerms<'a>,
        declared: Option<u64>,
    ) -> Result<UploadGuard<'a>, UploadRefusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let limits = self.upload_limits(terms.max_bytes);
        let (held, now) = (self.held_bytes(), self.epoch.elapsed());
        let table = &mut self.lock().table;
        table.begin(id, terms.workspace, declared, held, &limits, now)?;
        Ok(UploadGuard {
            gate: self,
            id,
            terms,
            declared,
        })
    }

    fn upload_limits(&self, max_bytes: u64) -> UploadLimits {
        UploadLimits {
            bodies: self.limits.bodies,
            body: max_bytes,
            // The limit of connections covers their buffers.
            waiting: 0,
            has_workspaces: true,
        }
    }

    fn waits(&self, id: UploadId) -> bool {
        self.lock().table.waits(id)
    }

    /// Returns whether a body may be read on now.
    fn may_read(&self, id: UploadId, max_bytes: u64) -> Result<bool, UploadError> {
        let limits = self.upload_limits(max_bytes);
        let (held, now) = (self.held_bytes(), self.epoch.elapsed());
        let mut state = self.lock();
        if state.table.is_calm(held, &limits) {
            return Ok(true);
        }
        let is_due = state.planned.is_none_or(|at| now >= at + PLAN_INTERVAL);
        if is_due {
            state.planned = Some(now);
            let plan = state.table.plan(held, &limits, now);
            state.refused.extend(plan.refused);
            self.changed.notify_waiters();
        }
        if state.refused.contains(&id) {
            return Err(UploadError::NoMemory);
        }
        let next = state.table.next_bytes(id, GROWTH_BYTES as u64, &limits);
        if held + next > limits.bodies {
            state.table.pause(id);
        }
        Ok(!state.table.waits(id))
    }

    /// Waits until a body is given up, which its sender may never notice.
    async fn wait_refused(&self, id: UploadId) {
        loop {
            // It receives all notifications from its creation on.
            let changed = self.changed.notified();
            if self.lock().refused.contains(&id) {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        // The table is valid between any two of its operations.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a body wasn't read to its end.
#[derive(Debug)]
enum UploadError {
    NoMemory,
    Problem(Problem),
}

/// A body that is being read, until the guard is dropped.
#[derive(Debug)]
struct UploadGuard<'a> {
    gate: &'a Arc<UploadGate>,
    id: UploadId,
    terms: UploadTerms<'a>,
    declared: Option<u64>,
}

impl UploadGuard<'_> {
    async fn collect(&self, mut body: Incoming) -> Result<ReceivedBody, UploadError> {
        let max_bytes = self.terms.max_bytes;
        let too_large = || UploadError::Problem(Problem::BodyTooLarge(max_bytes));
        let mut charge = self.gate.account.charge(AccountPart::Bodies);
        let mut received: Vec<u8> = Vec::new();
        loop {
            while !self.gate.may_read(self.id, max_bytes)? {
                // The wait may miss a change, so it is short.
                let _elapsed = timeout(WAIT_INTERVAL, self.gate.changed.notified()).await;
            }
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.gate.wait_refused(self.id) => return Err(UploadError::NoMemory),
            };
            let frame = match frame {
                None => break,
                Some(Ok(frame)) => frame,
                Some(Err(error)) => {
                    let text = format!("The body broke off: {error}.");
                    return Err(UploadError::Problem(Problem::Malformed(text)));
                }
            };
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            if (received.len() + chunk.len()) as u64 > max_bytes {
                return Err(too_large());
            }
            reserve(&mut received, chunk.len(), self.declared);
            received.extend_from_slice(chunk);
            charge.set(received.capacity());
            let now = self.gate.epoch.elapsed();
            let count = received.len() as u64;
            self.gate.lock().table.record(self.id, count, now);
        }
        received.shrink_to_fit();
        charge.set(received.len());
        let workspace: WorkspaceId = self.terms.workspace.into();
        let bytes = received.len() as u64;
        self.gate.lock().table.accept(&workspace, bytes);
        Ok(ReceivedBody {
            bytes: received.into(),
            hold: BodyHold {
                gate: Arc::clone(self.gate),
                workspace,
                bytes,
                _charge: charge,
            },
        })
    }
}

impl Drop for UploadGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        state.table.end(self.id);
        state.refused.retain(|refused| *refused != self.id);
        drop(state);
        self.gate.changed.notify_waiters();
    }
}

/// Makes room for a chunk: doubling would hold up to twice the body.
fn reserve(received: &mut Vec<u8>, more: usize, declared: Option<u64>) {
    if received.capacity() - received.len() >= more {
        return;
    }
    let step = GROWTH_BYTES.max(received.len() / 8).max(more);
    let left = declared.map(|length| length.saturating_sub(received.len() as u64));
    let left = left.and_then(|left| usize::try_from(left).ok());
    received.reserve_exact(step.min(left.unwrap_or(step)).max(more));
}

/// Returns the refusal of a request whose body isn't read for lack of memory.
fn no_memory() -> Problem {
    Problem::Refused(Refusal {
        reason: RefusalReason::Overloaded,
        retry_after: MAX_MEMORY_RETRY.mul_f64(rand::random()),
    })
}
