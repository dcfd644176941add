//! Digests of server load, which the VMs exchange.
//!
//! Each VM reports its own load on each server to the other VMs in one
//! datagram. A digest is complete, so that a lost one is replaced by the next.
//!
//! A digest also announces the streams that its VM has begun, and their software
//! versions. A VM asks the others for a stream that it doesn't know.
//!
//! The main invariants: only datagrams from known VMs count, and the load that a
//! VM reports counts only while it is recent.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::crash_notices::{CRASH_MAGIC, CrashNotice, decode_notices as decode_crash_notices};
use crate::directory::{ReplicaDirectory, stable_hash};
use crate::ended_notices::{EndedNotice, EndedReceiver, ReceivedSigns};
use crate::fact_notices::NoticeFact;
use crate::limit_notices::{LIMIT_MAGIC, LimitNotice, decode_notices};
use crate::load_notices::{LoadNotice, NoticeReceiver, ReceivedNotices};
use crate::origin_log::BatchNumber;
use crate::origins::{ORIGIN_BYTES, StreamKey, StreamOrigin, decode_origins, encode_origins};
use crate::policy::placement::ServerLoad;
use crate::policy::rate_limit::FleetPlace;
use crate::prefix_notices::{PrefixNotice, PrefixReceiver, ReceivedPrefixes};

/// First bytes of a digest; the last one is the format version.
const MAGIC: [u8; 4] = *b"DWD2";

/// First bytes of a digest without origins, as earlier builds send it.
const LOAD_MAGIC: [u8; 4] = *b"DWD1";

/// First bytes of a question for the origin of a stream.
const QUERY_MAGIC: [u8; 4] = *b"DWQ1";

/// First bytes of the answer to such a question.
const ORIGIN_MAGIC: [u8; 4] = *b"DWO1";

/// First bytes of origins that the receiver is to write to the store.
const RECORD_MAGIC: [u8; 4] = *b"DWB1";

/// First bytes of the acknowledgement that the store has accepted them.
const RECORDED_MAGIC: [u8; 4] = *b"DWA1";

/// Length of the header: magic, sender, time.
const HEAD_BYTES: usize = 20;

/// Length of an entry: server, requests, backlog, tokens, gap-sensitive
/// streams.
const ENTRY_BYTES: usize = 18;

/// Length of the number of entries before the origins.
const COUNT_BYTES: usize = 2;

/// Maximum bytes of a digest, so that it fits in a packet.
const MAX_BYTES: usize = 1400;

/// Maximum origins of a digest.
pub(crate) const MAX_ORIGINS: usize = 32;

/// Age at which a digest expires; several lost digests are tolerated.
pub(crate) const DIGEST_TTL: Duration = Duration::from_millis(900);

/// Time for which a VM still counts after its entry was removed. A VM whose entry
/// was lost in an outage of the store, while it runs, has written it again by
/// then.
const DEPARTED_HOLD: Duration = Duration::from_secs(30);

/// Maximum number of VMs whose digests are kept.
const MAX_SENDERS: usize = 1024;

/// A datagram from another VM.
#[derive(Clone, Debug)]
pub(crate) enum PeerMessage {
    /// It can't be read.
    Malformed,
    /// This VM sent it.
    Own,
    /// A digest, or origins alone.
    Digest {
        /// Whether the load is newer than what was known.
        is_new: bool,
        /// Streams and the versions at which they began.
        origins: Vec<StreamOrigin>,
    },
    /// Limits that servers have named.
    Limits(Vec<LimitNotice>),
    /// Reports of servers about their load; `None` if they can't be read.
    Reports(Option<ReceivedNotices>),
    /// Servers that have ended; `None` if they can't be read.
    Ended(Option<ReceivedSigns>),
    /// Shared prefixes at engines; `None` if they can't be read.
    Prefixes(Option<ReceivedPrefixes>),
    /// What another VM knows of crashes.
    Crashes(Vec<CrashNotice>),
    /// A question for the origin of a stream.
    OriginQuery(StreamKey),
    /// Origins that this VM is to write to the store.
    OriginBatch {
        /// Number of the batch at its sender.
        number: BatchNumber,
        /// The origins.
        origins: Vec<StreamOrigin>,
    },
    /// The store has accepted the batch of this VM with this number.
    OriginsRecorded(BatchNumber),
}

/// Last digest of another VM.
#[derive(Clone, Debug, Default)]
struct PeerDigest {
    received: Moment,
    sent_ms: u64,
    load: Vec<(u64, ServerLoad)>,
}

