//! Chooses a server by the load that the servers report.
//!
//! The rules of [`placement`](super::placement) apply, with these differences:
//!
//! - Many VMs know the same stale report. Each therefore draws a plain server, or
//!   a few engines, at random, weighted by their free capacity, and chooses the
//!   best of those.
//! - Servers differ in speed. A slow engine gets fewer requests and is the home
//!   of fewer prompts, and streams avoid engines on which prompts could delay
//!   their events beyond the target.
//! - All VMs know which prefixes an engine was sent
//!   ([`part_cache`](super::part_cache)). So no engine is assumed to hold a prefix,
//!   not even its home, and the backlog of a burst on empty caches counts in full.
//! - Streams are spread over engines that are free
//!   ([`stream_engines`](super::stream_engines)).
//!
//! The main invariant: the views hold the effective load and slowness of
//! [`load_reports`](super::load_reports), and nothing else decides.

use std::time::Duration;

use super::engine_model::EngineModel;
use super::placement::{
    MAX_PLAIN_QUEUED, PREFILL_WEIGHT, PlacementChoice, PlacementQuery, ReplicaView, SharedPrefix,
    backlog_limit_ms, has_capacity, home_key, max_requests, rendezvous_weight,
};
use super::stream_engines::{first_engines, spread_count};

/// Engines that are drawn for a choice. Streams last longer than a report is
/// stale, so the best of a few is a better choice than any of them.
const ENGINE_DRAWS: usize = 3;

/// Plain servers that are drawn for a choice. Their requests are shorter than a
/// report is stale. With the best of three, servers refused 0.09 of the requests
/// in a play of 12 servers, against 0.01 with one.
const PLAIN_DRAWS: usize = 1;

/// Weight of room in a plain server's queue relative to a free slot.
const QUEUE_ROOM_WEIGHT: f64 = 0.1;

/// Weight of a plain server in another data centre relative to one in this.
const REMOTE_WEIGHT: f64 = 0.5;

/// Slowness above which engines are reserved for gap-sensitive streams only after
/// the others.
const MAX_RESERVED_SLOWNESS: f64 = 1.25;

/// Factor by which a slow engine is the home of fewer prompts.
const SLOW_HOME_FACTOR: f64 = 2.0;

/// Gap-sensitive streams of an engine that a prompt may delay beyond their target.
const MAX_DELAYED_STREAMS: u32 = 1;

/// Share of the latency target for which a prompt waits for an engine where it
/// delays no streams. It is less than the longest wait, so that prompts aren't
/// refused for as long as only engines with streams have room.
const STREAM_WAIT_SHARE: f64 = 0.25;

/// Request whose server is chosen by reports.
#[derive(Clone, Debug)]
pub struct ReportedQuery<'a> {
    /// The request.
    pub request: PlacementQuery<'a>,
    /// Target for the gap between two events, if it is a stream.
    pub event_gap_target: Option<Duration>,
    /// Random number of this choice.
    pub random: u64,
}

/// A server that may be chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    prefill_ms: f64,
    cost: f64,
}

impl Candidate {
    fn better(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.cost <= self.cost => other,
            _ => self,
        }
    }

    fn choice(self, replicas: &[ReplicaView<'_>]) -> PlacementChoice {
        PlacementChoice::Chosen {
            hash: replicas[self.index].hash,
            prefill_ms: self.prefill_ms,
            cost: self.cost,
        }
    }
}

/// Weighted random sample without replacement, by the exponential keys of
/// Efraimidis and Spirakis.
#[derive(Debug)]
struct ServerSample {
    size: usize,
    /// Keys and candidates, smallest key first.
    drawn: Vec<(f64, Candidate)>,
}

impl ServerSample {
    fn new(size: usize) -> Self {
        Self {
            size,
            drawn: Vec::with_capacity(size),
        }
    }

