//! Chooses a server for a request.
//!
//! For model engines the cost of a server is the expected time to the first
//! event: the prefill backlog of the engine, plus the prefill of the part of
//! this prompt that isn't in its KV cache. Requests with the same shared prompt
//! prefix have the same home, the engine that all VMs prefer for it, so that a
//! prefix is read on one engine; an idle engine is preferred to a busy home.
//!
//! An engine interleaves prefill with decoding, so prompts delay the events of
//! the streams that run beside them. Gap-sensitive streams, whose events must
//! not be far apart, therefore share as few engines as they need, and other
//! prompts go to the remaining ones. All VMs reserve the same engines, by the
//! hashes of their ids. The [`EngineModel`] tells which streams are
//! gap-sensitive and how many an engine can carry.
//!
//! This handles bursts of long prompts beside running streams, and hot prompt
//! prefixes. For plain services, which serve no model, the share of busy slots
//! decides.

use std::time::Duration;

use crate::clock::Moment;
use crate::format::PromptPart;

use super::engine_model::EngineModel;
use super::stream_engines::{first_engines, packed_count, packed_streams};

pub use super::part_cache::PartCache;

/// Cost of a millisecond of prefill relative to a millisecond of waiting;
/// prefill delays all requests on the engine.
pub(super) const PREFILL_WEIGHT: f64 = 3.0;

/// Prefill backlog of an engine up to which requests are sent to it, as a share
/// of the latency target that is left after the fixed time to the first event,
/// by rank; the most urgent rank comes first.
const BACKLOG_SHARES: [f64; 3] = [0.6, 0.5, 0.26];

/// Maximum requests at an engine that reads prompts. Each engine step reads a
/// chunk of a prompt and generates one token of every running request, so under
/// continuous prefill requests accumulate and responses miss their deadlines.
/// With few at a time the engine alternates between prefill and decoding.
const MAX_ENGINE_REQUESTS: u32 = 12;

/// Maximum requests at an engine that isn't the home of a prompt with a long
/// shared prefix. Such a prefix is read again there, which takes several times
/// as long as at the home. If prompts went to any engine that is slightly less
/// busy, repeated prefill would use up the engines, and homes would be busy
/// with the prompts of other homes.
const MAX_AWAY_REQUESTS: u32 = 1;

/// Prefill time from which a shared prefix counts as long, in ms.
const LONG_PREFIX_MS: f64 = 20.0;

/// Least urgent route rank that is distinguished here. It gets no headroom; the
/// others share the slots above [`MAX_ENGINE_REQUESTS`] in steps, so that a less
/// urgent class can't fill the engines.
const LEAST_URGENT_RANK: u8 = 2;

/// Share of an engine's KV cache that requests may fill before others wait.
const KV_CACHE_SHARE: f64 = 0.85;

/// Requests at a plain server beyond its slots before others wait.
pub(super) const MAX_PLAIN_QUEUED: u32 = 2;

/// Largest backlog limit of a class, as a share of the limit of a more urgent
/// one.
const LESS_URGENT_SHARE: f64 = 0.75;

/// Share of its own backlog limit that a class keeps, however short the targets
/// of more urgent classes are.
const MIN_LIMIT_SHARE: f64 = 0.4;

/// Prefill backlog of an engine up to which first events are in time, in ms, if no
/// route has a target.
const DEFAULT_BACKLOG_MS: f64 = 300.0;

/// Cost of a server in another data centre, as a share of a busy slot.
const REMOTE_COST: f64 = 0.15;

/// Load on a server, from this VM or summed over several VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Prefill time of the prompts that are still unread, in ms.
    pub backlog_ms: f64,
    /// Tokens of the requests in the KV cache.
    pub tokens: u64,
    /// Streams that are gap-sensitive.
    pub gap_sensitive_streams: u32,
}

impl ServerLoad {
    /// Adds the load from another VM.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.backlog_ms += other.backlog_ms;
        self.tokens += other.tokens;
        self.gap_sensitive_streams += other.gap_sensitive_streams;
    }
}

