//! Chooses a server for a request.
//!
//! For model engines the cost of a server is the time until the first event
//! there: the prompts that it still has to read, plus the part of this prompt
//! that isn't in its memory. Requests with the same shared parts have the same
//! home on all VMs, so that a part is read on one engine; a home that is busy
//! loses to an idle engine.
//!
//! An engine reads prompts between the tokens of the streams that run there, so
//! prompts hold up the events beside them. Streams whose events may not pause
//! for long are therefore kept together on as few engines as they need, and
//! other prompts go elsewhere. All VMs choose the same engines, by the hashes
//! of their ids.
//!
//! It answers bursts of long prompts beside running streams, and hot prompt
//! parts. For plain services the share of busy slots decides.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::format::PromptPart;

/// Prompt tokens that an engine reads in a millisecond; from the users' sheets.
pub const PREFILL_TOKENS_PER_MS: f64 = 56.6;

/// Cost of reading a part again, against a millisecond of waiting; the engine's
/// time is lost to all who wait there.
const REREAD_WEIGHT: f64 = 3.0;

/// Paced streams for each engine that is set apart for them, in parts of its
/// slots; a step stays far below the permitted pauses, and slots are left for
/// bursts.
const PACED_SLOT_SHARE: f64 = 0.625;

/// Part of the engines that may be set apart.
const PACED_SHARE: f64 = 0.5;

/// Engine time for each running request, in ms of delay to a new prompt; the
/// growth of a step with the batch, over the steps of a prompt.
const RUNNING_COST_MS: f64 = 0.4;

/// Backlog of an engine, in ms, up to which requests are sent, for the most
/// urgent rank; less urgent ranks get the shorter ones.
const BACKLOG_LIMITS_MS: [f64; 3] = [700.0, 500.0, 380.0];

/// Requests at an engine that reads prompts. Each step of the engine reads a
/// chunk of a prompt and makes one token of every running request, so requests
/// pile up when prompts never pause, and answers miss their deadline. With few
/// at a time the engine alternates between reading and answering.
const PROMPT_RUNS: u32 = 12;

/// The same away from the home of a prompt with long shared parts. They are read
/// again there, which takes several times as long as at the home; were they read
/// wherever an engine is a little less busy, the engines would have no time left,
/// and homes would be busy because prompts come that were sent away from others.
const AWAY_RUNS: u32 = 1;

/// Time to read the shared parts of a prompt from which on they are long.
const LONG_SHARED_MS: f64 = 20.0;

/// Requests more at an engine for each rank of a route before the least urgent
/// one, so that a less urgent class can't fill the engines for a more urgent one.
const RANK_ROOM: u32 = 3;

/// Ranks of routes that differ in their room.
const LEAST_URGENT: u8 = 2;

/// Part of an engine's memory that requests may fill before others wait.
const MEMORY_SHARE: f64 = 0.85;

/// Requests at a plain server beyond its slots before others wait.
const PLAIN_QUEUE: u32 = 2;

/// Cost of a server in another data centre, in parts of a busy slot.
const FAR_COST: f64 = 0.15;

/// Prompt parts that are remembered for each server.
const MAX_PARTS: usize = 4096;

/// Work that one VM has at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkSum {
    /// Requests.
    pub requests: u32,
    /// Time of the prompts that aren't read yet, in ms.
    pub backlog_ms: f64,
    /// Tokens that the requests keep in memory.
    pub tokens: u64,
    /// Streams whose events may not pause for long.
    pub paced_streams: u32,
}

impl WorkSum {
    /// Adds the work of another VM.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.backlog_ms += other.backlog_ms;
        self.tokens += other.tokens;
        self.paced_streams += other.paced_streams;
    }
}

/// Prompt parts that a server has read, with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct PartMemory {
    parts: IndexMap<u64, Moment>,
}

impl PartMemory {
    /// Notes that a request with these parts was sent.
    pub fn note(&mut self, parts: &[PromptPart], now: Moment) {
        if self.parts.len() + parts.len() > MAX_PARTS {
            let half = now.saturating_sub(PART_LIFE / 2);
            self.parts.retain(|_, used| *used >= half);
        }
        for part in parts {
            self.parts.insert(part.id, now);
        }
    }

