//! Tests of the decision log and the metrics.

use super::{DaemonMetrics, DecisionLog, WasteCause};
use crate::broker::RefusalReason;

#[test]
fn the_oldest_request_is_evicted_first() {
    let log = DecisionLog::new(2);
    log.record("r1", "entry", "One.".into());
    log.record("r2", "entry", "Two.".into());
    log.record("r1", "broker", "Three.".into());
    log.record("r3", "entry", "Four.".into());

    assert!(log.steps("r1").is_empty());
    assert_eq!(log.steps("r2").len(), 1);
    assert_eq!(log.steps("r3")[0].text, "Four.");
}

#[test]
fn decisions_about_one_request_are_bounded() {
    let log = DecisionLog::new(1);
    for step in 0..1000 {
        log.record("r1", "entry", format!("Step {step}."));
    }
    assert_eq!(log.steps("r1").len(), 32);
}

#[test]
fn metrics_have_class_and_cause_labels() {
    let metrics = DaemonMetrics::new();
    metrics.count_refusal("memo", RefusalReason::QueueFull);
    metrics.count_wasted_tokens(WasteCause::Cancelled, 7);
    metrics.count_completed("memo", true, 30);

    let text = metrics.to_text();
    let cases = [
        "dewspring_refused_total{class=\"memo\",reason=\"QueueFull\"} 1",
        "dewspring_wasted_tokens_total{cause=\"Cancelled\"} 7",
        "dewspring_attained_total{class=\"memo\"} 1",
        "dewspring_good_tokens_total{class=\"memo\"} 30",
    ];
    for case in cases {
        assert!(text.contains(case), "{case} is missing in:\n{text}");
    }
}
