//! Tests of a broker on its own thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{BOOT, config, release, request, servers};
use crate::broker::{
    BrokerHandle, BrokerSettings, GrantDecision, PendingDecision, RefusalReason, ServerMark,
    ShareDivisor,
};

/// Longest time that a test waits for the broker.
const TIMEOUT: Duration = Duration::from_secs(10);

fn spawn(slots: &[u32]) -> BrokerHandle {
    let handle = BrokerHandle::spawn(BrokerSettings::new("vm", BOOT));
    handle.configure(Arc::new(config(1, servers(slots))));
    handle
}

fn request_grant(handle: &BrokerHandle, id: &str) -> PendingDecision {
    handle
        .request_grant(request(id))
        .expect("the channel has capacity")
}

fn wait_until(handle: &BrokerHandle, queued: usize, in_flight: u32) {
    let start = Instant::now();
    loop {
        let status = handle.status();
        if (status.queued(), status.in_flight()) == (queued, in_flight) {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "last status: {status:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn stop(handle: &BrokerHandle) {
    handle.shut_down();
    handle.join();
}

#[test]
fn a_grant_is_delivered_and_released() {
    let handle = spawn(&[1]);
    let first = request_grant(&handle, "first").blocking_recv();
    let Ok(GrantDecision::Granted(grant)) = first else {
        panic!("not granted: {first:?}");
    };
    let second = request_grant(&handle, "second");
    handle.release(release(grant.id));
    assert!(matches!(
        second.blocking_recv(),
        Ok(GrantDecision::Granted(_))
    ));
    wait_until(&handle, 0, 1);
    stop(&handle);
}

#[test]
fn a_grant_without_a_receiver_is_returned_unused() {
    let handle = spawn(&[1]);
    let first = request_grant(&handle, "first").blocking_recv();
    let Ok(GrantDecision::Granted(grant)) = first else {
        panic!("not granted: {first:?}");
    };
    drop(request_grant(&handle, "second"));
    wait_until(&handle, 1, 1);
    handle.release(release(grant.id));
    wait_until(&handle, 0, 0);
    stop(&handle);
}

/// Guards against a leak when the receiver is dropped after the decision was
/// sent and before it was read.
#[test]
fn a_grant_that_was_delivered_and_not_read_is_returned_unused() {
    let handle = spawn(&[1]);
    let delivered = request_grant(&handle, "first");
    wait_until(&handle, 0, 1);
    drop(delivered);
    wait_until(&handle, 0, 0);
    stop(&handle);
}

/// Guards against a leak when the reader is cancelled in the same situation.
#[test]
fn a_grant_whose_reader_is_cancelled_is_returned_unused() {
    let handle = spawn(&[1]);
    let delivered = request_grant(&handle, "first");
    wait_until(&handle, 0, 1);
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.build().expect("the runtime starts");
    let reader = runtime.spawn(delivered);
    reader.abort();
    let result = runtime.block_on(reader);
    assert!(result.is_err_and(|error| error.is_cancelled()));
    wait_until(&handle, 0, 0);
    stop(&handle);
}

#[test]
fn a_withdrawn_request_gets_no_decision() {
    let handle = spawn(&[1]);
    let first = request_grant(&handle, "first").blocking_recv();
    assert!(matches!(first, Ok(GrantDecision::Granted(_))));
    let second = request_grant(&handle, "second");
    handle.withdraw("second".into(), "entry".into(), 1);
    assert!(second.blocking_recv().is_err());
    handle.forget_entry("entry".into(), 1);
    wait_until(&handle, 0, 0);
    stop(&handle);
}

#[test]
fn a_shutdown_refuses_queued_requests() {
    let handle = spawn(&[1]);
    let first = request_grant(&handle, "first");
    let second = request_grant(&handle, "second");
    stop(&handle);
    assert!(matches!(
        first.blocking_recv(),
        Ok(GrantDecision::Granted(_))
    ));
    let Ok(GrantDecision::Refused(refusal)) = second.blocking_recv() else {
        panic!("not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::ShuttingDown);
    let refusal = handle
        .request_grant(request("late"))
        .expect_err("the broker has ended");
    assert_eq!(refusal.reason, RefusalReason::ShuttingDown);
}

#[test]
fn a_full_channel_refuses_with_different_retry_delays() {
    let mut settings = BrokerSettings::new("vm", BOOT);
    settings.channel_capacity = 2;
    let handle = BrokerHandle::spawn(settings);
    let mut refusals = Vec::new();
    let start = Instant::now();
    while refusals.len() < 2 {
        refusals.extend(handle.request_grant(request("r")).err());
        assert!(start.elapsed() < TIMEOUT, "the channel was never full");
    }
    assert_eq!(refusals[0].reason, RefusalReason::Overloaded);
    assert_ne!(refusals[0].retry_after, refusals[1].retry_after);
    stop(&handle);
}

#[test]
fn no_grant_leaks_between_many_entries() {
    let handle = spawn(&[2, 2, 2]);
    let entry = |entry: u32| {
        let handle = handle.clone();
        move || {
            let mut finished = 0;
            for number in 0..300 {
                let id = format!("{entry}/{number}");
                let receiver = request_grant(&handle, &id);
                match number % 3 {
                    0 => drop(receiver),
                    1 => handle.withdraw(id, "entry".into(), 1),
                    _ => match receiver.blocking_recv() {
                        Ok(GrantDecision::Granted(grant)) => {
                            handle.release(release(grant.id));
                            finished += 1;
                        }
                        other => panic!("not granted: {other:?}"),
                    },
                }
            }
            finished
        }
    };
    let controller = handle.clone();
    let controller = std::thread::spawn(move || {
        for revision in 2..200 {
            let mark = [ServerMark::Leaving, ServerMark::Live][revision as usize % 2];
            controller.mark("server-0".into(), mark);
            controller.configure(Arc::new(config(revision, servers(&[2, 2, 2]))));
            controller.set_share(ShareDivisor::new(revision as u32 % 3));
            controller.forget_entry("another".into(), 1);
            std::thread::yield_now();
        }
    });
    let entries = (0..4).map(|number| std::thread::spawn(entry(number)));
    let entries = entries.collect::<Vec<_>>();
    let finished = entries
        .into_iter()
        .map(|entry| entry.join().expect("the entry thread ends"));
    assert_eq!(finished.sum::<u32>(), 400);
    controller.join().expect("the controller thread ends");
    wait_until(&handle, 0, 0);
    stop(&handle);
}
