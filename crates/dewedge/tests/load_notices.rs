//! The reports of servers that the VMs tell each other, and a play of a fleet with
//! and without them.

mod random;

use std::collections::VecDeque;
use std::time::Duration;

use dewedge::clock::Moment;
use dewedge::directory::ReplicaDirectory;
use dewedge::fact_notices::{DatedFact, NoticeFact};
use dewedge::format::{LoadReport, PromptPart, ReplicaEntry, ReplicaStage};
use dewedge::load_notices::{
    LoadNotice, MAX_NOTICES, NOTICE_TTL, NoticeQueue, NoticeReceiver, ReceivedNotices,
};
use dewedge::policy::engine_model::EngineModel;
use dewedge::policy::load_reports::{ReportTable, ServerReports, ServiceReports};
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad,
};
use dewedge::policy::reported_placement::{ReportedQuery, choose_reported_engine};
use quickcheck::QuickCheck;
use random::RandomSource;

/// Maximum bytes of a datagram.
const MAX_BYTES: usize = 1400;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn report(running: u32, slowness: f64) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: 16,
        slowness: Some(slowness),
    }
}

fn notice(server: u64, report: LoadReport) -> LoadNotice {
    LoadNotice::new(server, report).expect("the report names the slowness")
}

fn receive(receiver: &mut NoticeReceiver, datagram: &[u8], now: Moment) -> ReceivedNotices {
    let rest = datagram
        .strip_prefix(&LoadNotice::MAGIC)
        .expect("the first bytes");
    receiver.receive(rest, now).expect("a datagram can be read")
}

/// Server, requests that run and wait, slots, slowness in percent, and ms since the
/// report before it.
type WrittenReport = (u64, (u16, u16, u16), u16, u8);

/// Guards against a report that is read differently from how it was written, and
/// against datagrams that are too large for a packet.
#[test]
fn notices_are_read_as_they_were_written() {
    fn property(reports: Vec<WrittenReport>) -> bool {
        let now = ms(70_000);
        let mut queue = NoticeQueue::default();
        let mut expected: Vec<DatedFact<LoadNotice>> = Vec::new();
        let mut heard_at = now - ms(1999);
        for (server, (running, waiting, slots), slowness, wait) in reports {
            heard_at = (heard_at + ms(u64::from(wait))).min(now);
            let report = LoadReport {
                running: u32::from(running),
                waiting: u32::from(waiting),
                slots: u32::from(slots),
                slowness: Some(f64::from(slowness) / 100.0),
            };
            queue.announce(notice(server, report), 1, heard_at);
            expected.retain(|dated| dated.fact.server() != server);
            expected.push(DatedFact {
                fact: notice(server, report),
                sender: 1,
                heard_at,
            });
        }
        // The newest ones are kept.
        expected.drain(..expected.len().saturating_sub(MAX_NOTICES));
        let Some(datagram) = queue.next_datagram(1, now) else {
            return expected.is_empty();
        };
        let mut receiver = NoticeReceiver::default();
        let received = receive(&mut receiver, &datagram, now);
        datagram.len() <= MAX_BYTES && received.facts == expected && queue.is_empty()
    }
    QuickCheck::new().quickcheck(property as fn(Vec<WrittenReport>) -> bool);
    let many = (0..500).map(|server| (server, (1, 0, 8), 100, 1)).collect();
    assert!(property(many));
}

/// Guards against bytes that earlier builds can't read or read differently.
#[test]
fn the_bytes_of_a_datagram_stay_as_earlier_builds_read_them() {
    let mut queue = NoticeQueue::default();
    let older = LoadReport {
        running: 7,
        waiting: 300,
        slots: 64,
        slowness: Some(1.25),
    };
    let newer = LoadReport {
        running: 70_000,
        waiting: 0,
        slots: 16,
        slowness: Some(0.6),
    };
    queue.announce(notice(0x1112_1314_1516_1718, older), 2, ms(9000));
    queue.announce(notice(5, newer), 1, ms(9039));
    let expected: Vec<u8> = [
        &b"DWR1"[..],
        &[1, 2, 3, 4, 5, 6, 7, 8],
        &[0, 0, 0, 0, 0, 0, 0x23, 0x50],
        &[0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18],
        &[0, 7, 1, 44, 0, 64, 0, 125, 0, 40],
        &[0, 0, 0, 0, 0, 0, 0, 5],
        &[255, 255, 0, 0, 0, 16, 0, 60, 0, 1],
    ]
    .concat();
    let datagram = queue.next_datagram(0x0102_0304_0506_0708, ms(9040));
    assert_eq!(datagram, Some(expected));
    // The first notice has another round; its age has grown.
    let datagram = queue.next_datagram(1, ms(9300)).expect("a notice");
    assert_eq!(
        datagram[20..],
        [
            0x11, 0x12, 0x13, 0x14, 0x15, 0x16, 0x17, 0x18, 0, 7, 1, 44, 0, 64, 0, 125, 1, 44
        ]
    );
}

