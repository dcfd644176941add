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
use crate::fact_notices::{FactQueue, FactReceiver, NoticeFact, ReceivedFacts};
use crate::policy::part_cache::{PART_TTL, PrefixUse};

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

/// Returns whether a use of a prefix at an engine is to be announced, given the
/// uses that this VM knows of.
///
/// Uses that weren't announced don't count: otherwise a VM that uses a prefix all
/// the time would announce it once, and the others would forget it.
///
/// # Examples
///
/// ```
/// use dewedge::policy::part_cache::PartCache;
/// use dewedge::prefix_notices::{ANNOUNCE_INTERVAL, is_announcement_due};
/// use std::time::Duration;
///
/// let now = Duration::from_secs(9);
/// let mut cache = PartCache::default();
/// assert!(is_announcement_due(cache.prefix_use(7), now));
/// cache.record_prefix(7, 6300, now);
/// cache.record_announced(7, now);
/// assert!(!is_announcement_due(cache.prefix_use(7), now));
/// assert!(is_announcement_due(cache.prefix_use(7), now + ANNOUNCE_INTERVAL));
/// ```
pub fn is_announcement_due(known: Option<PrefixUse>, now: Moment) -> bool {
    let announced = known.and_then(|prefix| prefix.announced);
    announced.is_none_or(|announced| now.saturating_sub(announced) >= ANNOUNCE_INTERVAL)
}
