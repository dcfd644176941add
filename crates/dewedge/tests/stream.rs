//! Splitting of event streams.

use dewedge::stream::{EventError, EventSplitter};
use quickcheck::quickcheck;

fn stream(first: u64, count: u64) -> Vec<u8> {
    (first..first + count)
        .flat_map(|id| format!("id: {id}\ndata: word {id}\n\n").into_bytes())
        .collect()
}

quickcheck! {
    fn splitting_does_not_depend_on_how_a_stream_is_received(count: u8, cuts: Vec<u8>) -> bool {
        let bytes = stream(1, u64::from(count));
        let mut splitter = EventSplitter::new(None);
        let mut forwarded = Vec::new();
        let mut rest = bytes.as_slice();
        for cut in cuts.into_iter().chain(std::iter::repeat(255)) {
            let (current, following) = rest.split_at(usize::from(cut).min(rest.len()));
            splitter.push(current);
            let Ok(events) = splitter.take_events() else { return false };
            let complete = events.is_empty() || events.ends_with(b"\n\n");
            if !complete {
                return false;
            }
            forwarded.extend(events);
            rest = following;
            if rest.is_empty() {
                break;
            }
        }
        forwarded == bytes && splitter.event_count() == u64::from(count) && !splitter.has_partial()
    }

    fn a_resumed_stream_continues_without_gap_or_duplicate(before: u8, after: u8, cut: u8) -> bool {
        let (before, after) = (u64::from(before) + 1, u64::from(after) + 1);
        let mut splitter = EventSplitter::new(None);
        let mut bytes = stream(1, before);
        let partial = b"id: 999\ndata: cut";
        bytes.extend_from_slice(&partial[..usize::from(cut) % partial.len()]);
        splitter.push(&bytes);
        let mut forwarded = splitter.take_events().unwrap_or_default();
        splitter.discard_partial();
        let next = splitter.last_id().unwrap_or(0) + 1;
        splitter.push(&stream(next, after));
        forwarded.extend(splitter.take_events().unwrap_or_default());
        forwarded == stream(1, before + after)
    }
}

struct OrderCase {
    name: &'static str,
    last_id: Option<u64>,
    bytes: &'static str,
    expected: Result<Option<u64>, EventError>,
}

const ORDER_CASES: [OrderCase; 6] = [
    OrderCase {
        name: "the next event",
        last_id: Some(4),
        bytes: "id: 5\ndata\n\n",
        expected: Ok(Some(5)),
    },
    OrderCase {
        name: "an event again",
        last_id: Some(4),
        bytes: "id: 4\ndata\n\n",
        expected: Err(EventError::OutOfOrder { after: 4, found: 4 }),
    },
    OrderCase {
        name: "a gap",
        last_id: Some(4),
        bytes: "id: 6\ndata\n\n",
        expected: Err(EventError::OutOfOrder { after: 4, found: 6 }),
    },
    OrderCase {
        name: "a field before the id",
        last_id: None,
        bytes: "x-version: 3\nid:1\ndata\n\n",
        expected: Ok(Some(1)),
    },
    OrderCase {
        name: "lines that end with CR LF",
        last_id: None,
        bytes: "id: 1\r\ndata\r\n\r\n",
        expected: Ok(Some(1)),
    },
    OrderCase {
        name: "no id",
        last_id: Some(2),
        bytes: "data\n\n",
        expected: Ok(Some(2)),
    },
];

#[test]
fn event_ids_must_be_consecutive() {
    for case in ORDER_CASES {
        let mut splitter = EventSplitter::new(case.last_id);
        splitter.push(case.bytes.as_bytes());
        let found = splitter.take_events().map(|_| splitter.last_id());
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

const RESUMABLE_CASES: [OrderCase; 6] = [
    OrderCase {
        name: "no id",
        last_id: Some(2),
        bytes: "data\n\n",
        expected: Err(EventError::WithoutId { after: 2 }),
    },
    OrderCase {
        name: "a failure without an id",
        last_id: Some(2),
        bytes: "event: error\ndata\n\n",
        expected: Err(EventError::Failure { after: 2 }),
    },
    OrderCase {
        name: "a failure with the next id",
        last_id: Some(2),
        bytes: "id: 3\r\nevent:error\r\ndata\r\n\r\n",
        expected: Err(EventError::Failure { after: 2 }),
    },
    OrderCase {
        name: "a type with the next id",
        last_id: Some(2),
        bytes: "event: token\nid: 3\ndata\n\n",
        expected: Ok(Some(3)),
    },
    OrderCase {
        name: "a comment",
        last_id: Some(2),
        bytes: ": alive\r\n\r\n",
        expected: Ok(Some(2)),
    },
    OrderCase {
        name: "no id so far",
        last_id: None,
        bytes: "data\n\n",
        expected: Ok(None),
    },
];

/// Guards against the text of a failure within a stream that another server may
/// continue.
#[test]
fn only_events_that_follow_belong_to_a_resumable_stream() {
    for case in RESUMABLE_CASES {
        let mut splitter = EventSplitter::new(case.last_id).requiring_ids();
        splitter.push(case.bytes.as_bytes());
        let found = splitter.take_events().map(|_| splitter.last_id());
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

/// Guards against a resumption behind events that the caller never got.
#[test]
fn events_of_a_rejected_batch_do_not_count_as_forwarded() {
    let mut splitter = EventSplitter::new(Some(3));
    splitter.push(b"id: 4\ndata: a\n\nid: 6\ndata: b\n\n");
    assert!(splitter.take_events().is_err());
    assert_eq!((splitter.last_id(), splitter.event_count()), (Some(3), 0));
}
