//! Properties of the parts that all stand-ins share.

use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck};

use crate::lag::LaggedValue;
use crate::slots::{SlotGuard, SlotQueue};

#[test]
fn a_lagged_value_is_as_old_as_its_lag() {
    fn check(lag: u8, steps: Vec<u8>) -> bool {
        let lag = Duration::from_millis(u64::from(lag));
        let start = Instant::now();
        let mut now = start;
        let mut value = LaggedValue::new(0, lag, start);
        let mut history = vec![(start, 0)];
        for (number, step) in steps.iter().enumerate() {
            now += Duration::from_millis(u64::from(*step));
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

/// What a request does at a step of the property below.
fn step(
    queue: &SlotQueue,
    places: &mut Vec<tokio::sync::oneshot::Receiver<SlotGuard>>,
    running: &mut Vec<SlotGuard>,
    action: u8,
) {
    match action % 4 {
        0 | 1 => places.push(queue.enter(i64::from(action / 4 % 3))),
        2 if !places.is_empty() => {
            // The caller leaves, perhaps with a slot that it never saw.
            places.remove(usize::from(action) % places.len());
        }
        _ if !running.is_empty() => {
            running.remove(usize::from(action) % running.len());
        }
        _ => (),
    }
    places.retain_mut(|place| match place.try_recv() {
        Ok(guard) => {
            running.push(guard);
            false
        }
        Err(_) => true,
    });
}

#[test]
fn slots_are_never_lost_or_given_twice() {
    fn check(capacity: u8, actions: Vec<u8>) -> bool {
        let capacity = usize::from(capacity % 5) + 1;
        let queue = SlotQueue::new(capacity);
        let (mut places, mut running) = (Vec::new(), Vec::new());
        for action in actions {
            step(&queue, &mut places, &mut running, action);
            let usage = queue.usage();
            let is_idle = usage.running < capacity && usage.waiting > 0;
            if usage.running != running.len() || usage.running > capacity || is_idle {
                return false;
            }
        }
        places.clear();
        running.clear();
        queue.usage().running == 0 && queue.usage().waiting == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, 12))
        .quickcheck(check as fn(u8, Vec<u8>) -> bool);
}