/// The other VMs and their digests.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    own_hash: u64,
    addresses: IndexMap<String, SocketAddr>,
    /// Whether a VM was added or removed since the names were last taken.
    names_changed: bool,
    /// When the last digest arrived.
    digest_received: Option<Moment>,
    /// VMs whose entries were removed: their addresses, and when.
    departed: IndexMap<String, (SocketAddr, Moment)>,
    digests: IndexMap<u64, PeerDigest>,
    load_notices: NoticeReceiver,
    ended_notices: EndedReceiver,
    prefix_notices: PrefixReceiver,
    next_target: usize,
    next_query_target: usize,
}

impl PeerTable {
    pub(crate) fn new(vm: &str) -> Self {
        Self {
            own_hash: stable_hash(vm.as_bytes()),
            ..Self::default()
        }
    }

    /// Sets the address of a VM.
    pub(crate) fn set_address(&mut self, vm: String, address: SocketAddr) {
        if stable_hash(vm.as_bytes()) != self.own_hash {
            self.departed.swap_remove(&vm);
            self.names_changed |= self.addresses.insert(vm, address).is_none();
        }
    }

    /// Removes a VM, which still counts for a while.
    pub(crate) fn remove(&mut self, vm: &str, now: Moment) {
        if let Some(address) = self.addresses.swap_remove(vm) {
            self.names_changed = true;
            self.departed.insert(vm.to_string(), (address, now));
        }
    }

