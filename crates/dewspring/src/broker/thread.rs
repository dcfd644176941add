//! The loop of a broker's thread.
//!
//! Every reply that the thread holds is answered exactly once or dropped
//! because its request was withdrawn. A grant whose reply nobody awaits any
//! more is given back.

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
use super::status::{BrokerStatus, ServerChange};
use crate::ids::{BootId, GrantId, RequestId, VmId};

/// Longest time between two looks at the clock.
const MAX_IDLE: Duration = Duration::from_millis(200);
/// Shortest time between two published states.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// What travels through the ring.
#[derive(Debug)]
pub(super) enum BrokerMessage {
    /// A question and the place for its decision.
    Ask(Box<GrantRequest>, oneshot::Sender<GrantDecision>),
    /// The caller of a request is gone.
    Withdraw(RequestId, VmId, BootId),
    /// A grant is used up.
    Release(GrantRelease),
    /// The mailbox holds something.
    Wake,
}

/// What the broker's thread owns.
#[derive(Debug)]
pub(super) struct BrokerThread {
    state: BrokerState,
    receiver: Receiver<BrokerMessage>,
    mailbox: Arc<ControlMailbox>,
    status: Arc<ArcSwap<BrokerStatus>>,
    replies: IndexMap<GrantId, oneshot::Sender<GrantDecision>>,
    publish_at: Option<Instant>,
    published_at: Option<Instant>,
    is_shut_down: bool,
}

impl BrokerThread {
    /// Joins the state to its ring, its mailbox and its published status.
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
            publish_at: None,
            published_at: None,
            is_shut_down: false,
        }
    }

    /// Serves until the broker is shut down or every handle is gone.
    pub(super) fn run(mut self) {
        while !self.is_shut_down {
            let received = self.receiver.recv_timeout(self.idle_time(Instant::now()));
            let now = Instant::now();
            if received.is_ok() || self.state.next_wakeup().is_some_and(|at| at <= now) {
                self.publish_at.get_or_insert(now);
            }
            self.empty_mailbox(now);
            match received {
                Ok(message) => self.handle(message, now),
                Err(RecvTimeoutError::Timeout) => self.state.advance(now),
                Err(RecvTimeoutError::Disconnected) => self.is_shut_down = true,
            }
            self.deliver(now);
            self.log_changes();
            self.publish(now);
        }
        self.finish(Instant::now());
    }

    fn handle(&mut self, message: BrokerMessage, now: Instant) {
        match message {
            BrokerMessage::Ask(request, reply) => {
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

    fn empty_mailbox(&mut self, now: Instant) {
        let Some(content) = self.mailbox.take() else {
            return;
        };
        let MailboxContent {
            config,
            share,
            marks,
            reports,
            lost_entries,
            is_shut_down,
        } = content;
        // Marks go first, so that nothing is granted to a server that leaves.
        for (server, mark) in marks {
            log::info!("broker: server {server} is marked {mark:?}");
            self.state.mark(&server, mark, now);
        }
        if let Some(share) = share {
            self.state.set_share(share, now);
        }
        if let Some(config) = config {
            log::info!("broker: follows revision {}", config.revision);
            self.state.configure(&config, now);
        }
        for report in reports.values() {
            self.state.report(report, now);
        }
        // What is decided so far goes out first, so that no entry gets a grant
        // that ends here.
        self.deliver(now);
        for (entry, boot) in lost_entries {
            log::info!("broker: entry {entry} is lost, its grants end");
            let tickets = self.state.forget_entry(&entry, boot, now);
            self.drop_replies(tickets);
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
                "broker: grant {} is given back, nobody awaits it",
                decision.ticket
            );
            self.state.cancel(decision.ticket, now);
        }
    }

    fn log_changes(&mut self) {
        for ServerChange { server, state } in self.state.take_changes() {
            log::info!("broker: server {server} is {state:?} from now on");
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
        let changed_at = self.publish_at?;
        let earliest = self.published_at.map(|at| at + STATUS_INTERVAL);
        Some(earliest.unwrap_or(changed_at))
    }

    fn publish(&mut self, now: Instant) {
        if self.publish_due().is_some_and(|due| due <= now) {
            self.status.store(Arc::new(self.state.status()));
            self.publish_at = None;
            self.published_at = Some(now);
        }
    }

    fn finish(&mut self, now: Instant) {
        while let Ok(message) = self.receiver.try_recv() {
            self.handle(message, now);
            self.deliver(now);
        }
        self.state.shut_down(now);
        self.deliver(now);
        self.status.store(Arc::new(self.state.status()));
        log::info!("broker: ended");
    }
}
