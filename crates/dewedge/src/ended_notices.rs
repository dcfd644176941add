//! Servers that have certainly ended, as the VMs tell each other.
//!
//! When many servers end at once, each VM would find it out by its own requests,
//! seconds before the store removes their entries. A VM therefore tells the others
//! of each certain sign that it finds, together with its digests.
//! [`ended_servers`](crate::policy::ended_servers) says what is certain and how
//! notices are used. Only services whose servers name their slowness have them.
//!
//! A notice carries its age and a datagram the time of its sender, as those with
//! the load of servers do ([`load_notices`](crate::load_notices)).
//!
//! The main invariants: a VM passes on only what it has found itself, and
//! [`EndedReceiver`] returns each notice at most once.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::policy::ended_servers::{ENDED_HOLD, EndedKind};
use crate::sender_clocks::{SenderClocks, millis};

/// First bytes of a datagram with notices.
pub const ENDED_NOTICE_MAGIC: [u8; 4] = *b"DWE1";

/// Length of the header after the first bytes: sender, time.
const HEAD_BYTES: usize = 16;

/// Length of a notice: server, kind, age.
const NOTICE_BYTES: usize = 11;

/// Maximum bytes of a datagram, so that it fits in a packet.
const MAX_BYTES: usize = 1400;

/// Maximum notices of a datagram; older ones are dropped first.
pub const MAX_NOTICES: usize = (MAX_BYTES - ENDED_NOTICE_MAGIC.len() - HEAD_BYTES) / NOTICE_BYTES;

/// Minimum interval between two log lines about a VM that isn't believed.
const DOUBT_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// A sign that a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndedNotice {
    /// Hash of the server's id.
    pub server: u64,
    /// The sign.
    pub kind: EndedKind,
    /// When a VM found it.
    pub found_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingNotice {
    kind: EndedKind,
    found_at: Moment,
    /// Datagrams that still carry it.
    rounds: usize,
}

/// The signs that this VM has yet to pass on, oldest first.
#[derive(Clone, Debug, Default)]
pub struct EndedQueue {
    pending: IndexMap<u64, PendingNotice>,
}

impl EndedQueue {
    /// Adds a sign that this VM has found; it replaces an earlier one of the
    /// server. Each of the next `rounds` datagrams carries it, so that each VM
    /// receives it once.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::ended_notices::EndedQueue;
    /// use dewedge::policy::ended_servers::EndedKind;
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(9);
    /// let mut queue = EndedQueue::default();
    /// queue.announce(5, EndedKind::Refused, 1, now);
    /// assert!(queue.next_datagram(1, now).is_some());
    /// assert!(queue.next_datagram(1, now).is_none());
    /// ```
    pub fn announce(&mut self, server: u64, kind: EndedKind, rounds: usize, now: Moment) {
        if rounds == 0 {
            return;
        }
        self.pending.shift_remove(&server);
        if self.pending.len() >= MAX_NOTICES {
            self.pending.shift_remove_index(0);
        }
        let notice = PendingNotice {
            kind,
            found_at: now,
            rounds,
        };
        self.pending.insert(server, notice);
    }

    /// Forgets the sign of a server, which is heard again or whose entry has
    /// changed.
    pub fn forget(&mut self, server: u64) {
        self.pending.shift_remove(&server);
    }

    /// Returns whether no datagram is to be sent.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the next datagram of this VM, if there is anything to send.
    pub fn next_datagram(&mut self, vm: u64, now: Moment) -> Option<Vec<u8>> {
        self.pending
            .retain(|_, notice| now.saturating_sub(notice.found_at) < ENDED_HOLD);
        if self.pending.is_empty() {
            return None;
        }
        let length = ENDED_NOTICE_MAGIC.len() + HEAD_BYTES + self.pending.len() * NOTICE_BYTES;
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&ENDED_NOTICE_MAGIC);
        bytes.extend_from_slice(&vm.to_be_bytes());
        bytes.extend_from_slice(&millis(now).to_be_bytes());
        for (server, notice) in &mut self.pending {
            // Whole milliseconds on both sides make the time of the sign the same
            // in each datagram.
            let age = millis(now).saturating_sub(millis(notice.found_at));
            bytes.extend_from_slice(&server.to_be_bytes());
            bytes.push(kind_byte(notice.kind));
            bytes.extend_from_slice(&u16::try_from(age).unwrap_or(u16::MAX).to_be_bytes());
            notice.rounds -= 1;
        }
        self.pending.retain(|_, notice| notice.rounds > 0);
        Some(bytes)
    }
}

fn kind_byte(kind: EndedKind) -> u8 {
    match kind {
        EndedKind::Refused => 1,
        EndedKind::Misdirected => 2,
    }
}

fn kind_of(byte: u8) -> Option<EndedKind> {
    match byte {
        1 => Some(EndedKind::Refused),
        2 => Some(EndedKind::Misdirected),
        _ => None,
    }
}

/// The new signs in a datagram, and how many others it held.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReceivedSigns {
    /// Signs that weren't in an earlier datagram of the sender.
    pub notices: Vec<EndedNotice>,
    /// Notices that were, or that came after a later datagram.
    pub repeated: u64,
    /// Notices that are older than [`ENDED_HOLD`].
    pub late: u64,
}

