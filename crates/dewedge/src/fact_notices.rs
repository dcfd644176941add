//! Facts that the VMs announce to each other, together with their digests.
//!
//! A module for each kind of fact implements [`NoticeFact`]; queue, datagram and
//! receiver are the same for all: [`load_notices`](crate::load_notices),
//! [`ended_notices`](crate::ended_notices) and
//! [`prefix_notices`](crate::prefix_notices).
//!
//! A datagram has the first bytes of its kind (4), the hash of the sender's name
//! (8), the sender's monotonic time in ms (8), and entries. Each entry is a fact
//! and its age in ms (2). All numbers are big endian.
//!
//! The clocks of the VMs differ. A fact therefore carries its age, and the time of
//! a datagram is only compared with the times of the same sender. A datagram that
//! took longer than the fastest recent one of its sender makes its facts older by
//! the difference.
//!
//! The main invariants: a VM announces only what it has observed itself, and
//! [`FactReceiver`] returns each fact at most once. A datagram holds all facts that
//! its sender still has to send, so what isn't newer than an earlier datagram of
//! the same sender was in that one. (A fact that a VM observes within the same ms,
//! after the datagram, is ignored as well.)

use std::hash::Hash;
use std::marker::PhantomData;
use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::sender_clocks::{SenderClocks, millis};

/// Length of the first bytes of a datagram.
const MAGIC_BYTES: usize = 4;

/// Length of the header after the first bytes: sender, time.
const HEAD_BYTES: usize = 16;

/// Length of the age of a fact.
const AGE_BYTES: usize = 2;

/// Maximum bytes of a datagram, so that it fits in a packet.
const MAX_BYTES: usize = 1400;

/// A fact that a VM announces to the others.
pub trait NoticeFact: Copy {
    /// Identifies the older fact that a newer one replaces.
    type Key: Copy + Eq + Hash;

    /// First bytes of datagrams with this fact.
    const MAGIC: [u8; 4];

    /// Length of an encoded fact, without its age.
    const BYTES: usize;

    /// Age from which a fact is neither sent nor used; under 65 s.
    const TTL: Duration;

    /// Maximum facts of a datagram, and that wait to be sent; older ones are
    /// dropped first. The default fills a packet.
    const MAX_FACTS: usize = (MAX_BYTES - MAGIC_BYTES - HEAD_BYTES) / (Self::BYTES + AGE_BYTES);

    /// Returns the key of the fact.
    fn key(&self) -> Self::Key;

    /// Appends the fact, which takes [`BYTES`](Self::BYTES).
    fn write(&self, bytes: &mut Vec<u8>);

    /// Reads a fact from [`BYTES`](Self::BYTES) bytes; `None` if it is malformed.
    fn read(bytes: &[u8]) -> Option<Self>;
}

/// A fact that another VM has announced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DatedFact<F> {
    /// What the VM observed.
    pub fact: F,
    /// Hash of the VM's name.
    pub sender: u64,
    /// When the VM observed it.
    pub heard_at: Moment,
}

/// A fact that some VMs haven't been sent yet.
#[derive(Clone, Copy, Debug)]
struct PendingFact<F> {
    fact: F,
    heard_at: Moment,
    /// Datagrams that still carry it.
    rounds: usize,
}

/// The facts that this VM has yet to announce, oldest first.
#[derive(Clone, Debug)]
pub struct FactQueue<F: NoticeFact> {
    pending: IndexMap<F::Key, PendingFact<F>>,
}

impl<F: NoticeFact> Default for FactQueue<F> {
    fn default() -> Self {
        Self {
            pending: IndexMap::new(),
        }
    }
}

impl<F: NoticeFact> FactQueue<F> {
    /// Adds a fact that this VM has observed; it replaces an earlier one with the
    /// same key. Each of the next `rounds` datagrams carries it, so that each VM
    /// receives it once.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::ended_notices::{EndedNotice, EndedQueue};
    /// use dewedge::policy::ended_servers::EndedKind;
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(9);
    /// let notice = EndedNotice { server: 5, kind: EndedKind::Refused };
    /// let mut queue = EndedQueue::default();
    /// queue.announce(notice, 2, now);
    /// assert!(queue.next_datagram(1, now).is_some());
    /// assert!(queue.next_datagram(1, now).is_some());
    /// assert!(queue.next_datagram(1, now).is_none());
    /// ```
    pub fn announce(&mut self, fact: F, rounds: usize, now: Moment) {
        if rounds == 0 {
            return;
        }
        let key = fact.key();
        self.pending.shift_remove(&key);
        if self.pending.len() >= F::MAX_FACTS {
            self.pending.shift_remove_index(0);
        }
        let pending = PendingFact {
            fact,
            heard_at: now,
            rounds,
        };
        self.pending.insert(key, pending);
    }

    /// Forgets the fact with a key, which doesn't hold any more.
    pub fn forget(&mut self, key: F::Key) {
        self.pending.shift_remove(&key);
    }

    /// Forgets the facts for which `holds` returns false.
    pub fn retain(&mut self, holds: impl Fn(&F) -> bool) {
        self.pending.retain(|_, pending| holds(&pending.fact));
    }