    /// Returns whether VMs were added or removed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.names_changed)
    }

    /// Returns the names of the other VMs.
    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.addresses.keys().map(String::as_str)
    }

    /// Returns the address of a VM.
    pub(crate) fn address_of(&self, vm: &str) -> Option<SocketAddr> {
        self.addresses.get(vm).copied()
    }

    /// Returns the time since the last digest of another VM, if there are any VMs.
    pub(crate) fn digest_age(&self, now: Moment) -> Option<Duration> {
        if self.addresses.is_empty() {
            return None;
        }
        let received = self.digest_received.unwrap_or_default();
        Some(now.saturating_sub(received))
    }

    /// Returns whether a datagram from this address comes from a known VM.
    pub(crate) fn is_known(&self, sender: SocketAddr) -> bool {
        let departed = self.departed.values().map(|(address, _)| address);
        let mut known = self.addresses.values().chain(departed);
        known.any(|address| *address == sender)
    }

    /// Forgets VMs that were removed long ago.
    pub(crate) fn expire_departed(&mut self, now: Moment) {
        self.departed
            .retain(|_, (_, removed)| now.saturating_sub(*removed) < DEPARTED_HOLD);
    }

    /// Returns the number of VMs that may be running, including this one; each
    /// takes an equal share of what the fleet may use.
    pub(crate) fn vm_count(&self) -> usize {
        self.addresses.len() + self.departed.len() + 1
    }

    /// Returns how many VMs start to use a server before this one. The order
    /// differs between servers and is the same on all VMs.
    pub(crate) fn rank_for(&self, replica: u64) -> u32 {
        let order_hash = |vm: u64| stable_hash(&(vm ^ replica).to_be_bytes());
        let own_hash = order_hash(self.own_hash);
        let before = self
            .addresses
            .keys()
            .chain(self.departed.keys())
            .filter(|vm| order_hash(stable_hash(vm.as_bytes())) < own_hash);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Returns this VM's place among the VMs that send to a server.
    pub(crate) fn place_for(&self, replica: u64) -> FleetPlace {
        FleetPlace {
            vms: self.vm_count(),
            rank: self.rank_for(replica),
        }
    }

    /// Returns the addresses that receive the next digest, at most `most`.
    pub(crate) fn next_targets(&mut self, most: usize) -> Vec<SocketAddr> {
        let targets = self.targets_from(self.next_target, most);
        self.next_target = self.next_target.wrapping_add(targets.len());
        targets
    }

    /// Returns the hash of this VM's name.
    pub(crate) fn own_hash(&self) -> u64 {
        self.own_hash
    }

    /// Returns in how many turns of `most` VMs each of the other VMs has its turn.
    pub(crate) fn rounds(&self, most: usize) -> usize {
        self.addresses.len().div_ceil(most)
    }

    /// Returns the addresses that receive the next question, at most `most`, the
    /// first recorder of origins among them.
    pub(crate) fn query_targets(&mut self, most: usize) -> Vec<SocketAddr> {
        let mut targets = self.targets_from(self.next_query_target, most);
        self.next_query_target = self.next_query_target.wrapping_add(targets.len());
        let recorder = self.recorder_at(0);
        targets.extend(recorder.filter(|address| !targets.contains(address)));
        targets
    }

    /// Returns how many VMs a question reaches that goes to at most `most`.
    pub(crate) fn query_size(&self, most: usize) -> usize {
        self.addresses.len().min(most)
    }

    /// Returns the VM at a place in the order in which the VMs record origins;
    /// `None` is this VM.
    pub(crate) fn recorder_at(&self, place: usize) -> Option<SocketAddr> {
        let others = self.addresses.iter();
        let mut order: Vec<_> = others
            .map(|(vm, address)| (stable_hash(vm.as_bytes()), Some(*address)))
            .chain([(self.own_hash, None)])
            .collect();
        order.sort_unstable_by_key(|(hash, _)| *hash);
        order[place % order.len()].1
    }

    fn targets_from(&self, start: usize, most: usize) -> Vec<SocketAddr> {
        let count = self.addresses.len();
        (0..count.min(most))
            .filter_map(|offset| {
                let at = start.wrapping_add(offset) % count;
                self.addresses.get_index(at).map(|(_, address)| *address)
            })
            .collect()
    }

    /// Encodes a question for the origin of a stream.
    pub(crate) fn encode_query(&self, stream: StreamKey) -> Vec<u8> {
        [&QUERY_MAGIC[..], &stream.to_be_bytes()].concat()
    }

    /// Encodes the origin of a stream.
    pub(crate) fn encode_origin(&self, origin: StreamOrigin) -> Vec<u8> {
        [&ORIGIN_MAGIC[..], &encode_origins(&[origin])].concat()
    }

    /// Encodes origins that the receiver is to write to the store.
    pub(crate) fn encode_batch(&self, number: BatchNumber, origins: &[StreamOrigin]) -> Vec<u8> {
        let head = [RECORD_MAGIC, number.to_be_bytes()].concat();
        [head, encode_origins(origins)].concat()
    }

    /// Encodes the acknowledgement of a batch.
    pub(crate) fn encode_recorded(&self, number: BatchNumber) -> Vec<u8> {
        [RECORDED_MAGIC, number.to_be_bytes()].concat()
    }

    /// Encodes the digest of this VM's load and the origins of new streams.
    pub(crate) fn encode(
        &self,
        directory: &ReplicaDirectory,
        origins: &[StreamOrigin],
        now: Moment,
    ) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_BYTES + 16 * ENTRY_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.own_hash.to_be_bytes());
        bytes.extend_from_slice(&millis(now).to_be_bytes());
        let left = MAX_BYTES - HEAD_BYTES - COUNT_BYTES - origins.len() * ORIGIN_BYTES;
        let busy: Vec<_> = directory
            .iter()
            .filter(|replica| replica.own_load.requests > 0)
            .take(left / ENTRY_BYTES)
            .collect();
        bytes.extend_from_slice(&saturating_u16(busy.len() as f64).to_be_bytes());
        for replica in busy {
            let load = &replica.own_load;
            bytes.extend_from_slice(&replica.hash.to_be_bytes());
            bytes.extend_from_slice(&saturating_u16(f64::from(load.requests)).to_be_bytes());
            bytes.extend_from_slice(&saturating_u16(load.backlog_ms).to_be_bytes());
            let tokens = u32::try_from(load.tokens).unwrap_or(u32::MAX);
            bytes.extend_from_slice(&tokens.to_be_bytes());
            bytes.extend_from_slice(
                &saturating_u16(f64::from(load.gap_sensitive_streams)).to_be_bytes(),
            );
        }
        bytes.extend(encode_origins(origins));
        bytes
    }

    /// Reads a datagram and records the load in it.
    pub(crate) fn receive(&mut self, bytes: &[u8], now: Moment) -> PeerMessage {
        if let Some(stream) = bytes.strip_prefix(&QUERY_MAGIC) {
            return match stream.try_into() {
                Ok(stream) => PeerMessage::OriginQuery(u64::from_be_bytes(stream)),
                Err(_) => PeerMessage::Malformed,
            };
        }
        if let Some(origins) = bytes.strip_prefix(&ORIGIN_MAGIC) {
            return match decode_origins(origins) {
                Some(origins) => PeerMessage::Digest {
                    is_new: false,
                    origins,
                },
                None => PeerMessage::Malformed,
            };
        }
        if let Some(batch) = bytes.strip_prefix(&RECORD_MAGIC) {
            return decode_batch(batch).unwrap_or(PeerMessage::Malformed);
        }
        if let Some(number) = bytes.strip_prefix(&RECORDED_MAGIC) {
            return match number.try_into() {
                Ok(number) => PeerMessage::OriginsRecorded(u32::from_be_bytes(number)),
                Err(_) => PeerMessage::Malformed,
            };
        }
        if let Some(notices) = bytes.strip_prefix(&LIMIT_MAGIC) {
            return match decode_notices(notices, now) {
                Some(notices) => PeerMessage::Limits(notices),
                None => PeerMessage::Malformed,
            };
        }
        if let Some(notices) = bytes.strip_prefix(&LoadNotice::MAGIC) {
            return PeerMessage::Reports(self.load_notices.receive(notices, now));
        }
        if let Some(notices) = bytes.strip_prefix(&EndedNotice::MAGIC) {
            return PeerMessage::Ended(self.ended_notices.receive(notices, now));
        }
        if let Some(notices) = bytes.strip_prefix(&PrefixNotice::MAGIC) {
            return PeerMessage::Prefixes(self.prefix_notices.receive(notices, now));
        }
        if let Some(notices) = bytes.strip_prefix(&CRASH_MAGIC) {
            return match decode_crash_notices(notices, now) {
                Some(notices) => PeerMessage::Crashes(notices),
                None => PeerMessage::Malformed,
            };
        }
        let Some((sender, digest, origins)) = decode(bytes, now) else {
            return PeerMessage::Malformed;
        };
        if sender == self.own_hash {
            return PeerMessage::Own;
        }
        let is_new = self.record(sender, digest, now);
        PeerMessage::Digest { is_new, origins }
    }

    /// Records the load of another VM; returns whether it is new.
    fn record(&mut self, sender: u64, digest: PeerDigest, now: Moment) -> bool {
        self.digest_received = Some(now);
        let known = self.digests.get(&sender);
        let stale = known.is_some_and(|known| {
            known.sent_ms >= digest.sent_ms && now.saturating_sub(known.received) < DIGEST_TTL
        });
        if stale || self.digests.len() >= MAX_SENDERS && !self.digests.contains_key(&sender) {
            return false;
        }
        self.digests.insert(sender, digest);
        true
    }

    /// Sums the recent digests into the state of the servers.
    pub(crate) fn apply_digests(&mut self, directory: &mut ReplicaDirectory, now: Moment) {
        self.digests
            .retain(|_, digest| now.saturating_sub(digest.received) < DIGEST_TTL);
        for replica in directory.iter_mut() {
            replica.peer_load = ServerLoad::default();
        }
        for digest in self.digests.values() {
            for (hash, load) in &digest.load {
                if let Some(index) = directory.by_hash(*hash) {
                    directory.get_mut(index).peer_load.add(load);
                }
            }
        }
    }
}

