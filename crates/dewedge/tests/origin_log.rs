//! Origins of streams on their way to the store.

use std::time::Duration;

use dewedge::origin_log::{MAX_BATCH, OriginOutbox, OriginRecorder};
use dewedge::origins::StreamOrigin;
use quickcheck::{QuickCheck, TestResult};

const TTL: Duration = Duration::from_secs(30);

fn origin(stream: u64) -> StreamOrigin {
    StreamOrigin { stream, version: 1 }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_batch_goes_to_the_next_recorder_until_one_acknowledges_it() {
    let mut outbox = OriginOutbox::default();
    outbox.push(origin(1), ms(0));
    let mut places = Vec::new();
    let mut number = 0;
    for now in (0..2000).step_by(20) {
        for send in outbox.take_due(TTL, ms(now)) {
            places.push(send.place);
            number = send.number;
        }
    }
    assert_eq!(places, [0, 1, 2]);
    outbox.acknowledge(number);
    assert_eq!(outbox.next_due(), None);
    outbox.push(origin(2), ms(3000));
    let sends = outbox.take_due(TTL, ms(3100));
    assert_eq!(sends[0].place, 2, "the recorder that has acknowledged");
    outbox.acknowledge(sends[0].number);
    outbox.reset_place();
    outbox.push(origin(3), ms(4000));
    assert_eq!(outbox.take_due(TTL, ms(4100))[0].place, 0);
}

#[test]
fn all_batches_of_a_failed_recorder_move_to_the_same_next_one() {
    let mut outbox = OriginOutbox::default();
    let mut places = Vec::new();
    for now in (0..1000).step_by(10) {
        outbox.push(origin(now), ms(now));
        for send in outbox.take_due(TTL, ms(now)) {
            places.push(send.place);
            // The recorder at place 0 has failed.
            if send.place > 0 {
                outbox.acknowledge(send.number);
            }
        }
    }
    assert_eq!(places.iter().max(), Some(&1));
}

#[test]
fn a_batch_is_given_up_once_its_streams_have_ended() {
    let mut outbox = OriginOutbox::default();
    outbox.push(origin(1), ms(0));
    assert_eq!(outbox.take_due(TTL, ms(100)).len(), 1);
    assert!(outbox.take_due(TTL, ms(30_200)).is_empty());
    assert_eq!(outbox.next_due(), None);
}

#[test]
fn origins_are_split_into_batches_that_fit_in_packets() {
    let mut outbox = OriginOutbox::default();
    for stream in 0..250 {
        outbox.push(origin(stream), ms(0));
    }
    let sends = outbox.take_due(TTL, ms(100));
    let sizes: Vec<_> = sends.iter().map(|send| send.origins.len()).collect();
    assert_eq!(sizes, [MAX_BATCH, MAX_BATCH, 50]);
}

#[test]
fn a_recorder_acknowledges_only_what_the_store_has_accepted() {
    let mut recorder = OriginRecorder::default();
    recorder.push(&"vm-1", 1, &[origin(1), origin(2)]);
    recorder.push(&"vm-2", 1, &[origin(3)]);
    assert_eq!(recorder.begin_write(ms(1)).expect("it is due").len(), 3);
    recorder.push(&"vm-1", 2, &[origin(4)]);
    assert_eq!(recorder.begin_write(ms(500)), None, "one write at a time");
    assert_eq!(recorder.end_write(false), []);
    assert_eq!(recorder.begin_write(ms(600)), Some(vec![origin(4)]));
    assert_eq!(recorder.end_write(true), [("vm-1", 2)]);
}

#[test]
fn each_batch_is_written_whole_and_acknowledged_once() {
    fn holds(sizes: Vec<u8>) -> TestResult {
        let mut recorder = OriginRecorder::default();
        let mut expected = Vec::new();
        for (number, size) in sizes.iter().enumerate().filter(|(_, size)| **size > 0) {
            let number = u32::try_from(number).expect("few batches");
            let sender = number % 7;
            let origins: Vec<_> = (0..u64::from(*size))
                .map(|stream| origin(u64::from(number) << 8 | stream))
                .collect();
            recorder.push(&sender, number, &origins);
            // A batch that is sent twice counts once.
            recorder.push(&sender, number, &origins);
            expected.push((sender, number, origins));
        }
        let (mut written, mut acknowledged) = (Vec::new(), Vec::new());
        let mut now = ms(1000);
        while let Some(origins) = recorder.begin_write(now) {
            written.extend(origins);
            acknowledged.extend(recorder.end_write(true));
            now += ms(200);
        }
        let batches: Vec<_> = expected
            .iter()
            .map(|(vm, number, _)| (*vm, *number))
            .collect();
        let all: Vec<_> = expected
            .into_iter()
            .flat_map(|(_, _, origins)| origins)
            .collect();
        TestResult::from_bool(written == all && acknowledged == batches)
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u8>) -> TestResult);
}
