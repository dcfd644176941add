//! Writing the origins of streams to the store, so that they outlive all VMs.
//!
//! Origins are written only while the services of a route have servers of several
//! versions; otherwise they follow from the route. A VM sends the origins of its streams
//! to one VM, the recorder, which writes those of all VMs in batches: the number
//! of calls to the store depends neither on the number of streams nor on the
//! size of the fleet. The recorder acknowledges what the store has accepted.
//! Without an acknowledgement, the origins are sent to the next VM.
//!
//! The main invariant: an origin leaves the [`OriginOutbox`] only once the store
//! has accepted it, or once its stream can't be taken up any more.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;
use crate::origins::StreamOrigin;

/// Number of a batch of origins at the VM that began their streams.
pub type BatchNumber = u32;

/// Time over which new origins are collected into a batch.
const COLLECT_TIME: Duration = Duration::from_millis(5);

/// Time after which a batch without an acknowledgement is sent to the next VM;
/// it doubles with each send.
const ACKNOWLEDGE_TIME: Duration = Duration::from_millis(300);

/// Minimum interval between two writes of a recorder.
const WRITE_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum origins of a batch, so that it fits in a packet.
pub const MAX_BATCH: usize = 100;

/// Maximum origins of one write; the rest is written with the next one.
const MAX_WRITE: usize = 4096;

/// Maximum origins that wait at a recorder.
const MAX_WAITING: usize = 65_536;

/// A batch that the store hasn't accepted yet.
#[derive(Clone, Debug)]
struct PendingBatch {
    origins: Vec<StreamOrigin>,
    begun: Moment,
    /// Place of the recorder to which it was sent first.
    first_place: usize,
    sends: u32,
    due: Moment,
}

/// A batch to send to a recorder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BatchSend {
    /// Its number.
    pub number: BatchNumber,
    /// Place of the recorder in the order of the VMs.
    pub place: usize,
    /// The origins.
    pub origins: Vec<StreamOrigin>,
}

/// Origins of this VM's streams that the store hasn't accepted yet.
#[derive(Clone, Debug, Default)]
pub struct OriginOutbox {
    collected: Vec<StreamOrigin>,
    collect_until: Moment,
    batches: IndexMap<BatchNumber, PendingBatch>,
    next_number: BatchNumber,
    /// Place of the recorder that last acknowledged a batch.
    place: usize,
}

impl OriginOutbox {
    /// Returns an empty outbox whose batches are numbered from `first` on. A VM that
    /// restarts must not use the numbers of its earlier batches again.
    pub fn new(first: BatchNumber) -> Self {
        Self {
            next_number: first,
            ..Self::default()
        }
    }

    /// Adds the origin of a stream.
    pub fn push(&mut self, origin: StreamOrigin, now: Moment) {
        if self.collected.is_empty() {
            self.collect_until = now + COLLECT_TIME;
        }
        self.collected.push(origin);
    }

    /// Returns the batches that are due, and gives up those older than `ttl`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::origin_log::OriginOutbox;
    /// use dewedge::origins::StreamOrigin;
    /// use std::time::Duration;
    ///
    /// let (ttl, now) = (Duration::from_secs(30), Duration::from_secs(1));
    /// let mut outbox = OriginOutbox::default();
    /// outbox.push(StreamOrigin { stream: 7, version: 1 }, Duration::ZERO);
    /// let sends = outbox.take_due(ttl, now);
    /// assert_eq!((sends.len(), sends[0].place), (1, 0));
    /// outbox.acknowledge(sends[0].number);
    /// assert_eq!(outbox.next_due(), None);
    /// ```
    pub fn take_due(&mut self, ttl: Duration, now: Moment) -> Vec<BatchSend> {
        if !self.collected.is_empty() && self.collect_until <= now {
            for origins in std::mem::take(&mut self.collected).chunks(MAX_BATCH) {
                let batch = PendingBatch {
                    origins: origins.to_vec(),
                    begun: now,
                    first_place: self.place,
                    sends: 0,
                    due: now,
                };
                self.batches.insert(self.next_number, batch);
                self.next_number = self.next_number.wrapping_add(1);
            }
        }
        self.batches
            .retain(|_, batch| now.saturating_sub(batch.begun) < ttl);
        let mut sends = Vec::new();
        for (number, batch) in &mut self.batches {
            if batch.due > now {
                continue;
            }
            sends.push(BatchSend {
                number: *number,
                place: batch.first_place + batch.sends as usize,
                origins: batch.origins.clone(),
            });
            batch.due = now + ACKNOWLEDGE_TIME * (1 << batch.sends.min(8));
            batch.sends += 1;
        }
        sends
    }