    fn offer(&mut self, candidate: Candidate, weight: f64, random: u64) {
        let unit = unit_random(random, candidate.index as u64);
        let key = -unit.ln() / weight.max(f64::MIN_POSITIVE);
        let position = self.drawn.partition_point(|(other, _)| *other <= key);
        if position < self.size {
            self.drawn.truncate(self.size - 1);
            self.drawn.insert(position, (key, candidate));
        }
    }

    /// Returns the best of the drawn servers.
    fn best(&self) -> Option<Candidate> {
        self.drawn
            .iter()
            .map(|(_, candidate)| *candidate)
            .min_by(|first, second| first.cost.total_cmp(&second.cost))
    }
}

/// Returns a number above 0 and below 1 that depends on both arguments, by the
/// mixing function of SplitMix64.
fn unit_random(random: u64, index: u64) -> f64 {
    let mut mixed = random ^ index.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^= mixed >> 31;
    unit_of(mixed)
}

fn unit_of(random: u64) -> f64 {
    ((random >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Chooses a server of a plain service.
///
/// The cost is the expected time there, in service times.
///
/// # Examples
///
/// ```
/// use dewedge::policy::placement::PlacementChoice;
/// use dewedge::policy::reported_placement::choose_reported_server;
///
/// assert_eq!(choose_reported_server(&[], 7), PlacementChoice::Unavailable);
/// ```
pub fn choose_reported_server(replicas: &[ReplicaView<'_>], random: u64) -> PlacementChoice {
    let mut sample = ServerSample::new(PLAIN_DRAWS);
    let mut any_usable = false;
    for (index, replica) in replicas.iter().enumerate() {
        any_usable |= replica.usable;
        let full = replica.slots.saturating_add(MAX_PLAIN_QUEUED);
        if !replica.usable || replica.warming_up || replica.load.requests >= full {
            continue;
        }
        let candidate = Candidate {
            index,
            prefill_ms: 0.0,
            cost: expected_time(replica) * (1.0 + 2.0 * replica.failure_rate),
        };
        sample.offer(candidate, plain_weight(replica), random);
    }
    match sample.best() {
        Some(best) => best.choice(replicas),
        None if any_usable => PlacementChoice::Busy,
        None => PlacementChoice::Unavailable,
    }
}

/// Returns the expected time of a request at a plain server, in service times.
fn expected_time(replica: &ReplicaView<'_>) -> f64 {
    let slots = f64::from(replica.slots.max(1));
    let requests = f64::from(replica.load.requests);
    let ahead = (requests + 1.0 - slots).max(0.0);
    // The more slots are busy, the likelier the last is taken on arrival.
    let busy = (requests / slots).min(1.0);
    replica.slowness * (1.0 + busy * busy + ahead / slots)
}

fn plain_weight(replica: &ReplicaView<'_>) -> f64 {
    let free = f64::from(replica.slots.saturating_sub(replica.load.requests));
    let place = match replica.same_data_centre {
        true => 1.0,
        false => REMOTE_WEIGHT,
    };
    let sound = (1.0 - replica.failure_rate).max(0.0).powi(2);
    (free + QUEUE_ROOM_WEIGHT) * place * sound / replica.slowness
}

/// Chooses a model engine.
///
/// # Examples
///
/// ```
/// use dewedge::policy::engine_model::EngineModel;
/// use dewedge::policy::placement::{PlacementChoice, PlacementQuery};
/// use dewedge::policy::reported_placement::{ReportedQuery, choose_reported_engine};
/// use std::time::Duration;
///
/// let query = ReportedQuery {
///     request: PlacementQuery {
///         parts: &[],
///         prompt_tokens: 100,
///         output_tokens: 10,
///         priority: 0,
///         gap_sensitive: false,
///         latency_target: Duration::from_secs(1),
///         waited: Duration::ZERO,
///         now: Duration::ZERO,
///     },
///     event_gap_target: None,
///     random: 7,
/// };
/// let model = EngineModel::default();
/// let choice = choose_reported_engine(&query, &[], &model);
/// assert_eq!(choice, PlacementChoice::Unavailable);
/// ```
pub fn choose_reported_engine(
    query: &ReportedQuery<'_>,
    replicas: &[ReplicaView<'_>],
    model: &EngineModel,
) -> PlacementChoice {
    let count = spread_count(replicas, model);
    let reserved = first_engines(replicas, count, |replica| {
        (replica.slowness > MAX_RESERVED_SLOWNESS, replica.hash)
    });
    let search = EngineSearch {
        query,
        replicas,
        model,
        reserved: &reserved,
        limit_ms: backlog_limit_ms(&query.request, model),
        prefix: SharedPrefix::of(&query.request, model),
    };
    let gap_sensitive = query.request.gap_sensitive;
    let first = search.group(gap_sensitive);
    // As in `placement`, only gap-sensitive streams may go to any engine.
    let may_go_on = gap_sensitive || !first.any_usable;
    let second = match first.suitable.is_none() && may_go_on {
        true => search.group(!gap_sensitive),
        false => GroupResult::default(),
    };
    let best = first
        .suitable
        .or(second.suitable)
        .or(first.unsuitable)
        .or(second.unsuitable);
    match best {
        Some(best) => best.choice(replicas),
        None if first.any_usable || second.any_usable => PlacementChoice::Busy,
        None => PlacementChoice::Unavailable,
    }
}

/// Best engines among the reserved or the other ones.
#[derive(Debug, Default)]
struct GroupResult {
    /// The best engine on which prompts can't delay the stream's events beyond
    /// the target.
    suitable: Option<Candidate>,
    /// The best one of the others.
    unsuitable: Option<Candidate>,
    any_usable: bool,
}

/// One search for an engine.
struct EngineSearch<'a> {
    query: &'a ReportedQuery<'a>,
    replicas: &'a [ReplicaView<'a>],
    model: &'a EngineModel,
    reserved: &'a [bool],
    limit_ms: f64,
    prefix: SharedPrefix,
}

impl EngineSearch<'_> {
    /// Searches the engines that are reserved, or those that aren't.
    fn group(&self, from_reserved: bool) -> GroupResult {
        let request = &self.query.request;
        let home = home_key(request.parts).and_then(|key| self.home(key, from_reserved));
        let mut result = GroupResult::default();
        let mut samples = [(); 2].map(|()| ServerSample::new(ENGINE_DRAWS));
        for (index, replica) in self.replicas.iter().enumerate() {
            if !replica.usable || self.reserved[index] != from_reserved {
                continue;
            }
            result.any_usable = true;
            let is_home = home == Some(index);
            let cached_tokens = replica
                .cached_parts
                .cached_tokens(request.parts, request.now);
            let has_prefix = is_home || cached_tokens >= self.prefix.tokens;
            let limit = scaled_limit(
                max_requests(request, replica, &self.prefix, has_prefix),
                replica,
            );
            if replica.warming_up || !has_capacity(request, replica, self.limit_ms, limit) {
                continue;
            }
            let candidate = self.candidate(index, cached_tokens);
            if self.delays_streams(&candidate) {
                continue;
            }
            let suits = self.suits(replica);
            if has_prefix && self.prefix.tokens > 0 {
                let best = match suits {
                    true => &mut result.suitable,
                    false => &mut result.unsuitable,
                };
                *best = Some(candidate.better(*best));
            } else {
                let free = f64::from(limit.saturating_sub(replica.load.requests));
                samples[usize::from(suits)].offer(candidate, free, self.query.random);
            }
        }
        let [unsuitable, suitable] = samples.map(|sample| sample.best());
        result.suitable = merge(suitable, result.suitable);
        result.unsuitable = merge(unsuitable, result.unsuitable);
        result
    }

    /// Returns the index of a key's home, by weighted rendezvous hashing: an
    /// engine is the home of fewer prompts if it is slow. The weights are coarse,
    /// because a prompt has to have the same home on all VMs.
    fn home(&self, key: u64, from_reserved: bool) -> Option<usize> {
        let distance = |replica: &ReplicaView<'_>| {
            let unit = unit_of(rendezvous_weight(key, replica.hash));
            let factor = match replica.is_slow {
                true => SLOW_HOME_FACTOR,
                false => 1.0,
            };
            -unit.ln() * factor
        };
        self.replicas
            .iter()
            .enumerate()
            .filter(|(index, replica)| replica.usable && self.reserved[*index] == from_reserved)
            .filter(|(_, replica)| !replica.warming_up)
            .map(|(index, replica)| (distance(replica), index))
            .min_by(|(first, _), (second, _)| first.total_cmp(second))
            .map(|(_, index)| index)
    }

    /// Returns a candidate with the tokens that no VM has sent to it as unread. A home
    /// is no exception: at the beginning of a burst it has yet to read the prefix.
    fn candidate(&self, index: usize, cached_tokens: u32) -> Candidate {
        let request = &self.query.request;
        let unread_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        let prefill_ms = self.model.prefill_ms(unread_tokens);
        Candidate {
            index,
            prefill_ms,
            cost: self.cost(index, prefill_ms),
        }
    }

    /// Returns the cost of an engine: the expected time to the first events, and
    /// the delay by which later prompts could exceed the gap target.
    fn cost(&self, index: usize, prefill_ms: f64) -> f64 {
        let replica = &self.replicas[index];
        let load = &replica.load;
        let interference = match self.query.request.gap_sensitive {
            true => load.backlog_ms,
            false => 0.0,
        };
        let gap_ms = self.model.event_gap_ms(load.requests);
        let usual_ms = load.backlog_ms + interference + gap_ms + prefill_ms * PREFILL_WEIGHT;
        let excess_ms = match self.target_ms() {
            Some(target_ms) if !self.reserved[index] => {
                (self.model.saturated_gap_ms() * replica.slowness - target_ms).max(0.0)
            }
            _ => 0.0,
        };
        (usual_ms * replica.slowness + excess_ms) * (1.0 + 2.0 * replica.failure_rate)
    }

    /// Returns whether the prompts that an engine reads or that are queued there
    /// can't delay the events of the stream beyond the target.
    fn suits(&self, replica: &ReplicaView<'_>) -> bool {
        let Some(target_ms) = self.target_ms() else {
            return true;
        };
        let gap_ms = self.model.event_gap_ms(replica.load.requests);
        let longest_ms = (gap_ms + replica.load.backlog_ms).min(self.model.saturated_gap_ms());
        longest_ms * replica.slowness <= target_ms
    }

    /// Returns whether a prompt must not be read at an engine yet, because the gaps
    /// of the streams that run there would exceed their target.
    ///
    /// Streams outlast the reservation of their engine when their number falls.
    fn delays_streams(&self, candidate: &Candidate) -> bool {
        let request = &self.query.request;
        let replica = &self.replicas[candidate.index];
        if request.gap_sensitive || replica.load.gap_sensitive_streams <= MAX_DELAYED_STREAMS {
            return false;
        }
        let gap_ms = self.model.event_gap_ms(replica.load.requests);
        let unread_ms = replica.load.backlog_ms + candidate.prefill_ms;
        let read_ms = unread_ms.min(self.model.saturated_gap_ms());
        let delayed_ms = (gap_ms + read_ms) * replica.slowness;
        delayed_ms > self.model.tightest_target_ms()
            && request.waited < request.latency_target.mul_f64(STREAM_WAIT_SHARE)
    }

    fn target_ms(&self) -> Option<f64> {
        let target = self.query.event_gap_target?;
        Some(target.as_secs_f64() * 1000.0)
    }
}

fn merge(first: Option<Candidate>, second: Option<Candidate>) -> Option<Candidate> {
    match first {
        Some(first) => Some(first.better(second)),
        None => second,
    }
}

/// Returns the limit on the requests at an engine, in inverse proportion to its
/// slowness; the responses then take the same time on all engines.
fn scaled_limit(limit: u32, replica: &ReplicaView<'_>) -> u32 {
    let scaled = (f64::from(limit) / replica.slowness).round() as u32;
    scaled.clamp(limit.min(1), replica.slots.max(1))
}
