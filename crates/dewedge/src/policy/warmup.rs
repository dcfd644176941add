//! Staggers the first use of a started server across the VMs of a fleet.
//!
//! All VMs learn of a started server at nearly the same time, and none sees the
//! load from the others until digests, the VMs' load reports to each other,
//! have arrived. With many VMs and waiting requests, each VM would send a few,
//! and the server would start with hundreds of queued requests. Therefore only
//! a few VMs use it first, chosen by the hash of server and VM, and their
//! number doubles with each wave.
//!
//! A server that restarts repeatedly is left unused for longer each time.
//!
//! This handles servers that return from a crash during a burst, and servers
//! that flap.

use std::time::Duration;

use crate::clock::Moment;

/// VMs of the first wave.
const FIRST_WAVE_VMS: u32 = 2;

/// Maximum requests that a VM has in flight at a server during its own wave.
const MAX_FIRST_REQUESTS: u32 = 2;

/// Time between two waves; a digest reaches all of 75 VMs in 400 ms.
const WAVE_INTERVAL: Duration = Duration::from_millis(400);

/// Additional delay for each recent restart of the server.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// Number of restarts up to which the delay grows.
const MAX_RESTARTS: u32 = 4;

/// Time after a start in which another one counts as a repeated restart;
/// several times the period of flapping servers.
const RESTART_WINDOW: Duration = Duration::from_secs(15);

/// Limits this VM's use of a server after its start.
///
/// The default imposes no limit, as for a server that was already running.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUp {
    started_at: Option<Moment>,
    opens_at: Moment,
    recent_restarts: u32,
}

impl WarmUp {
    /// Starts a warm-up because the server has started.
    ///
    /// `rank` is the number of VMs that start to use the server before this
    /// one; `known` is whether the server was listed before.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewedge::policy::warmup::WarmUp;
    /// use std::time::Duration;
    ///
    /// let now = Duration::from_secs(5);
    /// let mut warmup = WarmUp::default();
    /// assert!(warmup.is_complete(now));
    /// warmup.begin(7, false, now);
    /// assert!(warmup.must_wait(0, now));
    /// ```
    pub fn begin(&mut self, rank: u32, known: bool, now: Moment) {
        let recent = self
            .started_at
            .is_some_and(|started_at| now.saturating_sub(started_at) < RESTART_WINDOW);
        self.recent_restarts = match (known, recent) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => (self.recent_restarts + 1).min(MAX_RESTARTS),
        };
        self.started_at = Some(now);
        self.opens_at = now + RESTART_DELAY * self.recent_restarts + WAVE_INTERVAL * wave_of(rank);
    }

    /// Returns whether the warm-up no longer limits requests.
    pub fn is_complete(&self, now: Moment) -> bool {
        self.started_at.is_none() || now >= self.opens_at + WAVE_INTERVAL
    }

    /// Returns whether this VM, with `own_requests` requests in flight at the
    /// server, must not send another one yet.
    pub fn must_wait(&self, own_requests: u32, now: Moment) -> bool {
        !self.is_complete(now) && (now < self.opens_at || own_requests >= MAX_FIRST_REQUESTS)
    }
}

/// Returns the wave of the VM with this rank.
fn wave_of(rank: u32) -> u32 {
    (rank / FIRST_WAVE_VMS + 1).ilog2()
}
