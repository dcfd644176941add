//! Duties that one VM at a time performs for the fleet: reports of usage, and
//! orders for servers.
//!
//! The decisions are those of the crate `dewduty`: who holds a duty, what is
//! reported, how many servers are ordered. This module connects them with the
//! store, the datagrams of the other VMs and the platform's API:
//!
//! - [`holding`]: acquires, renews and releases duties through the store.
//! - [`usage`]: counts requests, collects the counts of all VMs, and reports them.
//! - [`orders`]: observes the servers, and orders more or fewer.
//! - [`calls`]: makes the calls to the platform's API.
//! - [`view`]: shows an operator who holds what.
//!
//! The main invariant: a call to the API is made only under an authority that
//! outlasts the call.

mod calls;
mod holding;
mod orders;
mod usage;
mod view;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dewduty::lease::{DutySubject, LeasePolicy, LeaseTable};
use dewduty::truetime::ClockEstimate;
use indexmap::IndexMap;
use mio::Token;

use crate::api::ApiClient;
use crate::clock::Moment;
use crate::demand_notices::{DEMAND_MAGIC, DemandTable};
use crate::directory::stable_hash;
use crate::format::PlatformFormat;
use crate::settings::{DutySettings, EdgeSettings};

use super::run::API_TOKEN;
use super::state::{EdgeState, TokenKind, token_of};
use super::timers::{LazyTimer, TimerKey};
use orders::{OrderDesk, RefusedCounts};
use usage::UsageDesk;

/// Longest time until the duties are looked at again.
const MAX_LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time until the duties are looked at again without an event.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Longest time from the request to stop for which a process waits for its duties to
/// be released.
const RELEASE_TIME: Duration = Duration::from_secs(4);

/// State of the duties on this VM.
#[derive(Debug)]
pub(crate) struct DutyState<F> {
    settings: DutySettings,
    leases: LeaseTable,
    /// Whether the lease table knows the VMs.
    knows_vms: bool,
    api: ApiClient<F>,
    /// Until when the API isn't called, because it was called too often or
    /// doesn't respond.
    api_pause_until: Moment,
    /// Whether an order goes before the next report, because the last report failed.
    orders_first: bool,
    clock: ClockEstimate,
    usage: Option<UsageDesk>,
    orders: IndexMap<DutySubject, OrderDesk>,
    /// When the servers were last observed.
    observed_at: Option<Moment>,
    demand: DemandTable,
    /// Requests that were refused for lack of servers, by service.
    refused: RefusedCounts,
    /// The same counts as they were at the last look at the servers.
    refused_seen: RefusedCounts,
    /// When unmet demand was last looked at, and whether there was any; the holders
    /// are told while there is, and once after that.
    demand_sent: (Moment, bool),
    timer: LazyTimer,
    /// Whether the duties end, because the settings have changed.
    is_ending: bool,
    /// Whether the leases were told that this VM gives up its duties.
    is_stopping: bool,
}

impl<F: PlatformFormat> DutyState<F> {
    /// Returns the state for the duties in the settings, if there are any.
    pub(crate) fn new(settings: &EdgeSettings, token: Token) -> Option<Self> {
        let duties = settings.duties.clone()?;
        let policy = LeasePolicy::new(settings.vm.clone(), duties.lease_time);
        let usage = duties.reports_usage.then(|| {
            let vm = stable_hash(settings.vm.as_bytes());
            UsageDesk::new(&duties, vm, unix_time())
        });
        Some(Self {
            leases: LeaseTable::new(policy),
            knows_vms: false,
            api: ApiClient::new(duties.api_address, &settings.vm, token),
            api_pause_until: Moment::ZERO,
            orders_first: false,
            clock: ClockEstimate::new(),
            usage,
            orders: IndexMap::new(),
            observed_at: None,
            demand: DemandTable::default(),
            refused: RefusedCounts::new(),
            refused_seen: RefusedCounts::new(),
            demand_sent: (Moment::ZERO, false),
            timer: LazyTimer::default(),
            is_ending: false,
            is_stopping: false,
            settings: duties,
        })
    }

    pub(crate) fn timer_mut(&mut self) -> &mut LazyTimer {
        &mut self.timer
    }

    /// Returns whether this VM holds nothing any more and waits for no response.
    pub(crate) fn is_idle(&self) -> bool {
        self.leases.is_idle() && self.api.is_free()
    }

    /// Returns whether changed settings can be applied without giving up the duties.
    /// A lease has its TTL from its opening, and counts belong to windows of one
    /// length.
    fn can_apply(&self, settings: &DutySettings) -> bool {
        let kept = &self.settings;
        settings.lease_time == kept.lease_time
            && settings.usage_window == kept.usage_window
            && settings.usage_due == kept.usage_due
            && settings.reports_usage == kept.reports_usage
    }
}

