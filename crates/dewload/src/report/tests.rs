//! Tests of the report of a run.

use std::time::Duration;

use indexmap::IndexMap;

use super::{LatencyHistogram, csv_text, report_run, table_text};
use crate::client::{RequestOutcome, ResponseRecord, ResponseTimes};
use crate::plan::PlannedRequest;
use crate::runner::{FinishedRequest, FinishedRun, ServerCounts};
use crate::workload::{BurstSpec, WorkloadSpec};

fn workload(late: &str) -> WorkloadSpec {
    let text = format!(
        r#"
        duration_seconds = 1
        [[class]]
        name = "memo"
        path = "/chat"
        model = "m"
        late = "{late}"
        rate_per_second = 1
        first_token_ms = 50
        target_ms = 100
        prompt_tokens = {{ median = 1, sigma = 0, max = 5 }}
        answer_tokens = {{ median = 1, sigma = 0, max = 5 }}
        workspaces = [{{ name = "a", weight = 1 }}]
        "#
    );
    WorkloadSpec::parse(&text).expect("a valid workload")
}

fn finished(outcome: RequestOutcome, id: &str, first: u64, end: u64) -> FinishedRequest {
    let planned = PlannedRequest {
        sequence: 0,
        at: Duration::ZERO,
        class: 0,
        target: 0,
        workspace: "a".to_owned(),
        prefix: None,
        prompt_tokens: 1,
        answer_tokens: Some(10),
        key: None,
        is_repeat: false,
    };
    let times = ResponseTimes {
        first_token: Some(Duration::from_millis(first)),
        end: Duration::from_millis(end),
        gaps: Vec::new(),
    };
    let response = ResponseRecord {
        outcome,
        request_id: Some(id.to_owned()),
        times,
        tokens: 10,
    };
    FinishedRequest {
        planned,
        response,
        lateness: Duration::ZERO,
    }
}

fn run(requests: Vec<FinishedRequest>) -> FinishedRun {
    FinishedRun {
        requests,
        elapsed: Duration::from_secs(2),
        failed_faults: Vec::new(),
    }
}

#[test]
fn responses_count_by_target_and_late_value() {
    struct Case {
        name: &'static str,
        late: &'static str,
        first: u64,
        end: u64,
        in_target: u64,
        useful_tokens: u64,
    }
    let cases = [
        Case {
            name: "in time",
            late: "worthless",
            first: 50,
            end: 100,
            in_target: 1,
            useful_tokens: 10,
        },
        Case {
            name: "a late first token",
            late: "worthless",
            first: 51,
            end: 100,
            in_target: 0,
            useful_tokens: 0,
        },
        Case {
            name: "late and useful",
            late: "useful",
            first: 50,
            end: 101,
            in_target: 0,
            useful_tokens: 10,
        },
    ];
    for case in cases {
        let request = finished(RequestOutcome::Completed, "1", case.first, case.end);
        let report = report_run(&workload(case.late), run(vec![request]), &[], 1);
        let class = &report.classes[0];
        assert_eq!(class.in_target, case.in_target, "{}", case.name);
        assert_eq!(class.useful_tokens, case.useful_tokens, "{}", case.name);
        assert_eq!(
            class.goodput_tokens_per_second,
            case.useful_tokens as f64 / 2.0
        );
    }
}

#[test]
fn bursts_have_their_own_attainment() {
    let mut workload = workload("useful");
    workload.classes[0].burst = Some(BurstSpec {
        factor: 2.0,
        start_seconds: 10.0,
        length_seconds: 10.0,
    });
    let sent_at = |seconds, end| {
        let mut request = finished(RequestOutcome::Completed, &format!("{seconds}"), 1, end);
        request.planned.at = Duration::from_secs(seconds);
        request
    };
    let requests = vec![
        sent_at(9, 1),
        sent_at(10, 1),
        sent_at(19, 1000),
        sent_at(20, 1),
    ];
    let report = report_run(&workload, run(requests), &[], 1);
    let class = &report.classes[0];
    assert_eq!(class.attainment_percent, 75.0);
    assert_eq!(class.attainment_in_burst_percent, Some(50.0));
}

