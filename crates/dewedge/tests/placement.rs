//! The choice of a server for a request.

use std::time::Duration;

use dewedge::format::PromptPart;
use dewedge::policy::engine_model::{EngineModel, StreamClass};
use dewedge::policy::placement::{
    PartCache, PlacementChoice, PlacementQuery, ReplicaView, ServerLoad, choose_engine,
    choose_plain_server, shared_prefix_tokens,
};
use dewedge::policy::warmup::WarmUp;

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn engine(hash: u64, cached_parts: &PartCache, load: ServerLoad) -> ReplicaView<'_> {
    ReplicaView {
        hash,
        usable: true,
        same_data_centre: true,
        warming_up: false,
        slots: 64,
        kv_cache_tokens: 300_000,
        load,
        slowness: 1.0,
        is_slow: false,
        failure_rate: 0.0,
        cached_parts,
    }
}

/// Returns twelve engines, each with the load that `load` returns for its hash.
fn twelve_engines(parts: &PartCache, load: impl Fn(u64) -> ServerLoad) -> Vec<ReplicaView<'_>> {
    (0..12)
        .map(|hash| engine(hash, parts, load(hash)))
        .collect()
}

/// Returns a load function that gives only the `busy` engines a load.
fn load_on(busy: impl Fn(u64) -> bool, load: ServerLoad) -> impl Fn(u64) -> ServerLoad {
    move |hash| {
        if busy(hash) {
            load
        } else {
            ServerLoad::default()
        }
    }
}

fn parts(shared: u64, own: u64) -> Vec<PromptPart> {
    [(1, 2500), (shared, 3800), (own, 2900)]
        .map(|(id, tokens)| PromptPart { id, tokens })
        .to_vec()
}

fn query(parts: &[PromptPart], gap_sensitive: bool) -> PlacementQuery<'_> {
    PlacementQuery {
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 50,
        priority: 2,
        gap_sensitive,
        latency_target: ms(1500),
        waited: Duration::ZERO,
        now: ms(1000),
    }
}

fn chosen(choice: PlacementChoice) -> u64 {
    match choice {
        PlacementChoice::Chosen { hash, .. } => hash,
        other => panic!("no server was chosen: {other:?}"),
    }
}

#[test]
fn requests_with_the_same_shared_part_share_a_home() {
    let cache = PartCache::default();
    for shared in 10..40 {
        let views = twelve_engines(&cache, |_| ServerLoad::default());
        let mut reversed = views.clone();
        reversed.reverse();
        let first = chosen(choose_engine(
            &query(&parts(shared, 100), false),
            &views,
            &EngineModel::default(),
        ));
        let second = chosen(choose_engine(
            &query(&parts(shared, 200), false),
            &reversed,
            &EngineModel::default(),
        ));
        assert_eq!(first, second, "shared part {shared}");
    }
}

#[test]
fn an_idle_engine_is_preferred_to_a_full_home() {
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    let idle = twelve_engines(&cache, |_| ServerLoad::default());
    let home = chosen(choose_engine(
        &query(&prompt, false),
        &idle,
        &EngineModel::default(),
    ));
    let full = ServerLoad {
        requests: 12,
        ..ServerLoad::default()
    };
    let views = twelve_engines(&cache, load_on(|hash| hash == home, full));
    let model = EngineModel::default();
    let prefix_ms = model.prefill_ms(shared_prefix_tokens(&prompt)) as u64;
    let waiting = |waited| PlacementQuery {
        waited,
        ..query(&prompt, false)
    };
    assert_eq!(
        choose_engine(&waiting(ms(prefix_ms / 2)), &views, &model),
        PlacementChoice::Busy,
        "its home may have capacity before another engine has read the prefix"
    );
    let other = chosen(choose_engine(&waiting(ms(prefix_ms + 1)), &views, &model));
    assert_ne!(other, home);
}

