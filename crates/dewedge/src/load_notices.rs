//! The reports of servers about their load, as the VMs tell them to each other.
//!
//! A VM gets a report only with its own responses, which in a large fleet is
//! every few seconds for each server. It therefore passes the newest one of each
//! server on to all other VMs, together with its digests. Only reports that name
//! the slowness of the machine are passed on; other services cost nothing.
//!
//! The clocks of the VMs differ. A notice therefore carries its age, and a
//! datagram the time of its sender, which is only compared with the times of the
//! same sender. A datagram that took longer than the fastest recent one of its
//! sender makes its notices older by the difference.
//!
//! [`load_reports`](crate::policy::load_reports) says how notices are counted.
//! The main invariant: [`NoticeReceiver`] returns each report at most once. A
//! datagram holds all notices that its sender still has to send, so what is not
//! newer than an earlier datagram of the same sender was in that one. (A report
//! that a VM receives within the same ms, after the datagram, is ignored as well.)

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::format::LoadReport;
use crate::sender_clocks::{SenderClocks, millis};

/// First bytes of a datagram with load notices.
pub const LOAD_NOTICE_MAGIC: [u8; 4] = *b"DWR1";

/// Length of the header after the first bytes: sender, time.
const HEAD_BYTES: usize = 16;

/// Length of a notice: server, running, waiting, slots, slowness, age.
const NOTICE_BYTES: usize = 18;

/// Maximum bytes of a datagram, so that it fits in a packet.
const MAX_BYTES: usize = 1400;

/// Maximum notices of a datagram; older ones are dropped first.
pub const MAX_NOTICES: usize = (MAX_BYTES - LOAD_NOTICE_MAGIC.len() - HEAD_BYTES) / NOTICE_BYTES;

/// Age from which a report is neither sent nor used; its counts have expired by
/// then.
pub const NOTICE_TTL: Duration = Duration::from_millis(2000);

/// Steps of slowness in a notice.
const SLOWNESS_STEPS: f64 = 100.0;

/// A report of a server that a VM has received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadNotice {
    /// Hash of the server's id.
    pub server: u64,
    /// What the server reported; it names the slowness.
    pub report: LoadReport,
    /// When a VM received the report from the server.
    pub heard_at: Moment,
}

/// A notice that some VMs haven't been sent yet.
#[derive(Clone, Copy, Debug)]
struct PendingNotice {
    report: LoadReport,
    heard_at: Moment,
    /// Datagrams that still carry it.
    rounds: usize,
}

/// The reports that this VM has yet to pass on, oldest first.
#[derive(Clone, Debug, Default)]
pub struct NoticeQueue {
    pending: IndexMap<u64, PendingNotice>,
}

impl NoticeQueue {
    /// Adds a report that a server has sent to this VM; it replaces an earlier one
    /// of the server. Each of the next `rounds` datagrams carries it, so that each
    /// VM receives it once.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::LoadReport;
    /// use dewedge::load_notices::NoticeQueue;
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(9);
    /// let report = LoadReport { running: 6, waiting: 1, slots: 6, slowness: Some(1.2) };
    /// let mut queue = NoticeQueue::default();
    /// queue.announce(5, report, 2, now);
    /// assert!(queue.next_datagram(1, now).is_some());
    /// assert!(queue.next_datagram(1, now).is_some());
    /// assert!(queue.next_datagram(1, now).is_none());
    /// ```
    pub fn announce(&mut self, server: u64, report: LoadReport, rounds: usize, now: Moment) {
        if report.slowness.is_none() || rounds == 0 {
            return;
        }
        self.pending.shift_remove(&server);
        if self.pending.len() >= MAX_NOTICES {
            self.pending.shift_remove_index(0);
        }
        let notice = PendingNotice {
            report,
            heard_at: now,
            rounds,
        };
        self.pending.insert(server, notice);
    }

    /// Forgets the report of a server, which has restarted or is gone.
    pub fn forget(&mut self, server: u64) {
        self.pending.shift_remove(&server);
    }

    /// Returns whether a datagram is to be sent.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the next datagram of this VM, if there is anything to send.
    pub fn next_datagram(&mut self, vm: u64, now: Moment) -> Option<Vec<u8>> {
        self.pending
            .retain(|_, notice| now.saturating_sub(notice.heard_at) < NOTICE_TTL);
        if self.pending.is_empty() {
            return None;
        }
        let length = LOAD_NOTICE_MAGIC.len() + HEAD_BYTES + self.pending.len() * NOTICE_BYTES;
        let mut bytes = Vec::with_capacity(length);
        bytes.extend_from_slice(&LOAD_NOTICE_MAGIC);
        bytes.extend_from_slice(&vm.to_be_bytes());
        bytes.extend_from_slice(&millis(now).to_be_bytes());
        for (server, notice) in &self.pending {
            push_notice(&mut bytes, *server, notice, now);
        }
        self.pending.retain(|_, notice| {
            notice.rounds -= 1;
            notice.rounds > 0
        });
        Some(bytes)
    }
}

