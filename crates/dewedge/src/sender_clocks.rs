//! The times in the datagrams of other VMs, whose clocks differ from this VM's.
//!
//! The time of a datagram is only compared with the times of the same sender. A
//! datagram that took longer than the fastest recent one of its sender was delayed
//! by the difference.
//!
//! The main invariant: a datagram that isn't newer than the last one of its sender
//! doesn't count, unless the sender has booted again.

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Moment;

/// Time for which the fastest datagram of a sender is remembered, at least. It
/// follows clocks that drift, and a clock that has stopped for a while delays
/// notices for twice this time at most.
const OFFSET_WINDOW: Duration = Duration::from_secs(5);

/// Silence after which an earlier time is taken for that of a VM that has booted
/// again.
const BOOT_SILENCE: Duration = Duration::from_millis(2000);

/// Maximum number of VMs whose last datagrams are remembered.
const MAX_SENDERS: usize = 1024;

/// Differences between this VM's clock and the time in the datagrams of a sender,
/// in ms.
#[derive(Clone, Copy, Debug)]
struct ClockOffsets {
    /// Least difference in the window that has ended and in the current one.
    least: [i64; 2],
    window_began: Moment,
}

impl ClockOffsets {
    fn new(offset: i64, now: Moment) -> Self {
        Self {
            least: [offset; 2],
            window_began: now,
        }
    }

    /// Records the difference of a datagram; returns by how much longer it took
    /// than the fastest recent one.
    fn record(&mut self, offset: i64, now: Moment) -> u64 {
        if now.saturating_sub(self.window_began) >= OFFSET_WINDOW {
            self.least = [self.least[1], offset];
            self.window_began = now;
        }
        self.least[1] = self.least[1].min(offset);
        let least = self.least[0].min(self.least[1]);
        offset.saturating_sub(least).unsigned_abs()
    }
}

/// Last datagram of another VM.
#[derive(Clone, Copy, Debug)]
struct SenderClock {
    sent_ms: u64,
    received: Moment,
    offsets: ClockOffsets,
}

/// The clocks of the VMs that have sent a kind of datagram.
#[derive(Clone, Debug, Default)]
pub(crate) struct SenderClocks {
    senders: IndexMap<u64, SenderClock>,
}

impl SenderClocks {
    /// Records a datagram; returns the time of the sender's datagram before it, and
    /// by how many ms it was delayed. Returns `None` if it isn't newer than that.
    pub(crate) fn record_datagram(
        &mut self,
        vm: u64,
        sent_ms: u64,
        now: Moment,
    ) -> Option<(Option<u64>, u64)> {
        let offset = (millis(now) as i64).wrapping_sub(sent_ms as i64);
        let Some(sender) = self.senders.get_mut(&vm) else {
            self.make_room();
            self.insert(vm, sent_ms, offset, now);
            return Some((None, 0));
        };
        if sent_ms <= sender.sent_ms {
            // A VM that has booted again begins with an earlier time.
            let booted = now.saturating_sub(sender.received) >= BOOT_SILENCE;
            return booted.then(|| {
                self.insert(vm, sent_ms, offset, now);
                (None, 0)
            });
        }
        let known_until = std::mem::replace(&mut sender.sent_ms, sent_ms);
        sender.received = now;
        Some((Some(known_until), sender.offsets.record(offset, now)))
    }

    fn insert(&mut self, vm: u64, sent_ms: u64, offset: i64, now: Moment) {
        let sender = SenderClock {
            sent_ms,
            received: now,
            offsets: ClockOffsets::new(offset, now),
        };
        self.senders.insert(vm, sender);
    }

    /// Forgets the sender that has been silent for longest if there are too many.
    fn make_room(&mut self) {
        if self.senders.len() < MAX_SENDERS {
            return;
        }
        let silent = self
            .senders
            .iter()
            .min_by_key(|(_, sender)| sender.received);
        if let Some(vm) = silent.map(|(vm, _)| *vm) {
            self.senders.swap_remove(&vm);
        }
    }
}

/// Returns a time in ms.
pub(crate) fn millis(time: Moment) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
