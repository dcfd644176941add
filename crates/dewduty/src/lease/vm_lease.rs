//! The store lease of this VM and the calls about it.

use std::time::Duration;

use super::{LeaseId, LeasePolicy};

/// Time after which a store call that had no result counts as lost.
pub(crate) const RESULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a failed store call is made again.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(500);

/// An open lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenLease {
    pub(crate) id: LeaseId,
    /// When the last successful renewal, or the opening, was sent.
    pub(crate) sent: Duration,
    renew_at: Duration,
    /// When a duty last needed it.
    used: Duration,
}

/// The lease of this VM, if one is open.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VmLease {
    pub(crate) open: Option<OpenLease>,
    /// When the call in flight was returned.
    asked: Option<Duration>,
    retry_at: Duration,
    /// When this process was last noticed to have been frozen. Calls that were sent
    /// before don't tell whether the lease is still valid.
    pub(crate) thawed: Duration,
}

impl VmLease {
    pub(crate) fn id(&self) -> Option<LeaseId> {
        self.open.map(|lease| lease.id)
    }

    pub(crate) fn is_in_flight(&self) -> bool {
        self.asked.is_some()
    }

    /// Notes that a lease was opened. If there is one already, the result came after
    /// its call counted as lost, and the new lease is left to expire.
    pub(crate) fn record_opening(&mut self, id: LeaseId, sent: Duration, times: &LeasePolicy) {
        self.asked = None;
        self.open.get_or_insert(OpenLease {
            id,
            sent,
            renew_at: sent + times.renew_interval,
            used: sent,
        });
    }

    pub(crate) fn record_renewal(&mut self, id: LeaseId, sent: Duration, times: &LeasePolicy) {
        self.asked = None;
        if let Some(lease) = self.open.as_mut().filter(|lease| lease.id == id) {
            lease.sent = lease.sent.max(sent);
            lease.renew_at = lease.sent + times.renew_interval;
            if lease.sent < self.thawed {
                lease.renew_at = self.thawed;
            }
        }
    }

    pub(crate) fn record_failure(&mut self, now: Duration) {
        self.asked = None;
        self.retry_at = now + RETRY_DELAY;
    }

    /// Forgets the lease; its renewal may still be in flight.
    pub(crate) fn forget(&mut self) {
        self.open = None;
    }

    pub(crate) fn time_out(&mut self, now: Duration) {
        if self
            .asked
            .is_some_and(|asked| asked + RESULT_TIMEOUT <= now)
        {
            self.record_failure(now);
        }
    }

    /// Notes that this process was frozen; a renewal is due at once.
    pub(crate) fn record_thaw(&mut self, now: Duration) {
        self.thawed = now;
        self.hasten_renewal(now);
    }

    /// Makes a renewal due at once.
    pub(crate) fn hasten_renewal(&mut self, now: Duration) {
        if let Some(lease) = &mut self.open {
            lease.renew_at = now;
        }
    }

    pub(crate) fn mark_used(&mut self, now: Duration) {
        if let Some(lease) = &mut self.open {
            lease.used = now;
        }
    }

    /// Returns when the lease ends if no duty needs it before.
    pub(crate) fn idle_at(&self, ttl: Duration) -> Option<Duration> {
        self.open.map(|lease| lease.used + ttl)
    }

    /// Returns the lease to renew, if that is due.
    pub(crate) fn take_renewal(&mut self, now: Duration) -> Option<LeaseId> {
        let due = self.renewal_due()?;
        if now < due {
            return None;
        }
        self.asked = Some(now);
        self.id()
    }

    /// Returns whether a lease is to be opened now.
    pub(crate) fn take_opening(&mut self, now: Duration) -> bool {
        let due = self.open.is_none() && self.asked.is_none() && self.retry_at <= now;
        if due {
            self.asked = Some(now);
        }
        due
    }

    fn renewal_due(&self) -> Option<Duration> {
        let lease = self.open.filter(|_| self.asked.is_none())?;
        Some(lease.renew_at.max(self.retry_at))
    }

    /// Returns when a renewal is due or a result is overdue.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.asked
            .map(|asked| asked + RESULT_TIMEOUT)
            .or_else(|| self.renewal_due())
    }

    /// Returns when a lease may be opened, if there is none.
    pub(crate) fn opening_due(&self) -> Duration {
        match self.asked {
            Some(asked) => asked + RESULT_TIMEOUT,
            None => self.retry_at,
        }
    }
}
