//! RPC service between VMs and its server side.

use std::sync::Arc;
use std::time::Duration;

use tarpc::context::Context;
use tokio::sync::Semaphore;

use super::documents::SnapshotFrame;
use super::grants::{GrantService, WithdrawGuard};
use super::messages::{GrantWithdrawal, Heartbeat};
use super::shared::PeerCore;
use crate::broker::{GrantDecision, GrantRelease, GrantRequest, Refusal, RefusalReason};
use crate::configuration::ConfigExchange;
use crate::ids::{Revision, VmId};

/// Retry delay in refusals of a broker that shut down before its decision.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Most configuration documents that are processed at the same time.
pub(super) const MAX_CONCURRENT_OFFERS: usize = 2;

/// RPC interface of each VM.
///
/// Requests are encoded positionally, so the order of the methods and of their
/// arguments is part of the protocol.
#[tarpc::service]
pub(super) trait PeerService {
    /// Exchanges the states of caller and callee.
    async fn heartbeat(request: Heartbeat) -> Heartbeat;

    /// Returns the configuration in force if it is newer than `after`.
    async fn pull_config(after: Revision) -> Option<SnapshotFrame>;

    /// Offers a newer configuration.
    async fn push_config(snapshot: SnapshotFrame);

    /// Requests a grant of the callee's broker.
    async fn request_grant(request: GrantRequest) -> GrantDecision;

    /// Releases grants of an entry.
    async fn release(entry: VmId, releases: Vec<GrantRelease>);

    /// Withdraws grant requests.
    async fn withdraw(withdrawals: Vec<GrantWithdrawal>);
}

/// Server of the calls of one connection.
#[derive(Clone)]
pub(super) struct PeerServer<Exchange, Grants> {
    core: PeerCore<Exchange, Grants>,
    /// Bounds the documents that are processed at the same time, over all connections.
    offer_permits: Arc<Semaphore>,
}

impl<Exchange, Grants> PeerServer<Exchange, Grants> {
    pub(super) fn new(core: PeerCore<Exchange, Grants>, offer_permits: Arc<Semaphore>) -> Self {
        PeerServer {
            core,
            offer_permits,
        }
    }
}

impl<Exchange, Grants> PeerService for PeerServer<Exchange, Grants>
where
    Exchange: ConfigExchange,
    Grants: GrantService,
{
    async fn heartbeat(self, _: Context, request: Heartbeat) -> Heartbeat {
        self.core.handle_heartbeat(&request)
    }

    async fn pull_config(self, _: Context, after: Revision) -> Option<SnapshotFrame> {
        self.core.newer_snapshot(after).map(SnapshotFrame::from)
    }

    async fn push_config(self, _: Context, snapshot: SnapshotFrame) {
        let permit = self.offer_permits.acquire().await;
        self.core.offer(snapshot.into()).await;
        drop(permit);
    }

    async fn request_grant(self, _: Context, request: GrantRequest) -> GrantDecision {
        let entry = request.entry.clone();
        let guard = WithdrawGuard::new(self.core.grants.clone(), &request);
        let decision = match self.core.grants.request_grant(request) {
            Ok(pending) => pending.await,
            Err(refusal) => {
                guard.disarm();
                return GrantDecision::Refused(refusal);
            }
        };
        guard.disarm();
        let decision = decision.unwrap_or(GrantDecision::Refused(Refusal {
            reason: RefusalReason::ShuttingDown,
            retry_after: SHUTDOWN_RETRY_AFTER,
        }));
        if matches!(decision, GrantDecision::Granted(_)) {
            self.core.shared.membership().add_outstanding_grant(&entry);
        }
        decision
    }

    async fn release(self, _: Context, entry: VmId, releases: Vec<GrantRelease>) {
        for release in releases {
            self.core
                .shared
                .membership()
                .remove_outstanding_grant(&entry);
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
