//! What the VMs tell the holder of a duty about unmet demand.

use std::time::Duration;

use dewedge::demand_notices::{DEMAND_MAGIC, DemandTable, NOTICE_TTL, UnmetDemand, encode_notice};

const SERVICE: u64 = 7;

/// One notice: its VM, when it was sent and received, and its numbers.
struct Notice {
    vm: u64,
    sent_ms: u64,
    received_ms: u64,
    waiting: u32,
    refused: u32,
}

struct Case {
    name: &'static str,
    notices: &'static [Notice],
    now_ms: u64,
    waiting: u32,
    refused: u32,
}

const fn notice(vm: u64, sent_ms: u64, received_ms: u64, waiting: u32, refused: u32) -> Notice {
    Notice {
        vm,
        sent_ms,
        received_ms,
        waiting,
        refused,
    }
}

const CASES: &[Case] = &[
    Case {
        name: "the waiting requests of all VMs are added",
        notices: &[notice(1, 10, 100, 3, 0), notice(2, 900, 110, 4, 0)],
        now_ms: 200,
        waiting: 7,
        refused: 0,
    },
    Case {
        name: "refused requests count since the notice before",
        notices: &[notice(1, 10, 100, 0, 50), notice(1, 510, 600, 0, 58)],
        now_ms: 700,
        waiting: 0,
        refused: 8,
    },
    Case {
        name: "a notice that arrives late changes nothing",
        notices: &[notice(1, 510, 600, 2, 8), notice(1, 10, 610, 9, 1)],
        now_ms: 700,
        waiting: 2,
        refused: 0,
    },
    Case {
        name: "a VM that restarted counts from zero again",
        notices: &[notice(1, 9_000, 100, 2, 8), notice(1, 10, 4_000, 1, 0)],
        now_ms: 4_100,
        waiting: 1,
        refused: 0,
    },
    Case {
        name: "sums beyond the largest number stay there",
        notices: &[
            notice(1, 10, 100, u32::MAX, 0),
            notice(2, 10, 100, 1, 0),
            notice(1, 510, 600, u32::MAX, u32::MAX),
            notice(2, 510, 600, u32::MAX, u32::MAX),
        ],
        now_ms: 700,
        waiting: u32::MAX,
        refused: u32::MAX,
    },
    Case {
        name: "a silent VM has no waiting requests",
        notices: &[notice(1, 10, 100, 3, 0)],
        now_ms: 100 + NOTICE_TTL.as_millis() as u64,
        waiting: 0,
        refused: 0,
    },
];

#[test]
fn unmet_demand_is_neither_lost_nor_counted_twice() {
    for case in CASES {
        let mut table = DemandTable::default();
        for notice in case.notices {
            let demand = UnmetDemand {
                service: SERVICE,
                waiting: notice.waiting,
                refused: notice.refused,
            };
            let sent = Duration::from_millis(notice.sent_ms);
            let bytes = encode_notice(notice.vm, sent, &[demand]);
            let received = Duration::from_millis(notice.received_ms);
            assert!(
                table.receive(&bytes[DEMAND_MAGIC.len()..], received),
                "{}",
                case.name
            );
        }
        let now = Duration::from_millis(case.now_ms);
        assert_eq!(table.waiting(SERVICE, now), case.waiting, "{}", case.name);
        assert_eq!(table.take_refused(SERVICE), case.refused, "{}", case.name);
        assert_eq!(table.take_refused(SERVICE), 0, "{}", case.name);
    }
}

#[test]
fn a_malformed_notice_is_rejected() {
    let demand = UnmetDemand {
        service: SERVICE,
        waiting: 1,
        refused: 1,
    };
    let bytes = encode_notice(1, Duration::ZERO, &[demand]);
    let body = &bytes[DEMAND_MAGIC.len()..];
    let mut table = DemandTable::default();
    for length in (0..body.len()).filter(|length| *length != 16) {
        assert!(!table.receive(&body[..length], Duration::ZERO), "{length}");
    }
}
