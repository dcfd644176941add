//! The properties of both ports under generated input.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use quickcheck::{Arbitrary, Gen, TestResult};
use standins::process::get_json;

use crate::mutations::{MutatedRequest, admin_bases, caller_bases};
use crate::raw_http::{SendEnd, read_answers, send_raw};
use crate::requests::BadRequest;
use crate::target::{
    CLOSE_LIMIT, CONNECTION_GROWTH, DECISION_BYTES, DECISION_CAPACITY, HostileBatch, HostileTarget,
    INPUT_TIMEOUT, MAX_CONNECTIONS, check_property, hostile_fleet, send_batch, to_result,
};

static BAD_TARGET: OnceLock<HostileTarget> = OnceLock::new();
static REFUSALS: AtomicU64 = AtomicU64::new(0);

fn bad_requests_never_run(batch: HostileBatch<BadRequest>) -> TestResult {
    let target = BAD_TARGET.get().expect("the fleet runs");
    to_result(check_bad_batch(target, &batch.0))
}

fn check_bad_batch(target: &HostileTarget, requests: &[BadRequest]) -> Result<(), String> {
    let inputs: Vec<_> = requests.iter().map(BadRequest::to_bytes).collect();
    let before = target.executed();
    for (request, answers) in requests.iter().zip(send_batch(target.entry, &inputs)?) {
        for answer in answers {
            let is_refused = (400..600).contains(&answer.status);
            let ran = answer.header("x-dewspring-ran");
            if !is_refused || ran.is_some_and(|ran| ran != "no") {
                return Err(format!("{request:?} got {answer:?}"));
            }
            REFUSALS.fetch_add(1, Ordering::Relaxed);
        }
    }
    let executed = target.executed() - before;
    if executed > 0 {
        return Err(format!("{executed} bad requests ran"));
    }
    target.check_alive()?;
    target.check_memory()
}

#[test]
fn bad_requests_are_refused_and_run_nowhere() {
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let growth = CONNECTION_GROWTH + DECISION_CAPACITY * DECISION_BYTES;
    let target = HostileTarget::new(&fleet, growth);
    BAD_TARGET.set(target).expect("it is set once");
    check_property(
        "bad requests",
        bad_requests_never_run as fn(HostileBatch<BadRequest>) -> TestResult,
    );
    // Closing every connection unanswered would pass the property.
    let refusals = REFUSALS.load(Ordering::Relaxed);
    assert!(refusals > 50, "only {refusals} requests got an answer");
}

static MUTATED_TARGET: OnceLock<HostileTarget> = OnceLock::new();
static TOLD_NOT_RUN: AtomicU64 = AtomicU64::new(0);
static TOLD_RUN: AtomicU64 = AtomicU64::new(0);

fn mutated_requests_are_told_the_truth(batch: HostileBatch<MutatedRequest>) -> TestResult {
    let target = MUTATED_TARGET.get().expect("the fleet runs");
    to_result(check_mutated_batch(target, &batch.0))
}

fn check_mutated_batch(target: &HostileTarget, requests: &[MutatedRequest]) -> Result<(), String> {
    let bases = caller_bases();
    let inputs: Vec<_> = requests
        .iter()
        .map(|request| request.to_bytes(&bases))
        .collect();
    let answers = send_batch(target.entry, &inputs)?;
    let executions = target.executions();
    // An interim answer says nothing about the request.
    let answers = answers.iter().flatten();
    for answer in answers.filter(|answer| answer.status != 100) {
        let id = answer.header("x-request-id").unwrap_or_default();
        let times = executions
            .iter()
            .filter(|(request, _)| request == id)
            .map(|(_, count)| count)
            .sum::<u64>();
        let ran = answer.header("x-dewspring-ran");
        let is_true = match ran {
            Some("no") => times == 0,
            // A server counts only what it took on, and may answer the rest.
            Some("yes") => times == 1 || (times == 0 && answer.status >= 400),
            // An answer without the header comes from the HTTP library.
            None => times == 0 && id.is_empty() && answer.status >= 400,
            _ => true,
        };
        if !is_true {
            return Err(format!("{answer:?} ran {times} times"));
        }
        let tally = if times == 0 { &TOLD_NOT_RUN } else { &TOLD_RUN };
        tally.fetch_add(1, Ordering::Relaxed);
    }
    target.check_alive()?;
    target.check_memory()
}