    /// Returns the tokens of a prompt that needn't be read.
    ///
    /// A part counts only if all parts before it count.
    pub fn known_tokens(&self, parts: &[PromptPart], now: Moment) -> u32 {
        parts
            .iter()
            .take_while(|part| {
                let used = self.parts.get(&part.id);
                used.is_some_and(|used| now.saturating_sub(*used) < PART_LIFE)
            })
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets everything, because the server started anew.
    pub fn clear(&mut self) {
        self.parts.clear();
    }
}

/// Time for which a part is taken to stay in the memory of an engine.
const PART_LIFE: Duration = Duration::from_secs(10);

/// One server, as the placement sees it.
#[derive(Clone, Debug)]
pub struct ReplicaView<'a> {
    /// Hash of its id, the same on all VMs.
    pub hash: u64,
    /// Whether requests may be sent there.
    pub usable: bool,
    /// Whether it is in the data centre of this VM.
    pub near: bool,
    /// Whether it has started so lately that this VM must wait.
    pub warms_up: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that fit in its memory; 0 for a plain server.
    pub kv_cache_tokens: u64,
    /// Work of all VMs there.
    pub work: WorkSum,
    /// How much longer it takes than others; 1 is usual.
    pub slowness: f64,
    /// Share of its latest requests that failed.
    pub failures: f64,
    /// Prompt parts that it has read.
    pub parts: &'a PartMemory,
}

/// A request, as the placement sees it.
#[derive(Clone, Debug)]
pub struct PlacementQuery<'a> {
    /// Parts of its prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Most tokens of its answer.
    pub output_tokens: u32,
    /// Rank of its route.
    pub priority: u8,
    /// Whether its events may not pause for long.
    pub paced: bool,
    /// The time.
    pub now: Moment,
}

/// What the placement found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementChoice {
    /// Send it to this server.
    Chosen {
        /// Hash of its id.
        hash: u64,
        /// Time of the prompt there, in ms.
        prefill_ms: f64,
        /// Cost of the server, in ms or in busy slots.
        cost: f64,
    },
    /// All servers are busy.
    Busy,
    /// No server may be used.
    Unavailable,
}

/// Returns the key by which a prompt finds its homes.
///
/// It is the last part that other requests share.
pub fn home_key(parts: &[PromptPart]) -> Option<u64> {
    match parts {
        [] => None,
        [only] => Some(only.id),
        [.., shared, _] => Some(shared.id),
    }
}

/// Returns the key by which a prompt with long shared parts finds its home.
pub fn long_home(parts: &[PromptPart]) -> Option<u64> {
    home_key(parts).filter(|_| has_long_shared(parts))
}

/// Returns whether what other requests share takes long to read.
fn has_long_shared(parts: &[PromptPart]) -> bool {
    f64::from(shared_tokens(parts)) / PREFILL_TOKENS_PER_MS >= LONG_SHARED_MS
}

fn home_weight(key: u64, replica: u64) -> u64 {
    use std::hash::Hasher;
    siphasher::sip::SipHasher13::new_with_keys(key, replica).finish()
}

