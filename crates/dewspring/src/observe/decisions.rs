//! Bounded record of the decisions about recent requests.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::RequestId;

/// Maximum number of decisions recorded for one request; later ones are only
/// logged.
const MAX_STEPS: usize = 32;

/// One decision about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecisionStep {
    /// Time since the first decision about the request.
    pub after: Duration,
    /// Component of the daemon that decided.
    pub part: &'static str,
    /// What was decided and why.
    pub text: String,
}

/// Decisions about one request.
#[derive(Debug)]
struct RequestDecisions {
    first_at: Instant,
    steps: Vec<DecisionStep>,
}

/// Decisions by request, with the requests in order of arrival for eviction.
#[derive(Debug, Default)]
struct RecentDecisions {
    requests: IndexMap<RequestId, RequestDecisions>,
    order: VecDeque<RequestId>,
}

/// Decisions about the most recent requests of this daemon.
///
/// Clones share the record. The oldest request is evicted first.
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
    recent: Arc<Mutex<RecentDecisions>>,
    capacity: usize,
}

impl DecisionLog {
    /// Creates an empty record of at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            recent: Arc::default(),
            capacity,
        }
    }

    /// Logs a decision and adds it to the request's steps.
    pub fn record(&self, request: &str, part: &'static str, text: String) {
        log::info!("{part}: {request}: {text}");
        let now = Instant::now();
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = &mut *recent;
        if !recent.requests.contains_key(request) {
            if recent.order.len() >= self.capacity
                && let Some(oldest) = recent.order.pop_front()
            {
                recent.requests.swap_remove(&oldest);
            }
            recent.order.push_back(request.into());
        }
        let decisions = recent
            .requests
            .entry(request.into())
            .or_insert_with(|| RequestDecisions {
                first_at: now,
                steps: Vec::new(),
            });
        if decisions.steps.len() < MAX_STEPS {
            decisions.steps.push(DecisionStep {
                after: now.duration_since(decisions.first_at),
                part,
                text,
            });
        }
    }

    /// Returns the decisions about a request; empty if it is unknown or was evicted.
    pub fn steps(&self, request: &str) -> Vec<DecisionStep> {
        let recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent
            .requests
            .get(request)
            .map(|decisions| decisions.steps.clone())
            .unwrap_or_default()
    }
}
