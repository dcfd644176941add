//! The guaranteed share of a class, so that none starves.
//!
//! With every grant, each class that waits earns its percentage of the
//! granted work. Once it has earned the work of its next request, that request
//! is due and goes before all tiers; classes that are due go in the order in
//! which they became due. While a class waits, its next request of `w` tokens
//! is therefore granted before the pool has granted
//! `100 w / floor + n W` tokens more, where `n` is the number of classes that
//! wait and `W` is the largest estimate among them.

use crate::ids::TokenCount;

/// Share of a class for which the routes table names none, in percent.
const MIN_PERCENT: u64 = 1;
/// The whole pool, in percent.
const WHOLE: u64 = 100;

/// What a class has earned of its guaranteed share.
#[derive(Debug, Default)]
pub(super) struct ClassFloor {
    percent: u64,
    /// Earned work that is not used yet, in hundredths of a token.
    credit: u64,
    due_since: Option<u64>,
}

impl ClassFloor {
    /// Follows the routes table.
    pub(super) fn set_percent(&mut self, percent: u8) {
        self.percent = u64::from(percent).clamp(MIN_PERCENT, WHOLE);
    }

    /// Returns when the class's next request of `work` tokens became due, as a
    /// number that rises from class to class; `None` if it isn't due.
    pub(super) fn due_since(&mut self, work: TokenCount, due_count: &mut u64) -> Option<u64> {
        if self.credit < work * WHOLE {
            self.due_since = None;
        } else if self.due_since.is_none() {
            *due_count += 1;
            self.due_since = Some(*due_count);
        }
        self.due_since
    }

    /// Returns the pool's work for each token that the floor alone yields to
    /// the class; `sum` is the sum of all floors in percent.
    pub(super) fn pool_factor(&self, sum: u64) -> f64 {
        sum.max(WHOLE) as f64 / self.percent.max(MIN_PERCENT) as f64
    }

    /// Returns the floor in percent.
    pub(super) fn percent(&self) -> u64 {
        self.percent
    }

    /// Uses the earned share for a request that is served, in whatever turn.
    pub(super) fn charge(&mut self, work: TokenCount) {
        self.credit = self.credit.saturating_sub(work * WHOLE);
        self.due_since = None;
    }
}

/// Gives each class its share of granted work; shares that come to more than
/// the whole are cut in proportion.
pub(super) fn scaled_floors<'a>(
    floors: impl Iterator<Item = &'a mut ClassFloor>,
    work: TokenCount,
) {
    let floors = floors.collect::<Vec<_>>();
    let sum = floors.iter().map(|floor| floor.percent).sum::<u64>();
    for floor in floors {
        floor.credit += work * floor.percent * WHOLE / sum.max(WHOLE);
    }
}