/// Returns the time of the wall clock since the Unix epoch, which may be wrong.
fn unix_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

impl<F: PlatformFormat> EdgeState<F> {
    /// Runs a step with the state of the duties; without duties, nothing happens.
    fn with_duties<T>(
        &mut self,
        step: impl FnOnce(&mut Self, &mut DutyState<F>) -> T,
    ) -> Option<T> {
        // The step needs the rest of the state as well.
        let mut duties = self.duties.take()?;
        let result = step(self, &mut duties);
        self.duties = Some(duties);
        Some(result)
    }

    /// Brings the duties into line with changed settings. Duties that can't go on
    /// with them are released first.
    pub(crate) fn apply_duty_settings(&mut self) {
        let wanted = self.settings.duties.clone();
        let Some(duties) = &mut self.duties else {
            self.start_duties();
            return;
        };
        match wanted {
            Some(settings) if !duties.is_ending && duties.can_apply(&settings) => {
                duties.api.set_address(settings.api_address);
                duties.settings = settings;
                self.logs.system("duty", "settings_applied");
            }
            _ => {
                duties.is_ending = true;
                self.logs.system("duty", "ending");
            }
        }
        self.run_duties();
    }

    /// Begins with the duties in the settings, if there are any.
    fn start_duties(&mut self) {
        let token = token_of(TokenKind::Fixed, API_TOKEN);
        self.duties = DutyState::new(&self.settings, token).map(Box::new);
        if self.duties.is_some() {
            self.logs.system("duty", "started");
            // The leases need to know all records, and begin with the era.
            self.store.request_reload();
            self.store_timer
                .set(self.now, TimerKey::Store, &mut self.timers);
            self.run_duties();
        }
    }

    /// Begins anew once the duties have ended that the settings don't name any more.
    fn replace_ended_duties(&mut self) {
        let has_ended = |duties: &DutyState<F>| duties.is_ending && duties.is_idle();
        if self.duties.as_deref().is_some_and(has_ended) {
            self.send_last_usage();
            self.duties = None;
            self.logs.system("duty", "ended");
            self.start_duties();
        }
    }

    /// Returns whether a process that stops has released its duties, or has waited for
    /// that long enough: without a release, the next holder waits for the lease to end.
    pub(crate) fn has_released_duties(&self) -> bool {
        let waited = self
            .stopping
            .is_some_and(|since| since + RELEASE_TIME <= self.now);
        waited || self.duties.as_ref().is_none_or(|duties| duties.is_idle())
    }

    /// Does what is due for the duties, and arms the timer for the next look.
    pub(crate) fn run_duties(&mut self) {
        self.with_duties(|state, duties| {
            duties.clock.observe_own(unix_time(), state.now);
            state.expire_api_call(duties);
            state.update_candidates(duties);
            state.announce_stop(duties);
            state.make_lease_calls(duties);
            state.send_usage(duties);
            state.send_demand(duties);
            state.refresh_digest(duties);
            state.observe_servers(duties);
            state.call_api(duties);
            state.log_holder_changes(duties);
            let due = state.next_duty_look(duties);
            duties.timer.set(due, TimerKey::Duties, &mut state.timers);
        });
        self.replace_ended_duties();
    }

    fn next_duty_look(&self, duties: &DutyState<F>) -> Moment {
        let usage = duties.usage.as_ref();
        let times = [
            duties.leases.next_due(self.now),
            duties.api.next_due(),
            usage.map(|usage| usage.next_due(self.now, &duties.clock)),
        ];
        let latest = self.now + MAX_LOOK_INTERVAL;
        let next = times.into_iter().flatten().fold(latest, Moment::min);
        next.max(self.now + MIN_LOOK_INTERVAL)
    }

    /// Reads a datagram about duties; returns whether it is one.
    pub(crate) fn receive_duty_datagram(
        &mut self,
        bytes: &[u8],
        sender: std::net::SocketAddr,
    ) -> bool {
        let is_demand = bytes.starts_with(&DEMAND_MAGIC);
        if !is_demand && !usage::is_usage_datagram(bytes) {
            return false;
        }
        self.with_duties(|state, duties| match is_demand {
            true => {
                let notice = &bytes[DEMAND_MAGIC.len()..];
                if !duties.demand.receive(notice, state.now) {
                    state.metrics.malformed_duty_datagrams.inc();
                }
            }
            false => state.receive_usage_datagram(duties, bytes, sender),
        });
        true
    }

    /// Sends a datagram to a VM, if its address is known.
    fn send_to_vm(&self, vm: &str, bytes: &[u8]) {
        if let Some(address) = self.peers.address_of(vm) {
            // A lost datagram is replaced by the next one.
            let _ = self.peer_socket.send_to(bytes, address);
        }
    }
}
