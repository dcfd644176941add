//! Validity of the API keys in the tables in force.
//!
//! Keys are accepted only while a recent response of the store confirms the
//! tables. A watch without events or a possibly stale read confirms nothing.
//!
//! The main invariant: the age of a confirmation is measured from when its call
//! was sent, never from when the response arrived.

use std::time::Duration;

use crate::clock::Moment;

/// Margin by which a confirmation expires before the revocation bound, because
/// a request takes time to reach its server; a tenth of the smallest bound in
/// use.
const KEY_VALIDITY_MARGIN: Duration = Duration::from_millis(500);

/// The last confirmation of the tables.
#[derive(Clone, Copy, Debug)]
pub struct KeyConfirmation {
    validity: Duration,
    confirmed: Option<Moment>,
}

impl KeyConfirmation {
    /// Creates a state without a confirmation; `bound` is the time after which
    /// a revoked key must be refused.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::keys::KeyConfirmation;
    /// use std::time::Duration;
    ///
    /// let mut confirmation = KeyConfirmation::new(Duration::from_secs(5));
    /// assert!(!confirmation.is_fresh(Duration::from_secs(100)));
    /// confirmation.confirm(Duration::from_secs(100));
    /// assert!(confirmation.is_fresh(Duration::from_secs(104)));
    /// assert!(!confirmation.is_fresh(Duration::from_secs(105)));
    /// ```
    pub fn new(bound: Duration) -> Self {
        Self {
            validity: bound.saturating_sub(KEY_VALIDITY_MARGIN),
            confirmed: None,
        }
    }

    /// Returns how long a confirmation is valid.
    pub fn validity(&self) -> Duration {
        self.validity
    }

    /// Records that the store confirmed the tables in a response to a call that
    /// was sent at `sent`.
    pub fn confirm(&mut self, sent: Moment) {
        if self.confirmed.is_none_or(|confirmed| confirmed < sent) {
            self.confirmed = Some(sent);
        }
    }

    /// Returns whether keys may be accepted.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age < self.validity)
    }

    /// Returns the age of the last confirmation.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed
            .map(|confirmed| now.saturating_sub(confirmed))
    }
}
