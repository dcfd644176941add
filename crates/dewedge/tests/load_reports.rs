//! The load that servers report, and choices by it.
//!
//! Each play gives servers as numbers and counts what arrives there.

mod random;

use std::time::Duration;

use dewedge::format::{LoadReport, PromptPart};
use dewedge::policy::engine_model::{EngineModel, StreamClass};
use dewedge::policy::load_reports::{ReportTable, ServerReports, ServiceReports};
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad, choose_engine,
    choose_plain_server,
};
use dewedge::policy::reported_placement::{
    ReportedQuery, choose_reported_engine, choose_reported_server,
};
use random::RandomSource;

const VMS: u64 = 75;

/// Returns a number between -1 and 1.
fn noise(random: &mut RandomSource) -> f64 {
    2.0 * random.unit() - 1.0
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn view(hash: u64, slots: u32, requests: u32, cached_parts: &PartCache) -> ReplicaView<'_> {
    ReplicaView {
        hash,
        usable: true,
        same_data_centre: true,
        warming_up: false,
        slots,
        kv_cache_tokens: 0,
        load: ServerLoad {
            requests,
            ..ServerLoad::default()
        },
        slowness: 1.0,
        is_slow: false,
        failure_rate: 0.0,
        cached_parts,
    }
}

fn chosen(choice: PlacementChoice) -> Option<u64> {
    match choice {
        PlacementChoice::Chosen { hash, .. } => Some(hash),
        PlacementChoice::Busy | PlacementChoice::Unavailable => None,
    }
}

fn report(running: u32, waiting: u32, slowness: f64) -> LoadReport {
    LoadReport {
        running,
        waiting,
        slots: 6,
        slowness: Some(slowness),
    }
}

struct EffectiveCase {
    name: &'static str,
    /// Own requests sent after the report.
    sends: u32,
    /// Requests that the report includes and that have ended.
    ends: u32,
    own: u32,
    /// Requests of the other VMs when the report arrived, and now.
    peer: (u32, u32),
    /// Age of the report; its lifetime is 500 ms.
    age_ms: u64,
    expected: u32,
}

/// Guards against counting a request twice or not at all, and against an old
/// report that hides the requests that VMs count in flight.
#[test]
fn the_effective_load_is_the_report_and_what_happened_since() {
    let case = |name, expected| EffectiveCase {
        name,
        sends: 0,
        ends: 0,
        own: 2,
        peer: (3, 3),
        age_ms: 0,
        expected,
    };
    let cases = [
        case("a fresh report", 8),
        EffectiveCase {
            sends: 2,
            own: 4,
            ..case("own requests sent since", 10)
        },
        EffectiveCase {
            peer: (3, 7),
            ..case("requests of other VMs sent since", 12)
        },
        EffectiveCase {
            ends: 2,
            own: 0,
            ..case("own requests ended since", 6)
        },
        EffectiveCase {
            own: 20,
            ..case("never less than the own requests", 20)
        },
        EffectiveCase {
            age_ms: 250,
            ..case("half of its lifetime", 7)
        },
        EffectiveCase {
            age_ms: 500,
            ..case("expired", 5)
        },
    ];
    for case in cases {
        let mut service = ServiceReports::default();
        let mut server = ServerReports::default();
        let received = ms(5000);
        server.record_send(received - ms(100));
        server.record_report(report(6, 2, 1.0), case.peer.0, &mut service, received);
        for index in 0..case.sends {
            server.record_send(received + ms(u64::from(index) + 1));
        }
        for _ in 0..case.ends {
            server.record_end(received - ms(100), true, received + ms(1));
        }
        let now = received + ms(case.age_ms);
        let effective = server.effective_requests(case.own, case.peer.1, ms(500), now);
        assert_eq!(effective, case.expected, "{}", case.name);
    }
}