/// Returns the index of the home of a key among the engines that may be used; one
/// that warms up gives its prompts to the next.
fn home(key: u64, replicas: &[ReplicaView<'_>], group: &[bool], paced: bool) -> Option<usize> {
    replicas
        .iter()
        .enumerate()
        .filter(|(index, replica)| replica.usable && group[*index] == paced)
        .filter(|(_, replica)| !replica.warms_up)
        .max_by_key(|(_, replica)| home_weight(key, replica.hash))
        .map(|(index, _)| index)
}

/// Returns which engines are set apart for paced streams.
fn paced_group(replicas: &[ReplicaView<'_>]) -> Vec<bool> {
    let mut usable: Vec<(u64, usize)> = replicas
        .iter()
        .enumerate()
        .filter(|(_, replica)| replica.usable)
        .map(|(index, replica)| (replica.hash, index))
        .collect();
    usable.sort_unstable();
    let streams: u32 = replicas
        .iter()
        .map(|replica| replica.work.paced_streams)
        .sum();
    let most = (usable.len() as f64 * PACED_SHARE) as usize;
    let slots = replicas
        .iter()
        .map(|replica| replica.slots)
        .max()
        .unwrap_or(0);
    let each = ((f64::from(slots) * PACED_SLOT_SHARE) as u32).max(1);
    let count = (streams.div_ceil(each) as usize).min(most);
    let mut group = vec![false; replicas.len()];
    for (_, index) in usable.into_iter().take(count) {
        group[index] = true;
    }
    group
}

/// Chooses a model engine.
///
/// # Examples
///
/// ```
/// use dewedge::policy::placement::{PlacementChoice, PlacementQuery, choose_engine};
/// use std::time::Duration;
///
/// let query = PlacementQuery {
///     parts: &[],
///     prompt_tokens: 100,
///     output_tokens: 10,
///     priority: 0,
///     paced: false,
///     now: Duration::ZERO,
/// };
/// assert_eq!(choose_engine(&query, &[]), PlacementChoice::Unavailable);
/// ```
pub fn choose_engine(query: &PlacementQuery<'_>, replicas: &[ReplicaView<'_>]) -> PlacementChoice {
    let group = paced_group(replicas);
    let choice = choose_in_group(query, replicas, &group, query.paced);
    match choice {
        PlacementChoice::Chosen { .. } => choice,
        // Paced streams may go anywhere; other prompts wait, unless there is no
        // engine but those that are set apart.
        PlacementChoice::Busy if !query.paced => choice,
        _ => choose_in_group(query, replicas, &group, !query.paced),
    }
}

fn choose_in_group(
    query: &PlacementQuery<'_>,
    replicas: &[ReplicaView<'_>],
    group: &[bool],
    paced: bool,
) -> PlacementChoice {
    let home = home_key(query.parts).and_then(|key| home(key, replicas, group, paced));
    let limit = BACKLOG_LIMITS_MS[usize::from(query.priority).min(BACKLOG_LIMITS_MS.len() - 1)];
    let mut best: Option<(f64, usize, f64)> = None;
    let mut any_usable = false;
    for (index, replica) in replicas.iter().enumerate() {
        if !replica.usable || group[index] != paced {
            continue;
        }
        any_usable = true;
        let is_home = home == Some(index);
        if replica.warms_up || !has_room(query, replica, limit, is_home) {
            continue;
        }
        let prefill_ms = prefill_ms(query, replica, is_home);
        let cost = engine_cost(query, replica, prefill_ms);
        if best.is_none_or(|(least, _, _)| cost < least) {
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

fn has_room(
    query: &PlacementQuery<'_>,
    replica: &ReplicaView<'_>,
    limit_ms: f64,
    is_home: bool,
) -> bool {
    let tokens = u64::from(query.prompt_tokens) + u64::from(query.output_tokens);
    let memory = (replica.kv_cache_tokens as f64 * MEMORY_SHARE) as u64;
    let empty = replica.work.requests == 0;
    let fits = empty || replica.work.tokens + tokens <= memory;
    let room = RANK_ROOM * u32::from(LEAST_URGENT.saturating_sub(query.priority));
    let runs = match (query.paced, is_home || !has_long_shared(query.parts)) {
        (true, _) => replica.slots,
        (false, true) => replica.slots.min(PROMPT_RUNS + room),
        (false, false) => AWAY_RUNS,
    };
    fits && replica.work.requests < runs && replica.work.backlog_ms * replica.slowness < limit_ms
}

/// Returns the tokens of a prompt that other requests share.
fn shared_tokens(parts: &[PromptPart]) -> u32 {
    match parts {
        [shared @ .., _] => shared.iter().map(|part| part.tokens).sum(),
        [] => 0,
    }
}

fn prefill_ms(query: &PlacementQuery<'_>, replica: &ReplicaView<'_>, is_home: bool) -> f64 {
    let known = replica.parts.known_tokens(query.parts, query.now);
    let expected = if is_home {
        shared_tokens(query.parts)
    } else {
        0
    };
    let unread = query.prompt_tokens.saturating_sub(known.max(expected));
    f64::from(unread) / PREFILL_TOKENS_PER_MS
}

fn engine_cost(query: &PlacementQuery<'_>, replica: &ReplicaView<'_>, prefill_ms: f64) -> f64 {
    let running = f64::from(replica.work.requests) * RUNNING_COST_MS;
    // Events of a paced stream suffer from prompts that are read beside it.
    let beside = if query.paced {
        replica.work.backlog_ms
    } else {
        0.0
    };
    let waiting = (replica.work.backlog_ms + running + beside) * replica.slowness;
    let reading = prefill_ms * REREAD_WEIGHT * replica.slowness;
    (waiting + reading) * (1.0 + 2.0 * replica.failures)
}

/// Chooses a server of a plain service.
pub fn choose_plain(replicas: &[ReplicaView<'_>], draw: u64) -> PlacementChoice {
    let mut best: Option<(f64, u64, usize)> = None;
    let mut any_usable = false;
    for (index, replica) in replicas.iter().enumerate() {
        if !replica.usable {
            continue;
        }
        any_usable = true;
        if replica.warms_up || replica.work.requests >= replica.slots + PLAIN_QUEUE {
            continue;
        }
        let busy = f64::from(replica.work.requests) / f64::from(replica.slots.max(1));
        let far = if replica.near { 0.0 } else { FAR_COST };
        let cost = busy * replica.slowness + far + 2.0 * replica.failures;
        let tie = replica.hash ^ draw;
        if best.is_none_or(|(least, other, _)| cost < least || (cost == least && tie < other)) {
            best = Some((cost, tie, index));
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
