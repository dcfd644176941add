//! Timers of the event loop.
//!
//! Each owner has one due time. Postponing it is cheap: the armed timer stays,
//! and is armed again when it fires before the due time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::clock::Moment;

/// Owner of a timer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum TimerKey {
    Caller(usize),
    Exchange(usize),
    Server(usize),
    Admin(usize),
    Store,
    Duties,
    CrashTest,
    Digest,
    Recording,
    Uploads,
    Housekeeping,
}

/// All armed timers.
#[derive(Debug, Default)]
pub(crate) struct TimerHeap {
    heap: BinaryHeap<Reverse<(Moment, TimerKey)>>,
}

impl TimerHeap {
    pub(crate) fn arm(&mut self, at: Moment, key: TimerKey) {
        self.heap.push(Reverse((at, key)));
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Moment> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer that is due.
    pub(crate) fn pop(&mut self, now: Moment) -> Option<TimerKey> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }
}

/// Due time of an owner, and the earliest timer that is armed for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LazyTimer {
    due: Option<Moment>,
    armed: Option<Moment>,
}

impl LazyTimer {
    /// Sets the due time.
    pub(crate) fn set(&mut self, due: Moment, key: TimerKey, timers: &mut TimerHeap) {
        self.due = Some(due);
        if self.armed.is_none_or(|armed| armed > due) {
            self.armed = Some(due);
            timers.arm(due, key);
        }
    }

    /// Handles a fired timer; returns whether the owner is due.
    pub(crate) fn fire(&mut self, now: Moment, key: TimerKey, timers: &mut TimerHeap) -> bool {
        self.armed = None;
        match self.due {
            None => false,
            Some(due) if due <= now => {
                self.due = None;
                true
            }
            Some(due) => {
                self.set(due, key, timers);
                false
            }
        }
    }
}
