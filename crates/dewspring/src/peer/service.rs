//! The calls between VMs, and how they are answered.

use std::sync::Arc;
use std::time::Duration;

use tarpc::context::Context;
use tokio::sync::{Semaphore, oneshot};

use super::documents::SnapshotFrame;
use super::grants::{GrantService, WithdrawGuard};
use super::messages::{GrantWithdrawal, Heartbeat};
use super::shared::PeerCore;
use crate::broker::{GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason};
use crate::configuration::ConfigExchange;
use crate::ids::{Revision, VmId};

/// Time after which a caller may ask again when the broker ended.
const ENDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Documents that are taken in at the same time.
pub(super) const OFFERS_AT_ONCE: usize = 2;

/// The calls that each VM answers.
#[tarpc::service]
pub(super) trait PeerService {
    /// Tells of the caller and hears of the callee.
    async fn heartbeat(question: Heartbeat) -> Heartbeat;

    /// Returns the document in force if it is newer.
    async fn pull_config(after: Revision) -> Option<SnapshotFrame>;

    /// Offers a document that is newer.
    async fn push_config(snapshot: SnapshotFrame);

    /// Asks the broker for leave to run a request.
    async fn request_grant(request: GrantRequest) -> GrantDecision;

    /// Ends grants of an entry.
    async fn release(entry: VmId, releases: Vec<GrantRelease>);

    /// Says that decisions are waited for no more.
    async fn withdraw(withdrawals: Vec<GrantWithdrawal>);
}

/// Answers the calls of one connection.
#[derive(Clone)]
pub(super) struct PeerServer<Exchange, Grants> {
    core: PeerCore<Exchange, Grants>,
    /// Bounds the documents that are taken in at the same time.
    offers: Arc<Semaphore>,
}

impl<Exchange, Grants> PeerServer<Exchange, Grants> {
    pub(super) fn new(core: PeerCore<Exchange, Grants>, offers: Arc<Semaphore>) -> Self {
        PeerServer { core, offers }
    }
}

impl<Exchange, Grants> PeerService for PeerServer<Exchange, Grants>
where
    Exchange: ConfigExchange,
    Grants: GrantService,
{
    async fn heartbeat(self, _: Context, question: Heartbeat) -> Heartbeat {
        self.core.answer_heartbeat(&question)
    }

    async fn pull_config(self, _: Context, after: Revision) -> Option<SnapshotFrame> {
        self.core.newer_snapshot(after).map(SnapshotFrame::from)
    }

    async fn push_config(self, _: Context, snapshot: SnapshotFrame) {
        let permit = self.offers.acquire().await;
        self.core.offer(snapshot.into()).await;
        drop(permit);
    }

    async fn request_grant(self, _: Context, request: GrantRequest) -> GrantDecision {
        let entry = request.entry.clone();
        let guard = WithdrawGuard::new(self.core.grants.clone(), &request);
        let (reply, decision) = oneshot::channel();
        if let Err(refusal) = self.core.grants.request_grant(request, reply) {
            guard.disarm();
            return GrantDecision::Refused(refusal);
        }
        let decision = decision.await;
        guard.disarm();
        let decision = decision.unwrap_or(GrantDecision::Refused(Refusal {
            reason: RefusalReason::ShuttingDown,
            retry_after: ENDED_RETRY_AFTER,
        }));
        if matches!(decision, GrantDecision::Granted(_)) {
            self.core.shared.membership().open_grant(&entry);
        }
        decision
    }

    async fn release(self, _: Context, entry: VmId, releases: Vec<GrantRelease>) {
        for release in releases {
            self.core.shared.membership().close_grant(&entry);
            self.core.grants.release(release);
        }
    }

    async fn withdraw(self, _: Context, withdrawals: Vec<GrantWithdrawal>) {
        for withdrawal in withdrawals {
            let GrantWithdrawal {
                request,
                entry,
                boot,
            } = withdrawal;
            self.core.grants.withdraw(request, entry, boot);
        }
    }
}
