//! A grant request whose decision is awaited.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use crossbeam::channel::Sender;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;

use super::mailbox::ControlMailbox;
use super::messages::GrantDecision;
use super::thread::BrokerMessage;

/// Receiver of the decision on a grant request.
///
/// If it is dropped, the grant is returned unused, even if the broker has
/// already sent the decision.
#[derive(Debug)]
pub struct PendingDecision {
    decision: oneshot::Receiver<GrantDecision>,
    mailbox: Arc<ControlMailbox>,
    sender: Sender<BrokerMessage>,
}

impl PendingDecision {
    pub(super) fn new(
        decision: oneshot::Receiver<GrantDecision>,
        mailbox: Arc<ControlMailbox>,
        sender: Sender<BrokerMessage>,
    ) -> Self {
        Self {
            decision,
            mailbox,
            sender,
        }
    }

    /// Blocks until the decision arrives.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was withdrawn or the broker has stopped.
    ///
    /// # Panics
    ///
    /// Panics if called within an asynchronous task.
    ///
    /// # Examples
    ///
    /// See [`BrokerHandle::request_grant`](super::BrokerHandle::request_grant).
    pub fn blocking_recv(mut self) -> Result<GrantDecision, RecvError> {
        let (_, closed) = oneshot::channel();
        std::mem::replace(&mut self.decision, closed).blocking_recv()
    }
}

impl Future for PendingDecision {
    type Output = Result<GrantDecision, RecvError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.decision).poll(context)
    }
}

impl Drop for PendingDecision {
    fn drop(&mut self) {
        // After `close`, the broker can't send a decision any more, so a grant
        // is either returned here or kept by the broker.
        self.decision.close();
        if let Ok(GrantDecision::Granted(grant)) = self.decision.try_recv() {
            log::info!("broker: returning grant {} unread", grant.id);
            self.mailbox.put_unused_grant(grant.id);
            // A full channel means that the thread is awake and will read the
            // mailbox before its next message.
            let _ = self.sender.try_send(BrokerMessage::Wake);
        }
    }
}