/// State of one server that placement depends on.
#[derive(Clone, Debug)]
pub struct ReplicaView<'a> {
    /// Hash of its id, the same on all VMs.
    pub hash: u64,
    /// Whether requests may be sent to it.
    pub usable: bool,
    /// Whether it is in the data centre of this VM.
    pub same_data_centre: bool,
    /// Whether it started so recently that this VM must not use it yet.
    pub warming_up: bool,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Capacity of its KV cache, in tokens; 0 for a plain server.
    pub kv_cache_tokens: u64,
    /// Load from all VMs.
    pub load: ServerLoad,
    /// Ratio of its measured to its expected latency; 1 is normal.
    pub slowness: f64,
    /// Whether it is slow according to reports that all VMs have.
    pub is_slow: bool,
    /// Share of its recent requests that failed.
    pub failure_rate: f64,
    /// Prompt parts expected in its KV cache.
    pub cached_parts: &'a PartCache,
}

/// Properties of a request that placement depends on.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Parts of its prompt, in order.
    pub parts: &'a [PromptPart],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Maximum output tokens.
    pub output_tokens: u32,
    /// Rank of its route.
    pub priority: u8,
    /// Whether its events must not be far apart.
    pub gap_sensitive: bool,
    /// Target for the time to its first event.
    pub latency_target: Duration,
    /// Time for which it has waited for a server.
    pub waited: Duration,
    /// Current time.
    pub now: Moment,
}

/// Result of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementChoice {
    /// The request is sent to this server.
    Chosen {
        /// Hash of the server's id.
        hash: u64,
        /// Expected prefill time there, in ms.
        prefill_ms: f64,
        /// Cost of the server: in ms for an engine, in busy slots for a plain
        /// server.
        cost: f64,
    },
    /// All usable servers are at capacity.
    Busy,
    /// No server is usable.
    Unavailable,
}

/// Returns the key that determines the home of a prompt: the id of the last
/// part that it may share with other requests.
pub fn home_key(parts: &[PromptPart]) -> Option<u64> {
    match parts {
        [] => None,
        [only] => Some(only.id),
        [.., shared, _] => Some(shared.id),
    }
}

/// Returns the key that determines the home of a prompt with a long shared
/// prefix.
pub fn long_prefix_key(parts: &[PromptPart], model: &EngineModel) -> Option<u64> {
    home_key(parts).filter(|_| has_long_prefix(parts, model))
}

/// Returns whether the shared prefix of a prompt takes long to read.
fn has_long_prefix(parts: &[PromptPart], model: &EngineModel) -> bool {
    model.prefill_ms(shared_prefix_tokens(parts)) >= LONG_PREFIX_MS
}

pub(super) fn rendezvous_weight(key: u64, replica: u64) -> u64 {
    use std::hash::Hasher;
    siphasher::sip::SipHasher13::new_with_keys(key, replica).finish()
}