/// Guards against a hot prefix that has one engine only, although others have
/// read it.
#[test]
fn an_engine_that_has_read_the_prefix_is_as_good_as_a_full_home() {
    let (empty, mut holding) = (PartCache::default(), PartCache::default());
    let prompt = parts(10, 100);
    holding.record_use(&prompt, ms(900));
    let idle = twelve_engines(&empty, |_| ServerLoad::default());
    let model = EngineModel::default();
    let home = chosen(choose_engine(&query(&prompt, false), &idle, &model));
    let full = ServerLoad {
        requests: 12,
        ..ServerLoad::default()
    };
    let holder = idle
        .iter()
        .map(|view| view.hash)
        .find(|hash| *hash != home)
        .expect("there are twelve");
    let mut views = twelve_engines(&empty, load_on(|hash| hash == home, full));
    for view in views.iter_mut().filter(|view| view.hash == holder) {
        view.cached_parts = &holding;
    }
    let choice = choose_engine(&query(&prompt, false), &views, &model);
    assert_eq!(chosen(choice), holder);
}

#[test]
fn long_prompts_avoid_the_engines_reserved_for_gap_sensitive_streams() {
    let cache = PartCache::default();
    let streams = ServerLoad {
        requests: 30,
        gap_sensitive_streams: 30,
        ..ServerLoad::default()
    };
    let views = twelve_engines(&cache, load_on(|hash| hash < 2, streams));
    for shared in 10..60 {
        let prompt = parts(shared, 100);
        assert!(
            chosen(choose_engine(
                &query(&prompt, false),
                &views,
                &EngineModel::default()
            )) >= 2
        );
        assert!(
            chosen(choose_engine(
                &query(&prompt, true),
                &views,
                &EngineModel::default()
            )) < 2
        );
    }
}

#[test]
fn more_engines_are_reserved_if_they_have_few_slots() {
    let cache = PartCache::default();
    let streams = ServerLoad {
        requests: 10,
        gap_sensitive_streams: 10,
        ..ServerLoad::default()
    };
    let mut views = twelve_engines(&cache, load_on(|hash| hash < 4, streams));
    views.iter_mut().for_each(|view| view.slots = 16);
    for shared in 10..60 {
        let prompt = parts(shared, 100);
        assert!(
            chosen(choose_engine(
                &query(&prompt, false),
                &views,
                &EngineModel::default()
            )) >= 4
        );
    }
}

struct BusyCase {
    name: &'static str,
    load: ServerLoad,
    expected: PlacementChoice,
}

#[test]
fn busy_and_unusable_engines_give_different_choices() {
    let cases = [
        BusyCase {
            name: "the prefill backlog is too long",
            load: ServerLoad {
                requests: 2,
                backlog_ms: 900.0,
                ..ServerLoad::default()
            },
            expected: PlacementChoice::Busy,
        },
        BusyCase {
            name: "the KV cache is full",
            load: ServerLoad {
                requests: 2,
                tokens: 250_000,
                ..ServerLoad::default()
            },
            expected: PlacementChoice::Busy,
        },
    ];
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    for case in cases {
        let mut views = vec![engine(1, &cache, case.load)];
        assert_eq!(
            choose_engine(&query(&prompt, false), &views, &EngineModel::default()),
            case.expected,
            "{}",
            case.name
        );
        views[0].usable = false;
        let choice = choose_engine(&query(&prompt, false), &views, &EngineModel::default());
        assert_eq!(choice, PlacementChoice::Unavailable, "{}", case.name);
    }
}

#[test]
fn a_plain_request_goes_to_the_least_loaded_server() {
    let cache = PartCache::default();
    let mut views: Vec<_> = (0..3)
        .map(|hash| {
            let requests = [5, 2, 6][hash as usize];
            let load = ServerLoad {
                requests,
                ..ServerLoad::default()
            };
            ReplicaView {
                slots: 6,
                kv_cache_tokens: 0,
                ..engine(hash, &cache, load)
            }
        })
        .collect();
    assert_eq!(chosen(choose_plain_server(&views, 7)), 1);
    views[1].failure_rate = 0.9;
    assert_eq!(chosen(choose_plain_server(&views, 7)), 0);
}

#[test]
fn prompts_of_a_home_that_warms_up_go_to_another_engine() {
    let cache = PartCache::default();
    let busy = ServerLoad {
        requests: 3,
        ..ServerLoad::default()
    };
    let mut views = twelve_engines(&cache, |_| busy);
    for shared in 10..30 {
        let prompt = parts(shared, 100);
        let home = chosen(choose_engine(
            &query(&prompt, false),
            &views,
            &EngineModel::default(),
        ));
        views[home as usize].warming_up = true;
        let other = chosen(choose_engine(
            &query(&prompt, false),
            &views,
            &EngineModel::default(),
        ));
        assert_ne!(home, other, "part {shared}");
        views[home as usize].warming_up = false;
    }
}

