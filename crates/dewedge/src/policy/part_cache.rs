//! The prompt parts and shared prefixes that are expected in an engine's KV cache.
//!
//! A VM knows the parts that it has sent itself, and, if the servers of the service
//! report their slowness, the long shared prefixes that other VMs have announced
//! ([`prefix_notices`](crate::prefix_notices)). [`placement`](super::placement)
//! computes from both how much of a prompt an engine still has to read.
//!
//! The main invariant: with [`PartLimits`], the memory of all caches of a VM is
//! bounded, however many parts and prefixes it is told of. Without them, and without
//! prefixes, a cache is that of a VM that knows only its own requests.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::format::PromptPart;
use crate::policy::placement::token_sum;

/// Time for which a part is expected to stay in an engine's KV cache.
pub const PART_TTL: Duration = Duration::from_secs(10);

/// Prompt parts that are remembered for each server.
pub const MAX_CACHED_PARTS: usize = 4096;

/// Shared prefixes that are remembered for each server. An engine with a KV cache
/// of 270,440 tokens holds 41 prefixes of 6,500 tokens.
pub const MAX_CACHED_PREFIXES: usize = 128;

/// Prompt parts that a VM remembers for all servers of services that report their
/// slowness. An entry takes 42 bytes (32, and 8/7 of 9 for its index), and a map
/// has room for up to twice its entries: 4.2 MB.
pub const MAX_VM_PARTS: usize = 49_152;

/// Shared prefixes that a VM remembers for all servers. An entry takes 82
/// bytes (72, and 8/7 of 9 for its index), and a map has room for up to twice its
/// entries: 2.0 MB. With the parts this is 6.2 MB, under the 8 MB that a VM with
/// 88 MB has for them.
pub const MAX_VM_PREFIXES: usize = 12_288;

/// Returns the keys and tokens of the prefixes of a prompt that other prompts may
/// share, shortest first. The key of a prefix is the id of its last part.
///
/// # Examples
///
/// ```
/// use dewedge::format::PromptPart;
/// use dewedge::policy::part_cache::shared_prefixes;
///
/// let parts = [(7, 2500), (8, 3800), (9, 2890)].map(|(id, tokens)| PromptPart { id, tokens });
/// let prefixes: Vec<(u64, u32)> = shared_prefixes(&parts).collect();
/// assert_eq!(prefixes, [(7, 2500), (8, 6300)]);
/// ```
pub fn shared_prefixes(parts: &[PromptPart]) -> impl Iterator<Item = (u64, u32)> + '_ {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().scan(0_u32, |tokens, part| {
        *tokens = tokens.saturating_add(part.tokens);
        Some((part.id, *tokens))
    })
}

/// How many entries the cache of one server may have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartLimits {
    /// Prompt parts of this VM's requests.
    pub parts: usize,
    /// Shared prefixes that any VM has used.
    pub prefixes: usize,
}

impl PartLimits {
    /// Returns the share of one of `servers` servers in the entries of a VM.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::part_cache::PartLimits;
    ///
    /// let limits = PartLimits::share(112);
    /// assert_eq!((limits.parts, limits.prefixes), (438, 109));
    /// ```
    pub fn share(servers: usize) -> Self {
        let servers = servers.max(1);
        Self {
            parts: (MAX_VM_PARTS / servers).min(MAX_CACHED_PARTS),
            prefixes: (MAX_VM_PREFIXES / servers).min(MAX_CACHED_PREFIXES),
        }
    }
}

/// How the VMs have used a shared prefix at a server, as far as this VM knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixUse {
    /// Tokens of the shared prefix.
    pub tokens: u32,
    /// The first use since the prefix was last expected to be evicted; the server
    /// holds the prefix only once it has read this prompt.
    pub first: Moment,
    /// The last use.
    pub last: Moment,
    /// The last use that was announced to all VMs.
    pub announced: Option<Moment>,
}

