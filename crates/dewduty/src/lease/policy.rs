//! The times by which leases are held and given up.

use std::time::Duration;

use super::VmName;

/// Shortest TTL of a lease. It has to outlast two renewals that fail and the call
/// time-out.
const MIN_TTL: Duration = Duration::from_secs(6);

/// Share of the TTL by which monotonic clocks may differ within it. A validity is
/// shortened by it, because a call to the store may take no time at all.
const CLOCK_ERROR_DIVISOR: u32 = 200;

/// The times by which a VM holds and gives up duties.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeasePolicy {
    /// Name of this VM.
    pub vm: VmName,
    /// Time after which a lease ends unless it is renewed.
    pub ttl: Duration,
    /// Interval between two renewals.
    pub renew_interval: Duration,
    /// Time after which a call to the platform's API is aborted.
    pub call_timeout: Duration,
    /// Time that each rank waits longer than the one before, so that the first
    /// candidate acquires without competition.
    pub rank_delay: Duration,
    /// Longest time that a rank waits.
    pub max_rank_delay: Duration,
    /// Time of failed calls to the API after which duties are given up.
    pub unreachable_time: Duration,
    /// Time for which nothing is acquired after that.
    pub unreachable_pause: Duration,
}

impl LeasePolicy {
    /// Returns the policy of a VM, where holders may not alternate within
    /// `lease_time`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewduty::lease::LeasePolicy;
    /// use std::time::Duration;
    ///
    /// let policy = LeasePolicy::new("vm-1".to_string(), Duration::from_secs(3));
    /// assert_eq!(policy.ttl, Duration::from_secs(6));
    /// ```
    pub fn new(vm: VmName, lease_time: Duration) -> Self {
        let ttl = (lease_time * 2).max(MIN_TTL);
        LeasePolicy {
            vm,
            ttl,
            renew_interval: ttl / 3,
            call_timeout: Duration::from_secs(1),
            rank_delay: Duration::from_millis(200),
            max_rank_delay: Duration::from_secs(4),
            unreachable_time: Duration::from_secs(4),
            unreachable_pause: Duration::from_secs(20),
        }
    }

    /// Returns the time within which a store call must be sent after it was returned.
    ///
    /// A transaction is returned at most this time after the sending of a call that
    /// confirmed the era. Half of the TTL is left for its way to the store.
    pub fn send_window(&self) -> Duration {
        self.ttl / 4
    }

    /// Returns until when a lease is valid that was opened or renewed by a call sent
    /// at this time.
    pub(crate) fn valid_until(&self, sent: Duration) -> Duration {
        sent + self.ttl - self.ttl / CLOCK_ERROR_DIVISOR
    }

    /// Returns how long a candidate of this rank waits.
    pub(crate) fn delay(&self, rank: usize) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        self.rank_delay
            .saturating_mul(rank)
            .min(self.max_rank_delay)
    }
}