/// Returns the index of a key's home among the usable engines, by rendezvous
/// hashing. The prompts of an engine that is warming up go to the next one.
fn home_engine(
    key: u64,
    replicas: &[ReplicaView<'_>],
    reserved: &[bool],
    from_reserved: bool,
) -> Option<usize> {
    replicas
        .iter()
        .enumerate()
        .filter(|(index, replica)| replica.usable && reserved[*index] == from_reserved)
        .filter(|(_, replica)| !replica.warming_up)
        .max_by_key(|(_, replica)| rendezvous_weight(key, replica.hash))
        .map(|(index, _)| index)
}

/// Returns the load up to which an engine meets the targets of its requests:
/// requests that read prompts, gap-sensitive streams if it has only such, and the
/// prefill backlog in ms up to which first events are in time.
///
/// # Examples
///
/// ```
/// use dewedge::policy::engine_model::EngineModel;
/// use dewedge::policy::placement::engine_capacity;
///
/// let (requests, streams, backlog_ms) = engine_capacity(64, &EngineModel::default());
/// assert!(requests > 0.0 && streams > 0.0 && backlog_ms > 0.0);
/// ```
pub fn engine_capacity(slots: u32, model: &EngineModel) -> (f64, f64, f64) {
    let requests = f64::from(MAX_ENGINE_REQUESTS.min(slots).max(1));
    let streams = packed_streams(slots, model).max(1.0);
    let limits = model
        .more_urgent_classes(u8::MAX)
        .map(|class| class_limit_ms(class.priority, class.latency_target, model));
    let backlog_ms = limits.fold(f64::INFINITY, f64::min);
    match backlog_ms.is_finite() {
        true => (requests, streams, backlog_ms),
        false => (requests, streams, DEFAULT_BACKLOG_MS),
    }
}

/// Chooses a model engine.
///
/// # Examples
///
/// ```
/// use dewedge::policy::engine_model::EngineModel;
/// use dewedge::policy::placement::{PlacementChoice, PlacementQuery, choose_engine};
/// use std::time::Duration;
///
/// let query = PlacementQuery {
///     parts: &[],
///     prompt_tokens: 100,
///     output_tokens: 10,
///     priority: 0,
///     gap_sensitive: false,
///     latency_target: Duration::from_secs(1),
///     waited: Duration::ZERO,
///     now: Duration::ZERO,
/// };
/// let model = EngineModel::default();
/// assert_eq!(choose_engine(&query, &[], &model), PlacementChoice::Unavailable);
/// ```
pub fn choose_engine(
    query: &PlacementQuery<'_>,
    replicas: &[ReplicaView<'_>],
    model: &EngineModel,
) -> PlacementChoice {
    let count = packed_count(replicas, model);
    let reserved = first_engines(replicas, count, |replica| replica.hash);
    let choice = choose_among(query, replicas, model, &reserved, query.gap_sensitive);
    match choice {
        PlacementChoice::Chosen { .. } => choice,
        // Gap-sensitive streams may go to any engine. Other prompts wait,
        // unless all usable engines are reserved.
        PlacementChoice::Busy if !query.gap_sensitive => choice,
        _ => choose_among(query, replicas, model, &reserved, !query.gap_sensitive),
    }
}

fn choose_among(
    query: &PlacementQuery<'_>,
    replicas: &[ReplicaView<'_>],
    model: &EngineModel,
    reserved: &[bool],
    from_reserved: bool,
) -> PlacementChoice {
    let home =
        home_key(query.parts).and_then(|key| home_engine(key, replicas, reserved, from_reserved));
    let limit = backlog_limit_ms(query, model);
    let prefix = SharedPrefix::of(query, model);
    let mut best: Option<(f64, usize, f64)> = None;
    let mut any_usable = false;
    for (index, replica) in replicas.iter().enumerate() {
        if !replica.usable || reserved[index] != from_reserved {
            continue;
        }
        any_usable = true;
        let is_home = home == Some(index);
        let cached_tokens = replica.cached_parts.cached_tokens(query.parts, query.now);
        let expects_prefix = is_home || cached_tokens >= prefix.tokens;
        let max_requests = max_requests(query, replica, &prefix, expects_prefix);
        if replica.warming_up || !has_capacity(query, replica, limit, max_requests) {
            continue;
        }
        let expected_tokens = match is_home {
            true => cached_tokens.max(prefix.tokens),
            false => cached_tokens,
        };
        let prefill_ms = model.prefill_ms(query.prompt_tokens.saturating_sub(expected_tokens));
        let cost = engine_cost(query, replica, model, prefill_ms);
        if best.is_none_or(|(lowest_cost, _, _)| cost < lowest_cost) {
            best = Some((cost, index, prefill_ms));
        }
    }
    match best {
        Some((cost, index, prefill_ms)) => PlacementChoice::Chosen {
            hash: replicas[index].hash,
            prefill_ms,
            cost,
        },
        None if any_usable => PlacementChoice::Busy,
        None => PlacementChoice::Unavailable,
    }
}

/// Returns the prefill backlog, in ms, up to which the request is sent to an
/// engine.
///
/// It stays below that of the more urgent classes, even if their targets are
/// shorter; otherwise a less urgent class would keep the backlogs above their
/// limits.
pub(super) fn backlog_limit_ms(query: &PlacementQuery<'_>, model: &EngineModel) -> f64 {
    let own = class_limit_ms(query.priority, query.latency_target, model);
    let more_urgent = model
        .more_urgent_classes(query.priority)
        .map(|class| class_limit_ms(class.priority, class.latency_target, model))
        .fold(f64::INFINITY, f64::min);
    own.min((more_urgent * LESS_URGENT_SHARE).max(own * MIN_LIMIT_SHARE))
}

fn class_limit_ms(priority: u8, latency_target: Duration, model: &EngineModel) -> f64 {
    let share = BACKLOG_SHARES[usize::from(priority).min(BACKLOG_SHARES.len() - 1)];
    let target_ms = latency_target.as_secs_f64() * 1000.0;
    share * (target_ms - model.first_event_ms()).max(0.0)
}

/// The shared prefix of a prompt, which its home has read.
pub(super) struct SharedPrefix {
    pub(super) tokens: u32,
    /// Whether reading it takes long.
    is_long: bool,
    /// Whether an engine may be chosen that has to read it again.
    may_be_read_again: bool,
}

impl SharedPrefix {
    /// A prompt waits for its home as long as reading the prefix again would
    /// take. So the time that it loses is at most twice that of the better
    /// choice in hindsight.
    pub(super) fn of(query: &PlacementQuery<'_>, model: &EngineModel) -> Self {
        let tokens = shared_prefix_tokens(query.parts);
        let prefix_ms = model.prefill_ms(tokens);
        Self {
            tokens,
            is_long: prefix_ms >= LONG_PREFIX_MS,
            may_be_read_again: query.waited.as_secs_f64() * 1000.0 >= prefix_ms,
        }
    }
}

/// Returns how many requests an engine may have when the request is sent to it.
pub(super) fn max_requests(
    query: &PlacementQuery<'_>,
    replica: &ReplicaView<'_>,
    prefix: &SharedPrefix,
    expects_prefix: bool,
) -> u32 {
    if query.gap_sensitive {
        return replica.slots;
    }
    if !prefix.is_long || expects_prefix {
        let base = replica.slots.min(MAX_ENGINE_REQUESTS);
        let ranks_below = u32::from(LEAST_URGENT_RANK.saturating_sub(query.priority));
        let headroom = (replica.slots - base) * ranks_below / u32::from(LEAST_URGENT_RANK);
        return base + headroom;
    }
    match prefix.may_be_read_again {
        true => MAX_AWAY_REQUESTS,
        false => 0,
    }
}

pub(super) fn has_capacity(
    query: &PlacementQuery<'_>,
    replica: &ReplicaView<'_>,
    limit_ms: f64,
    max_requests: u32,
) -> bool {
    let tokens = u64::from(query.prompt_tokens) + u64::from(query.output_tokens);
    let capacity = (replica.kv_cache_tokens as f64 * KV_CACHE_SHARE) as u64;
    let empty = replica.load.requests == 0;
    let fits = empty || replica.load.tokens + tokens <= capacity;
    fits && replica.load.requests < max_requests
        && replica.load.backlog_ms * replica.slowness < limit_ms
}

/// Returns the tokens of the prompt prefix that other requests may share.
pub fn shared_prefix_tokens(parts: &[PromptPart]) -> u32 {
    match parts {
        [shared @ .., _] => token_sum(shared),
        [] => 0,
    }
}

/// Returns the tokens of some parts; callers may state more than there can be.
pub(super) fn token_sum<'a>(parts: impl IntoIterator<Item = &'a PromptPart>) -> u32 {
    let tokens = parts.into_iter().map(|part| part.tokens);
    tokens.fold(0, u32::saturating_add)
}

fn engine_cost(
    query: &PlacementQuery<'_>,
    replica: &ReplicaView<'_>,
    model: &EngineModel,
    prefill_ms: f64,
) -> f64 {
    let running = f64::from(replica.load.requests) * model.gap_growth_ms();
    // Prefill beside a gap-sensitive stream delays its events.
    let interference = if query.gap_sensitive {
        replica.load.backlog_ms
    } else {
        0.0
    };
    let waiting = (replica.load.backlog_ms + running + interference) * replica.slowness;
    let reading = prefill_ms * PREFILL_WEIGHT * replica.slowness;
    (waiting + reading) * (1.0 + 2.0 * replica.failure_rate)
}

/// Chooses a server of a plain service.
///
/// `tie_breaker` varies the choice among servers of equal cost.
pub fn choose_plain_server(replicas: &[ReplicaView<'_>], tie_breaker: u64) -> PlacementChoice {
    let mut best: Option<(f64, u64, usize)> = None;
    let mut any_usable = false;
    for (index, replica) in replicas.iter().enumerate() {
        if !replica.usable {
            continue;
        }
        any_usable = true;
        if replica.warming_up || replica.load.requests >= replica.slots + MAX_PLAIN_QUEUED {
            continue;
        }
        let busy = f64::from(replica.load.requests) / f64::from(replica.slots.max(1));
        let remote_cost = if replica.same_data_centre {
            0.0
        } else {
            REMOTE_COST
        };
        let cost = busy * replica.slowness + remote_cost + 2.0 * replica.failure_rate;
        let tie_hash = replica.hash ^ tie_breaker;
        if best.is_none_or(|(lowest_cost, other, _)| {
            cost < lowest_cost || (cost == lowest_cost && tie_hash < other)
        }) {
            best = Some((cost, tie_hash, index));
        }
    }
    match best {
        Some((cost, _, index)) => PlacementChoice::Chosen {
            hash: replicas[index].hash,
            prefill_ms: 0.0,
            cost,
        },
        None if any_usable => PlacementChoice::Busy,
        None => PlacementChoice::Unavailable,
    }
}