    /// Removes a batch that the store has accepted.
    pub fn acknowledge(&mut self, number: BatchNumber) {
        if let Some(batch) = self.batches.shift_remove(&number) {
            self.place = batch.first_place + batch.sends.saturating_sub(1) as usize;
        }
    }

    /// Lets the first VM in the order write again.
    pub fn reset_place(&mut self) {
        self.place = 0;
    }

    /// Returns when a batch is due next.
    pub fn next_due(&self) -> Option<Moment> {
        let collected = (!self.collected.is_empty()).then_some(self.collect_until);
        let pending = self.batches.values().map(|batch| batch.due);
        pending.chain(collected).min()
    }
}

/// Origins that this VM writes to the store as the recorder; `S` names the VM
/// that a batch comes from.
#[derive(Clone, Debug)]
pub struct OriginRecorder<S> {
    waiting: Vec<(StreamOrigin, S, BatchNumber)>,
    in_flight: Vec<(S, BatchNumber)>,
    is_writing: bool,
    write_at: Moment,
}

impl<S> Default for OriginRecorder<S> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            in_flight: Vec::new(),
            is_writing: false,
            write_at: Moment::ZERO,
        }
    }
}

impl<S: Clone + PartialEq> OriginRecorder<S> {
    /// Adds a batch; a recorder with too many origins ignores it.
    pub fn push(&mut self, sender: &S, number: BatchNumber, origins: &[StreamOrigin]) {
        let is_known = self
            .waiting
            .iter()
            .any(|(_, other, waiting)| other == sender && *waiting == number);
        if !is_known && self.waiting.len() + origins.len() <= MAX_WAITING {
            let entries = origins.iter();
            self.waiting
                .extend(entries.map(|origin| (*origin, sender.clone(), number)));
        }
    }

    /// Returns the origins of the next write, if it is due.
    pub fn begin_write(&mut self, now: Moment) -> Option<Vec<StreamOrigin>> {
        if self.is_writing || self.waiting.is_empty() || self.write_at > now {
            return None;
        }
        self.is_writing = true;
        self.write_at = now + WRITE_INTERVAL;
        let mut count = self.waiting.len().min(MAX_WRITE);
        // A batch is acknowledged as a whole, so it isn't split.
        while count < self.waiting.len() && self.is_same_batch(count - 1, count) {
            count += 1;
        }
        let mut origins = Vec::with_capacity(count);
        for (origin, sender, number) in self.waiting.drain(..count) {
            origins.push(origin);
            let contributor = (sender, number);
            if self.in_flight.last() != Some(&contributor) {
                self.in_flight.push(contributor);
            }
        }
        Some(origins)
    }

    /// Ends a write, and returns the batches that the store has accepted.
    pub fn end_write(&mut self, is_accepted: bool) -> Vec<(S, BatchNumber)> {
        self.is_writing = false;
        let batches = std::mem::take(&mut self.in_flight);
        if is_accepted { batches } else { Vec::new() }
    }

    /// Discards all waiting batches; their VMs send them to other recorders.
    pub fn discard(&mut self) {
        self.waiting.clear();
    }

    /// Returns when the next write is due.
    pub fn next_due(&self) -> Option<Moment> {
        let is_due = !self.is_writing && !self.waiting.is_empty();
        is_due.then_some(self.write_at)
    }

    fn is_same_batch(&self, left: usize, right: usize) -> bool {
        let (_, sender, number) = &self.waiting[left];
        let (_, other, other_number) = &self.waiting[right];
        sender == other && number == other_number
    }
}
