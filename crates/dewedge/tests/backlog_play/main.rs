//! What callers get from rejection by the forecast and by the own queue, in the
//! same load.

mod fleet;
#[path = "../random/mod.rs"]
mod random;

use fleet::{Fleet, Kind, Play, Rule, Tally};

/// Seeds of each play.
const SEEDS: [u64; 2] = [1, 2];

/// Share by which a rank may be served worse than by the own queue, for the
/// differences between two runs of one play.
const TOLERANCE: f64 = 0.02;

/// Prompts of 200 ms, of the least urgent rank.
const NOTE: Kind = Kind {
    class: 2,
    workspace: "claims",
    prefill_ms: 200.0,
    duration_ms: 900.0,
    target_ms: 2000,
    deadline_ms: 6000,
    rate: (150.0, 150.0),
};

const TRIAGE: Kind = Kind {
    class: 1,
    workspace: "chat",
    prefill_ms: 60.0,
    duration_ms: 400.0,
    target_ms: 1200,
    deadline_ms: 4000,
    rate: (150.0, 150.0),
};

const SUMMARY: Kind = Kind {
    class: 0,
    workspace: "resellers",
    prefill_ms: 20.0,
    duration_ms: 1500.0,
    target_ms: 1200,
    deadline_ms: 15_000,
    rate: (50.0, 50.0),
};

fn kind(kind: Kind, burst_rate: f64) -> Kind {
    Kind {
        rate: (kind.rate.0, burst_rate),
        ..kind
    }
}

/// A burst of 2 s at three times the capacity, 99 ms of prefill in each ms.
fn burst() -> Play {
    Play {
        kinds: vec![
            kind(NOTE, 1280.0),
            kind(TRIAGE, 600.0),
            kind(SUMMARY, 100.0),
        ],
        vms: 75,
        engines: 90,
        burst: (2000, 4000),
        end_ms: 14_000,
        hears_load: true,
        hears_facts: true,
    }
}

/// Adds up the tallies of all seeds.
fn play(play: &Play, rule: Rule) -> Vec<Tally> {
    let mut sums = vec![Tally::default(); play.kinds.len()];
    for seed in SEEDS {
        sums = Fleet::play(play, rule, seed, sums);
    }
    for (kind, tally) in play.kinds.iter().zip(&sums) {
        println!("{rule:?} {} {}: {tally:?}", kind.workspace, kind.class);
    }
    sums
}

struct PlayCase {
    what: &'static str,
    play: Play,
    /// Whether less urgent ranks must be served better, not only as well.
    gains: bool,
}

/// Guards against a forecast that serves some rank worse than the own queue did,
/// and against one that does nothing where it has facts.
#[test]
fn no_rank_is_served_worse_than_by_the_own_queue() {
    let busy = PlayCase {
        what: "burst at three times the capacity",
        play: burst(),
        gains: true,
    };
    let seven_times = Play {
        kinds: vec![
            kind(NOTE, 7.0 * 150.0),
            Kind {
                workspace: "other",
                ..NOTE
            },
            TRIAGE,
        ],
        ..burst()
    };
    let cases = [
        PlayCase {
            what: "a workspace at seven times its usual load",
            play: seven_times,
            gains: true,
        },
        PlayCase {
            what: "no facts",
            play: Play {
                hears_facts: false,
                ..burst()
            },
            gains: false,
        },
        PlayCase {
            what: "neither facts nor load",
            play: Play {
                hears_load: false,
                hears_facts: false,
                ..burst()
            },
            gains: false,
        },
        PlayCase {
            what: "no burst",
            play: Play {
                burst: (0, 0),
                ..burst()
            },
            gains: false,
        },
        busy,
    ];
    for case in cases {
        println!("{}", case.what);
        let own_queue = play(&case.play, Rule::OwnQueue);
        let forecast = play(&case.play, Rule::Forecast);
        let tallies = own_queue.iter().zip(&forecast);
        for ((before, after), kind) in tallies.zip(&case.play.kinds) {
            let (before, after) = (before.share_in_time(), after.share_in_time());
            let what = format!("{}, {} {}", case.what, kind.workspace, kind.class);
            assert!(after >= before - TOLERANCE, "{what}: {before} to {after}");
            assert!(!case.gains || after > before, "{what}: {before} to {after}");
        }
    }
}

/// Guards against late rejections, against retry times that callers don't honour or
/// that bring all back at once, and against requests that wait for ever.
#[test]
fn rejections_in_a_burst_are_early_and_spread() {
    for (kind, tally) in burst().kinds.iter().zip(play(&burst(), Rule::Forecast)) {
        assert!(tally.longest_retry_share <= 1.0 / 3.0 + 0.001, "{tally:?}");
        assert!(tally.longest_wait_ms <= kind.target_ms, "{tally:?}");
        let rejections = tally.first_rejections.max(1);
        let mean_ms = tally.rejected_after_ms / u64::from(rejections);
        // The own queue alone rejects after 0.35 of the target.
        assert!(mean_ms <= kind.target_ms * 35 / 100, "{tally:?}");
        let most = rejections / SEEDS.len() as u32 / 5;
        assert!(tally.most_retries_per_100_ms <= most.max(20), "{tally:?}");
    }
}

/// Guards against callers that retry in vain: more of them are served in time than
/// are rejected again.
#[test]
fn callers_that_retry_are_served() {
    let notes = play(&burst(), Rule::Forecast)[0];
    assert!(notes.first_rejections > 100, "{notes:?}");
    assert!(
        notes.retries_in_time * 2 > notes.first_rejections,
        "{notes:?}"
    );
    assert!(
        notes.final_rejections * 10 <= notes.first_rejections,
        "{notes:?}"
    );
}
