//! Tests that the plan is reproducible and ordered, and has the rates and
//! shares of the workload.

use std::collections::HashSet;
use std::time::Duration;

use quickcheck::{Gen, QuickCheck};

use super::{PlannedRequest, plan_requests};
use crate::workload::WorkloadSpec;

const WORKLOAD: &str = r#"
duration_seconds = 100
[[class]]
name = "memo"
path = "/chat"
model = "m"
rate_per_second = 10
burst = { factor = 5, start_seconds = 40, length_seconds = 20 }
target_ms = 100
prompt_tokens = { median = 100, sigma = 0.5, max = 500 }
answer_tokens = { median = 50, sigma = 1, max = 400 }
prefix = { count = 3, tokens = 60, share_percent = 50 }
workspaces = [{ name = "large", weight = 3 }, { name = "small", weight = 1 }]
[[class]]
name = "payment"
path = "/pay"
rate_per_second = 5
target_ms = 100
prompt_tokens = { median = 10, sigma = 0, max = 500 }
keyed = true
repeat_percent = 20
workspaces = [{ name = "small", weight = 1 }]
"#;

fn workload() -> WorkloadSpec {
    WorkloadSpec::parse(WORKLOAD).expect("a valid workload")
}

fn check_property(check: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(20)
        .quickcheck(check);
}

fn share(plan: &[PlannedRequest], is_counted: impl Fn(&PlannedRequest) -> bool) -> f64 {
    let count = plan.iter().filter(|request| is_counted(request)).count();
    count as f64 / plan.len() as f64
}

#[test]
fn a_seed_gives_one_plan_in_order() {
    fn check(seed: u64) -> bool {
        let plan = plan_requests(&workload(), &[1], seed, "run");
        let is_ordered = plan.is_sorted_by_key(|request| request.at);
        let is_numbered = plan.iter().enumerate().all(|(i, r)| r.sequence == i);
        let other = plan_requests(&workload(), &[1], seed ^ 1, "run");
        is_ordered
            && is_numbered
            && plan == plan_requests(&workload(), &[1], seed, "run")
            && plan != other
    }
    check_property(check);
}

#[test]
fn lengths_stay_in_their_bounds() {
    fn check(seed: u64) -> bool {
        let plan = plan_requests(&workload(), &[1], seed, "run");
        plan.iter().all(|request| match request.answer_tokens {
            Some(tokens) => {
                let least = if request.prefix.is_some() { 61 } else { 1 };
                (1..=400).contains(&tokens) && (least..=500).contains(&request.prompt_tokens)
            }
            None => request.prompt_tokens == 10,
        })
    }
    check_property(check);
}

#[test]
fn rates_and_shares_are_met() {
    fn check(seed: u64) -> bool {
        let plan = plan_requests(&workload(), &[1], seed, "run");
        let (memos, payments): (Vec<_>, Vec<_>) =
            plan.into_iter().partition(|request| request.class == 0);
        let is_burst = |request: &PlannedRequest| {
            (Duration::from_secs(40)..Duration::from_secs(60)).contains(&request.at)
        };
        // 800 memos outside of the burst and 1000 in it.
        (1600..2000).contains(&memos.len())
            && (0.50..0.61).contains(&share(&memos, is_burst))
            && (0.70..0.80).contains(&share(&memos, |request| request.workspace == "large"))
            && (0.45..0.55).contains(&share(&memos, |request| request.prefix.is_some()))
            && (0.10..0.24).contains(&share(&payments, |request| request.is_repeat))
    }
    check_property(check);
}

#[test]
fn a_repeat_shares_its_key_with_one_request() {
    let plan = plan_requests(&workload(), &[1], 3, "run");
    let payments = plan.iter().filter(|request| request.class == 1);
    let (repeats, firsts): (Vec<_>, Vec<_>) = payments.partition(|request| request.is_repeat);
    let keys: HashSet<_> = firsts.iter().map(|request| &request.key).collect();
    assert_eq!(keys.len(), firsts.len(), "keys are unique");
    assert!(!repeats.is_empty());
    assert!(repeats.iter().all(|request| keys.contains(&request.key)));
}

#[test]
fn a_repeat_goes_to_the_next_target() {
    let plan = plan_requests(&workload(), &[1, 1, 1], 3, "run");
    let first_target = |key: &Option<String>| {
        let first = plan.iter().find(|request| request.key == *key);
        first.expect("a first request").target
    };
    let mut repeats = plan.iter().filter(|request| request.is_repeat);
    assert!(repeats.all(|request| request.target == (first_target(&request.key) + 1) % 3));
}

#[test]
fn a_change_to_one_class_leaves_the_others_unchanged() {
    let mut changed = workload();
    changed.classes[0].rate_per_second *= 2.0;
    let payments = |workload: &WorkloadSpec| {
        let plan = plan_requests(workload, &[1], 3, "run");
        let payments = plan.into_iter().filter(|request| request.class == 1);
        payments.map(|request| request.at).collect::<Vec<_>>()
    };
    assert_eq!(payments(&workload()), payments(&changed));
}

#[test]
fn targets_are_chosen_by_weight() {
    struct Case {
        weights: &'static [u32],
        first: &'static [usize],
    }
    let cases = [
        Case {
            weights: &[1, 1, 1],
            first: &[0, 1, 2, 0, 1, 2],
        },
        Case {
            weights: &[3, 1],
            first: &[0, 0, 1, 0, 0, 0, 1, 0],
        },
    ];
    for case in cases {
        let plan = plan_requests(&workload(), case.weights, 1, "run");
        let targets: Vec<usize> = plan.iter().map(|request| request.target).collect();
        assert_eq!(targets[..case.first.len()], *case.first);
    }
}
