//! A bounded record of what was decided about recent requests.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::RequestId;

/// Most steps that are kept of one request.
const MAX_STEPS: usize = 32;

/// One decision about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionStep {
    /// Time since the request arrived.
    pub after: Duration,
    /// Part of the daemon that decided.
    pub part: &'static str,
    /// What was decided and why.
    pub text: String,
}

/// What was decided about one request.
#[derive(Debug)]
struct DecisionTrail {
    arrived: Instant,
    steps: Vec<DecisionStep>,
}

#[derive(Debug, Default)]
struct DecisionRing {
    trails: IndexMap<RequestId, DecisionTrail>,
    order: VecDeque<RequestId>,
}

/// The decisions about the latest requests of this daemon.
///
/// Clones share one record. The oldest request is dropped first.
///
/// # Examples
///
/// ```
/// use dewspring::observe::DecisionLog;
///
/// let log = DecisionLog::new(100);
/// log.record("a-1-1", "entry", "Matched route memo.".into());
/// assert_eq!(log.steps("a-1-1").len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct DecisionLog {
    ring: Arc<Mutex<DecisionRing>>,
    capacity: usize,
}

impl DecisionLog {
    /// Makes an empty record for at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            ring: Arc::default(),
            capacity,
        }
    }

    /// Logs a decision and adds it to the request's steps.
    pub fn record(&self, request: &str, part: &'static str, text: String) {
        log::info!("{part}: {request}: {text}");
        let now = Instant::now();
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let ring = &mut *ring;
        if !ring.trails.contains_key(request) {
            if ring.order.len() >= self.capacity
                && let Some(oldest) = ring.order.pop_front()
            {
                ring.trails.swap_remove(&oldest);
            }
            ring.order.push_back(request.into());
        }
        let trail = ring
            .trails
            .entry(request.into())
            .or_insert_with(|| DecisionTrail {
                arrived: now,
                steps: Vec::new(),
            });
        if trail.steps.len() < MAX_STEPS {
            trail.steps.push(DecisionStep {
                after: now.duration_since(trail.arrived),
                part,
                text,
            });
        }
    }

    /// Returns the steps of a request; empty if it isn't known any more.
    pub fn steps(&self, request: &str) -> Vec<DecisionStep> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.trails
            .get(request)
            .map(|trail| trail.steps.clone())
            .unwrap_or_default()
    }
}