    /// Returns whether no datagram is to be sent.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the next datagram of the VM with this hash of its name, if there is
    /// anything to send.
    pub fn next_datagram(&mut self, own_hash: u64, now: Moment) -> Option<Vec<u8>> {
        const {
            assert!(F::TTL.as_millis() <= u16::MAX as u128);
            let entries = F::MAX_FACTS * (F::BYTES + AGE_BYTES);
            assert!(MAGIC_BYTES + HEAD_BYTES + entries <= MAX_BYTES);
        }
        self.pending
            .retain(|_, pending| now.saturating_sub(pending.heard_at) < F::TTL);
        if self.pending.is_empty() {
            return None;
        }
        let entries = self.pending.len() * (F::BYTES + AGE_BYTES);
        let mut bytes = Vec::with_capacity(MAGIC_BYTES + HEAD_BYTES + entries);
        bytes.extend_from_slice(&F::MAGIC);
        bytes.extend_from_slice(&own_hash.to_be_bytes());
        bytes.extend_from_slice(&millis(now).to_be_bytes());
        for pending in self.pending.values_mut() {
            // Whole milliseconds on both sides make the time of the fact the same
            // in each datagram.
            let age_ms = millis(now).saturating_sub(millis(pending.heard_at));
            pending.fact.write(&mut bytes);
            bytes.extend_from_slice(&saturating_u16(age_ms).to_be_bytes());
            pending.rounds -= 1;
        }
        self.pending.retain(|_, pending| pending.rounds > 0);
        Some(bytes)
    }
}

/// Returns a number as it is sent in two bytes.
pub(crate) fn saturating_u16(value: u64) -> u16 {
    u16::try_from(value).unwrap_or(u16::MAX)
}

/// The new facts in a datagram, and how many others it held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedFacts<F> {
    /// Facts that weren't in an earlier datagram of the sender.
    pub facts: Vec<DatedFact<F>>,
    /// Facts that were, or that came after a later datagram.
    pub repeated: u64,
    /// Facts that are as old as [`NoticeFact::TTL`].
    pub late: u64,
}

/// Reads the datagrams of the other VMs.
#[derive(Clone, Debug)]
pub struct FactReceiver<F> {
    clocks: SenderClocks,
    fact: PhantomData<F>,
}

impl<F> Default for FactReceiver<F> {
    fn default() -> Self {
        Self {
            clocks: SenderClocks::default(),
            fact: PhantomData,
        }
    }
}

impl<F: NoticeFact> FactReceiver<F> {
    /// Reads what follows the first bytes of a datagram; `None` if it is malformed.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::ended_notices::{EndedNotice, EndedQueue, EndedReceiver};
    /// use dewedge::fact_notices::NoticeFact;
    /// use dewedge::policy::ended_servers::EndedKind;
    /// use std::time::Duration;
    ///
    /// let notice = EndedNotice { server: 5, kind: EndedKind::Refused };
    /// let mut queue = EndedQueue::default();
    /// queue.announce(notice, 1, Duration::from_millis(9000));
    /// let datagram = queue.next_datagram(1, Duration::from_millis(9040)).unwrap();
    ///
    /// let rest = datagram.strip_prefix(&EndedNotice::MAGIC).unwrap();
    /// let now = Duration::from_millis(500);
    /// let received = EndedReceiver::default().receive(rest, now).unwrap();
    /// assert_eq!(received.facts[0].fact, notice);
    /// assert_eq!(received.facts[0].heard_at, Duration::from_millis(460));
    /// ```
    pub fn receive(&mut self, bytes: &[u8], now: Moment) -> Option<ReceivedFacts<F>> {
        let (head, entries) = bytes.split_at_checked(HEAD_BYTES)?;
        let sender = u64::from_be_bytes(head[..8].try_into().ok()?);
        let sent_ms = u64::from_be_bytes(head[8..].try_into().ok()?);
        // A malformed datagram must not count as the last one of its sender.
        let entries = decode_entries::<F>(entries)?;
        let mut received = ReceivedFacts {
            facts: Vec::new(),
            repeated: 0,
            late: 0,
        };
        let Some((known_until, delay_ms)) = self.clocks.record_datagram(sender, sent_ms, now)
        else {
            received.repeated = entries.len() as u64;
            return Some(received);
        };
        for (fact, age_ms) in entries {
            if known_until.is_some_and(|known| sent_ms.saturating_sub(age_ms) <= known) {
                received.repeated += 1;
                continue;
            }
            let age = Duration::from_millis(age_ms.saturating_add(delay_ms));
            if age >= F::TTL {
                received.late += 1;
                continue;
            }
            received.facts.push(DatedFact {
                fact,
                sender,
                heard_at: now.saturating_sub(age),
            });
        }
        Some(received)
    }
}

/// Reads facts and their ages in ms.
fn decode_entries<F: NoticeFact>(bytes: &[u8]) -> Option<Vec<(F, u64)>> {
    let entry_bytes = F::BYTES + AGE_BYTES;
    if !bytes.len().is_multiple_of(entry_bytes) {
        return None;
    }
    let entries = bytes.chunks_exact(entry_bytes).map(|entry| {
        let (fact, age) = entry.split_at(F::BYTES);
        let age_ms = u16::from_be_bytes(age.try_into().ok()?);
        Some((F::read(fact)?, u64::from(age_ms)))
    });
    entries.collect()
}