#[test]
fn every_outcome_is_counted_once() {
    let refused = |status| RequestOutcome::Refused {
        status,
        ran: "no".to_owned(),
    };
    let unknown = RequestOutcome::Unknown {
        reason: "504".to_owned(),
    };
    let mut repeat = finished(RequestOutcome::Completed, "1", 1, 1);
    repeat.planned.is_repeat = true;
    let requests = vec![
        finished(RequestOutcome::Completed, "1", 1, 1),
        finished(RequestOutcome::Completed, "1", 1, 1),
        finished(RequestOutcome::Completed, "anonymous", 1, 1),
        finished(RequestOutcome::Completed, "anonymous", 1, 1),
        finished(refused(503), "2", 1, 1),
        finished(refused(503), "3", 1, 1),
        finished(unknown, "4", 1, 1),
        finished(RequestOutcome::Broken, "5", 1, 1),
        finished(RequestOutcome::Unreachable, "6", 1, 1),
        repeat,
    ];
    let report = report_run(&workload("useful"), run(requests), &[], 1);
    let outcomes = &report.classes[0].outcomes;
    assert_eq!(outcomes.sent, 9);
    assert_eq!(outcomes.completed, 3);
    assert_eq!(outcomes.wrong, 1, "a request ID belongs to one request");
    assert_eq!(outcomes.refused, IndexMap::from([("503 no".to_owned(), 2)]));
    assert_eq!(outcomes.unknown, IndexMap::from([("504".to_owned(), 1)]));
    assert_eq!((outcomes.broken, outcomes.unreachable), (1, 1));
    assert_eq!(report.classes[0].repeats.completed, 1);
    let csv = csv_text(&report);
    let columns: Vec<usize> = csv.lines().map(|line| line.split(',').count()).collect();
    assert_eq!(columns, [21, 21]);
    assert!(table_text(&report).contains("memo: refused 503 no: 2"));
}

#[test]
fn quantiles_are_in_milliseconds() {
    struct Case {
        name: &'static str,
        millis: std::ops::RangeInclusive<u64>,
        quantiles: [f64; 3],
    }
    let cases = [
        Case {
            name: "one value",
            millis: 2..=2,
            quantiles: [2.0, 2.0, 2.0],
        },
        Case {
            name: "a hundred values",
            millis: 1..=100,
            quantiles: [50.0, 95.0, 99.0],
        },
        Case {
            name: "long times",
            millis: 100_000..=100_000,
            quantiles: [100_000.0, 100_000.0, 100_000.0],
        },
    ];
    for case in cases {
        let mut histogram = LatencyHistogram::default();
        for millis in case.millis.clone() {
            histogram.record(Duration::from_millis(millis));
        }
        let found = histogram.quantiles();
        assert_eq!(found.count, case.millis.count() as u64, "{}", case.name);
        let pairs = [found.p50_ms, found.p95_ms, found.p99_ms]
            .into_iter()
            .zip(case.quantiles);
        for (found, expected) in pairs {
            assert!(
                (found / expected - 1.0).abs() < 0.001,
                "{}: {found} for {expected}",
                case.name
            );
        }
    }
}

#[test]
fn waste_is_summed_over_the_servers() {
    let counts = |name: &str, generated| ServerCounts {
        executions: IndexMap::from([(name.to_owned(), 1)]),
        tokens_generated: generated,
        tokens_wasted: 5,
        ..ServerCounts::default()
    };
    let request = finished(RequestOutcome::Completed, "1", 1, 1);
    let servers = [Some(counts("x", 15)), Some(counts("x", 5)), None];
    let report = report_run(&workload("useful"), run(vec![request]), &servers, 1);
    let waste = &report.waste;
    assert_eq!((waste.servers_asked, waste.servers_gone), (3, 1));
    assert_eq!((waste.tokens_generated, waste.tokens_wasted), (20, 10));
    assert_eq!(waste.repeated_requests, 1);
    assert!((waste.not_useful_percent - 50.0).abs() < 1e-9);
}
