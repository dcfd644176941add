//! Delivery of releases and withdrawals (notices) to brokers on other VMs.
//!
//! Queueing a notice never blocks. One task per link sends them in batches and
//! retries failed calls; a broker that stays unreachable for longer has lost
//! its grants anyway.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::sleep;

use super::errors::PeerError;
use super::links::PeerLink;
use super::messages::GrantWithdrawal;
use super::shared::PeerShared;
use super::wire::call_context;
use crate::broker::GrantRelease;

/// Most notices queued for one broker.
const MAX_QUEUED_NOTICES: usize = 4_096;

/// Most notices of each kind in one batch.
const MAX_NOTICES_PER_KIND: usize = 256;

/// Time for which notices are collected before a batch is sent.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Attempts before a batch is dropped.
///
/// They take 15 to 45 s, longer than a migration freezes a VM.
const MAX_ATTEMPTS: u32 = 30;

/// Message to a broker that needs no reply.
#[derive(Clone, Debug)]
pub(super) enum GrantNotice {
    /// A grant ended.
    Release(GrantRelease),
    /// A grant request is withdrawn.
    Withdrawal(GrantWithdrawal),
}

/// Notices by kind; each kind is sent with one call.
#[derive(Clone, Debug, Default)]
struct NoticeBatch {
    releases: Vec<GrantRelease>,
    withdrawals: Vec<GrantWithdrawal>,
}

impl NoticeBatch {
    fn len(&self) -> usize {
        self.releases.len() + self.withdrawals.len()
    }

    /// Removes and returns the notices that fit into one batch.
    fn take_batch(&mut self) -> NoticeBatch {
        let releases = self.releases.len().min(MAX_NOTICES_PER_KIND);
        let withdrawals = self.withdrawals.len().min(MAX_NOTICES_PER_KIND);
        NoticeBatch {
            releases: self.releases.drain(..releases).collect(),
            withdrawals: self.withdrawals.drain(..withdrawals).collect(),
        }
    }
}

/// Queued notices, and whether a task is sending them.
#[derive(Debug, Default)]
struct NoticeState {
    queued: NoticeBatch,
    is_sending: bool,
}

/// Queue of notices to one VM.
#[derive(Debug, Default)]
pub(super) struct NoticeQueue {
    state: Mutex<NoticeState>,
}

/// Result of queueing a notice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PushOutcome {
    /// A running task will send it.
    Queued,
    /// The caller must start a task that sends it.
    NeedsTask,
    /// The queue is full, and the notice was dropped.
    Full,
}

impl NoticeQueue {
    /// Returns whether nothing is queued or being sent.
    pub(super) fn is_empty(&self) -> bool {
        !self.lock().is_sending
    }

    fn push(&self, notice: GrantNotice) -> PushOutcome {
        let mut state = self.lock();
        if state.queued.len() >= MAX_QUEUED_NOTICES {
            return PushOutcome::Full;
        }
        match notice {
            GrantNotice::Release(release) => state.queued.releases.push(release),
            GrantNotice::Withdrawal(withdrawal) => state.queued.withdrawals.push(withdrawal),
        }
        if std::mem::replace(&mut state.is_sending, true) {
            PushOutcome::Queued
        } else {
            PushOutcome::NeedsTask
        }
    }

    /// Returns the next batch; `None` ends the sending task.
    fn next_batch(&self) -> Option<NoticeBatch> {
        let mut state = self.lock();
        state.is_sending = state.queued.len() > 0;
        state.is_sending.then(|| state.queued.take_batch())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, NoticeState> {
        self.state.lock().expect("no holder panics")
    }
}

/// Queues a notice to a broker; one that can't be delivered is counted as lost.
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
            log::warn!("peer: dropped a notice to {}: the queue is full.", link.vm);
        }
    }
}

async fn send_notices(shared: Arc<PeerShared>, link: Arc<PeerLink>) {
    loop {
        sleep(BATCH_DELAY).await;
        let Some(batch) = link.notices.next_batch() else {
            return;
        };
        send_batch(&shared, &link, batch).await;
    }
}

async fn send_batch(shared: &PeerShared, link: &PeerLink, batch: NoticeBatch) {
    for _ in 0..MAX_ATTEMPTS {
        match try_send_batch(shared, link, &batch).await {
            Ok(()) => return,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
    shared.counters.lost_notices.add(batch.len());
    log::warn!(
        "peer: dropped {} notices to {} after the last attempt.",
        batch.len(),
        link.vm
    );
}

async fn try_send_batch(
    shared: &PeerShared,
    link: &PeerLink,
    batch: &NoticeBatch,
) -> Result<(), PeerError> {
    let client = link.client(shared).await?;
    if !batch.withdrawals.is_empty() {
        let context = call_context(CALL_TIMEOUT);
        client.withdraw(context, batch.withdrawals.clone()).await?;
    }
    if !batch.releases.is_empty() {
        let context = call_context(CALL_TIMEOUT);
        let entry = shared.identity.vm.clone();
        client
            .release(context, entry, batch.releases.clone())
            .await?;
    }
    Ok(())
}
