//! Shared prompt prefixes that engines hold, as the VMs announce them.
//!
//! A VM knows only which prompts it sent itself, and each of 75 VMs sends a prompt
//! with a certain prefix to a certain engine rarely. It therefore tells the others
//! when it has sent a long shared prefix to an engine, so that a burst of long
//! prompts doesn't make many engines read the same prefixes again. Only services
//! whose servers report their slowness have such notices.
//!
//! [`fact_notices`](crate::fact_notices) has the queue, the datagrams and the
//! receiver; [`part_cache`](crate::policy::part_cache) keeps what is known.
//!
//! The main invariant: a prefix in use at an engine is announced at most once every
//! [`ANNOUNCE_INTERVAL`] by the VMs that know of each other's notices, and again
//! before it expires.

use std::time::Duration;

use crate::clock::Moment;
use crate::fact_notices::{DatedFact, FactQueue, FactReceiver, NoticeFact, ReceivedFacts};
use crate::policy::part_cache::{PART_TTL, PartCache};

/// Maximum notices that wait to be sent; older ones are dropped first.
pub const MAX_NOTICES: usize = 60;

/// Time after the last announced use of a prefix at an engine from which the next
/// use is announced. It is under a third of [`PART_TTL`], so that a prefix in use
/// stays known although a notice is lost.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(3);

/// A long shared prefix that a VM has sent to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixNotice {
    /// Hash of the server's id.
    pub server: u64,
    /// Key of the prefix: the id of the last part that may be shared.
    pub key: u64,
    /// Tokens of the shared prefix.
    pub tokens: u32,
}

impl NoticeFact for PrefixNotice {
    /// Server and prefix.
    type Key = (u64, u64);

    const MAGIC: [u8; 4] = *b"DWP1";

    /// Server, key, tokens.
    const BYTES: usize = 20;

    const TTL: Duration = PART_TTL;

    const MAX_FACTS: usize = MAX_NOTICES;

    fn key(&self) -> (u64, u64) {
        (self.server, self.key)
    }

    fn write(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&self.server.to_be_bytes());
        bytes.extend_from_slice(&self.key.to_be_bytes());
        bytes.extend_from_slice(&self.tokens.to_be_bytes());
    }

    fn read(bytes: &[u8]) -> Option<Self> {
        Some(Self {
            server: u64::from_be_bytes(bytes[..8].try_into().ok()?),
            key: u64::from_be_bytes(bytes[8..16].try_into().ok()?),
            tokens: u32::from_be_bytes(bytes[16..20].try_into().ok()?),
        })
    }
}

/// The prefixes that this VM has yet to announce.
pub type PrefixQueue = FactQueue<PrefixNotice>;

/// Reads the prefixes that other VMs announce.
pub type PrefixReceiver = FactReceiver<PrefixNotice>;

/// The new prefixes in a datagram.
pub type ReceivedPrefixes = ReceivedFacts<PrefixNotice>;

/// Records in a server's cache that this VM has sent it a prefix, and returns whether
/// this is to be announced.
///
/// # Examples
///
/// ```
/// use dewedge::policy::part_cache::PartCache;
/// use dewedge::prefix_notices::{ANNOUNCE_INTERVAL, PrefixNotice, record_own_prefix};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(9);
/// let notice = PrefixNotice { server: 5, key: 7, tokens: 6300 };
/// let mut cache = PartCache::default();
/// assert!(record_own_prefix(&mut cache, notice, now));
/// assert!(!record_own_prefix(&mut cache, notice, now + ANNOUNCE_INTERVAL / 2));
/// assert!(record_own_prefix(&mut cache, notice, now + ANNOUNCE_INTERVAL));
/// ```
pub fn record_own_prefix(cache: &mut PartCache, notice: PrefixNotice, now: Moment) -> bool {
    let known = cache.prefix_use(notice.key);
    cache.record_prefix(notice.key, notice.tokens, now);
    // Uses that weren't announced don't count: otherwise a VM that uses a prefix all
    // the time would announce it once, and the others would forget it.
    let announced = known.and_then(|prefix| prefix.announced);
    let is_due =
        announced.is_none_or(|announced| now.saturating_sub(announced) >= ANNOUNCE_INTERVAL);
    if is_due {
        cache.record_announced(notice.key, now);
    }
    is_due
}

/// Records a notice of another VM in a server's cache, and returns whether it counts:
/// not if this VM has learned since that the server started.
///
/// # Examples
///
/// ```
/// use dewedge::fact_notices::DatedFact;
/// use dewedge::policy::part_cache::PartCache;
/// use dewedge::prefix_notices::{PrefixNotice, record_notice, record_own_prefix};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(9);
/// let notice = PrefixNotice { server: 5, key: 7, tokens: 6300 };
/// let mut cache = PartCache::default();
/// assert!(record_notice(&mut cache, &DatedFact { fact: notice, sender: 1, heard_at: now }));
/// // The other VMs know the prefix already.
/// assert!(!record_own_prefix(&mut cache, notice, now));
/// ```
pub fn record_notice(cache: &mut PartCache, dated: &DatedFact<PrefixNotice>) -> bool {
    let notice = dated.fact;
    let counts = cache.record_prefix(notice.key, notice.tokens, dated.heard_at);
    if counts {
        cache.record_announced(notice.key, dated.heard_at);
    }
    counts
}