#[test]
fn a_less_urgent_class_leaves_capacity_for_a_more_urgent_one() {
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    let full = ServerLoad {
        requests: 12,
        ..ServerLoad::default()
    };
    let views = twelve_engines(&cache, |_| full);
    let less = query(&prompt, false);
    assert_eq!(
        choose_engine(&less, &views, &EngineModel::default()),
        PlacementChoice::Busy
    );
    let more = PlacementQuery {
        priority: 1,
        ..less
    };
    assert!(matches!(
        choose_engine(&more, &views, &EngineModel::default()),
        PlacementChoice::Chosen { .. }
    ));
}

/// Guards against a less urgent class with a long target that keeps the backlogs
/// of all engines above the limit of a more urgent one with a short target.
#[test]
fn a_more_urgent_class_accepts_the_backlogs_that_a_less_urgent_one_leaves() {
    let cache = PartCache::default();
    let prompt = parts(10, 100);
    let class = |priority: u8, target: u64| StreamClass {
        priority,
        latency_target: ms(target),
        event_gap_target: ms(2000),
    };
    let mut model = EngineModel::default();
    model.set_classes(vec![class(1, 800), class(2, 2500)]);
    for backlog_ms in (0..1000).map(f64::from) {
        let load = ServerLoad {
            requests: 1,
            backlog_ms,
            ..ServerLoad::default()
        };
        let views = twelve_engines(&cache, |_| load);
        let is_busy = |priority, target| {
            let query = PlacementQuery {
                priority,
                latency_target: ms(target),
                ..query(&prompt, false)
            };
            choose_engine(&query, &views, &model) == PlacementChoice::Busy
        };
        assert!(is_busy(2, 2500) || !is_busy(1, 800), "{backlog_ms} ms");
    }
}

struct StartCase {
    name: &'static str,
    vms: u32,
    restarts: u32,
    /// Times after the start, and the maximum requests sent by then.
    by: [(u64, u32); 4],
    /// Time after which every VM may use the server.
    all_ms: u64,
}

/// Simulates waiting requests on all VMs of a fleet when a server starts,
/// before any digest arrives; returns how many have been sent to it `at` ms
/// after.
fn requests_sent(case: &StartCase, at: u64) -> u32 {
    let start = ms(60_000);
    let cache = PartCache::default();
    let mut sent = 0;
    for rank in 0..case.vms {
        let mut warmup = WarmUp::default();
        for restart in 1..case.restarts {
            warmup.begin(rank, true, start - ms(1000) * (case.restarts - restart));
        }
        warmup.begin(rank, case.restarts > 0, start);
        let mut own = 0;
        for _ in 0..5 {
            let now = start + ms(at);
            let view = ReplicaView {
                warming_up: warmup.must_wait(own, now),
                ..engine(1, &cache, ServerLoad::default())
            };
            let prompt = parts(10, u64::from(rank));
            if choose_engine(&query(&prompt, false), &[view], &EngineModel::default())
                == PlacementChoice::Busy
            {
                break;
            }
            own += 1;
        }
        sent += own;
    }
    sent
}

#[test]
fn vms_start_to_use_a_started_server_in_waves() {
    let cases = [
        StartCase {
            name: "a small fleet",
            vms: 8,
            restarts: 0,
            by: [(0, 4), (399, 4), (400, 18), (800, 40)],
            all_ms: 1200,
        },
        StartCase {
            name: "a large fleet",
            vms: 67,
            restarts: 0,
            by: [(0, 4), (399, 4), (400, 18), (800, 46)],
            all_ms: 2800,
        },
        StartCase {
            name: "one recent restart",
            vms: 67,
            restarts: 1,
            by: [(0, 0), (799, 0), (800, 4), (1200, 18)],
            all_ms: 3600,
        },
        StartCase {
            name: "a flapping server",
            vms: 67,
            restarts: 3,
            by: [(0, 0), (800, 0), (2399, 0), (2400, 4)],
            all_ms: 5200,
        },
    ];
    for case in cases {
        for (at, most) in case.by {
            let sent = requests_sent(&case, at);
            assert!(sent <= most, "{}: {sent} after {at} ms", case.name);
        }
        assert_eq!(
            requests_sent(&case, case.all_ms),
            case.vms * 5,
            "{}",
            case.name
        );
    }
}