/// Guards against requests that count although they were never sent, and against
/// a request that is sent just before a report arrives and isn't in it.
#[test]
fn a_send_that_crosses_a_report_counts_until_it_ends() {
    let mut service = ServiceReports::default();
    let mut server = ServerReports::default();
    let now = ms(5000);
    server.record_send(now - ms(1));
    server.record_report(report(0, 0, 1.0), 0, &mut service, now);
    assert_eq!(server.effective_requests(1, 0, ms(500), now), 1);
    server.record_end(now - ms(1), false, now);
    assert_eq!(server.effective_requests(0, 0, ms(500), now), 0);
}

struct RefusalCase {
    name: &'static str,
    retry_after: Option<Duration>,
    reported_at_ms: Option<u64>,
    /// Whether the server counts as full 50, 150 and 450 ms after the refusal.
    full: [bool; 3],
}

/// Guards against further requests to a server that has just refused one, and
/// against avoiding it after it reported room.
#[test]
fn a_refusal_marks_a_server_as_full() {
    let cases = [
        RefusalCase {
            name: "no time",
            retry_after: None,
            reported_at_ms: None,
            full: [true, false, false],
        },
        RefusalCase {
            name: "Retry-After",
            retry_after: Some(ms(400)),
            reported_at_ms: None,
            full: [true, true, false],
        },
        RefusalCase {
            name: "a later report",
            retry_after: Some(ms(400)),
            reported_at_ms: Some(100),
            full: [true, false, false],
        },
    ];
    let cache = PartCache::default();
    for case in cases {
        let mut service = ServiceReports::default();
        let mut server = ServerReports::default();
        let refused = ms(5000);
        server.record_report(report(1, 0, 1.0), 0, &mut service, refused);
        server.record_refusal(case.retry_after, refused);
        for (after, full) in [50, 150, 450].into_iter().zip(case.full) {
            let now = refused + ms(after);
            if case.reported_at_ms.is_some_and(|at| at <= after) {
                server.record_report(report(1, 0, 1.0), 0, &mut service, now);
            }
            let mut adapted = view(1, 6, 0, &cache);
            server.adapt_view(&mut adapted, 0, ms(500), now);
            let choice = choose_reported_server(&[adapted], 7);
            let context = format!("{}, {after} ms after", case.name);
            assert_eq!(choice == PlacementChoice::Busy, full, "{context}");
        }
    }
}

struct StaleCase {
    name: &'static str,
    /// Requests at the servers, with 6 slots each, according to the report.
    loads: &'static [u32],
    /// Largest number of requests sent to one server, relative to the mean.
    most: f64,
}