impl PrefixUse {
    /// Returns whether the server may still hold the prefix.
    pub fn is_recent(&self, now: Moment) -> bool {
        now.saturating_sub(self.last) < PART_TTL
    }

    /// Adds a use, in any order of the uses.
    fn add(&mut self, tokens: u32, used: Moment) {
        if used.saturating_sub(self.last) >= PART_TTL {
            *self = Self::new(tokens, used);
        } else if self.first.saturating_sub(used) < PART_TTL {
            self.first = self.first.min(used);
            self.last = self.last.max(used);
            self.tokens = tokens;
        }
        // Otherwise the prefix was expected to be evicted between this use and the
        // first one.
    }

    fn new(tokens: u32, used: Moment) -> Self {
        Self {
            tokens,
            first: used,
            last: used,
            announced: None,
        }
    }
}

/// Prompt parts and shared prefixes expected in a server's KV cache.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    /// Parts of this VM's requests, with the time of their last use.
    parts: IndexMap<u64, Moment>,
    /// Long shared prefixes that any VM has used, by their key.
    prefixes: IndexMap<u64, PrefixUse>,
    limits: Option<PartLimits>,
    /// When this VM learned of the server's last start.
    started: Moment,
}

impl PartCache {
    /// Records that a request with these parts was sent.
    pub fn record_use(&mut self, parts: &[PromptPart], now: Moment) {
        match self.limits {
            None => self.drop_half_if_full(parts.len(), now),
            Some(limits) => {
                let kept = limits.parts.saturating_sub(parts.len());
                if self.parts.len() > kept {
                    // Half, so that the search for the oldest is seldom needed.
                    keep_newest(&mut self.parts, kept / 2, |used| *used);
                }
            }
        }
        let limit = self.limits.map_or(parts.len(), |limits| limits.parts);
        for part in parts.iter().take(limit) {
            self.parts.insert(part.id, now);
        }
    }

    fn drop_half_if_full(&mut self, added: usize, now: Moment) {
        if self.parts.len() + added > MAX_CACHED_PARTS {
            let half = now.saturating_sub(PART_TTL / 2);
            self.parts.retain(|_, used| *used >= half);
        }
    }

    /// Records that a VM sent a request with a long shared prefix at `used`, and
    /// returns whether it counts: not if this VM has learned since that the server
    /// started.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::PromptPart;
    /// use dewedge::policy::part_cache::PartCache;
    /// use std::time::Duration;
    ///
    /// let parts = [PromptPart { id: 7, tokens: 6300 }, PromptPart { id: 8, tokens: 2890 }];
    /// let (used, now) = (Duration::from_secs(9), Duration::from_secs(10));
    /// let mut cache = PartCache::default();
    /// assert!(cache.record_prefix(7, 6300, used));
    /// assert_eq!(cache.cached_tokens(&parts, now), 6300);
    /// assert_eq!(cache.prefix_use(7).unwrap().first, used);
    /// ```
    pub fn record_prefix(&mut self, key: u64, tokens: u32, used: Moment) -> bool {
        if used < self.started {
            return false;
        }
        if let Some(known) = self.prefixes.get_mut(&key) {
            known.add(tokens, used);
            return true;
        }
        let limit = self
            .limits
            .map_or(MAX_CACHED_PREFIXES, |limits| limits.prefixes);
        if limit == 0 {
            return true;
        }
        keep_newest(&mut self.prefixes, limit - 1, |prefix| prefix.last);
        self.prefixes.insert(key, PrefixUse::new(tokens, used));
        true
    }

    /// Records that a use at `used` was announced to all VMs.
    pub fn record_announced(&mut self, key: u64, used: Moment) {
        if let Some(prefix) = self.prefixes.get_mut(&key) {
            prefix.announced = prefix.announced.max(Some(used));
        }
    }

