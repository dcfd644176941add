//! Servers that have certainly ended, so that requests to them would be wasted.
//!
//! Two signs are certain: a refused connection, and a response 421 of another
//! server at the address. A time-out isn't, because it may be due to this VM's
//! link. A VM finds a sign itself or learns of it from another VM
//! ([`ended_notices`](crate::ended_notices)).
//!
//! The main invariant: what another VM says leaves a server alone for at most
//! [`ENDED_HOLD`] after it was found, and for no time if this VM knows better: it
//! has received bytes from the server, or learned of its start, since then.

use std::time::Duration;

use crate::clock::Moment;

/// Time for which a server gets no request after a sign that it has ended. It
/// bounds the effect of an error; the store removes the entry after 3 to 5 s.
pub const ENDED_HOLD: Duration = Duration::from_secs(2);

/// The same for a response 421 to this VM. The entry of the server has changed by
/// then.
pub const MISDIRECTED_HOLD: Duration = Duration::from_secs(5);

/// Time after a probe in which no other request is sent. A refusal or a 421 takes
/// a round trip, and a long request must not delay the others until it ends.
pub const PROBE_TIME: Duration = Duration::from_millis(300);

/// Sign that a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndedKind {
    /// The server's host refused a connection.
    Refused,
    /// Another server at the address sent a response 421.
    Misdirected,
}

impl EndedKind {
    /// Returns its name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
        }
    }
}

/// Effect of a sign on what is known of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndedEffect {
    /// The server is left alone from now on.
    Began,
    /// It was left alone already, and is for longer.
    Renewed,
    /// Nothing changed.
    Superseded,
    /// This VM knows better.
    Refuted,
}

#[derive(Clone, Copy, Debug)]
struct EndedMark {
    kind: EndedKind,
    found_at: Moment,
    until: Moment,
    /// Whether this VM found the sign itself.
    own: bool,
}

/// What a VM knows about the end of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndedState {
    /// The last sign; it is kept until the server is heard or its entry changes.
    mark: Option<EndedMark>,
    probe_until: Moment,
    /// When bytes of the server were last received.
    received: Moment,
    /// When this VM learned of the server's last start.
    started: Moment,
}

impl EndedState {
    /// Records a sign that this VM has found, on a connection opened or a request
    /// sent at `sent`.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::ended_servers::{ENDED_HOLD, EndedKind, EndedState};
    /// use std::time::Duration;
    ///
    /// let mut state = EndedState::default();
    /// let now = Duration::from_secs(9);
    /// state.record_own(EndedKind::Refused, now, now);
    /// assert!(state.is_left_alone(now));
    /// assert!(!state.is_left_alone(now + ENDED_HOLD));
    /// ```
    pub fn record_own(&mut self, kind: EndedKind, sent: Moment, now: Moment) -> EndedEffect {
        if sent < self.started {
            return EndedEffect::Refuted;
        }
        let hold = match kind {
            EndedKind::Refused => ENDED_HOLD,
            EndedKind::Misdirected => MISDIRECTED_HOLD,
        };
        let mark = EndedMark {
            kind,
            found_at: now,
            until: now + hold,
            own: true,
        };
        let last = self.mark.filter(|last| last.own);
        if let Some(last) = last
            && last.until > now
            && (last.kind == kind || last.kind == EndedKind::Misdirected)
        {
            return EndedEffect::Superseded;
        }
        self.mark = Some(mark);
        match last {
            Some(last) if last.kind == kind => EndedEffect::Renewed,
            _ => EndedEffect::Began,
        }
    }

    /// Records a sign that another VM found at `found_at`, by this VM's clock.
    pub fn record_notice(&mut self, kind: EndedKind, found_at: Moment, now: Moment) -> EndedEffect {
        if self.received > found_at || self.started > found_at {
            return EndedEffect::Refuted;
        }
        let until = found_at + ENDED_HOLD;
        if until <= now || self.mark.is_some_and(|last| last.until >= until) {
            return EndedEffect::Superseded;
        }
        let mark = EndedMark {
            kind,
            found_at,
            until,
            own: false,
        };
        match self.mark.replace(mark) {
            Some(_) => EndedEffect::Renewed,
            None => EndedEffect::Began,
        }
    }

    /// Records bytes of the server itself, in response to a request sent at `sent`;
    /// returns whether it was thought to have ended.
    ///
    /// A stream may go on after its server has stopped accepting requests, so that
    /// only the response to a later request shows that an own sign has passed.
    pub fn record_received(&mut self, sent: Moment, now: Moment) -> bool {
        self.received = now;
        let is_over = |mark: &mut EndedMark| match mark.own {
            true => sent > mark.found_at,
            false => now > mark.found_at,
        };
        self.mark.take_if(is_over).is_some()
    }

    /// Records that this VM has learned that the server started.
    pub fn record_started(&mut self, now: Moment) {
        *self = Self {
            started: now,
            ..Self::default()
        };
    }

    /// Records that a request was sent to the server.
    pub fn record_sent(&mut self, now: Moment) {
        if self.mark.is_some() {
            self.probe_until = now + PROBE_TIME;
        }
    }

    /// Returns whether no request is to be sent to the server now.
    pub fn is_left_alone(&self, now: Moment) -> bool {
        self.mark
            .is_some_and(|mark| mark.until > now || self.probe_until > now)
    }
}