fn push_notice(bytes: &mut Vec<u8>, server: u64, notice: &PendingNotice, now: Moment) {
    let report = notice.report;
    let slowness = report.slowness.unwrap_or(1.0) * SLOWNESS_STEPS;
    // Whole milliseconds on both sides make the time of the report the same in
    // each datagram.
    let age = millis(now).saturating_sub(millis(notice.heard_at));
    bytes.extend_from_slice(&server.to_be_bytes());
    bytes.extend_from_slice(&saturating_u16(u64::from(report.running)).to_be_bytes());
    bytes.extend_from_slice(&saturating_u16(u64::from(report.waiting)).to_be_bytes());
    bytes.extend_from_slice(&saturating_u16(u64::from(report.slots)).to_be_bytes());
    bytes.extend_from_slice(&saturating_u16(slowness.round() as u64).to_be_bytes());
    bytes.extend_from_slice(&saturating_u16(age).to_be_bytes());
}

fn saturating_u16(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

/// The new reports in a datagram, and how many others it held.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReceivedNotices {
    /// Reports that weren't in an earlier datagram of the sender.
    pub notices: Vec<LoadNotice>,
    /// Notices that were, or that came after a later datagram.
    pub repeated: u64,
    /// Notices that are older than [`NOTICE_TTL`].
    pub late: u64,
}

/// Reads the datagrams of the other VMs.
#[derive(Clone, Debug, Default)]
pub struct NoticeReceiver {
    clocks: SenderClocks,
}

impl NoticeReceiver {
    /// Reads what follows the first bytes of a datagram; `None` if it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::format::LoadReport;
    /// use dewedge::load_notices::{LOAD_NOTICE_MAGIC, NoticeQueue, NoticeReceiver};
    /// use std::time::Duration;
    ///
    /// let report = LoadReport { running: 6, waiting: 1, slots: 6, slowness: Some(1.2) };
    /// let mut queue = NoticeQueue::default();
    /// queue.announce(5, report, 1, Duration::from_millis(9000));
    /// let datagram = queue.next_datagram(1, Duration::from_millis(9040)).unwrap();
    ///
    /// let mut receiver = NoticeReceiver::default();
    /// let rest = datagram.strip_prefix(&LOAD_NOTICE_MAGIC).unwrap();
    /// let received = receiver.receive(rest, Duration::from_millis(500)).unwrap();
    /// assert_eq!(received.notices[0].report, report);
    /// assert_eq!(received.notices[0].heard_at, Duration::from_millis(460));
    /// ```
    pub fn receive(&mut self, bytes: &[u8], now: Moment) -> Option<ReceivedNotices> {
        let (head, entries) = bytes.split_at_checked(HEAD_BYTES)?;
        if !entries.len().is_multiple_of(NOTICE_BYTES) {
            return None;
        }
        let vm = u64::from_be_bytes(head[..8].try_into().ok()?);
        let sent_ms = u64::from_be_bytes(head[8..].try_into().ok()?);
        let mut received = ReceivedNotices::default();
        let Some((known_until, delay_ms)) = self.clocks.record_datagram(vm, sent_ms, now) else {
            received.repeated = (entries.len() / NOTICE_BYTES) as u64;
            return Some(received);
        };
        for entry in entries.chunks_exact(NOTICE_BYTES) {
            let number = |at: usize| u16::from_be_bytes([entry[at], entry[at + 1]]);
            let age_ms = u64::from(number(16));
            if known_until.is_some_and(|known| sent_ms.saturating_sub(age_ms) <= known) {
                received.repeated += 1;
                continue;
            }
            let age = Duration::from_millis(age_ms.saturating_add(delay_ms));
            if age >= NOTICE_TTL {
                received.late += 1;
                continue;
            }
            received.notices.push(LoadNotice {
                server: u64::from_be_bytes(entry[..8].try_into().ok()?),
                report: LoadReport {
                    running: u32::from(number(8)),
                    waiting: u32::from(number(10)),
                    slots: u32::from(number(12)),
                    slowness: Some(f64::from(number(14)) / SLOWNESS_STEPS),
                },
                heard_at: now.saturating_sub(age),
            });
        }
        Some(received)
    }
}
