//! Chooses the server that runs a request: the one with the lowest estimated
//! completion time.
//!
//! The completion time is the delay from work already at the server, plus the
//! run time of the request, minus the time that a cached prefix saves. The
//! saving is capped, so a prefix moves to another server when the load on its
//! own server is high enough.

use std::time::{Duration, Instant};

use super::estimate::prompt_work;
use super::prefix::PrefixIndex;
use super::queued::QueuedRequest;
use super::replica::ReplicaId;
use super::replicas::ReplicaSet;
use crate::rendezvous::{rendezvous_weight, stable_hash};

/// Number of candidates taken from the servers with the least delay.
const LEAST_DELAYED_CANDIDATES: usize = 4;
/// Number of candidates taken by rendezvous hashing.
const RENDEZVOUS_CANDIDATES: usize = 2;
/// Number of run times that must fit before the deadline of a request used as a
/// probe.
const MIN_PROBE_RUNS: f64 = 4.0;
/// Largest share of a run that a cached prefix may save.
const MAX_CACHE_SAVING: f64 = 0.5;
/// Largest difference in completion time, as a share of the run time, that
/// counts as a tie. Rendezvous hashing breaks ties.
const TIE_TOLERANCE: f64 = 0.1;

/// The chosen server and the reason for the choice.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReplicaChoice {
    pub(super) replica: ReplicaId,
    /// The reason, as written to the log.
    pub(super) reason: String,
}

/// State of a pool that a choice depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceInput<'a> {
    pub(super) replicas: &'a ReplicaSet,
    /// Hints about cached prefixes.
    pub(super) prefixes: &'a PrefixIndex,
    pub(super) now: Instant,
}

struct Candidate {
    replica: ReplicaId,
    completion_seconds: f64,
    run_seconds: f64,
    saving_seconds: f64,
    weight: u64,
}

/// Chooses the server for a request; `None` if no server is available to it.
pub(super) fn choose(input: &ChoiceInput<'_>, queued: &QueuedRequest) -> Option<ReplicaChoice> {
    if let Some(replica) = choose_probe(input, queued) {
        let reason = "probe of an ejected server".into();
        return Some(ReplicaChoice { replica, reason });
    }
    let key = affinity_key(queued);
    let candidates = candidates(input, queued, key);
    let completions = candidates
        .iter()
        .map(|candidate| candidate.completion_seconds);
    let best = completions.fold(f64::INFINITY, f64::min);
    let is_tied = |candidate: &&Candidate| {
        candidate.completion_seconds <= best + TIE_TOLERANCE * candidate.run_seconds
    };
    let chosen = candidates.iter().filter(is_tied);
    let chosen = chosen.max_by_key(|candidate| candidate.weight)?;
    Some(ReplicaChoice {
        replica: chosen.replica,
        reason: chosen.reason(candidates.len()),
    })
}

/// Chooses a server that awaits a probe, if the request may be that probe.
///
/// A request qualifies if it is not a retry and either a late answer is useful
/// or several runs fit before its deadline. Once the probe is overdue, any
/// request that is not a retry qualifies.
fn choose_probe(input: &ChoiceInput<'_>, queued: &QueuedRequest) -> Option<ReplicaId> {
    let replica = input.replicas.awaiting_probe().next()?;
    let request = &queued.request;
    if !request.excluded.is_empty() {
        return None;
    }
    let health = input.replicas.get(replica)?.health();
    let run_seconds = queued.work as f64 * input.replicas.pool_seconds_per_token();
    let time_left = queued.deadline.saturating_duration_since(input.now);
    let has_time = time_left.as_secs_f64() >= run_seconds * MIN_PROBE_RUNS;
    let tolerates_probe = request.late_is_useful || has_time;
    (tolerates_probe || health.is_probe_overdue(input.now)).then_some(replica)
}

impl Candidate {
    fn reason(&self, candidates: usize) -> String {
        let milliseconds = |seconds: f64| Duration::from_secs_f64(seconds.max(0.0)).as_millis();
        format!(
            "completion {} ms of {candidates} candidates, cache saves {} ms",
            milliseconds(self.completion_seconds),
            milliseconds(self.saving_seconds),
        )
    }
}

/// Returns the affinity key of a request: requests of a workspace with the same
/// prefix share a key, and requests without a prefix are spread over all
/// servers.
fn affinity_key(queued: &QueuedRequest) -> u64 {
    match queued.request.prefix {
        Some(prefix) => stable_hash((&queued.request.workspace, prefix)),
        None => queued.ticket,
    }
}

fn candidates(input: &ChoiceInput<'_>, queued: &QueuedRequest, key: u64) -> Vec<Candidate> {
    let free = input.replicas.free();
    let free = free.filter(|&replica| is_allowed(input, queued, replica));
    let mut replicas = free.take(LEAST_DELAYED_CANDIDATES).collect::<Vec<_>>();
    if let Some(prefix) = queued.request.prefix {
        let ranked = input.replicas.ring().ranked_candidates(key);
        let ranked = ranked
            .into_iter()
            .filter(|&replica| is_allowed(input, queued, replica));
        replicas.extend(ranked.take(RENDEZVOUS_CANDIDATES));
        let hints = input.prefixes.hints(prefix).iter().map(|hint| hint.replica);
        replicas.extend(hints.filter(|&replica| is_allowed(input, queued, replica)));
        replicas.sort_unstable();
        replicas.dedup();
    }
    let replicas = replicas.into_iter();
    replicas
        .filter_map(|replica| candidate(input, queued, key, replica))
        .collect()
}

fn is_allowed(input: &ChoiceInput<'_>, queued: &QueuedRequest, replica: ReplicaId) -> bool {
    let state = input.replicas.get(replica);
    state.is_some_and(|state| state.is_free() && !queued.request.excluded.contains(&state.name))
}

fn candidate(
    input: &ChoiceInput<'_>,
    queued: &QueuedRequest,
    key: u64,
    replica: ReplicaId,
) -> Option<Candidate> {
    let state = input.replicas.get(replica)?;
    let seconds_per_token = state.seconds_per_token(input.replicas.pool_seconds_per_token());
    let run_seconds = queued.work as f64 * seconds_per_token;
    let prompt_seconds = prompt_work(queued.request.prompt_tokens) as f64 * seconds_per_token;
    let confidence = cache_confidence(input, queued, replica);
    let saving_seconds = (prompt_seconds * confidence).min(run_seconds * MAX_CACHE_SAVING);
    Some(Candidate {
        replica,
        completion_seconds: state.delay(input.replicas.pool_seconds_per_token()) + run_seconds
            - saving_seconds,
        run_seconds,
        saving_seconds,
        weight: rendezvous_weight(key, state.name_hash),
    })
}

fn cache_confidence(input: &ChoiceInput<'_>, queued: &QueuedRequest, replica: ReplicaId) -> f64 {
    let Some(prefix) = queued.request.prefix else {
        return 0.0;
    };
    let mut hints = input.prefixes.hints(prefix).iter();
    let hint = hints.find(|hint| hint.replica == replica);
    hint.map_or(0.0, |hint| hint.confidence(input.now))
}
