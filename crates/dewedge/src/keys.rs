//! How long the keys of the tables in force may be trusted.
//!
//! A key counts only while an answer of the store confirms the tables, and the
//! answer's age is counted from the sending of its call. Another source, such
//! as a silent watch or a read that may be old, confirms nothing.
//!
//! The main invariant: the confirmation never gets younger than the sending of
//! the call that the store answered.

use std::time::Duration;

use crate::clock::Moment;

/// Time by which a confirmation is held to end before the bound, for the way of
/// a request to its server; a tenth of the smallest bound in use.
const KEY_VALIDITY_MARGIN: Duration = Duration::from_millis(500);

/// Age of the last confirmation of the tables.
#[derive(Clone, Copy, Debug)]
pub struct KeyConfirmation {
    validity: Duration,
    confirmed: Option<Moment>,
}

impl KeyConfirmation {
    /// Makes a clock that has no confirmation yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::keys::KeyConfirmation;
    /// use std::time::Duration;
    ///
    /// let mut clock = KeyConfirmation::new(Duration::from_secs(5));
    /// assert!(!clock.is_fresh(Duration::from_secs(100)));
    /// clock.confirm(Duration::from_secs(100));
    /// assert!(clock.is_fresh(Duration::from_secs(104)));
    /// assert!(!clock.is_fresh(Duration::from_secs(105)));
    /// ```
    pub fn new(bound: Duration) -> Self {
        Self {
            validity: bound.saturating_sub(KEY_VALIDITY_MARGIN),
            confirmed: None,
        }
    }

    /// Returns for how long a confirmation holds.
    pub fn validity(&self) -> Duration {
        self.validity
    }

    /// Notes that the store confirmed the tables by an answer to a call that
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
