//! Property tests of the lagged values and the slot queue.

use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};

use crate::lag::LaggedValue;
use crate::slots::{SlotGuard, SlotQueue};

#[test]
fn a_lagged_value_is_read_one_lag_late() {
    fn check(lag: u8, steps: Vec<u8>) -> bool {
        let lag = Duration::from_millis(u64::from(lag));
        let start = Instant::now();
        let mut now = start;
        let mut value = LaggedValue::new(0, lag, start);
        let mut history = vec![(start, 0)];
        for (number, millis) in steps.iter().enumerate() {
            now += Duration::from_millis(u64::from(*millis));
            value.record(number + 1, now);
            history.push((now, number + 1));
            let expected = history.iter().rfind(|(at, _)| now - *at >= lag);
            if value.read(now) != expected.map_or(0, |(_, value)| *value) {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .quickcheck(check as fn(u8, Vec<u8>) -> bool);
}

/// Applies one action: a request enters the queue, the caller of a queued request
/// disconnects, or a running request ends.
fn apply_action(
    queue: &SlotQueue,
    receivers: &mut Vec<tokio::sync::oneshot::Receiver<SlotGuard>>,
    running: &mut Vec<SlotGuard>,
    action: u8,
) {
    match action % 4 {
        0 | 1 => receivers.push(queue.enter(i64::from(action / 4 % 3))),
        2 if !receivers.is_empty() => {
            // A slot may already have been sent to the caller.
            receivers.remove(usize::from(action) % receivers.len());
        }
        _ if !running.is_empty() => {
            running.remove(usize::from(action) % running.len());
        }
        _ => (),
    }
    receivers.retain_mut(|receiver| match receiver.try_recv() {
        Ok(guard) => {
            running.push(guard);
            false
        }
        Err(_) => true,
    });
}

#[test]
fn slots_are_never_lost_or_assigned_twice() {
    fn check(capacity: u8, actions: Vec<u8>) -> bool {
        let capacity = usize::from(capacity % 5) + 1;
        let queue = SlotQueue::new(capacity);
        let (mut receivers, mut running) = (Vec::new(), Vec::new());
        for action in actions {
            apply_action(&queue, &mut receivers, &mut running, action);
            let usage = queue.usage();
            let is_idle = usage.running < capacity && usage.waiting > 0;
            if usage.running != running.len() || usage.running > capacity || is_idle {
                return false;
            }
        }
        receivers.clear();
        running.clear();
        queue.usage().running == 0 && queue.usage().waiting == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 12))
        .quickcheck(check as fn(u8, Vec<u8>) -> bool);
}
