//! Tests of the steps of a commit, without a store.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::super::commit::{CommitStep, FinishedWork, PageCommit, PageMemory, WorkResult};
use super::super::messages::{ClaimOutcome, ClaimRequest, RecordedOutcome};
use super::super::page::LedgerPage;
use super::super::plan::{ClaimTime, KnownPage, PageWork, PlanResult, WorkKind};
use super::super::settle::{SettleTerms, settle_work};
use super::{key, nonce};
use crate::store::{ExpectedVersion, StoreEntry, StoreError, SwapOutcome};

const HORIZON: u64 = 60;
const MINUTE: u64 = 1000;

struct CommitDriver {
    commit: PageCommit,
    time: ClaimTime,
    rng: StdRng,
}

impl CommitDriver {
    fn new(work: Vec<PageWork>) -> Self {
        Self {
            commit: PageCommit::new(PageMemory::default(), work, HORIZON),
            time: ClaimTime {
                now: Instant::now(),
                minute: MINUTE,
            },
            rng: StdRng::seed_from_u64(1),
        }
    }

    /// Returns the next step that is a call, or the end.
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
        self.commit.take_read(Ok(entry));
    }

    fn swap(&mut self, answer: Result<SwapOutcome, StoreError>) -> LedgerPage {
        let CommitStep::Swap { value, .. } = self.step() else {
            panic!("no swap");
        };
        self.commit.take_swap(answer);
        LedgerPage::decode(&value).expect("a sound page")
    }

    fn results(&mut self) -> Vec<WorkResult> {
        let finished = self.commit.take_finished();
        finished.into_iter().map(|work| work.result).collect()
    }
}

fn work(vm: &str, serial: u64, kind: WorkKind) -> PageWork {
    PageWork {
        id: serial,
        key: key(1),
        nonce: nonce(vm, serial),
        kind,
        accepted: Instant::now(),
        unsure: None,
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

fn claim(vm: &str, serial: u64) -> PageWork {
    work(vm, serial, WorkKind::Claim(request(None)))
}

fn planned(result: PlanResult) -> Vec<WorkResult> {
    vec![WorkResult::Planned(result)]
}

fn lost() -> Result<SwapOutcome, StoreError> {
    Err(StoreError::AnswerLost("lost".to_owned()))
}

/// Returns the page on which this message has been done.
fn page_after(page: Option<&LedgerPage>, work: PageWork) -> LedgerPage {
    let mut driver = CommitDriver::new(vec![work]);
    driver.read(page);
    driver.swap(Ok(SwapOutcome::Swapped(8)))
}

#[test]
fn judges_what_stands() {
    struct ClaimCase {
        name: &'static str,
        page: LedgerPage,
        request: ClaimRequest,
        result: PlanResult,
    }
    let claimed = page_after(None, claim("a", 1));
    let outcome = RecordedOutcome::new(201, "text/plain", b"paid");
    let record = work("a", 1, WorkKind::Record(outcome.clone()));
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
    let old = Some(MINUTE - HORIZON + 4);
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
            PlanResult::Repeat(outcome),
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
        let repeat = work("b", 2, WorkKind::Claim(case.request));
        let mut driver = CommitDriver::new(vec![repeat]);
        driver.read(Some(&case.page));
        assert_eq!(driver.step(), CommitStep::Finished, "{}", case.name);
        assert_eq!(driver.results(), planned(case.result), "{}", case.name);
    }
    for declared in [None, Some(MINUTE - 5), Some(MINUTE + 5)] {
        let fresh = work("b", 2, WorkKind::Claim(request(declared)));
        let page = page_after(Some(&pruned), fresh);
        assert!(page.claim(key(1)).is_some(), "{declared:?}");
    }
}

#[test]
fn settles_a_lost_answer_by_the_nonce() {
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
fn releases_a_refused_claim_that_may_stand() {
    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.read(None);
    driver.swap(lost());
    assert_eq!(driver.step(), CommitStep::Read);
    let down = StoreError::Unavailable("down".to_owned());
    driver.commit.take_read(Err(down));
    let finished: Vec<FinishedWork> = driver.commit.take_finished();
    let terms = SettleTerms {
        retry_after: Duration::from_secs(1),
        horizon: Duration::from_secs(60),
    };
    let settled = settle_work(finished[0].clone(), terms);
    let refused = settled.outcome.expect("an answer");
    assert!(matches!(refused, ClaimOutcome::StoreUnavailable { .. }));
    let release = settled.follow_up.expect("a release");

    // The write may still be under way: the release moves the page past it.
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
    driver.commit.take_swap(Ok(SwapOutcome::Swapped(8)));
    assert_eq!(driver.results(), planned(PlanResult::Done));

    // The write took effect: the release takes it back.
    let written = page_after(None, claim("a", 1));
    assert_eq!(page_after(Some(&written), release).claim(key(1)), None);
}

#[test]
fn gives_up_late_and_hopeless_claims() {
    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.time.now += Duration::from_secs(61);
    assert_eq!(driver.step(), CommitStep::Finished);
    assert_eq!(driver.results(), [WorkResult::GivenUp]);

    let mut driver = CommitDriver::new(vec![claim("a", 1)]);
    driver.read(None);
    let conflict = || Ok(SwapOutcome::Conflict(None));
    while matches!(driver.step(), CommitStep::Swap { .. }) {
        driver.commit.take_swap(conflict());
    }
    assert_eq!(driver.results(), [WorkResult::GivenUp]);
    assert!(!driver.commit.has_store_failed());
}

#[test]
fn never_writes_over_a_page_that_it_cannot_use() {
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
            name: "older than it was",
            entry: entry(&LedgerPage::default().encode()),
            newest: 8,
        },
        PageCase {
            name: "gone",
            entry: None,
            newest: 8,
        },
    ];
    for case in cases {
        let memory = PageMemory {
            known: None,
            newest: case.newest,
            is_unusable: false,
        };
        let mut driver = CommitDriver::new(Vec::new());
        driver.commit = PageCommit::new(memory, vec![claim("a", 1)], HORIZON);
        assert_eq!(driver.step(), CommitStep::Read, "{}", case.name);
        driver.commit.take_read(Ok(case.entry));
        assert_eq!(driver.step(), CommitStep::Finished, "{}", case.name);
        assert_eq!(driver.results(), [WorkResult::StoreFailed], "{}", case.name);
        // Other pages are not concerned.
        assert!(!driver.commit.has_store_failed(), "{}", case.name);
        let memory = driver.commit.into_memory();
        assert_eq!(memory.newest, case.newest, "{}", case.name);
        assert!(memory.is_unusable, "{}", case.name);
    }
}

#[test]
fn answers_only_by_a_page_that_was_read() {
    let remembered = KnownPage {
        page: page_after(None, claim("a", 1)),
        version: ExpectedVersion::Version(7),
    };
    let memory = PageMemory {
        known: Some(remembered),
        newest: 7,
        is_unusable: false,
    };
    let mut driver = CommitDriver::new(Vec::new());
    driver.commit = PageCommit::new(memory, vec![claim("b", 2)], HORIZON);
    driver.read(Some(&LedgerPage::default()));
    driver.swap(Ok(SwapOutcome::Swapped(9)));
    assert_eq!(driver.results(), planned(PlanResult::Done));
}
