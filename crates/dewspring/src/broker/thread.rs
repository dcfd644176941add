//! Event loop of a broker's thread.
//!
//! Every reply channel is used exactly once, or dropped if its request is
//! withdrawn. A grant whose receiver was dropped is returned unused.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::decision::TicketDecision;
use super::mailbox::{ControlMailbox, MailboxContent};
use super::messages::{GrantDecision, GrantRelease, GrantRequest};
use super::state::BrokerState;
use super::status::{BrokerStatus, ServerStateChange};
use crate::ids::{BootId, GrantId, RequestId, VmId};

/// Longest wait for a message, which bounds the time between two readings of
/// the clock.
const MAX_IDLE: Duration = Duration::from_millis(200);
/// Shortest interval between two published statuses.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// Message to the broker's thread.
#[derive(Debug)]
pub(super) enum BrokerMessage {
    /// A grant request and the channel for its decision.
    RequestGrant(Box<GrantRequest>, oneshot::Sender<GrantDecision>),
    /// The entry of a request no longer waits for a decision.
    Withdraw(RequestId, VmId, BootId),
    /// A grant is no longer used.
    Release(GrantRelease),
    /// The mailbox has content.
    Wake,
}

/// State owned by the broker's thread.
#[derive(Debug)]
pub(super) struct BrokerThread {
    state: BrokerState,
    receiver: Receiver<BrokerMessage>,
    mailbox: Arc<ControlMailbox>,
    status: Arc<ArcSwap<BrokerStatus>>,
    replies: IndexMap<GrantId, oneshot::Sender<GrantDecision>>,
    changed_at: Option<Instant>,
    published_at: Option<Instant>,
    is_shut_down: bool,
}

impl BrokerThread {
    /// Connects the state to the channel, the mailbox and the published status.
    pub(super) fn new(
        state: BrokerState,
        receiver: Receiver<BrokerMessage>,
        mailbox: Arc<ControlMailbox>,
        status: Arc<ArcSwap<BrokerStatus>>,
    ) -> Self {
        Self {
            state,
            receiver,
            mailbox,
            status,
            replies: IndexMap::new(),
            changed_at: None,
            published_at: None,
            is_shut_down: false,
        }
    }

    /// Runs until the broker is shut down or every handle is dropped.
    pub(super) fn run(mut self) {
        while !self.is_shut_down {
            let received = self.receiver.recv_timeout(self.idle_time(Instant::now()));
            let now = Instant::now();
            if received.is_ok() || self.state.next_wakeup().is_some_and(|at| at <= now) {
                self.changed_at.get_or_insert(now);
            }
            self.apply_mailbox(now);
            match received {
                Ok(message) => self.handle_message(message, now),
                Err(RecvTimeoutError::Timeout) => self.state.advance(now),
                Err(RecvTimeoutError::Disconnected) => self.is_shut_down = true,
            }
            self.deliver(now);
            self.log_changes();
            self.publish(now);
        }
        self.finish(Instant::now());
    }

    fn handle_message(&mut self, message: BrokerMessage, now: Instant) {
        match message {
            BrokerMessage::RequestGrant(request, reply) => {
                let ticket = self.state.request_grant(*request, now);
                self.replies.insert(ticket, reply);
            }
            BrokerMessage::Withdraw(request, entry, boot) => {
                let tickets = self.state.withdraw(&request, &entry, boot, now);
                log::info!("broker: withdrew request {request} of {entry}");
                self.drop_replies(tickets);
            }
            BrokerMessage::Release(release) => self.state.release(&release, now),
            BrokerMessage::Wake => self.state.advance(now),
        }
    }

    fn apply_mailbox(&mut self, now: Instant) {
        let Some(content) = self.mailbox.take() else {
            return;
        };
        let MailboxContent {
            config,
            share,
            marks,
            reports,
            lost_entries,
            unused_grants,
            is_shut_down,
        } = content;
        // Marks come first, so that no grant goes to a leaving server.
        for (server, mark) in marks {
            log::info!("broker: server {server} is marked {mark:?}");
            self.state.mark(&server, mark, now);
        }
        if let Some(share) = share {
            self.state.set_share(share, now);
        }
        if let Some(config) = config {
            log::info!(
                "broker: applying configuration revision {}",
                config.revision
            );
            self.state.configure(&config, now);
        }
        for report in reports.values() {
            self.state.report(report, now);
        }
        // Deliver earlier decisions first, so that no entry receives a grant
        // that is ended here.
        self.deliver(now);
        for (entry, boot) in lost_entries {
            log::info!("broker: entry {entry} is lost; ending its grants");
            let tickets = self.state.forget_entry(&entry, boot, now);
            self.drop_replies(tickets);
        }
        for grant in unused_grants {
            self.state.cancel(grant, now);
        }
        self.is_shut_down |= is_shut_down;
    }

    fn drop_replies(&mut self, tickets: Vec<GrantId>) {
        for ticket in tickets {
            self.replies.swap_remove(&ticket);
        }
    }

    fn deliver(&mut self, now: Instant) {
        loop {
            let decisions = self.state.take_decisions();
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                self.deliver_one(decision, now);
            }
        }
    }

    fn deliver_one(&mut self, decision: TicketDecision, now: Instant) {
        log::info!("broker: {decision}");
        let reply = self.replies.swap_remove(&decision.ticket);
        let reply = reply.expect("every ticket has one reply");
        let is_grant = matches!(decision.decision, GrantDecision::Granted(_));
        if reply.send(decision.decision).is_err() && is_grant {
            log::info!(
                "broker: returning grant {} unused because its receiver was dropped",
                decision.ticket
            );
            self.state.cancel(decision.ticket, now);
        }
    }

    fn log_changes(&mut self) {
        for ServerStateChange { server, state } in self.state.take_state_changes() {
            log::info!("broker: server {server} is now {state:?}");
        }
    }

    fn idle_time(&self, now: Instant) -> Duration {
        let wakeup = self.state.next_wakeup();
        let due = [wakeup, self.publish_due()];
        let due = due.into_iter().flatten().min();
        due.map_or(MAX_IDLE, |due| {
            due.saturating_duration_since(now).min(MAX_IDLE)
        })
    }

    fn publish_due(&self) -> Option<Instant> {
        let changed_at = self.changed_at?;
        let earliest = self.published_at.map(|at| at + STATUS_INTERVAL);
        Some(earliest.unwrap_or(changed_at))
    }

    fn publish(&mut self, now: Instant) {
        if self.publish_due().is_some_and(|due| due <= now) {
            self.status.store(Arc::new(self.state.status()));
            self.changed_at = None;
            self.published_at = Some(now);
        }
    }

    fn finish(&mut self, now: Instant) {
        while let Ok(message) = self.receiver.try_recv() {
            self.handle_message(message, now);
            self.deliver(now);
        }
        self.state.shut_down(now);
        self.deliver(now);
        self.status.store(Arc::new(self.state.status()));
        log::info!("broker: stopped");
    }
}
