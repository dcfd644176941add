//! A limit on the number of requests in flight.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};

/// Counts requests in flight and blocks further ones at the limit.
#[derive(Debug)]
pub(super) struct InFlightLimit {
    limit: usize,
    count: Mutex<usize>,
    released: Condvar,
}

/// One request in flight, which stops counting on drop.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    limit: Arc<InFlightLimit>,
}

impl InFlightLimit {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            count: Mutex::new(0),
            released: Condvar::new(),
        }
    }

    /// Waits until the count is below the limit, and increments it.
    pub(super) fn acquire(limit: &Arc<Self>) -> InFlightGuard {
        let count = limit.lock();
        let mut count = limit
            .released
            .wait_while(count, |count| *count >= limit.limit)
            .expect("no holder of the lock panics");
        *count += 1;
        InFlightGuard {
            limit: Arc::clone(limit),
        }
    }

    fn lock(&self) -> MutexGuard<'_, usize> {
        self.count.lock().expect("no holder of the lock panics")
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        *self.limit.lock() -= 1;
        self.limit.released.notify_one();
    }
}