/// Guards against a panic, and against applying a part of a damaged datagram.
#[test]
fn a_malformed_datagram_is_rejected() {
    let mut queue = NoticeQueue::default();
    queue.announce(notice(5, report(3, 1.2)), 1, ms(9000));
    let datagram = queue.next_datagram(1, ms(9000)).expect("a notice");
    let rest = &datagram[LoadNotice::MAGIC.len()..];
    for length in (0..rest.len()).filter(|length| *length != 16) {
        let mut receiver = NoticeReceiver::default();
        assert_eq!(
            receiver.receive(&rest[..length], ms(9000)),
            None,
            "{length}"
        );
    }
    fn property(bytes: Vec<u8>, now_ms: u64) -> bool {
        let mut receiver = NoticeReceiver::default();
        let received = receiver.receive(&bytes, ms(now_ms));
        received.is_none_or(|received| received.facts.len() * 18 <= bytes.len())
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>, u64) -> bool);
}

/// Guards against datagrams of VMs whose servers don't report their slowness, and
/// of VMs without others.
#[test]
fn nothing_is_sent_without_reports_of_slowness() {
    let mut queue = NoticeQueue::default();
    let plain = LoadReport {
        slowness: None,
        ..report(3, 1.0)
    };
    assert_eq!(LoadNotice::new(5, plain), None);
    queue.announce(notice(6, report(3, 1.0)), 0, ms(9000));
    assert!(queue.is_empty());
    assert_eq!(queue.next_datagram(1, ms(9000)), None);
}

struct FleetCase {
    vms: usize,
    /// Least share of the VMs that get a report.
    least_share: f64,
}

/// Guards against VMs that are never told of a report, and against sending it to
/// them again. Each datagram goes to the next 24 VMs. In the largest fleet, a
/// report is too old before all have had their turn.
#[test]
fn each_vm_gets_a_report_once() {
    let cases = [
        FleetCase {
            vms: 8,
            least_share: 1.0,
        },
        FleetCase {
            vms: 75,
            least_share: 1.0,
        },
        FleetCase {
            vms: 300,
            least_share: 1.0,
        },
        FleetCase {
            vms: 800,
            least_share: 0.59,
        },
    ];
    for case in cases {
        let others = case.vms - 1;
        let mut queue = NoticeQueue::default();
        let mut receivers = vec![NoticeReceiver::default(); others];
        let mut got = vec![0; others];
        let mut repeated = 0;
        let (mut next_target, mut datagrams) = (0, 0);
        queue.announce(notice(5, report(3, 1.2)), others.div_ceil(24), ms(9000));
        for round in 0..60 {
            let now = ms(9005 + 100 * round);
            let Some(datagram) = queue.next_datagram(1, now) else {
                break;
            };
            datagrams += 1;
            for _ in 0..others.min(24) {
                let target = next_target % others;
                let received = receive(&mut receivers[target], &datagram, now);
                got[target] += received.facts.len();
                repeated += received.repeated;
                next_target += 1;
            }
        }
        // The report is 2 s old after 20 datagrams.
        assert_eq!(datagrams, others.div_ceil(24).min(20), "{} VMs", case.vms);
        assert!(queue.is_empty(), "{} VMs", case.vms);
        assert!(got.iter().all(|count| *count <= 1), "{} VMs", case.vms);
        let reached = got.iter().sum::<usize>() as f64 / others as f64;
        assert!(reached >= case.least_share, "{} VMs: {reached}", case.vms);
        assert!(repeated < 24, "{} VMs: {repeated}", case.vms);
    }
}

/// Datagrams of one VM with a report of each of five servers, the first at 9000 ms
/// and each 100 ms after the one before; the datagrams are sent 10 ms after these,
/// and a sixth and a seventh one 100 and 200 ms after the fifth.
fn datagrams(rounds: usize) -> Vec<Vec<u8>> {
    let mut queue = NoticeQueue::default();
    let times = (0..7u64).map(|index| (index, ms(9000 + 100 * index)));
    times
        .filter_map(|(index, at)| {
            if index < 5 {
                queue.announce(notice(index, report(index as u32, 1.2)), rounds, at);
            }
            queue.next_datagram(1, at + ms(10))
        })
        .collect()
}

struct DeliveryCase {
    name: &'static str,
    /// Number of each datagram that arrives, and its delay in ms.
    arrivals: &'static [(usize, u64)],
    /// Servers whose reports are used, and how much older they are than without a
    /// delay.
    used: &'static [(u64, u64)],
}