fn millis(time: Moment) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn saturating_u16(value: f64) -> u16 {
    value.clamp(0.0, f64::from(u16::MAX)) as u16
}

fn decode_batch(bytes: &[u8]) -> Option<PeerMessage> {
    let (number, origins) = bytes.split_first_chunk()?;
    Some(PeerMessage::OriginBatch {
        number: u32::from_be_bytes(*number),
        origins: decode_origins(origins)?,
    })
}

fn decode(bytes: &[u8], now: Moment) -> Option<(u64, PeerDigest, Vec<StreamOrigin>)> {
    let (head, rest) = bytes.split_at_checked(HEAD_BYTES)?;
    let (magic, head) = head.split_at_checked(MAGIC.len())?;
    let sender = u64::from_be_bytes(head[..8].try_into().ok()?);
    let sent_ms = u64::from_be_bytes(head[8..].try_into().ok()?);
    let (entries, origins) = if magic == LOAD_MAGIC {
        (rest, &[][..])
    } else if magic == MAGIC {
        let (count, rest) = rest.split_at_checked(COUNT_BYTES)?;
        let count = u16::from_be_bytes(count.try_into().ok()?);
        rest.split_at_checked(usize::from(count) * ENTRY_BYTES)?
    } else {
        return None;
    };
    let origins = decode_origins(origins)?;
    if !entries.len().is_multiple_of(ENTRY_BYTES) {
        return None;
    }
    let load = entries
        .chunks_exact(ENTRY_BYTES)
        .map(decode_entry)
        .collect::<Option<Vec<_>>>()?;
    let digest = PeerDigest {
        received: now,
        sent_ms,
        load,
    };
    Some((sender, digest, origins))
}

fn decode_entry(entry: &[u8]) -> Option<(u64, ServerLoad)> {
    let hash = u64::from_be_bytes(entry[..8].try_into().ok()?);
    let number = |at: usize| u16::from_be_bytes([entry[at], entry[at + 1]]);
    let tokens = u32::from_be_bytes(entry[12..16].try_into().ok()?);
    let load = ServerLoad {
        requests: u32::from(number(8)),
        backlog_ms: f64::from(number(10)),
        tokens: u64::from(tokens),
        gap_sensitive_streams: u32::from(number(16)),
    };
    Some((hash, load))
}
