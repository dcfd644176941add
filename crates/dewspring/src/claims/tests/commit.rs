//! Tests of the steps of a commit, with scripted responses in place of a store.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::super::commit::{CommitStep, FinishedOperation, OperationResult, PageCache, PageCommit};
use super::super::messages::{ClaimOutcome, ClaimRequest, RecordedOutcome};
use super::super::page::LedgerPage;
use super::super::plan::{ClaimTime, OperationKind, PageOperation, PlanResult, VersionedPage};
use super::super::settle::{SettleContext, settle_operation};
use super::{key, nonce};
use crate::store::{ExpectedVersion, StoreEntry, StoreError, SwapOutcome};

const RETENTION: u64 = 60;
const MINUTE: u64 = 1000;

struct CommitDriver {
    commit: PageCommit,
    time: ClaimTime,
    rng: StdRng,
}

impl CommitDriver {
    fn new(operation: Vec<PageOperation>) -> Self {
        Self {
            commit: PageCommit::new(PageCache::default(), operation, RETENTION),
            time: ClaimTime {
                now: Instant::now(),
                minute: MINUTE,
            },
            rng: StdRng::seed_from_u64(1),
        }
    }

    /// Returns the next step that is not a pause.
    fn step(&mut self) -> CommitStep {
        loop {
            let step = self.commit.next_step(self.time, &mut self.rng);
            if !matches!(step, CommitStep::Pause(_)) {
                return step;
            }
        }
    }

    fn read(&mut self, page: Option<&LedgerPage>) {
        assert_eq!(self.step(), CommitStep::Read);
        let entry = page.map(|page| StoreEntry {
            value: page.encode(),
            version: 7,
        });
        self.commit.apply_read(Ok(entry));
    }

    fn swap(&mut self, answer: Result<SwapOutcome, StoreError>) -> LedgerPage {
        let CommitStep::Swap { value, .. } = self.step() else {
            panic!("no swap");
        };
        self.commit.apply_swap(answer);
        LedgerPage::decode(&value).expect("a valid page")
    }

    fn results(&mut self) -> Vec<OperationResult> {
        let finished = self.commit.take_finished();
        finished
            .into_iter()
            .map(|operation| operation.result)
            .collect()
    }
}

fn operation(vm: &str, serial: u64, kind: OperationKind) -> PageOperation {
    PageOperation {
        id: serial,
        key: key(1),
        nonce: nonce(vm, serial),
        kind,
        accepted_at: Instant::now(),
        unconfirmed_swap: None,
    }
}

fn request(declared_minute: Option<u64>) -> ClaimRequest {
    ClaimRequest {
        key: key(1),
        fingerprint: 5,
        declared_minute,
        deadline: Instant::now() + Duration::from_secs(60),
    }
}

fn claim(vm: &str, serial: u64) -> PageOperation {
    operation(vm, serial, OperationKind::Claim(request(None)))
}

fn planned(result: PlanResult) -> Vec<OperationResult> {
    vec![OperationResult::Planned(result)]
}

fn lost() -> Result<SwapOutcome, StoreError> {
    Err(StoreError::ResponseLost("lost".to_owned()))
}

/// Returns the page after this operation was committed to it.
fn page_after(page: Option<&LedgerPage>, operation: PageOperation) -> LedgerPage {
    let mut driver = CommitDriver::new(vec![operation]);
    driver.read(page);
    driver.swap(Ok(SwapOutcome::Swapped(8)))
}

#[test]
fn evaluates_claims_against_the_page() {
    struct ClaimCase {
        name: &'static str,
        page: LedgerPage,
        request: ClaimRequest,
        result: PlanResult,
    }
    let claimed = page_after(None, claim("a", 1));
    let outcome = RecordedOutcome::new(201, "text/plain", b"paid");
    let record = operation("a", 1, OperationKind::Record(outcome.clone()));
    let recorded = page_after(Some(&claimed), record);
    let mut pruned = LedgerPage::default();
    pruned.prune(MINUTE - 10);
    let other = ClaimRequest {
        fingerprint: 6,
        ..request(None)
    };
    let case = |name, page: &LedgerPage, request, result| ClaimCase {
        name,
        page: page.clone(),
        request,
        result,
    };
    let old = Some(MINUTE - RETENTION + 4);
    let cases = [
        case(
            "in progress",
            &claimed,
            request(None),
            PlanResult::InProgress,
        ),
        case(
            "repeat",
            &recorded,
            request(old),
            PlanResult::AlreadyRun(outcome),
        ),
        case("other request", &recorded, other, PlanResult::KeyReused),
        case(
            "old key",
            &LedgerPage::default(),
            request(old),
            PlanResult::Expired,
        ),
        case(
            "pruned",
            &pruned,
            request(Some(MINUTE - 6)),
            PlanResult::Expired,
        ),
        case(
            "future",
            &pruned,
            request(Some(MINUTE + 6)),
            PlanResult::Expired,
        ),
    ];
    for case in cases {
        let repeat = operation("b", 2, OperationKind::Claim(case.request));
        let mut driver = CommitDriver::new(vec![repeat]);
        driver.read(Some(&case.page));
        assert_eq!(driver.step(), CommitStep::Finished, "{}", case.name);
        assert_eq!(driver.results(), planned(case.result), "{}", case.name);
    }
    for declared in [None, Some(MINUTE - 5), Some(MINUTE + 5)] {
        let fresh = operation("b", 2, OperationKind::Claim(request(declared)));
        let page = page_after(Some(&pruned), fresh);
        assert!(page.claim(key(1)).is_some(), "{declared:?}");
    }
}

