//! Releases and withdrawals on their way to a broker.
//!
//! Entries hand them in without waiting. They are sent in batches by one task
//! for each link, which tries again a few times; a broker that stays away has
//! lost its grants anyway.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::sleep;

use super::errors::PeerError;
use super::links::PeerLink;
use super::messages::GrantWithdrawal;
use super::shared::PeerShared;
use super::wire::call_context;
use crate::broker::GrantRelease;

/// Notices that wait for one broker.
const NOTICE_LIMIT: usize = 4_096;

/// Notices of each kind in one call.
const BATCH_LIMIT: usize = 256;

/// Time for which notices are gathered before they are sent.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Time limit of one call.
const CALL_TIME: Duration = Duration::from_secs(1);

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Tries before a batch is dropped: some 15 to 45 s, more than a VM is frozen
/// for in a migration.
const TRIES: u32 = 30;

/// One notice to a broker.
#[derive(Clone, Debug)]
pub(super) enum GrantNotice {
    /// A grant ended.
    Release(GrantRelease),
    /// A decision is waited for no more.
    Withdrawal(GrantWithdrawal),
}

/// Notices of one call each.
#[derive(Clone, Debug, Default)]
struct NoticeBatch {
    releases: Vec<GrantRelease>,
    withdrawals: Vec<GrantWithdrawal>,
}

impl NoticeBatch {
    fn len(&self) -> usize {
        self.releases.len() + self.withdrawals.len()
    }

    /// Takes as much as one call holds.
    fn split(&mut self) -> NoticeBatch {
        let releases = self.releases.len().min(BATCH_LIMIT);
        let withdrawals = self.withdrawals.len().min(BATCH_LIMIT);
        NoticeBatch {
            releases: self.releases.drain(..releases).collect(),
            withdrawals: self.withdrawals.drain(..withdrawals).collect(),
        }
    }
}

/// What waits, and whether a task sends it.
#[derive(Debug, Default)]
struct NoticeState {
    waiting: NoticeBatch,
    is_sending: bool,
}

/// The notices to one VM.
#[derive(Debug, Default)]
pub(super) struct NoticeQueue {
    state: Mutex<NoticeState>,
}

/// What the queue made of a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PushOutcome {
    /// A running task sends it.
    Queued,
    /// A task has to be started.
    NeedsTask,
    /// There was no room.
    Full,
}

impl NoticeQueue {
    /// Whether nothing waits and nothing is being sent.
    pub(super) fn is_empty(&self) -> bool {
        !self.lock().is_sending
    }

    fn push(&self, notice: GrantNotice) -> PushOutcome {
        let mut state = self.lock();
        if state.waiting.len() >= NOTICE_LIMIT {
            return PushOutcome::Full;
        }
        match notice {
            GrantNotice::Release(release) => state.waiting.releases.push(release),
            GrantNotice::Withdrawal(withdrawal) => state.waiting.withdrawals.push(withdrawal),
        }
        if std::mem::replace(&mut state.is_sending, true) {
            PushOutcome::Queued
        } else {
            PushOutcome::NeedsTask
        }
    }

    /// Takes the next batch; without one, the task that sends is to end.
    fn take(&self) -> Option<NoticeBatch> {
        let mut state = self.lock();
        state.is_sending = state.waiting.len() > 0;
        state.is_sending.then(|| state.waiting.split())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, NoticeState> {
        self.state.lock().expect("no holder panics")
    }
}

/// Hands in a notice for a broker; it is sent soon, or counted as lost.
pub(super) fn send_notice(
    runtime: &tokio::runtime::Handle,
    shared: &Arc<PeerShared>,
    link: Arc<PeerLink>,
    notice: GrantNotice,
) {
    match link.notices.push(notice) {
        PushOutcome::Queued => {}
        PushOutcome::NeedsTask => {
            runtime.spawn(send_notices(Arc::clone(shared), link));
        }
        PushOutcome::Full => {
            shared.counters.lost_notices.add(1);
            log::warn!("peer: dropped a notice to {}, too many wait.", link.vm);
        }
    }
}

async fn send_notices(shared: Arc<PeerShared>, link: Arc<PeerLink>) {
    loop {
        sleep(GATHER_TIME).await;
        let Some(batch) = link.notices.take() else {
            return;
        };
        send_batch(&shared, &link, batch).await;
    }
}

async fn send_batch(shared: &PeerShared, link: &PeerLink, batch: NoticeBatch) {
    for _ in 0..TRIES {
        match try_batch(shared, link, &batch).await {
            Ok(()) => return,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
    shared.counters.lost_notices.add(batch.len());
    log::warn!("peer: {} notices to {} are lost.", batch.len(), link.vm);
}

async fn try_batch(
    shared: &PeerShared,
    link: &PeerLink,
    batch: &NoticeBatch,
) -> Result<(), PeerError> {
    let client = link.client(shared).await?;
    if !batch.withdrawals.is_empty() {
        let context = call_context(CALL_TIME);
        client.withdraw(context, batch.withdrawals.clone()).await?;
    }
    if !batch.releases.is_empty() {
        let context = call_context(CALL_TIME);
        let entry = shared.identity.vm.clone();
        client
            .release(context, entry, batch.releases.clone())
            .await?;
    }
    Ok(())
}