/// Returns how many requests each server gets if each VM sends one, knowing the
/// same report.
fn spread(loads: &[u32], choose: impl Fn(&[ReplicaView<'_>], u64) -> PlacementChoice) -> Vec<u32> {
    let cache = PartCache::default();
    let views: Vec<_> = (0u64..)
        .zip(loads)
        .map(|(hash, requests)| view(hash, 6, *requests, &cache))
        .collect();
    let mut random = RandomSource::new(5);
    let mut sent = vec![0; loads.len()];
    for _ in 0..VMS {
        let hash = chosen(choose(&views, random.next())).expect("the servers have capacity");
        sent[hash as usize] += 1;
    }
    sent
}

fn largest_to_mean(sent: &[u32]) -> f64 {
    let largest = sent.iter().copied().max().unwrap_or(0);
    f64::from(largest) * sent.len() as f64 / VMS as f64
}

/// Guards against all VMs choosing the same server because they know the same
/// report.
#[test]
fn vms_with_the_same_stale_report_choose_different_servers() {
    let cases = [
        StaleCase {
            name: "three servers, one a little less busy",
            loads: &[3, 2, 3],
            most: 1.8,
        },
        StaleCase {
            name: "three servers, one nearly idle",
            loads: &[5, 1, 5],
            most: 2.5,
        },
        StaleCase {
            name: "twelve servers",
            loads: &[3, 4, 2, 3, 5, 1, 3, 4, 2, 3, 5, 3],
            most: 2.5,
        },
    ];
    for case in cases {
        let before = largest_to_mean(&spread(case.loads, choose_plain_server));
        let after = largest_to_mean(&spread(case.loads, choose_reported_server));
        println!(
            "{}: largest to mean {before:.2} before, {after:.2} after",
            case.name
        );
        assert!(after <= case.most, "{}: {after}", case.name);
        assert!(before > case.most, "{}: {before}", case.name);
    }
}

/// Guards against servers that refuse many requests while others have free
/// slots. In each round, 75 VMs know the loads at its start, and 9 of them send
/// a request to three servers that hold 8 at most; 40 percent of the requests
/// end.
#[test]
fn servers_refuse_fewer_requests_by_vms_with_stale_reports() {
    let play = |choose: fn(&[ReplicaView<'_>], u64) -> PlacementChoice| {
        let cache = PartCache::default();
        let mut random = RandomSource::new(9);
        let mut loads = [4u32; 3];
        let (mut sent, mut refused) = (0, 0);
        for _ in 0..400 {
            let views = [0, 1, 2].map(|hash| view(hash as u64, 6, loads[hash], &cache));
            for _ in 0..9 {
                let Some(hash) = chosen(choose(&views, random.next())) else {
                    continue;
                };
                sent += 1;
                let load = &mut loads[hash as usize];
                match *load >= 8 {
                    true => refused += 1,
                    false => *load += 1,
                }
            }
            for load in &mut loads {
                *load -= (f64::from(*load) * 0.4).round() as u32;
            }
        }
        f64::from(refused) / f64::from(sent)
    };
    let (before, after) = (play(choose_plain_server), play(choose_reported_server));
    println!("refused {before:.3} before, {after:.3} after");
    assert!(after < 0.10, "{after}");
    assert!(before > 0.25, "{before}");
}

/// Guards against a slow machine that gets as many requests as the others.
#[test]
fn a_slow_plain_server_gets_fewer_requests() {
    let cache = PartCache::default();
    let mut views = [0, 1, 2].map(|hash| view(hash, 6, 3, &cache));
    views[0].slowness = 2.0;
    let mut random = RandomSource::new(3);
    let mut sent = [0; 3];
    for _ in 0..3000 {
        let hash = chosen(choose_reported_server(&views, random.next())).expect("has capacity");
        sent[hash as usize] += 1;
    }
    let share = f64::from(sent[0]) / 3000.0;
    assert!((0.1..0.25).contains(&share), "{sent:?}");
}

struct SlownessCase {
    name: &'static str,
    /// Range of the noise around the level.
    noise: f64,
    /// Level from the hundredth report on; before it is 1.
    level: f64,
    /// Bounds of the smoothed slowness from the tenth report after the change on,
    /// for 95 percent of the reports.
    bounds: (f64, f64),
}

/// Guards against following the noise of the reported slowness, and against not
/// following a lasting change. Reports arrive every 400 ms, and the other servers
/// of the service only have the noise.
#[test]
fn noise_of_slowness_is_not_followed_and_a_lasting_change_is() {
    let cases = [
        SlownessCase {
            name: "noise",
            noise: 0.4,
            level: 1.0,
            bounds: (0.8, 1.2),
        },
        SlownessCase {
            name: "a slow machine",
            noise: 0.4,
            level: 1.6,
            bounds: (1.35, 1.85),
        },
        SlownessCase {
            name: "a fast machine",
            noise: 0.4,
            level: 0.6,
            bounds: (0.4, 0.8),
        },
        SlownessCase {
            name: "little noise",
            noise: 0.05,
            level: 1.3,
            bounds: (1.25, 1.35),
        },
    ];
    for case in cases {
        let (mut values, mut outside) = (0, 0);
        for seed in 1..=20 {
            let mut random = RandomSource::new(seed);
            let mut service = ServiceReports::default();
            let mut servers = vec![ServerReports::default(); 6];
            let (mut deviation, mut raw) = (0.0, 0.0);
            for step in 0..200u64 {
                for (index, server) in servers.iter_mut().enumerate() {
                    let level = match index == 0 && step >= 100 {
                        true => case.level,
                        false => 1.0,
                    };
                    let slowness = level + case.noise * noise(&mut random);
                    let now = ms(5000 + 400 * step);
                    server.record_report(report(1, 0, slowness), 0, &mut service, now);
                    if step >= 20 && index > 0 {
                        deviation += (server.reported_slowness() - 1.0).powi(2);
                        raw += (slowness - 1.0).powi(2);
                    }
                }
                let smoothed = servers[0].reported_slowness();
                let (least, most) = case.bounds;
                if step >= 110 {
                    values += 1;
                    outside += u32::from(!(least..=most).contains(&smoothed));
                }
            }
            let share = (deviation / raw).sqrt();
            assert!(share < 0.4, "{}, seed {seed}: {share}", case.name);
        }
        println!("{}: {outside} of {values} outside", case.name);
        assert!(outside * 20 <= values, "{}: {outside}", case.name);
    }
}

/// Guards against smoothing a slowness that drifts as if it were noise.
#[test]
fn the_time_constant_follows_how_much_successive_values_differ() {
    let mut constants = Vec::new();
    for drifts in [true, false] {
        let mut random = RandomSource::new(4);
        let mut service = ServiceReports::default();
        let mut server = ServerReports::default();
        let mut level = 1.0;
        for step in 0..600u64 {
            let slowness = match drifts {
                true => {
                    level = f64::clamp(level + 0.1 * noise(&mut random), 0.5, 3.0);
                    level
                }
                false => 1.0 + 0.3 * noise(&mut random),
            };
            let now = ms(5000 + 400 * step);
            server.record_report(report(1, 0, slowness), 0, &mut service, now);
        }
        constants.push(service.time_constant());
    }
    assert!(constants[0] < ms(800), "{constants:?}");
    assert!(constants[1] > ms(4000), "{constants:?}");
}

/// What streams with a target of 200 ms for their gaps get beside long prompts,
/// on engines of which half are fast and half are slow.
#[derive(Debug, Default)]
struct StreamResult {
    streams: u32,
    late: u32,
    /// Requests at the slow and at the fast engines.
    requests: [u32; 2],
    /// Largest expected time of an engine's requests, relative to the mean.
    largest_to_mean: f64,
}

/// Sends long prompts and streams in turn; some streams are so many that they
/// don't fit on the reserved engines. Each engine has read the prompts that fit
/// into 60 ms until the next arrivals.
fn play_streams(reported: bool, seed: u64) -> StreamResult {
    let cache = PartCache::default();
    let model = EngineModel::default();
    let mut random = RandomSource::new(seed);
    let slowness = |index: usize| [1.6, 0.6][index % 2];
    let mut loads = [ServerLoad::default(); 12];
    let mut busy_ms = [0.0; 12];
    let mut result = StreamResult::default();
    let mut streams: Vec<(u64, usize)> = Vec::new();
    for round in 0..200u64 {
        for (index, load) in loads.iter_mut().enumerate() {
            load.backlog_ms = (load.backlog_ms - 60.0 / slowness(index)).max(0.0);
            if load.backlog_ms == 0.0 {
                load.requests = load.gap_sensitive_streams;
            }
        }
        streams.retain(|(ends, engine)| {
            if *ends <= round {
                loads[*engine].gap_sensitive_streams -= 1;
                loads[*engine].requests -= 1;
            }
            *ends > round
        });
        for arrival in 0..8 {
            let gap_sensitive = arrival % 2 == 0;
            let tokens = if gap_sensitive { 800 } else { 8000 };
            let parts = [PromptPart {
                id: random.next(),
                tokens,
            }];
            let views: Vec<_> = (0..12usize)
                .map(|index| ReplicaView {
                    kv_cache_tokens: 500_000,
                    load: loads[index],
                    // The product learns half of the difference without reports.
                    slowness: match reported {
                        true => slowness(index),
                        false => (1.0 + slowness(index)) / 2.0,
                    },
                    ..view(index as u64 * 7919, 64, 0, &cache)
                })
                .collect();
            let request = PlacementQuery {
                parts: &parts,
                prompt_tokens: tokens,
                output_tokens: 50,
                priority: if gap_sensitive { 0 } else { 2 },
                gap_sensitive,
                latency_target: ms(1500),
                waited: Duration::ZERO,
                now: ms(1000),
            };
            let choice = match reported {
                true => choose_reported_engine(
                    &ReportedQuery {
                        request,
                        event_gap_target: Some(ms(if gap_sensitive { 200 } else { 1200 })),
                        random: random.next(),
                    },
                    &views,
                    &model,
                ),
                false => choose_engine(&request, &views, &model),
            };
            let Some(hash) = chosen(choice) else {
                continue;
            };
            let engine = hash as usize / 7919;
            let load = &mut loads[engine];
            load.requests += 1;
            load.gap_sensitive_streams += u32::from(gap_sensitive);
            load.backlog_ms += model.prefill_ms(tokens);
            busy_ms[engine] += model.prefill_ms(tokens) * slowness(engine);
            result.requests[engine % 2] += 1;
            if gap_sensitive {
                streams.push((round + 25, engine));
                result.streams += 1;
                let gap_ms = model.event_gap_ms(load.requests) + load.backlog_ms;
                let longest_ms = gap_ms.min(model.saturated_gap_ms()) * slowness(engine);
                result.late += u32::from(longest_ms > 200.0);
            }
        }
    }
    let mean = busy_ms.iter().sum::<f64>() / 12.0;
    result.largest_to_mean = busy_ms.into_iter().fold(0.0, f64::max) / mean;
    result
}

/// Guards against streams on slow engines that read long prompts, and against
/// slow engines that carry as much as fast ones.
#[test]
fn streams_avoid_slow_engines_that_read_long_prompts() {
    for seed in [1, 2, 3] {
        let (before, after) = (play_streams(false, seed), play_streams(true, seed));
        println!("seed {seed}: before {before:?}, after {after:?}");
        assert!(after.late * 20 <= after.streams, "{after:?}");
        assert!(after.late <= before.late, "{before:?} {after:?}");
        assert!(after.streams >= before.streams, "{before:?} {after:?}");
        assert!(after.requests[0] < after.requests[1], "{after:?}");
        assert!(
            after.largest_to_mean <= before.largest_to_mean + 0.1,
            "{before:?} {after:?}"
        );
    }
}

/// What callers get while the streams of a burst end and long prompts go on.
#[derive(Debug, Default)]
struct FallResult {
    streams: u32,
    /// Streams beside which a long prompt was read.
    late: u32,
    prompts: u32,
    refused: u32,
}

/// Eight streams a round for 40 rounds of 60 ms, then one; each lasts 40 rounds,
/// and there are three long prompts a round. A prompt that finds no engine waits
/// for up to 8 rounds.
fn play_falling_streams(seed: u64) -> FallResult {
    const ENGINES: usize = 24;
    let cache = PartCache::default();
    let mut model = EngineModel::default();
    model.set_classes(vec![StreamClass {
        priority: 0,
        latency_target: ms(1200),
        event_gap_target: ms(120),
    }]);
    let mut random = RandomSource::new(seed);
    let mut backlogs = [0.0f64; ENGINES];
    // Of each stream, when it ends and whether a prompt has delayed it.
    let mut streams: Vec<Vec<(u64, bool)>> = vec![Vec::new(); ENGINES];
    let mut waiting: Vec<u64> = Vec::new();
    let mut result = FallResult::default();
    for round in 0..120u64 {
        for engine in 0..ENGINES {
            backlogs[engine] = (backlogs[engine] - 60.0).max(0.0);
            streams[engine].retain(|(ends, _)| *ends > round);
        }
        waiting.extend([round; 3]);
        let before = waiting.len();
        waiting.retain(|since| round - since <= 8);
        result.refused += (before - waiting.len()) as u32;
        let new_streams = if round < 40 { 8 } else { 1 };
        let arrivals = (0..new_streams).map(|_| None);
        let prompts = std::mem::take(&mut waiting);
        for since in arrivals.chain(prompts.into_iter().map(Some)) {
            let views: Vec<_> = (0..ENGINES)
                .map(|engine| {
                    let running = streams[engine].len() as u32;
                    ReplicaView {
                        kv_cache_tokens: 500_000,
                        load: ServerLoad {
                            requests: running + u32::from(backlogs[engine] > 0.0),
                            backlog_ms: backlogs[engine],
                            tokens: 0,
                            gap_sensitive_streams: running,
                        },
                        ..view(engine as u64 * 7919 + 1, 64, 0, &cache)
                    }
                })
                .collect();
            let tokens = if since.is_some() { 8000 } else { 100 };
            let parts = [PromptPart {
                id: random.next(),
                tokens,
            }];
            let request = PlacementQuery {
                parts: &parts,
                prompt_tokens: tokens,
                output_tokens: 50,
                priority: if since.is_some() { 2 } else { 0 },
                gap_sensitive: since.is_none(),
                latency_target: ms(2000),
                waited: ms(60 * (round - since.unwrap_or(round))),
                now: ms(1000),
            };
            let query = ReportedQuery {
                request,
                event_gap_target: Some(ms(if since.is_none() { 120 } else { 1200 })),
                random: random.next(),
            };
            let Some(hash) = chosen(choose_reported_engine(&query, &views, &model)) else {
                waiting.extend(since);
                continue;
            };
            let engine = hash as usize / 7919;
            backlogs[engine] += model.prefill_ms(tokens);
            if since.is_none() {
                result.streams += 1;
                streams[engine].push((round + 40, false));
                continue;
            }
            result.prompts += 1;
            for (_, is_late) in &mut streams[engine] {
                result.late += u32::from(!std::mem::replace(is_late, true));
            }
        }
    }
    result
}

/// Guards against long prompts on engines whose reservation has ended while their
/// streams still run, and against prompts that starve because of streams.
#[test]
fn prompts_wait_for_engines_where_they_delay_no_streams() {
    for seed in [1, 2, 3] {
        let result = play_falling_streams(seed);
        println!("seed {seed}: {result:?}");
        assert!(result.late * 20 <= result.streams, "{result:?}");
        assert!(result.refused * 20 <= result.prompts, "{result:?}");
    }
}

/// Guards against a changed choice for services whose servers don't report their
/// slowness.
#[test]
fn nothing_changes_without_reports_of_slowness() {
    let mut table = ReportTable::default();
    let plain = LoadReport {
        slowness: None,
        ..report(6, 2, 1.0)
    };
    for _ in 0..3 {
        assert!(table.enable("draft", &plain).is_none());
    }
    assert!(table.get("draft").is_none());
    assert!(table.enable("draft", &report(6, 2, 1.0)).is_some());
    assert!(table.get("other").is_none());
    let cache = PartCache::default();
    let untouched = view(1, 6, 4, &cache);
    let mut adapted = untouched.clone();
    ServerReports::default().adapt_view(&mut adapted, 2, ms(500), ms(5000));
    assert_eq!(adapted.load, untouched.load);
    assert_eq!(adapted.slots, untouched.slots);
    assert!((adapted.slowness - untouched.slowness).abs() < f64::EPSILON);
}
