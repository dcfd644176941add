//! The floor of a class: a guaranteed share of the pool that prevents
//! starvation.
//!
//! With every grant, each class with queued requests earns its percentage of
//! the granted work. Once it has earned the work of its next request, that
//! request is due and is served before all tiers; due requests are served in
//! the order in which they became due. The next request of a class, of `w`
//! tokens, is therefore granted before the pool has granted another
//! `100 w / floor + n W` tokens, where `n` is the number of classes with queued
//! requests and `W` is the largest estimate among their requests.

use crate::ids::TokenCount;

/// Floor of a class for which the routes table sets none, in percent.
const MIN_PERCENT: u64 = 1;
const FULL_PERCENT: u64 = 100;

/// Floor of a class and the unused work that it has earned.
#[derive(Debug, Default)]
pub(super) struct ClassFloor {
    percent: u64,
    /// Earned and unused work, in hundredths of a token.
    credit: u64,
    due_sequence: Option<u64>,
}

impl ClassFloor {
    /// Sets the floor from the routes table.
    pub(super) fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent).clamp(MIN_PERCENT, FULL_PERCENT);
    }

    /// Returns the sequence number with which the next request of the class, of
    /// `work` tokens, became due; `None` if it isn't due.
    pub(super) fn due_sequence(&mut self, work: TokenCount, due_count: &mut u64) -> Option<u64> {
        if self.credit < work * FULL_PERCENT {
            self.due_sequence = None;
        } else if self.due_sequence.is_none() {
            *due_count += 1;
            self.due_sequence = Some(*due_count);
        }
        self.due_sequence
    }

    /// Returns the work that the pool does for each token of the class if the
    /// class is served by its floor alone; `sum` is the sum of all floors in
    /// percent.
    pub(super) fn pool_work_factor(&self, sum: u64) -> f64 {
        sum.max(FULL_PERCENT) as f64 / self.percent.max(MIN_PERCENT) as f64
    }

    pub(super) fn percent(&self) -> u64 {
        self.percent
    }

    /// Deducts the work of a served request from the credit, whether served by
    /// priority or by the floor.
    pub(super) fn charge(&mut self, work: TokenCount) {
        self.credit = self.credit.saturating_sub(work * FULL_PERCENT);
        self.due_sequence = None;
    }
}

/// Credits each class with its share of granted work; floors that add up to
/// more than 100 percent are scaled down in proportion.
pub(super) fn credit_floors<'a>(
    floors: impl Iterator<Item = &'a mut ClassFloor>,
    work: TokenCount,
) {
    let floors = floors.collect::<Vec<_>>();
    let sum = floors.iter().map(|floor| floor.percent).sum::<u64>();
    for floor in floors {
        floor.credit += work * floor.percent * FULL_PERCENT / sum.max(FULL_PERCENT);
    }
}
