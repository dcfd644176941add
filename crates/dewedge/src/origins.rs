//! Software versions at which recent streams began.
//!
//! Servers of several versions may serve side by side, and what two versions
//! write doesn't fit together, so a stream goes on only at the version that
//! began it, of the service that began it. A caller may take a stream up through
//! another VM. The VMs therefore announce each new stream in their digests, and a
//! VM that doesn't know a stream, because it has restarted for example, asks the
//! others.
//!
//! The main invariant: the origin of a stream doesn't change while it is known,
//! and is known for as long as the stream can be taken up after it last went on.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::directory::stable_hash;

/// Hash of the attempt that began a stream, the same on all VMs.
pub type StreamKey = u64;

/// Hash of a service and a version of its servers' software, the same on all VMs.
pub type VersionId = u32;

/// Maximum number of known streams; the oldest are forgotten first.
const MAX_ORIGINS: usize = 65_536;

/// Returns the key of the stream that an attempt began.
pub fn stream_key(attempt: &str) -> StreamKey {
    stable_hash(attempt.as_bytes())
}

/// Returns the id of a version of a service's software.
pub fn version_id(service: &str, version: &str) -> VersionId {
    stable_hash(format!("{service}\0{version}").as_bytes()) as VersionId
}

/// A stream and the version at which it began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamOrigin {
    /// Key of the stream.
    pub stream: StreamKey,
    /// Version at which it began.
    pub version: VersionId,
}

/// Length of an encoded origin: stream, version.
pub(crate) const ORIGIN_BYTES: usize = 12;

/// Encodes origins for datagrams and for the store.
///
/// # Examples
///
/// ```
/// use dewedge::origins::{StreamOrigin, decode_origins, encode_origins};
///
/// let origins = [StreamOrigin { stream: 7, version: 1 }];
/// assert_eq!(decode_origins(&encode_origins(&origins)).unwrap(), origins);
/// ```
pub fn encode_origins(origins: &[StreamOrigin]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(origins.len() * ORIGIN_BYTES);
    for origin in origins {
        bytes.extend_from_slice(&origin.stream.to_be_bytes());
        bytes.extend_from_slice(&origin.version.to_be_bytes());
    }
    bytes
}

/// Decodes origins; `None` if the bytes aren't whole origins.
pub fn decode_origins(bytes: &[u8]) -> Option<Vec<StreamOrigin>> {
    if !bytes.len().is_multiple_of(ORIGIN_BYTES) {
        return None;
    }
    bytes
        .chunks_exact(ORIGIN_BYTES)
        .map(|entry| {
            Some(StreamOrigin {
                stream: u64::from_be_bytes(entry[..8].try_into().ok()?),
                version: u32::from_be_bytes(entry[8..].try_into().ok()?),
            })
        })
        .collect()
}

/// An origin to announce to the other VMs.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    origin: StreamOrigin,
    rounds_left: usize,
}

/// What is known of a stream.
#[derive(Clone, Copy, Debug)]
struct KnownOrigin {
    version: VersionId,
    /// When it was last announced.
    announced: Moment,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    streams: IndexMap<StreamKey, KnownOrigin>,
    /// Known streams and when each was announced, the oldest first; it may have
    /// been announced again since.
    learned: VecDeque<(Moment, StreamKey)>,
    announcements: VecDeque<Announcement>,
}

impl OriginTable {
    /// Records the origin of a stream, which has begun or gone on; returns whether
    /// the stream is new.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::origins::{OriginTable, StreamOrigin, stream_key, version_id};
    /// use std::time::Duration;
    ///
    /// let mut table = OriginTable::default();
    /// let stream = stream_key("attempt-1");
    /// let origin = StreamOrigin { stream, version: version_id("draft", "v1") };
    /// assert!(table.learn(origin, Duration::from_secs(5)));
    /// assert_eq!(table.version_of(stream), Some(version_id("draft", "v1")));
    /// ```
    pub fn learn(&mut self, origin: StreamOrigin, now: Moment) -> bool {
        if let Some(known) = self.streams.get_mut(&origin.stream) {
            known.announced = now;
            return false;
        }
        if self.learned.len() >= MAX_ORIGINS {
            self.forget_oldest();
        }
        let known = KnownOrigin {
            version: origin.version,
            announced: now,
        };
        self.streams.insert(origin.stream, known);
        self.learned.push_back((now, origin.stream));
        true
    }

    /// Records the origin of a stream of this VM, which is announced in the next
    /// `rounds` digests.
    pub fn record(&mut self, origin: StreamOrigin, rounds: usize, now: Moment) {
        self.learn(origin, now);
        self.announcements.push_back(Announcement {
            origin,
            rounds_left: rounds,
        });
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn version_of(&self, stream: StreamKey) -> Option<VersionId> {
        Some(self.streams.get(&stream)?.version)
    }

    /// Returns the origins to announce in the next digest, at most `most`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::origins::{OriginTable, StreamOrigin};
    /// use std::time::Duration;
    ///
    /// let mut table = OriginTable::default();
    /// table.record(StreamOrigin { stream: 7, version: 1 }, 2, Duration::ZERO);
    /// assert_eq!(table.next_announcements(8).len(), 1);
    /// assert_eq!(table.next_announcements(8).len(), 1);
    /// assert!(!table.has_announcements());
    /// ```
    pub fn next_announcements(&mut self, most: usize) -> Vec<StreamOrigin> {
        let count = self.announcements.len().min(most);
        let mut origins = Vec::with_capacity(count);
        for mut announcement in self.announcements.drain(..count).collect::<Vec<_>>() {
            origins.push(announcement.origin);
            announcement.rounds_left = announcement.rounds_left.saturating_sub(1);
            if announcement.rounds_left > 0 {
                self.announcements.push_back(announcement);
            }
        }
        origins
    }

    /// Returns whether origins are left to announce.
    pub fn has_announcements(&self) -> bool {
        !self.announcements.is_empty()
    }

    /// Forgets the streams that were last announced longer than `ttl` ago.
    pub fn expire(&mut self, ttl: Duration, now: Moment) {
        while let Some((learned, stream)) = self.learned.front().copied()
            && now.saturating_sub(learned) > ttl
        {
            let known = self.streams.get(&stream);
            match known.filter(|known| now.saturating_sub(known.announced) <= ttl) {
                Some(known) => {
                    self.learned.pop_front();
                    self.learned.push_back((known.announced, stream));
                }
                None => self.forget_oldest(),
            }
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.learned.pop_front() {
            self.streams.swap_remove(&stream);
        }
    }
}
