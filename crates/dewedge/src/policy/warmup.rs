//! Lets the VMs of a fleet begin with a server one after another.
//!
//! All VMs learn of a server that has started at nearly the same time, and none
//! sees what the others send there until digests have gone round. With many VMs
//! and requests that wait, each would send a few, and the server would begin
//! with a queue of hundreds. A few VMs therefore begin, chosen by the hash of
//! server and VM, and twice as many after each round of digests.
//!
//! A server that starts again and again is left alone for longer each time.
//!
//! It answers servers that come back from a crash during a burst, and servers
//! that go down and up by turns.

use std::time::Duration;

use crate::clock::Moment;

/// VMs that begin with a server at once.
const FIRST_VMS: u32 = 2;

/// Requests of one VM at a server in the step in which it begins.
const FIRST_REQUESTS: u32 = 2;

/// Time between two steps: a digest reaches all of 75 VMs in 400 ms.
const STEP: Duration = Duration::from_millis(400);

/// Longer wait for each time that the server has fallen before.
const FALL_WAIT: Duration = Duration::from_millis(800);

/// Falls that lengthen the wait.
const MAX_FALLS: u32 = 4;

/// Time after a start in which another one counts as a fall of the same server;
/// several times the period of servers that go down and up by turns.
const FALL_MEMORY: Duration = Duration::from_secs(15);

/// How far this VM may use a server that has started.
///
/// The default is a server that was there before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUp {
    started: Option<Moment>,
    opens: Moment,
    falls: u32,
}

impl WarmUp {
    /// Begins anew, because the server has started.
    ///
    /// `rank` is the number of VMs that begin before this one; `known` says
    /// whether the server was there before.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::warmup::WarmUp;
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(5);
    /// let mut warmup = WarmUp::default();
    /// assert!(warmup.is_over(now));
    /// warmup.begin(7, false, now);
    /// assert!(warmup.must_wait(0, now));
    /// ```
    pub fn begin(&mut self, rank: u32, known: bool, now: Moment) {
        let recent = self
            .started
            .is_some_and(|started| now.saturating_sub(started) < FALL_MEMORY);
        self.falls = match (known, recent) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => (self.falls + 1).min(MAX_FALLS),
        };
        self.started = Some(now);
        self.opens = now + FALL_WAIT * self.falls + STEP * step_of(rank);
    }

    /// Returns whether the server's own limits alone decide.
    pub fn is_over(&self, now: Moment) -> bool {
        self.started.is_none() || now >= self.opens + STEP
    }

    /// Returns whether this VM, which has `own` requests there, may send no more
    /// yet.
    pub fn must_wait(&self, own: u32, now: Moment) -> bool {
        !self.is_over(now) && (now < self.opens || own >= FIRST_REQUESTS)
    }
}

/// Returns the step in which the VM of a rank begins.
fn step_of(rank: u32) -> u32 {
    (rank / FIRST_VMS + 1).ilog2()
}