    /// Returns how the VMs have used a shared prefix; `None` if no use is known. The
    /// caller decides by the times whether the server holds it.
    pub fn prefix_use(&self, key: u64) -> Option<PrefixUse> {
        self.prefixes.get(&key).copied()
    }

    /// Returns the leading tokens of a prompt that are expected in the cache, by the
    /// requests of all VMs.
    pub fn cached_tokens(&self, parts: &[PromptPart], now: Moment) -> u32 {
        let own = self.own_cached_tokens(parts, now);
        let known = shared_prefixes(parts).filter(|(key, _)| {
            self.prefixes
                .get(key)
                .is_some_and(|known| known.is_recent(now))
        });
        // The tokens of the prompt count, so that a wrong notice can't make more of it
        // shared than is.
        own.max(known.map(|(_, tokens)| tokens).max().unwrap_or(0))
    }

    /// Returns the leading tokens of a prompt that are expected in the cache, by the
    /// requests of this VM alone.
    ///
    /// A part counts only if all parts before it count.
    pub fn own_cached_tokens(&self, parts: &[PromptPart], now: Moment) -> u32 {
        token_sum(parts.iter().take_while(|part| {
            let used = self.parts.get(&part.id);
            used.is_some_and(|used| now.saturating_sub(*used) < PART_TTL)
        }))
    }

    /// Returns the number of parts and of prefixes.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.parts.len(), self.prefixes.len())
    }

    /// Bounds the entries from now on, because the service's servers report their
    /// slowness.
    pub fn set_limits(&mut self, limits: PartLimits) {
        self.limits = Some(limits);
    }

    /// Removes expired entries, and those above the limits, and frees their memory.
    /// Without limits nothing is removed.
    pub fn evict(&mut self, now: Moment) {
        let Some(limits) = self.limits else {
            return;
        };
        self.parts
            .retain(|_, used| now.saturating_sub(*used) < PART_TTL);
        self.prefixes.retain(|_, prefix| prefix.is_recent(now));
        keep_newest(&mut self.parts, limits.parts, |used| *used);
        keep_newest(&mut self.prefixes, limits.prefixes, |prefix| prefix.last);
        shrink(&mut self.parts);
        shrink(&mut self.prefixes);
    }

    /// Removes all entries, because the server restarted.
    pub fn clear(&mut self) {
        self.parts = IndexMap::new();
        self.prefixes = IndexMap::new();
    }

    /// Removes what is bounded by limits, because the server's entry was removed.
    pub fn clear_limited(&mut self) {
        if self.limits.is_some() {
            self.clear();
        }
    }

    /// Records that the server may have started, of which this VM learns at `now`.
    /// Earlier uses of prefixes are ignored.
    pub fn begin(&mut self, now: Moment) {
        self.started = now;
    }
}

/// Keeps the `count` entries that were used last.
fn keep_newest<V>(entries: &mut IndexMap<u64, V>, count: usize, last_use: impl Fn(&V) -> Moment) {
    let Some(surplus) = entries
        .len()
        .checked_sub(count)
        .filter(|surplus| *surplus > 0)
    else {
        return;
    };
    let mut uses: Vec<Moment> = entries.values().map(&last_use).collect();
    let (_, newest_removed, _) = uses.select_nth_unstable(surplus - 1);
    let newest_removed = *newest_removed;
    let mut left = surplus;
    // Of several entries that were used last at the same time, the first go.
    entries.retain(|_, entry| {
        let is_removed = left > 0 && last_use(entry) < newest_removed;
        left -= usize::from(is_removed);
        !is_removed
    });
    entries.retain(|_, entry| {
        let is_removed = left > 0 && last_use(entry) == newest_removed;
        left -= usize::from(is_removed);
        !is_removed
    });
}

/// Frees memory of a map that has room for over four times its entries.
fn shrink<V>(entries: &mut IndexMap<u64, V>) {
    if entries.capacity() > 4 * entries.len().max(8) {
        entries.shrink_to(entries.len() * 2);
    }
}
