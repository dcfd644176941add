//! Keeps what callers and servers make the process hold within its memory, and its
//! connections within its descriptors.
//!
//! Each part of the account has its own limit, so that callers who only hold input,
//! bodies or unread responses can't use up the memory of the others. Near a limit,
//! reading slows down first; beyond it, requests that aren't accepted yet are
//! refused, and connections without an accepted request are closed.
//!
//! The main invariant: nothing is refused with a promise, and no connection is
//! closed for another, once its request was accepted; but callers who take nothing
//! of their response are disconnected.

use std::time::Duration;

use dewbudget::{AccountPart, MemoryLimits, UploadLimits};

use crate::clock::Moment;
use crate::format::PlatformFormat;
use crate::metrics::LimitLabels;
use crate::net::{ChannelCharges, RECEIVE_BUFFER_BYTES};
use crate::policy::admission::retry_after;

use super::backpressure::{STALL_CHECK_INTERVAL, SendProgress};
use super::state::{CallerConn, CallerId, CallerPhase, EdgeState};
use super::timers::TimerKey;

/// Minimum time between two plans of which bodies are read.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of plans while bodies wait or may stall.
const PLAN_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Share of a part down to which it is emptied once it is full, in percent.
const SHED_PERCENT: u64 = 75;

/// Time for which a caller may take nothing while memory for responses is short.
const SHORT_STALL_TIME: Duration = Duration::from_millis(500);

/// Sockets of the process that are no connections of callers or servers.
const FIXED_SOCKETS: usize = 16;

/// Maximum bytes of a body that are read at once.
pub(crate) const MAX_BODY_READ: usize = 64 * 1024;

/// Bytes that the kernel may hold of a body that waits.
const UNREAD_BODY_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES;

/// Time that a caller is assumed to have left if its head wasn't read.
const UNKNOWN_TIME_LEFT: Duration = Duration::from_secs(3);

impl<F: PlatformFormat> EdgeState<F> {
    /// Returns the limits of the parts of the account.
    pub(crate) fn memory_limits(&self) -> MemoryLimits {
        MemoryLimits::derive(self.settings.memory_bytes)
    }

    /// Returns the limits on bodies that are being read.
    pub(crate) fn upload_limits(&self) -> UploadLimits {
        let table = self.table.as_ref();
        UploadLimits {
            bodies: self.memory_limits().bodies,
            body: self.limits().body_bytes as u64,
            waiting: UNREAD_BODY_BYTES as u64,
            has_workspaces: table.is_some_and(|table| table.needs_key()),
        }
    }

    /// Returns charges for a connection whose input belongs to a part.
    pub(crate) fn channel_charges(&self, input: AccountPart) -> ChannelCharges {
        ChannelCharges {
            inbound: self.account.charge(input),
            outbound: self.account.charge(AccountPart::Responses),
        }
    }

    /// Counts and logs that a limit was met, and what follows.
    pub(crate) fn record_limit(&mut self, limit: &'static str, effect: &'static str) {
        let labels = LimitLabels { limit, effect };
        self.metrics.limits_met.get_or_create(&labels).inc();
        let connections = self.caller_conns.len() as u64;
        let held = |part| self.account.held(part);
        let (input, bodies) = (held(AccountPart::Input), held(AccountPart::Bodies));
        let responses = held(AccountPart::Responses);
        self.logs
            .request("limits", "met")
            .text("limit", limit)
            .text("effect", effect)
            .number("input_bytes", input)
            .number("bodies_bytes", bodies)
            .number("responses_bytes", responses)
            .number("connections", connections);
    }

    /// Refuses a request that hasn't been accepted, and closes its connection.
    pub(crate) fn refuse_unread(
        &mut self,
        caller: CallerId,
        limit: &'static str,
        code: &'static str,
        time_left: Duration,
    ) {
        self.record_limit(limit, "refused");
        self.count_request("none", code);
        let after = retry_after(time_left, self.next_random_unit());
        if let Some(conn) = self.caller_conns.get_mut(caller) {
            conn.closing = true;
            conn.channel.discard_inbound();
        }
        self.respond(caller, 503, code, Some(after));
    }

    /// Returns whether the body of a caller may be read now; otherwise it waits.
    pub(crate) fn may_read_upload(&mut self, caller: CallerId) -> bool {
        if self.uploads.waits(caller) {
            return false;
        }
        let held = self.account.held(AccountPart::Bodies);
        let limits = self.upload_limits();
        if !self.uploads.is_calm(held, &limits) {
            self.replan_uploads = true;
        }
        let next = self
            .uploads
            .next_bytes(caller, MAX_BODY_READ as u64, &limits);
        if held + next <= limits.bodies {
            return true;
        }
        self.uploads.pause(caller);
        self.hold_upload(caller, true);
        false
    }

    /// Sets whether the body of a caller waits in the kernel.
    fn hold_upload(&mut self, caller: CallerId, is_held: bool) {
        let now = self.now;
        if let Some(conn) = self.caller_conns.get_mut(caller)
            && let CallerPhase::Body(upload) = &mut conn.phase
        {
            upload.last_byte = now;
            let held = if is_held { UNREAD_BODY_BYTES } else { 0 };
            upload.unread_charge.set(held);
        }
    }

    /// Removes the body of a caller from those that are being read.
    pub(crate) fn end_upload(&mut self, caller: CallerId) {
        self.uploads.end(caller);
        self.replan_uploads = true;
    }