/// Guards against reports that are used twice, and against old ones that are used
/// as new. Each datagram carries the last three reports.
#[test]
fn old_late_repeated_and_reordered_notices_change_nothing() {
    let cases = [
        DeliveryCase {
            name: "all in order",
            arrivals: &[(0, 2), (1, 2), (2, 2), (3, 2), (4, 2)],
            used: &[(0, 0), (1, 0), (2, 0), (3, 0), (4, 0)],
        },
        DeliveryCase {
            name: "repeated at once",
            arrivals: &[(0, 2), (0, 2), (1, 2), (1, 2)],
            used: &[(0, 0), (1, 0)],
        },
        DeliveryCase {
            name: "repeated later",
            arrivals: &[(0, 2), (1, 2), (2, 2), (0, 300), (1, 300)],
            used: &[(0, 0), (1, 0), (2, 0)],
        },
        DeliveryCase {
            name: "lost ones are replaced",
            arrivals: &[(0, 2), (3, 2), (6, 2)],
            used: &[(0, 0), (1, 0), (2, 0), (3, 0), (4, 0)],
        },
        DeliveryCase {
            name: "reordered",
            arrivals: &[(0, 2), (2, 2), (1, 120), (3, 2)],
            used: &[(0, 0), (1, 0), (2, 0), (3, 0)],
        },
        DeliveryCase {
            name: "delayed",
            arrivals: &[(0, 2), (1, 152), (2, 72), (3, 2)],
            used: &[(0, 0), (1, 150), (2, 70), (3, 0)],
        },
        DeliveryCase {
            name: "too late",
            arrivals: &[(0, 2), (1, 1992), (2, 2500), (3, 2600)],
            used: &[(0, 0)],
        },
    ];
    let datagrams = datagrams(3);
    for case in cases {
        let mut receiver = NoticeReceiver::default();
        let mut used = Vec::new();
        for (index, delay) in case.arrivals {
            let now = ms(9010 + 100 * *index as u64 + delay);
            for notice in receive(&mut receiver, &datagrams[*index], now).facts {
                let server = notice.fact.server();
                assert_eq!(notice.fact.report(), report(server as u32, 1.2));
                // The transit of the fastest datagram is ignored.
                let heard_at = ms(9000 + 100 * server + 2);
                let late = heard_at.abs_diff(notice.heard_at);
                assert_eq!(late, Duration::ZERO, "{}: {notice:?}", case.name);
                let sent_at = ms(9010 + 100 * *index as u64 + 2);
                used.push((server, (now - sent_at).as_millis() as u64));
            }
        }
        assert_eq!(used, case.used, "{}", case.name);
    }
}

struct ClockCase {
    name: &'static str,
    /// Times of the receiver minus those of the sender, in ms, by datagram.
    offsets: &'static [i64],
    /// Datagrams whose reports are used.
    used: &'static [usize],
}

/// Guards against comparing the clocks of two VMs, and against ignoring a VM whose
/// clock has changed. Datagrams follow each other every 300 ms, each with a new
/// report.
#[test]
fn vms_with_different_clocks_understand_each_other() {
    let cases = [
        ClockCase {
            name: "the receiver's clock is ahead by a day",
            offsets: &[86_400_000; 4],
            used: &[0, 1, 2, 3],
        },
        ClockCase {
            name: "the sender's clock is ahead by a minute",
            offsets: &[-60_000; 4],
            used: &[0, 1, 2, 3],
        },
        ClockCase {
            name: "the sender's clock drifts by a twentieth",
            offsets: &[0, 15, 30, 45, 60, 75, 90, 105],
            used: &[0, 1, 2, 3, 4, 5, 6, 7],
        },
    ];
    let began = 100_000_000u64;
    for case in cases {
        let mut queue = NoticeQueue::default();
        let mut receiver = NoticeReceiver::default();
        let mut used = Vec::new();
        for (index, offset) in case.offsets.iter().enumerate() {
            let sent = began + 300 * index as u64;
            queue.announce(notice(7, report(1, 1.2)), 1, ms(sent - 20));
            let datagram = queue.next_datagram(1, ms(sent)).expect("a notice");
            let arrived = ms(sent.saturating_add_signed(*offset));
            for notice in receive(&mut receiver, &datagram, arrived).facts {
                let age = arrived - notice.heard_at;
                assert!((ms(20)..ms(150)).contains(&age), "{}: {age:?}", case.name);
                used.push(index);
            }
        }
        assert_eq!(used, case.used, "{}", case.name);
    }
}

/// Guards against ignoring a VM for good after its clock has stopped for a while or
/// has begun again.
#[test]
fn a_vm_whose_clock_has_changed_is_heard_again() {
    for (name, before, after, most) in [
        ("booted again", 90_000_000, 5_000, NOTICE_TTL),
        ("stopped for a minute", 90_000_000, 90_000_000, ms(11_000)),
    ] {
        let mut queue = NoticeQueue::default();
        let mut receiver = NoticeReceiver::default();
        let mut heard = Vec::new();
        for step in 0..300u64 {
            let arrived = ms(1_000_000 + 300 * step + if step < 100 { 0 } else { 60_000 });
            let sent = ms(300 * step + if step < 100 { before } else { after });
            queue.announce(notice(7, report(1, 1.2)), 1, sent);
            let datagram = queue.next_datagram(1, sent).expect("a notice");
            if !receive(&mut receiver, &datagram, arrived).facts.is_empty() {
                heard.push(step);
            }
        }
        let again = heard
            .iter()
            .find(|step| **step >= 100)
            .expect("heard again");
        let silent = ms(300 * (again - 100));
        assert!(silent <= most, "{name}: {silent:?}");
        let later = heard.iter().filter(|step| **step >= *again).count() as u64;
        assert_eq!(later, 300 - again, "{name}");
    }
}

