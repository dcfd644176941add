//! The facts about waiting requests, and the room that is forecast for one.

use std::time::Duration;

use dewbacklog::WaitingSum;
use dewedge::fact_notices::NoticeFact;
use dewedge::format::PromptPart;
use dewedge::policy::engine_model::EngineModel;
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad,
};
use dewedge::policy::reported_placement::{ReportedQuery, choose_reported_engine};
use dewedge::policy::room::{RequestRoom, RequestsAhead};
use dewedge::waiting_notices::{WaitingNotice, WaitingQueueNotices, WaitingReceiver};
use quickcheck::QuickCheck;

const REQUEST_TIME: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a changed datagram, which VMs of another build would misread.
#[test]
fn waiting_notices_have_these_bytes() {
    let notice = WaitingNotice {
        service: 0x0102_0304_0506_0708,
        class: 2,
        requests: 9,
        prefill_ms: 0x0001_0203,
        oldest_ms: 640,
    };
    let mut queue = WaitingQueueNotices::default();
    queue.announce(notice, 1, ms(5000));
    let datagram = queue.next_datagram(7, ms(5040)).unwrap();
    let expected = [
        &b"DWW1"[..],
        &[0, 0, 0, 0, 0, 0, 0, 7, 0, 0, 0, 0, 0, 0, 0x13, 0xb0],
        &[1, 2, 3, 4, 5, 6, 7, 8, 2, 0, 9, 0, 1, 2, 3, 2, 0x80, 0, 40],
    ];
    assert_eq!(datagram, expected.concat());
    let rest = datagram.strip_prefix(&WaitingNotice::MAGIC).unwrap();
    let received = WaitingReceiver::default().receive(rest, ms(900)).unwrap();
    assert_eq!(received.facts[0].fact, notice);
    assert_eq!(
        (received.facts[0].sender, received.facts[0].heard_at),
        (7, ms(860))
    );
}

fn engine(hash: u64, cached_parts: &PartCache, backlog_ms: f64, requests: u32) -> ReplicaView<'_> {
    ReplicaView {
        hash,
        usable: true,
        same_data_centre: true,
        warming_up: false,
        slots: 64,
        kv_cache_tokens: 181_764,
        load: ServerLoad {
            requests,
            backlog_ms,
            tokens: u64::from(requests) * 9000,
            gap_sensitive_streams: 0,
        },
        slowness: 1.0,
        is_slow: false,
        failure_rate: 0.0,
        cached_parts,
    }
}

fn query(parts: &[PromptPart]) -> PlacementQuery<'_> {
    PlacementQuery {
        parts,
        prompt_tokens: 9190,
        output_tokens: 52,
        priority: 2,
        gap_sensitive: false,
        latency_target: ms(2000),
        waited: Duration::ZERO,
        now: ms(1000),
    }
}

/// Guards against a forecast that contradicts placement: capacity now, exactly when
/// an engine is chosen, for any load and speed of four engines.
#[test]
fn capacity_is_forecast_now_if_an_engine_is_chosen() {
    fn property(loads: Vec<(u16, u8, u8)>, seed: u64) -> bool {
        let (parts, model) = (PartCache::default(), EngineModel::default());
        let views = loads.iter().take(4).enumerate().map(|(index, load)| {
            let (backlog_ms, requests) = (f64::from(load.0 % 900), u32::from(load.1 % 24));
            ReplicaView {
                slowness: 0.6 + f64::from(load.2 % 11) / 10.0,
                ..engine(index as u64, &parts, backlog_ms, requests)
            }
        });
        let views: Vec<ReplicaView<'_>> = views.collect();
        let request = query(&[]);
        let room = RequestRoom::of(&request, &views, &model, REQUEST_TIME);
        let room_in = room.when_room(&RequestsAhead::default(), 150.0);
        let reported = ReportedQuery {
            request,
            event_gap_target: None,
            random: seed,
        };
        let choice = choose_reported_engine(&reported, &views, &model);
        matches!(choice, PlacementChoice::Chosen { .. }) == room_in.is_zero()
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(property as fn(_, _) -> _);
}

struct HomeCase {
    what: &'static str,
    /// Backlog and requests of the engine that has read the prefix, and of the
    /// other one.
    holder: (f64, u32),
    other: (f64, u32),
    waited: u64,
    others_ahead: f64,
    expected_ms: (u128, u128),
}

/// Guards against a forecast that sees room for a prompt whose home is full at
/// engines that don't take it, and against one that doesn't see that they do later.
#[test]
fn a_prompt_whose_home_is_full_waits_for_it_or_for_an_idle_engine() {
    let prompt = [(1, 6300), (2, 2890)].map(|(id, tokens)| PromptPart { id, tokens });
    let (mut held, empty) = (PartCache::default(), PartCache::default());
    held.record_use(&prompt, ms(900));
    let model = EngineModel::default();
    // Reading the prefix again takes 105 ms by the prior; the limit is 507 ms.
    let full = HomeCase {
        what: "the home drains before the other engine is idle",
        holder: (557.0, 4),
        other: (0.0, 4),
        waited: 0,
        others_ahead: 0.0,
        expected_ms: (49, 52),
    };
    let cases = [
        HomeCase {
            what: "the home has room",
            holder: (0.0, 4),
            expected_ms: (0, 0),
            ..full
        },
        HomeCase {
            what: "the other engine is idle and may be used after some time",
            holder: (1557.0, 12),
            other: (0.0, 0),
            expected_ms: (104, 107),
            ..full
        },
        HomeCase {
            what: "it has waited for that time",
            holder: (1557.0, 12),
            other: (0.0, 0),
            waited: 110,
            expected_ms: (0, 0),
            ..full
        },
        HomeCase {
            what: "few of the requests at other VMs are for this home",
            holder: (0.0, 4),
            others_ahead: 40.0,
            expected_ms: (0, 0),
            ..full
        },
        full,
    ];
    for case in cases {
        let views = [
            engine(1, &held, case.holder.0, case.holder.1),
            engine(2, &empty, case.other.0, case.other.1),
        ];
        let request = PlacementQuery {
            waited: ms(case.waited),
            ..query(&prompt)
        };
        let room = RequestRoom::of(&request, &views, &model, REQUEST_TIME);
        let ahead = RequestsAhead {
            others: WaitingSum {
                requests: case.others_ahead,
                prefill_ms: case.others_ahead * 50.0,
            },
            ..RequestsAhead::default()
        };
        let room_ms = room.when_room(&ahead, 48.0).as_millis();
        let (least, most) = case.expected_ms;
        assert!(
            (least..=most).contains(&room_ms),
            "{}: {room_ms}",
            case.what
        );
    }
}
