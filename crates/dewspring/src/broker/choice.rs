//! Which server runs a request: the lowest estimated completion.
//!
//! The completion is the delay by the work that is there, plus the request's
//! own run, less what a cached prefix saves. The saving is capped, so a server
//! that is loaded enough loses its prefix to another one.

use std::time::{Duration, Instant};

use super::estimate::prompt_work;
use super::prefix::PrefixIndex;
use super::queued::QueuedRequest;
use super::replica::ReplicaId;
use super::replicas::ReplicaSet;
use crate::rendezvous::{stable_hash, weight};

/// Servers with the least delay that are looked at.
const LEAST_DELAYED: usize = 4;
/// Servers by rendezvous hashing that are looked at.
const PLACES: usize = 2;
/// Runs that must fit into the time to the target of a probe.
const PROBE_RUNS: f64 = 4.0;
/// Share of a run that a cached prefix may save at most.
const MAX_SAVING: f64 = 0.5;
/// Difference of completion below which the prefix's place decides, as a share
/// of the run.
const NEAR_TIE: f64 = 0.1;

/// The chosen server, and why.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ReplicaChoice {
    /// The server.
    pub(super) replica: ReplicaId,
    /// The reason, for the log.
    pub(super) reason: String,
}

/// What the servers of a pool are judged by.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChoiceInput<'a> {
    /// The servers.
    pub(super) replicas: &'a ReplicaSet,
    /// Hints on cached prefixes.
    pub(super) prefixes: &'a PrefixIndex,
    /// Time of the choice.
    pub(super) now: Instant,
}

struct Candidate {
    replica: ReplicaId,
    completion: f64,
    run: f64,
    saving: f64,
    weight: u64,
}

/// Chooses the server for a request; `None` if no server is free for it.
pub(super) fn choose(input: &ChoiceInput<'_>, queued: &QueuedRequest) -> Option<ReplicaChoice> {
    if let Some(replica) = choose_probe(input, queued) {
        let reason = "probe of an ejected server".into();
        return Some(ReplicaChoice { replica, reason });
    }
    let key = place_key(queued);
    let candidates = candidates(input, queued, key);
    let completions = candidates.iter().map(|candidate| candidate.completion);
    let best = completions.fold(f64::INFINITY, f64::min);
    let near = |candidate: &&Candidate| candidate.completion <= best + NEAR_TIE * candidate.run;
    let chosen = candidates.iter().filter(near);
    let chosen = chosen.max_by_key(|candidate| candidate.weight)?;
    Some(ReplicaChoice {
        replica: chosen.replica,
        reason: chosen.reason(candidates.len()),
    })
}

/// Chooses a server that waits for a probe, if the request can bear it.
///
/// It can where a late answer is useful or there is time for several runs, and
/// where it is no retry.
fn choose_probe(input: &ChoiceInput<'_>, queued: &QueuedRequest) -> Option<ReplicaId> {
    let replica = input.replicas.probes().next()?;
    let request = &queued.request;
    if !request.excluded.is_empty() {
        return None;
    }
    let health = input.replicas.get(replica)?.health();
    let run = queued.work as f64 * input.replicas.pool_pace();
    let left = queued.deadline.saturating_duration_since(input.now);
    let has_time = left.as_secs_f64() >= run * PROBE_RUNS;
    let can_bear = request.late_is_useful || has_time;
    (can_bear || health.is_probe_overdue(input.now)).then_some(replica)
}

impl Candidate {
    fn reason(&self, candidates: usize) -> String {
        let milliseconds = |seconds: f64| Duration::from_secs_f64(seconds.max(0.0)).as_millis();
        format!(
            "completion {} ms of {candidates} candidates, cache saves {} ms",
            milliseconds(self.completion),
            milliseconds(self.saving),
        )
    }
}

/// Returns the key of a request's place: equal prefixes of a workspace have
/// one place, and requests without a prefix are spread.
fn place_key(queued: &QueuedRequest) -> u64 {
    match queued.request.prefix {
        Some(prefix) => stable_hash((&queued.request.workspace, prefix)),
        None => queued.ticket,
    }
}

fn candidates(input: &ChoiceInput<'_>, queued: &QueuedRequest, key: u64) -> Vec<Candidate> {
    let free = input.replicas.free();
    let free = free.filter(|&replica| is_allowed(input, queued, replica));
    let mut replicas = free.take(LEAST_DELAYED).collect::<Vec<_>>();
    if let Some(prefix) = queued.request.prefix {
        let places = input.replicas.ring().places(key);
        let places = places
            .into_iter()
            .filter(|&replica| is_allowed(input, queued, replica));
        replicas.extend(places.take(PLACES));
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
    let pace = state.seconds_per_token(input.replicas.pool_pace());
    let run = queued.work as f64 * pace;
    let prompt = prompt_work(queued.request.prompt_tokens) as f64 * pace;
    let confidence = cache_confidence(input, queued, replica);
    let saving = (prompt * confidence).min(run * MAX_SAVING);
    Some(Candidate {
        replica,
        completion: state.delay(input.replicas.pool_pace()) + run - saving,
        run,
        saving,
        weight: weight(key, state.name_hash),
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
