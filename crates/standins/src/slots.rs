//! A bounded number of execution slots with a priority queue.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::oneshot;

/// A request that waits for a slot.
struct QueuedWaiter {
    priority: i64,
    sequence: u64,
    sender: oneshot::Sender<SlotGuard>,
}

#[derive(Default)]
struct SlotState {
    running: usize,
    max_running: usize,
    next_sequence: u64,
    waiters: Vec<QueuedWaiter>,
}

/// Numbers of running and waiting requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SlotUsage {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) max_running: usize,
}

/// The slots of one server.
///
/// Waiting requests are served by ascending priority value, and in order of
/// arrival within one priority.
#[derive(Clone)]
pub(crate) struct SlotQueue {
    capacity: usize,
    state: Arc<Mutex<SlotState>>,
}

impl SlotQueue {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            state: Arc::default(),
        }
    }

    pub(crate) fn usage(&self) -> SlotUsage {
        let mut state = self.lock();
        state.waiters.retain(|waiter| !waiter.sender.is_closed());
        SlotUsage {
            running: state.running,
            waiting: state.waiters.len(),
            max_running: state.max_running,
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.lock().running
    }

    /// Enqueues a request and returns the receiver of its slot. Dropping the
    /// receiver leaves the queue, or releases a slot that was already sent.
    pub(crate) fn enter(&self, priority: i64) -> oneshot::Receiver<SlotGuard> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let sequence = state.next_sequence;
        state.next_sequence += 1;
        state.waiters.push(QueuedWaiter {
            priority,
            sequence,
            sender,
        });
        self.assign_free_slots(&mut state);
        receiver
    }

    fn assign_free_slots(&self, state: &mut SlotState) {
        while state.running < self.capacity {
            let Some(waiter) = pop_first(&mut state.waiters) else {
                return;
            };
            let guard = SlotGuard {
                queue: Some(self.clone()),
            };
            match waiter.sender.send(guard) {
                Ok(()) => {
                    state.running += 1;
                    state.max_running = state.max_running.max(state.running);
                }
                Err(mut unused) => unused.queue = None,
            }
        }
    }

    fn release(&self) {
        let mut state = self.lock();
        state.running -= 1;
        self.assign_free_slots(&mut state);
    }

    fn lock(&self) -> MutexGuard<'_, SlotState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

fn pop_first(waiters: &mut Vec<QueuedWaiter>) -> Option<QueuedWaiter> {
    let (index, _) = waiters
        .iter()
        .enumerate()
        .min_by_key(|(_, waiter)| (waiter.priority, waiter.sequence))?;
    Some(waiters.remove(index))
}

/// A slot in use, which is released on drop.
pub(crate) struct SlotGuard {
    queue: Option<SlotQueue>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.release();
        }
    }
}