#[test]
fn resolves_a_lost_response_by_the_nonce() {
    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.read(None);
    let written = driver.swap(lost());
    driver.read(Some(&written));
    assert_eq!(driver.step(), CommitStep::Finished);
    assert_eq!(driver.results(), planned(PlanResult::Done));

    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.read(None);
    driver.swap(lost());
    driver.read(Some(&page_after(None, claim("b", 1))));
    assert_eq!(driver.step(), CommitStep::Finished);
    assert_eq!(driver.results(), planned(PlanResult::InProgress));
}

#[test]
fn releases_a_refused_claim_that_may_be_stored() {
    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.read(None);
    driver.swap(lost());
    assert_eq!(driver.step(), CommitStep::Read);
    let down = StoreError::Unavailable("down".to_owned());
    driver.commit.apply_read(Err(down));
    let finished: Vec<FinishedOperation> = driver.commit.take_finished();
    let context = SettleContext {
        retry_after: Duration::from_secs(1),
        retention: Duration::from_secs(60),
    };
    let settled = settle_operation(finished[0].clone(), context);
    let refused = settled.outcome.expect("an answer");
    assert!(matches!(refused, ClaimOutcome::StoreUnavailable { .. }));
    let release = settled.follow_up.expect("a release");

    // The lost swap may still be in flight: the release writes the page, so
    // that the swap conflicts.
    let mut driver = CommitDriver::new(vec![release.clone()]);
    driver.read(None);
    let step = driver.step();
    assert!(matches!(
        step,
        CommitStep::Swap {
            expected: ExpectedVersion::Absent,
            ..
        }
    ));
    driver.commit.apply_swap(Ok(SwapOutcome::Swapped(8)));
    assert_eq!(driver.results(), planned(PlanResult::Done));

    // The lost swap took effect: the release removes the claim.
    let written = page_after(None, claim("a", 1));
    assert_eq!(page_after(Some(&written), release).claim(key(1)), None);
}

#[test]
fn abandons_expired_and_conflicting_claims() {
    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.time.now += Duration::from_secs(61);
    assert_eq!(driver.step(), CommitStep::Finished);
    assert_eq!(driver.results(), [OperationResult::Abandoned]);

    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.read(None);
    let conflict = || Ok(SwapOutcome::Conflict(None));
    while matches!(driver.step(), CommitStep::Swap { .. }) {
        driver.commit.apply_swap(conflict());
    }
    assert_eq!(driver.results(), [OperationResult::Abandoned]);
    assert!(!driver.commit.has_store_failed());
}

#[test]
fn never_overwrites_an_unusable_page() {
    struct PageCase {
        name: &'static str,
        entry: Option<StoreEntry>,
        newest: u64,
    }
    let entry = |value: &[u8]| {
        Some(StoreEntry {
            value: value.to_vec(),
            version: 7,
        })
    };
    let cases = [
        PageCase {
            name: "garbage",
            entry: entry(b"garbage"),
            newest: 0,
        },
        PageCase {
            name: "older than a version seen before",
            entry: entry(&LedgerPage::default().encode()),
            newest: 8,
        },
        PageCase {
            name: "missing",
            entry: None,
            newest: 8,
        },
    ];
    for case in cases {
        let cache = PageCache {
            cached: None,
            newest: case.newest,
            is_unusable: false,
        };
        let mut driver = CommitDriver::new(Vec::new());
        driver.commit = PageCommit::new(cache, vec![claim("a", 1)], RETENTION);
        assert_eq!(driver.step(), CommitStep::Read, "{}", case.name);
        driver.commit.apply_read(Ok(case.entry));
        assert_eq!(driver.step(), CommitStep::Finished, "{}", case.name);
        assert_eq!(
            driver.results(),
            [OperationResult::StoreFailed],
            "{}",
            case.name
        );
        // The failure concerns one page, so the breaker must not open.
        assert!(!driver.commit.has_store_failed(), "{}", case.name);
        let cache = driver.commit.into_cache();
        assert_eq!(cache.newest, case.newest, "{}", case.name);
        assert!(cache.is_unusable, "{}", case.name);
    }
}

#[test]
fn answers_only_from_a_page_read_in_this_commit() {
    let cached = VersionedPage {
        page: page_after(None, claim("a", 1)),
        version: ExpectedVersion::Version(7),
    };
    let cache = PageCache {
        cached: Some(cached),
        newest: 7,
        is_unusable: false,
    };
    let mut driver = CommitDriver::new(Vec::new());
    driver.commit = PageCommit::new(cache, vec![claim("b", 2)], RETENTION);
    driver.read(Some(&LedgerPage::default()));
    driver.swap(Ok(SwapOutcome::Swapped(9)));
    assert_eq!(driver.results(), planned(PlanResult::Done));
}