/// Reads the datagrams of the other VMs.
#[derive(Clone, Debug, Default)]
pub struct EndedReceiver {
    clocks: SenderClocks,
}

impl EndedReceiver {
    /// Reads what follows the first bytes of a datagram; `None` if it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::ended_notices::{ENDED_NOTICE_MAGIC, EndedQueue, EndedReceiver};
    /// use dewedge::policy::ended_servers::EndedKind;
    /// use std::time::Duration;
    ///
    /// let mut queue = EndedQueue::default();
    /// queue.announce(5, EndedKind::Refused, 1, Duration::from_millis(9000));
    /// let datagram = queue.next_datagram(1, Duration::from_millis(9040)).unwrap();
    ///
    /// let rest = datagram.strip_prefix(&ENDED_NOTICE_MAGIC).unwrap();
    /// let now = Duration::from_millis(500);
    /// let received = EndedReceiver::default().receive(rest, now).unwrap();
    /// assert_eq!(received.notices[0].found_at, Duration::from_millis(460));
    /// ```
    pub fn receive(&mut self, bytes: &[u8], now: Moment) -> Option<ReceivedSigns> {
        let (head, entries) = bytes.split_at_checked(HEAD_BYTES)?;
        if !entries.len().is_multiple_of(NOTICE_BYTES) {
            return None;
        }
        let vm = u64::from_be_bytes(head[..8].try_into().ok()?);
        let sent_ms = u64::from_be_bytes(head[8..].try_into().ok()?);
        let entries = entries
            .chunks_exact(NOTICE_BYTES)
            .map(decode_entry)
            .collect::<Option<Vec<_>>>()?;
        let mut received = ReceivedSigns::default();
        let Some((known_until, delay_ms)) = self.clocks.record_datagram(vm, sent_ms, now) else {
            received.repeated = entries.len() as u64;
            return Some(received);
        };
        for (server, kind, age_ms) in entries {
            if known_until.is_some_and(|known| sent_ms.saturating_sub(age_ms) <= known) {
                received.repeated += 1;
                continue;
            }
            let age = Duration::from_millis(age_ms.saturating_add(delay_ms));
            if age >= ENDED_HOLD {
                received.late += 1;
                continue;
            }
            received.notices.push(EndedNotice {
                server,
                kind,
                found_at: now.saturating_sub(age),
            });
        }
        Some(received)
    }
}

fn decode_entry(entry: &[u8]) -> Option<(u64, EndedKind, u64)> {
    let server = u64::from_be_bytes(entry[..8].try_into().ok()?);
    let age = u16::from_be_bytes([entry[9], entry[10]]);
    Some((server, kind_of(entry[8])?, u64::from(age)))
}

/// Whether a notice of another VM is believed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoticeTrust {
    /// It is.
    Believed,
    /// It isn't: the VM reports too many servers, and is probably cut off itself.
    Doubted {
        /// Whether it is to be logged.
        is_logged: bool,
    },
}

/// The servers of a service that a VM has recently reported as ended.
#[derive(Clone, Debug, Default)]
struct ReportedServers {
    believed: IndexMap<u64, Moment>,
    doubt_logged: Option<Moment>,
}

impl ReportedServers {
    fn expire(&mut self, now: Moment) {
        self.believed
            .retain(|_, received| now.saturating_sub(*received) < ENDED_HOLD);
    }

    fn is_doubt_logged(&self, now: Moment) -> bool {
        self.doubt_logged
            .is_some_and(|logged| now.saturating_sub(logged) < DOUBT_LOG_INTERVAL)
    }
}

/// Limits how many servers of a service one VM can report as ended.
#[derive(Clone, Debug, Default)]
pub struct ReporterLimits {
    reporters: IndexMap<(SocketAddr, String), ReportedServers>,
}

impl ReporterLimits {
    /// Decides whether a VM is believed that a server has ended. Within
    /// [`ENDED_HOLD`], it is for half of the `listed` servers of the service.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::ended_notices::{NoticeTrust, ReporterLimits};
    /// use std::time::Duration;
    ///
    /// let mut limits = ReporterLimits::default();
    /// let vm = "127.0.0.1:80".parse().unwrap();
    /// let now = Duration::from_secs(9);
    /// let mut judge = |server| limits.judge(vm, "draft", server, 3, now);
    /// assert_eq!(judge(1), NoticeTrust::Believed);
    /// assert_eq!(judge(2), NoticeTrust::Doubted { is_logged: true });
    /// ```
    pub fn judge(
        &mut self,
        vm: SocketAddr,
        service: &str,
        server: u64,
        listed: usize,
        now: Moment,
    ) -> NoticeTrust {
        let key = (vm, service.to_string());
        let reported = self.reporters.entry(key).or_default();
        reported.expire(now);
        let known = reported.believed.contains_key(&server);
        if known || (reported.believed.len() + 1) * 2 <= listed {
            reported.believed.insert(server, now);
            return NoticeTrust::Believed;
        }
        let is_logged = !reported.is_doubt_logged(now);
        if is_logged {
            reported.doubt_logged = Some(now);
        }
        NoticeTrust::Doubted { is_logged }
    }

    /// Forgets VMs that have reported nothing lately.
    pub fn expire(&mut self, now: Moment) {
        self.reporters.retain(|_, reported| {
            reported.expire(now);
            !reported.believed.is_empty() || reported.is_doubt_logged(now)
        });
    }
}
