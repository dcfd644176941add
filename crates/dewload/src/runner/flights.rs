//! A bound on the requests in flight.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// Counts requests in flight and holds back those above the limit.
#[derive(Debug)]
pub(super) struct FlightLimit {
    limit: usize,
    count: Mutex<usize>,
    is_free: Condvar,
}

/// One request in flight; its place is free again on drop.
#[derive(Debug)]
pub(super) struct FlightGuard {
    limit: Arc<FlightLimit>,
}

impl FlightLimit {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            count: Mutex::new(0),
            is_free: Condvar::new(),
        }
    }

    /// Waits for a free place and takes it.
    pub(super) fn enter(limit: &Arc<Self>) -> FlightGuard {
        let count = limit.lock();
        let mut count = limit
            .is_free
            .wait_while(count, |count| *count >= limit.limit)
            .expect("no holder of the lock panics");
        *count += 1;
        FlightGuard {
            limit: Arc::clone(limit),
        }
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.count.lock().expect("no holder of the lock panics")
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        *self.limit.lock() -= 1;
        self.limit.is_free.notify_one();
    }
}