/// Guards against an order of arrival in which an older report replaces a newer
/// one, and against a report that changes the slowness twice.
#[test]
fn only_newer_reports_change_what_is_known_of_a_server() {
    fn property(arrivals: Vec<(u8, u8)>) -> bool {
        let (mut service, mut server) = (ServiceReports::default(), ServerReports::default());
        let (mut in_order_service, mut in_order) = (service.clone(), server.clone());
        let mut newest = None;
        for (at, slowness) in arrivals {
            let heard_at = ms(5000 + u64::from(at));
            let report = report(u32::from(at), f64::from(slowness) / 100.0);
            let used = server.record_notice(report, heard_at, &mut service);
            let is_newer = newest.is_none_or(|newest| at > newest);
            if used != is_newer {
                return false;
            }
            if is_newer {
                newest = Some(at);
                in_order.record_report(report, 0, &mut in_order_service, heard_at);
            }
        }
        let now = ms(5300);
        let requests = |server: &ServerReports| server.effective_requests(0, 0, ms(500), now);
        requests(&server) == requests(&in_order)
            && (server.reported_slowness() - in_order.reported_slowness()).abs() < 1e-9
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against counts of a server's earlier run, from VMs that don't know of the
/// restart yet.
#[test]
fn reports_from_before_a_restart_are_ignored() {
    let mut service = ServiceReports::default();
    let mut server = ServerReports::default();
    assert!(server.record_notice(report(12, 3.0), ms(5000), &mut service));
    // The directory resets the state of a server that has restarted.
    server = ServerReports::default();
    server.begin(ms(5200));
    assert!(!server.record_notice(report(12, 3.0), ms(5100), &mut service));
    assert!(server.valid_report(ms(2000), ms(5300)).is_none());
    assert!(server.record_notice(report(1, 1.0), ms(5300), &mut service));
    // A request of the earlier run isn't in the report.
    server.record_end(ms(5050), true, ms(5310));
    assert_eq!(server.effective_requests(0, 0, ms(2000), ms(5300)), 1);
    // An entry that is written again changes nothing.
    server.begin(ms(5400));
    assert!(server.record_notice(report(2, 1.0), ms(5350), &mut service));
    let mut queue = NoticeQueue::default();
    queue.announce(notice(7, report(12, 3.0)), 4, ms(5000));
    queue.forget(7);
    assert!(queue.is_empty());
}

struct CountCase {
    name: &'static str,
    /// Times of own sends and ends, in ms; the report is from 5000 ms and arrives
    /// at 5200 ms.
    sends: &'static [u64],
    ends: &'static [(u64, u64)],
    own: u32,
    /// Requests in digests at the next sum after the arrival, and at the choice.
    peer: (u32, u32),
    expected: u32,
}

/// Guards against counting a request twice or not at all when the report was
/// received by another VM.
#[test]
fn requests_count_once_beside_a_notice() {
    let case = |name, expected| CountCase {
        name,
        sends: &[],
        ends: &[],
        own: 0,
        peer: (5, 5),
        expected,
    };
    let cases = [
        case("the report alone", 10),
        CountCase {
            sends: &[4900, 5100, 5150],
            own: 3,
            ..case("own sends after the report", 12)
        },
        CountCase {
            sends: &[4900, 5100],
            ends: &[(4900, 5050)],
            own: 1,
            ..case("an own request that has ended since", 10)
        },
        CountCase {
            sends: &[4900],
            ends: &[(4900, 4950)],
            ..case("an own request that had ended before", 10)
        },
        CountCase {
            sends: &[5050],
            ends: &[(5050, 5150)],
            ..case("an own request that came and went since", 10)
        },
        CountCase {
            peer: (5, 8),
            ..case("sends of other VMs after the arrival", 13)
        },
        CountCase {
            peer: (2, 2),
            ..case("digests that name fewer", 10)
        },
    ];
    for case in cases {
        let mut service = ServiceReports::default();
        let mut server = ServerReports::default();
        for sent in case.sends {
            server.record_send(ms(*sent));
        }
        for (sent, ended) in case.ends {
            server.record_end(ms(*sent), true, ms(*ended));
        }
        assert!(server.record_notice(report(10, 1.0), ms(5000), &mut service));
        let lifetime = Duration::from_secs(1000);
        // Digests count only from the first sum on.
        let now = ms(5200);
        let effective = server.effective_requests(case.own, case.peer.1, lifetime, now);
        assert!(effective <= case.expected, "{}: {effective}", case.name);
        server.begin_peer_count(case.peer.0);
        server.begin_peer_count(case.peer.1);
        let effective = server.effective_requests(case.own, case.peer.1, lifetime, now);
        assert_eq!(effective, case.expected, "{}", case.name);
        let age = server.valid_report(lifetime, now).expect("a report");
        assert_eq!((age.age, age.by_other_vm), (ms(200), true), "{}", case.name);
    }
}

/// Guards against sending again to a server that has refused a request after the
/// time of the report.
#[test]
fn a_report_from_before_a_refusal_does_not_end_it() {
    let mut service = ServiceReports::default();
    let mut server = ServerReports::default();
    server.record_refusal(Some(ms(400)), ms(5000));
    server.record_notice(report(1, 1.0), ms(4900), &mut service);
    assert!(server.is_full(ms(5100)));
    server.record_notice(report(1, 1.0), ms(5050), &mut service);
    assert!(!server.is_full(ms(5100)));
}

struct TrafficCase {
    vms: u64,
    /// Most bytes a second that a VM sends; it receives as many.
    most_bytes: f64,
    /// Least reports of a server that a VM gets each second.
    least_reports: f64,
}

/// Guards against datagrams that grow with the fleet, and against large fleets in
/// which reports don't arrive. Each VM gets 5.7 responses a second itself, and there
/// are 1.2 servers for each.
#[test]
fn traffic_is_bounded_in_large_fleets() {
    let cases = [
        TrafficCase {
            vms: 8,
            most_bytes: 2_000.0,
            least_reports: 4.0,
        },
        TrafficCase {
            vms: 75,
            most_bytes: 20_000.0,
            least_reports: 4.0,
        },
        TrafficCase {
            vms: 300,
            most_bytes: 50_000.0,
            least_reports: 4.0,
        },
        TrafficCase {
            vms: 800,
            most_bytes: 80_000.0,
            least_reports: 2.0,
        },
    ];
    for case in cases {
        let mut random = RandomSource::new(case.vms);
        let (others, servers) = (case.vms - 1, case.vms * 6 / 5);
        let rounds = others.div_ceil(24) as usize;
        let targets = others.min(24);
        let mut queue = NoticeQueue::default();
        let mut receivers = vec![NoticeReceiver::default(); others as usize];
        let (mut datagrams, mut bytes, mut notices, mut next) = (0, 0, 0, 0);
        let seconds = 60;
        for step in 0..10 * seconds {
            let now = ms(9000 + 100 * step);
            if random.unit() < 0.57 {
                queue.announce(
                    notice(random.next() % servers, report(4, 1.2)),
                    rounds,
                    now - ms(50),
                );
            }
            let Some(datagram) = queue.next_datagram(1, now) else {
                continue;
            };
            for _ in 0..targets {
                let target = (next % others) as usize;
                let received = receive(&mut receivers[target], &datagram, now);
                notices += received.facts.len();
                next += 1;
            }
            datagrams += targets;
            bytes += targets * datagram.len() as u64;
        }
        let a_second = |count: u64| count as f64 / seconds as f64;
        // Each VM gets a share of what each other one has.
        let reports = a_second(notices as u64) / servers as f64;
        println!(
            "{} VMs: {:.0} datagrams and {:.0} bytes a second from each, {reports:.1} reports a \
             second of each server at each",
            case.vms,
            a_second(datagrams),
            a_second(bytes)
        );
        assert!(a_second(bytes) <= case.most_bytes, "{} VMs", case.vms);
        assert!(reports >= case.least_reports, "{} VMs: {reports}", case.vms);
    }
}

/// Guards against a cost of notices that a VM with a tenth of a core notices. The
/// bound leaves room for a build without optimization on a busy machine.
#[test]
fn a_datagram_of_sixty_notices_costs_microseconds() {
    let mut directory = ReplicaDirectory::default();
    for index in 0..90 {
        let entry = ReplicaEntry {
            service: format!("s{}", index % 4),
            address: "127.0.0.1:80".parse().expect("an address"),
            data_centre: "dc-1".to_string(),
            version: "v1".to_string(),
            slots: 8,
            stage: ReplicaStage::Ready,
            started_ms: 1,
            interruptible: false,
            leaves_in: None,
        };
        directory.apply(format!("i-{index}"), entry, 1);
    }
    let hashes: Vec<u64> = directory.iter().map(|replica| replica.hash).collect();
    let mut services = ReportTable::default();
    let mut receiver = NoticeReceiver::default();
    let mut took: Vec<Duration> = Vec::new();
    for step in 0..400u64 {
        let now = ms(9000 + 100 * step);
        let mut queue = NoticeQueue::default();
        for hash in &hashes[..60] {
            queue.announce(notice(*hash, report(4, 1.2)), 1, now - ms(40));
        }
        let datagram = queue.next_datagram(step % 74, now).expect("notices");
        let began = std::time::Instant::now();
        let received = receive(&mut receiver, &datagram, now);
        for notice in &received.facts {
            let index = directory.by_hash(notice.fact.server()).expect("a server");
            let replica = directory.get_mut(index);
            let service = services.enable(&replica.entry.service, &notice.fact.report());
            let service = service.expect("reports of slowness");
            let reports = &mut replica.reports;
            assert!(reports.record_notice(notice.fact.report(), notice.heard_at, service));
        }
        took.push(began.elapsed());
        assert_eq!(received.facts.len(), 60);
    }
    took.sort_unstable();
    println!("60 notices take {:?} (median)", took[took.len() / 2]);
    assert!(took[took.len() / 2] < ms(1), "{took:?}");
}

const VMS: usize = 75;
const ENGINES: usize = 90;
const ARRIVALS_PER_SECOND: f64 = 430.0;
const STEP_MS: u64 = 10;
const CHANGE_MS: u64 = 30_000;
const END_MS: u64 = 90_000;

/// Start of the measurement of the load.
const WARM_MS: u64 = 5_000;

/// Time from which arrivals may not have ended in time at the end of the play.
const LAST_ARRIVAL_MS: u64 = END_MS - 2 * TARGET_MS;

/// Time from its arrival within which a caller has its response in time.
const TARGET_MS: u64 = 1_500;

/// Time that a request takes alone on an engine of normal speed, on average.
const WORK_MS: f64 = 700.0;

/// Share by which each other request at an engine slows a request down.
const CROWDING: f64 = 0.08;

/// Share of the work after which the first event is sent, with the report.
const FIRST_EVENT_SHARE: f64 = 0.15;

/// Range of the noise in the slowness that an engine reports.
const SLOWNESS_NOISE: f64 = 0.3;

/// Share of datagrams that are lost.
const LOSS: f64 = 0.01;

struct PlayedRequest {
    vm: usize,
    arrived: u64,
    sent: u64,
    work: f64,
    left: f64,
    begun: bool,
}

struct PlayedEngine {
    level: f64,
    running: Vec<PlayedRequest>,
}

struct PlayedVm {
    /// Its clock minus that of the play.
    offset: Duration,
    own: Vec<u32>,
    /// Load in the last digest of each other VM, and the sum.
    digests: Vec<Vec<(usize, u32)>>,
    peer: Vec<u32>,
    service: ServiceReports,
    reports: Vec<ServerReports>,
    queue: NoticeQueue,
    receiver: NoticeReceiver,
    waiting: VecDeque<u64>,
    next_target: usize,
}

impl PlayedVm {
    fn new(index: usize) -> Self {
        Self {
            offset: ms(1_000_000 * (index as u64 + 1)),
            own: vec![0; ENGINES],
            digests: vec![Vec::new(); VMS],
            peer: vec![0; ENGINES],
            service: ServiceReports::default(),
            reports: vec![ServerReports::default(); ENGINES],
            queue: NoticeQueue::default(),
            receiver: NoticeReceiver::default(),
            waiting: VecDeque::new(),
            next_target: index,
        }
    }

    fn clock(&self, now: u64) -> Moment {
        ms(now) + self.offset
    }

    fn receive_digest(&mut self, sender: usize, load: &[(usize, u32)]) {
        for (engine, requests) in &self.digests[sender] {
            self.peer[*engine] -= requests;
        }
        for (engine, requests) in load {
            self.peer[*engine] += requests;
        }
        self.digests[sender].clear();
        self.digests[sender].extend_from_slice(load);
    }

    /// Returns how many notices were used, and how many were superseded.
    fn receive_notices(&mut self, datagram: &[u8], now: u64) -> (u64, u64) {
        let now = self.clock(now);
        let received = receive(&mut self.receiver, datagram, now);
        let mut counts = (0, 0);
        for notice in received.facts {
            let engine = notice.fact.server() as usize;
            let server = &mut self.reports[engine];
            match server.record_notice(notice.fact.report(), notice.heard_at, &mut self.service) {
                true => counts.0 += 1,
                false => counts.1 += 1,
            }
        }
        counts
    }

    fn choose(&mut self, random: u64, now: u64) -> Option<usize> {
        let cache = PartCache::default();
        let lifetime = self.service.lifetime();
        let now = self.clock(now);
        let mut views = Vec::with_capacity(ENGINES);
        for engine in 0..ENGINES {
            self.reports[engine].begin_peer_count(self.peer[engine]);
            let mut view = ReplicaView {
                hash: engine as u64,
                usable: true,
                same_data_centre: true,
                warming_up: false,
                slots: 16,
                kv_cache_tokens: 500_000,
                load: ServerLoad {
                    requests: self.own[engine] + self.peer[engine],
                    ..ServerLoad::default()
                },
                slowness: 1.0,
                is_slow: false,
                failure_rate: 0.0,
                cached_parts: &cache,
            };
            self.reports[engine].adapt_view(&mut view, self.own[engine], lifetime, now);
            views.push(view);
        }
        let parts = [PromptPart {
            id: random,
            tokens: 400,
        }];
        let query = ReportedQuery {
            request: PlacementQuery {
                parts: &parts,
                prompt_tokens: 400,
                output_tokens: 100,
                priority: 1,
                gap_sensitive: false,
                latency_target: ms(TARGET_MS),
                waited: Duration::ZERO,
                now,
            },
            event_gap_target: None,
            random,
        };
        match choose_reported_engine(&query, &views, &EngineModel::default()) {
            PlacementChoice::Chosen { hash, .. } => Some(hash as usize),
            PlacementChoice::Busy | PlacementChoice::Unavailable => None,
        }
    }
}

/// What callers got in a part of the play, and how the load was spread.
#[derive(Clone, Copy, Debug, Default)]
struct PlayedPart {
    requests: f64,
    in_time: f64,
    /// Sum of the largest expected time at an engine relative to the mean, and
    /// number of the samples.
    largest_to_mean: (f64, f64),
}

impl PlayedPart {
    fn share_in_time(&self) -> f64 {
        self.in_time / self.requests
    }

    fn largest_to_mean(&self) -> f64 {
        self.largest_to_mean.0 / self.largest_to_mean.1
    }
}

#[derive(Debug, Default)]
struct PlayResult {
    /// Before and after the change.
    parts: [PlayedPart; 2],
    /// Engines that became slow, and for each the time after which all VMs knew it.
    known_ms: Vec<Option<u64>>,
    /// Datagrams with notices, and their bytes.
    datagrams: (u64, u64),
    /// Notices that were used, and that were superseded on arrival.
    notices: (u64, u64),
}

struct FleetPlay {
    shares: bool,
    random: RandomSource,
    engines: Vec<PlayedEngine>,
    vms: Vec<PlayedVm>,
    /// Engines that become slow, and the slowness above which a VM knows it.
    slowed: Vec<(usize, f64)>,
    result: PlayResult,
}

impl FleetPlay {
    fn new(shares: bool, seed: u64) -> Self {
        let mut random = RandomSource::new(seed);
        let engines: Vec<PlayedEngine> = (0..ENGINES)
            .map(|_| PlayedEngine {
                level: 0.6 + random.unit(),
                running: Vec::new(),
            })
            .collect();
        let slowed: Vec<(usize, f64)> = (0..ENGINES)
            .filter(|engine| engines[*engine].level < 0.8)
            .map(|engine| (engine, 1.1))
            .collect();
        Self {
            shares,
            random,
            engines,
            vms: (0..VMS).map(PlayedVm::new).collect(),
            result: PlayResult {
                known_ms: vec![None; slowed.len()],
                ..PlayResult::default()
            },
            slowed,
        }
    }

    fn run(mut self) -> PlayResult {
        let mut due = 0.0;
        for now in (0..END_MS).step_by(STEP_MS as usize) {
            if now == CHANGE_MS {
                // Fast engines become slow and slow ones fast.
                for engine in &mut self.engines {
                    engine.level = 2.2 - engine.level;
                }
            }
            due += ARRIVALS_PER_SECOND * STEP_MS as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                let vm = (self.random.next() >> 20) as usize % VMS;
                self.vms[vm].waiting.push_back(now);
                if now < LAST_ARRIVAL_MS {
                    self.part(now).requests += 1.0;
                }
            }
            self.dispatch(now);
            for engine in 0..ENGINES {
                self.work(engine, now);
            }
            for vm in (0..VMS).filter(|vm| (now / STEP_MS + *vm as u64).is_multiple_of(10)) {
                self.send_digest(vm, now);
            }
            if now.is_multiple_of(100) {
                self.measure(now);
            }
        }
        self.result
    }

    fn part(&mut self, arrived: u64) -> &mut PlayedPart {
        &mut self.result.parts[usize::from(arrived >= CHANGE_MS)]
    }

    fn dispatch(&mut self, now: u64) {
        for vm in 0..VMS {
            let late = |arrived: &u64| now - arrived > TARGET_MS;
            while self.vms[vm].waiting.front().is_some_and(late) {
                self.vms[vm].waiting.pop_front();
            }
            while let Some(&arrived) = self.vms[vm].waiting.front() {
                let random = self.random.next();
                let Some(engine) = self.vms[vm].choose(random, now) else {
                    break;
                };
                let state = &mut self.vms[vm];
                state.waiting.pop_front();
                state.own[engine] += 1;
                let sent = state.clock(now);
                state.reports[engine].record_send(sent);
                let work = WORK_MS * (0.5 + self.random.unit());
                self.engines[engine].running.push(PlayedRequest {
                    vm,
                    arrived,
                    sent: now,
                    work,
                    left: work,
                    begun: false,
                });
            }
        }
    }

    fn work(&mut self, index: usize, now: u64) {
        let engine = &mut self.engines[index];
        let crowd = 1.0 + CROWDING * engine.running.len() as f64;
        let done = STEP_MS as f64 / (engine.level * crowd);
        let mut ended = Vec::new();
        let mut reporting = Vec::new();
        for request in &mut engine.running {
            request.left -= done;
            let begins = request.left <= request.work * (1.0 - FIRST_EVENT_SHARE);
            if begins && !std::mem::replace(&mut request.begun, true) {
                reporting.push(request.vm);
            }
        }
        let running = engine.running.len() as u32;
        let level = engine.level;
        let mut index_in_list = 0;
        while let Some(request) = engine.running.get(index_in_list) {
            match request.left <= 0.0 {
                true => ended.push(engine.running.swap_remove(index_in_list)),
                false => index_in_list += 1,
            }
        }
        for vm in reporting {
            let noise = SLOWNESS_NOISE * (2.0 * self.random.unit() - 1.0);
            let slowness = ((level + noise) * 100.0).round() / 100.0;
            self.receive_report(vm, index, report(running, slowness), now);
        }
        for request in ended {
            let vm = &mut self.vms[request.vm];
            vm.own[index] -= 1;
            let (sent, ended) = (vm.clock(request.sent), vm.clock(now));
            vm.service.record_request(ended - sent);
            vm.reports[index].record_end(sent, true, ended);
            let in_time = now - request.arrived <= TARGET_MS && request.arrived < LAST_ARRIVAL_MS;
            self.part(request.arrived).in_time += f64::from(u8::from(in_time));
        }
    }

    fn receive_report(&mut self, vm: usize, engine: usize, report: LoadReport, now: u64) {
        let vm = &mut self.vms[vm];
        let now = vm.clock(now);
        vm.reports[engine].record_report(report, vm.peer[engine], &mut vm.service, now);
        if self.shares {
            let rounds = (VMS - 1).div_ceil(24);
            vm.queue
                .announce(notice(engine as u64, report), rounds, now);
        }
    }

    fn send_digest(&mut self, vm: usize, now: u64) {
        let state = &mut self.vms[vm];
        let clock = state.clock(now);
        let datagram = state.queue.next_datagram(vm as u64, clock);
        let busy = state.own.iter().copied().enumerate();
        let load: Vec<_> = busy.filter(|(_, requests)| *requests > 0).collect();
        let first = state.next_target;
        state.next_target += 24;
        for offset in 0..24 {
            let target = (vm + 1 + (first + offset) % (VMS - 1)) % VMS;
            if self.random.unit() >= LOSS {
                self.vms[target].receive_digest(vm, &load);
            }
            let Some(datagram) = &datagram else {
                continue;
            };
            self.result.datagrams.0 += 1;
            self.result.datagrams.1 += datagram.len() as u64;
            if self.random.unit() >= LOSS {
                let (used, superseded) = self.vms[target].receive_notices(datagram, now);
                self.result.notices.0 += used;
                self.result.notices.1 += superseded;
            }
        }
    }

    fn measure(&mut self, now: u64) {
        if now >= WARM_MS {
            let times = self.engines.iter();
            let times: Vec<f64> = times
                .map(|engine| engine.level * (1.0 + CROWDING * engine.running.len() as f64))
                .collect();
            let mean = times.iter().sum::<f64>() / ENGINES as f64;
            let largest = times.iter().copied().fold(0.0, f64::max);
            let sums = &mut self.part(now).largest_to_mean;
            sums.0 += largest / mean;
            sums.1 += 1.0;
        }
        if now <= CHANGE_MS {
            return;
        }
        for (position, (engine, middle)) in self.slowed.iter().enumerate() {
            let known = &mut self.result.known_ms[position];
            let knows = |vm: &PlayedVm| vm.reports[*engine].reported_slowness() > *middle;
            if known.is_none() && self.vms.iter().all(knows) {
                *known = Some(now - CHANGE_MS);
            }
        }
    }
}

/// Guards against VMs that learn only from their own responses that a server has
/// become slow. The speeds change after 30 s of 90 s.
#[test]
fn a_fleet_knows_soon_that_a_server_has_become_slow() {
    for seed in [1, 2] {
        let [alone, shared] = [false, true].map(|shares| FleetPlay::new(shares, seed).run());
        for (name, result) in [("alone", &alone), ("shared", &shared)] {
            let mut known: Vec<u64> = result.known_ms.iter().flatten().copied().collect();
            known.sort_unstable();
            println!(
                "seed {seed}, {name}: {} of {} slowed engines known by all VMs, median {:?} ms, \
                 last {:?} ms; in time {:.3} before, {:.3} after the change; largest to mean \
                 {:.2}, {:.2}; {:.0} datagrams and {:.0} bytes a second from each VM; \
                 notices used and superseded {:?}",
                known.len(),
                result.known_ms.len(),
                known.get(known.len() / 2),
                known.last(),
                result.parts[0].share_in_time(),
                result.parts[1].share_in_time(),
                result.parts[0].largest_to_mean(),
                result.parts[1].largest_to_mean(),
                result.datagrams.0 as f64 * 1000.0 / (END_MS as f64 * VMS as f64),
                result.datagrams.1 as f64 * 1000.0 / (END_MS as f64 * VMS as f64),
                result.notices,
            );
        }
        for known in &shared.known_ms {
            assert!(known.is_some_and(|known| known <= 5_000), "{shared:?}");
        }
        for (before, after) in alone.parts.iter().zip(&shared.parts) {
            assert!(after.share_in_time() > before.share_in_time(), "{shared:?}");
            assert!(
                after.largest_to_mean() < before.largest_to_mean(),
                "{shared:?}"
            );
        }
    }
}