    /// Decides which bodies are read on, if their memory is short.
    pub(crate) fn plan_uploads(&mut self) {
        let now = self.now;
        let limits = self.upload_limits();
        let held = self.account.held(AccountPart::Bodies);
        if !self.replan_uploads || self.uploads.is_calm(held, &limits) {
            return;
        }
        let due = self.uploads_planned + PLAN_INTERVAL;
        if now < due {
            self.arm_uploads(due);
            return;
        }
        self.replan_uploads = false;
        self.uploads_planned = now;
        let plan = self.uploads.plan(held, &limits, now);
        for caller in plan.refused {
            let left = self.upload_time_left(caller);
            self.refuse_unread(caller, "bodies", "no_memory", left);
        }
        for caller in plan.paused {
            self.hold_upload(caller, true);
        }
        for caller in plan.resumed {
            self.hold_upload(caller, false);
            self.unread_callers.push(caller, false);
        }
        self.arm_uploads(now + PLAN_CHECK_INTERVAL);
    }

    fn arm_uploads(&mut self, due: Moment) {
        self.upload_timer
            .set(due, TimerKey::Uploads, &mut self.timers);
    }

    /// Returns how long the caller of a body has still time.
    pub(crate) fn upload_time_left(&self, caller: CallerId) -> Duration {
        let conn = self.caller_conns.get(caller);
        match conn.map(|conn| &conn.phase) {
            Some(CallerPhase::Body(upload)) => upload.deadline.saturating_sub(self.now),
            _ => UNKNOWN_TIME_LEFT,
        }
    }

    /// Frees input that belongs to no accepted request, the largest first, if it
    /// exceeds its limit.
    pub(crate) fn shed_input(&mut self) {
        let limit = self.memory_limits().input;
        if self.account.held(AccountPart::Input) <= limit {
            return;
        }
        let conns = self.caller_conns.iter();
        let mut holders: Vec<(usize, CallerId)> = conns
            .map(|(caller, conn)| (conn.channel.inbound.capacity(), caller))
            .filter(|(held, _)| *held > 0)
            .collect();
        holders.sort_unstable();
        let enough = limit / 100 * SHED_PERCENT;
        while self.account.held(AccountPart::Input) > enough
            && let Some((_, caller)) = holders.pop()
        {
            self.free_input(caller);
        }
    }

    fn free_input(&mut self, caller: CallerId) {
        let now = self.now;
        let Some(conn) = self.caller_conns.get_mut(caller) else {
            return;
        };
        match conn.phase {
            CallerPhase::Head if conn.channel.unsent() == 0 => {
                self.refuse_unread(caller, "input", "no_memory", UNKNOWN_TIME_LEFT);
                return;
            }
            // The caller is still taking a response; what follows is discarded, too.
            CallerPhase::Head => {
                conn.phase = CallerPhase::Lingering;
                conn.idle_since = now;
                conn.progress = SendProgress::start(now);
            }
            CallerPhase::Busy(_) => {}
            CallerPhase::Body(_) | CallerPhase::Lingering => return,
        }
        // Pipelined requests are dropped unread; the connection ends with the response
        // before them, so that their caller knows.
        conn.closing = true;
        conn.channel.discard_inbound();
        self.record_limit("input", "pipelined_dropped");
        if matches!(self.caller_conns[caller].phase, CallerPhase::Lingering) {
            self.arm_caller(caller, now + STALL_CHECK_INTERVAL);
        }
    }

    /// Disconnects callers that take nothing of their responses, those with most
    /// unsent bytes first, if responses use most of their memory.
    pub(crate) fn shed_responses(&mut self) {
        let now = self.now;
        let enough = self.memory_limits().responses / 100 * SHED_PERCENT;
        if self.account.held(AccountPart::Responses) <= enough {
            return;
        }
        let mut stalled: Vec<(usize, CallerId)> = Vec::new();
        for (caller, conn) in &mut self.caller_conns {
            let sent = conn.channel.sent();
            if sent != conn.taken.0 {
                conn.taken = (sent, now);
            }
            let unsent = conn.channel.unsent();
            if unsent > 0 && now.saturating_sub(conn.taken.1) >= SHORT_STALL_TIME {
                stalled.push((unsent, caller));
            }
        }
        stalled.sort_unstable();
        while self.account.held(AccountPart::Responses) > enough
            && let Some((_, caller)) = stalled.pop()
        {
            self.record_limit("responses", "caller_disconnected");
            self.close_caller(caller, "caller too slow");
        }
    }

    /// Closes a connection without an accepted request if the process has no socket
    /// left for another; returns whether there is one.
    pub(crate) fn make_room_for_connection(&mut self) -> bool {
        let others = self.server_conns.len() + self.admin_conns.len() + FIXED_SOCKETS;
        let room = self.settings.max_sockets.saturating_sub(others);
        if self.caller_conns.len() < room {
            return true;
        }
        let conns = self.caller_conns.iter();
        let oldest = conns
            .filter_map(|(caller, conn)| Some((last_activity(conn)?, caller)))
            .min();
        let Some((_, caller)) = oldest else {
            self.record_limit("connections", "refused");
            return false;
        };
        match self.caller_conns[caller].phase {
            CallerPhase::Body(_) => {
                let left = self.upload_time_left(caller);
                self.refuse_unread(caller, "connections", "no_connection", left);
            }
            _ => self.record_limit("connections", "idle_closed"),
        }
        self.close_caller(caller, "too many connections");
        true
    }
}

/// Returns whether a connection has been of use, and when something last happened
/// on it; `None` if it carries an accepted request or a response.
fn last_activity(conn: &CallerConn) -> Option<(bool, Moment)> {
    match &conn.phase {
        CallerPhase::Busy(_) => None,
        _ if conn.channel.unsent() > 0 => None,
        CallerPhase::Body(upload) => Some((conn.served, upload.last_byte)),
        CallerPhase::Head => Some((conn.served, conn.read_since.unwrap_or(conn.idle_since))),
        CallerPhase::Lingering => Some((false, conn.idle_since)),
    }
}