#[test]
fn mutated_requests_get_true_answers() {
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let growth = CONNECTION_GROWTH + DECISION_CAPACITY * DECISION_BYTES;
    let target = HostileTarget::new(&fleet, growth);
    MUTATED_TARGET.set(target).expect("it is set once");
    check_property(
        "mutated requests",
        mutated_requests_are_told_the_truth as fn(HostileBatch<MutatedRequest>) -> TestResult,
    );
    let told = [&TOLD_NOT_RUN, &TOLD_RUN].map(|tally| tally.load(Ordering::Relaxed));
    assert!(
        told.iter().all(|count| *count > 10),
        "not run {}, run {}",
        told[0],
        told[1]
    );
}

/// Bytes for the admin port; none carries the secret.
#[derive(Clone, Debug)]
enum AdminInput {
    Bad(BadRequest),
    Mutated(MutatedRequest),
}

impl Arbitrary for AdminInput {
    fn arbitrary(source: &mut Gen) -> Self {
        if bool::arbitrary(source) {
            Self::Bad(BadRequest::arbitrary(source))
        } else {
            Self::Mutated(MutatedRequest::arbitrary(source))
        }
    }
}

static ADMIN_TARGET: OnceLock<HostileTarget> = OnceLock::new();
static UNAUTHORIZED: AtomicU64 = AtomicU64::new(0);

fn strangers_learn_nothing(batch: HostileBatch<AdminInput>) -> TestResult {
    let target = ADMIN_TARGET.get().expect("the fleet runs");
    to_result(check_admin_batch(target, &batch.0))
}

fn check_admin_batch(target: &HostileTarget, inputs: &[AdminInput]) -> Result<(), String> {
    let bases = admin_bases();
    for input in inputs {
        let bytes = match input {
            AdminInput::Bad(request) => request.to_bytes(),
            AdminInput::Mutated(request) => request.to_bytes(&bases),
        };
        let transcript = send_raw(target.admin, &bytes, SendEnd::Finish, CLOSE_LIMIT);
        if !transcript.is_closed {
            return Err(format!("{input:?}: open after {:?}", transcript.elapsed));
        }
        let is_head = bytes.windows(4).any(|bytes| bytes == b"HEAD");
        let answers = read_answers(&transcript.bytes, is_head)
            .map_err(|error| format!("{input:?}: {error}"))?;
        for answer in answers {
            let is_public = [&b"ok\n"[..], b"ready\n", b""].contains(&answer.body.as_slice());
            if answer.status < 400 && !is_public {
                return Err(format!("{input:?} got {answer:?}"));
            }
            let tally = u64::from(answer.status == 401);
            UNAUTHORIZED.fetch_add(tally, Ordering::Relaxed);
        }
    }
    let ready = get_json(target.admin, "/readyz").map_err(|error| error.to_string())?;
    if ready.status != 200 {
        return Err(format!("not ready: {ready:?}"));
    }
    target.check_alive()?;
    target.check_memory()
}

#[test]
fn strangers_get_nothing_from_the_admin_port() {
    let fleet = hostile_fleet(INPUT_TIMEOUT, MAX_CONNECTIONS);
    let target = HostileTarget::new(&fleet, CONNECTION_GROWTH);
    ADMIN_TARGET.set(target).expect("it is set once");
    check_property(
        "admin port",
        strangers_learn_nothing as fn(HostileBatch<AdminInput>) -> TestResult,
    );
    let refused = UNAUTHORIZED.load(Ordering::Relaxed);
    assert!(refused > 10, "only {refused} calls were refused");
}
