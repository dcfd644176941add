//! Estimates of the engine model from samples of engines of several kinds.

use std::time::Duration;

use dewedge::policy::engine_model::{EngineModel, FirstEventSample, GapSample, StreamClass};
use quickcheck::quickcheck;

/// An engine that produces samples.
#[derive(Clone, Copy, Debug)]
struct SampledEngine {
    first_ms: f64,
    tokens_per_ms: f64,
    gap_ms: f64,
    gap_growth_ms: f64,
    saturated_gap_ms: f64,
}

const ENGINES: [SampledEngine; 4] = [
    SampledEngine {
        first_ms: 40.0,
        tokens_per_ms: 56.6,
        gap_ms: 15.2,
        gap_growth_ms: 0.36,
        saturated_gap_ms: 305.0,
    },
    SampledEngine {
        first_ms: 90.0,
        tokens_per_ms: 61.4,
        gap_ms: 13.7,
        gap_growth_ms: 0.54,
        saturated_gap_ms: 280.0,
    },
    SampledEngine {
        first_ms: 90.0,
        tokens_per_ms: 61.4,
        gap_ms: 22.8,
        gap_growth_ms: 0.9,
        saturated_gap_ms: 470.0,
    },
    SampledEngine {
        first_ms: 20.0,
        tokens_per_ms: 120.0,
        gap_ms: 8.0,
        gap_growth_ms: 0.2,
        saturated_gap_ms: 90.0,
    },
];

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

/// Returns a model after so many samples of each kind.
fn trained_model(engine: SampledEngine, samples: u32) -> EngineModel {
    let mut model = EngineModel::default();
    for index in 0..samples {
        // Deviations of up to a tenth that have no mean.
        let noise = 1.0 + 0.1 * (f64::from(index * 7 % 11) / 5.0 - 1.0);
        let unread_tokens = 200 + index * 997 % 6000;
        let prefill_ms = f64::from(unread_tokens) / engine.tokens_per_ms;
        model.record_first_event(FirstEventSample {
            unread_tokens,
            backlog_ms: 0.0,
            took: from_ms((engine.first_ms + prefill_ms) * noise),
        });
        let running = index * 5 % 40;
        let gap_ms = engine.gap_ms + engine.gap_growth_ms * f64::from(running);
        model.record_gap(GapSample {
            gap: from_ms(gap_ms * noise),
            backlog_ms: 0.0,
            ends_idle: true,
            running,
        });
        model.record_gap(GapSample {
            gap: from_ms(engine.saturated_gap_ms * noise),
            backlog_ms: 5000.0,
            ends_idle: false,
            running,
        });
    }
    model
}

#[test]
fn estimates_approach_the_engine_that_is_sampled() {
    for engine in ENGINES {
        let model = trained_model(engine, 300);
        let context = format!("{engine:?}: {model:?}");
        let is_near = |estimate: f64, value: f64, tolerance: f64| {
            (estimate - value).abs() <= tolerance * value
        };
        let prefill_ms = 4000.0 / engine.tokens_per_ms;
        assert!(
            is_near(model.prefill_ms(4000), prefill_ms, 0.15),
            "{context}"
        );
        assert!(
            is_near(model.first_event_ms(), engine.first_ms, 0.25),
            "{context}"
        );
        let gap_ms = engine.gap_ms + engine.gap_growth_ms * 20.0;
        assert!(is_near(model.event_gap_ms(20), gap_ms, 0.15), "{context}");
        let saturated_ms = engine.saturated_gap_ms;
        assert!(
            is_near(model.saturated_gap_ms(), saturated_ms, 0.25),
            "{context}"
        );
    }
}

#[test]
fn only_streams_that_full_chunks_would_delay_are_gap_sensitive() {
    for engine in ENGINES {
        let model = trained_model(engine, 300);
        let tight = from_ms(engine.saturated_gap_ms * 0.8);
        let wide = from_ms(engine.saturated_gap_ms * 1.6);
        assert!(model.is_gap_sensitive(tight, 300), "{engine:?}");
        assert!(!model.is_gap_sensitive(wide, 300), "{engine:?}");
        assert!(
            !model.is_gap_sensitive(tight, 40_000),
            "its prompt would delay the others: {engine:?}"
        );
    }
}

/// Guards against streams with a wider target whose prompts delay the streams
/// with the tightest one, when all of them are gap-sensitive.
#[test]
fn prompts_that_would_delay_the_tightest_streams_are_not_gap_sensitive() {
    let mut model = EngineModel::default();
    let (tight, wide) = (Duration::from_millis(150), Duration::from_millis(280));
    assert!(model.is_gap_sensitive(wide, 3000));
    model.set_classes(vec![StreamClass {
        priority: 0,
        latency_target: Duration::from_secs(1),
        event_gap_target: tight,
    }]);
    assert!(!model.is_gap_sensitive(tight, 3000));
    assert!(model.is_gap_sensitive(tight, 300));
    assert!(!model.is_gap_sensitive(wide, 300), "it can bear more");
}

#[test]
fn the_prior_classifies_before_the_first_sample() {
    let model = EngineModel::default();
    assert!(model.is_gap_sensitive(Duration::from_millis(250), 700));
    assert!(!model.is_gap_sensitive(Duration::from_secs(1), 700));
}

#[test]
fn single_outliers_change_no_classification() {
    for engine in ENGINES {
        let mut model = trained_model(engine, 300);
        let before = model.saturated_gap_ms();
        model.record_gap(GapSample {
            gap: Duration::from_secs(30),
            backlog_ms: 100.0,
            ends_idle: false,
            running: 3,
        });
        model.record_first_event(FirstEventSample {
            unread_tokens: 100,
            backlog_ms: 0.0,
            took: Duration::from_secs(30),
        });
        let change = model.saturated_gap_ms() / before;
        assert!((0.9..=1.1).contains(&change), "{engine:?}: {change}");
    }
}

quickcheck! {
    fn estimates_stay_finite_and_positive(samples: Vec<(u32, u16, u16, u8, bool)>) -> bool {
        let mut model = EngineModel::default();
        for (tokens, took, backlog, running, ends_idle) in samples {
            let took = Duration::from_millis(u64::from(took));
            let backlog_ms = f64::from(backlog % 4) * 500.0;
            model.record_first_event(FirstEventSample { unread_tokens: tokens, backlog_ms, took });
            let running = u32::from(running);
            model.record_gap(GapSample { gap: took, backlog_ms, ends_idle, running });
            model.record_stream(backlog_ms, took);
        }
        let estimates = [
            model.prefill_ms(1),
            model.first_event_ms(),
            model.event_gap_ms(0),
            model.gap_growth_ms(),
            model.saturated_gap_ms(),
            model.stream_prefill_share(),
        ];
        estimates.iter().all(|estimate| estimate.is_finite() && *estimate > 0.0)
    }
}
