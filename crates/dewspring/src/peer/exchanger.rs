//! One heartbeat to another VM, and the configuration that follows from it.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Semaphore;

use super::errors::PeerError;
use super::events::HeartbeatVerdict;
use super::grants::GrantService;
use super::links::PeerLink;
use super::member::HeartbeatTarget;
use super::service::PeerServiceClient;
use super::shared::PeerCore;
use super::wire::call_context;
use crate::configuration::ConfigExchange;
use crate::ids::Revision;

/// Time limit of a heartbeat.
const HEARTBEAT_TIME: Duration = Duration::from_millis(900);

/// Time limit of passing a document on.
const DOCUMENT_TIME: Duration = Duration::from_secs(3);

/// Sends heartbeats for the rounds.
pub(super) struct HeartbeatExchanger<Exchange, Grants> {
    pub(super) core: PeerCore<Exchange, Grants>,
    /// Bounds the documents that are fetched at the same time.
    pub(super) pulls: Arc<Semaphore>,
}

impl<Exchange: ConfigExchange, Grants: GrantService> HeartbeatExchanger<Exchange, Grants> {
    /// Asks one VM; a failure shows as a missed answer.
    pub(super) async fn exchange(self, target: HeartbeatTarget) {
        let links = &self.core.shared.links;
        let link = links.get(&target.vm, target.endpoint.address);
        if let Err(error) = self.try_exchange(&link).await {
            log::debug!("peer: no heartbeat from {}: {error}.", link.vm);
        }
    }

    async fn try_exchange(&self, link: &PeerLink) -> Result<(), PeerError> {
        let shared = &self.core.shared;
        let client = link.client(shared).await?;
        let revision = self.core.exchange.revision();
        let question = shared.membership().question(&link.vm, revision);
        let context = call_context(HEARTBEAT_TIME);
        let answer = client.heartbeat(context, question).await;
        let answer = answer.map_err(PeerError::from);
        if answer == Err(PeerError::TimedOut) {
            // The other VM may be heard all the same; calls to it are not.
            link.reset();
        }
        let answer = answer?;
        let verdict = self.core.take_answer(&link.vm, &answer);
        if verdict == HeartbeatVerdict::Accepted {
            self.level(&client, answer.revision).await?;
        }
        Ok(())
    }

    /// Fetches or passes on the document when the revisions differ.
    async fn level(&self, client: &PeerServiceClient, other: Revision) -> Result<(), PeerError> {
        let own = self.core.exchange.revision();
        if other > own {
            self.pull(client, own).await
        } else if other < own {
            self.push(client, other).await
        } else {
            Ok(())
        }
    }

    async fn pull(&self, client: &PeerServiceClient, own: Revision) -> Result<(), PeerError> {
        let Ok(permit) = self.pulls.try_acquire() else {
            return Ok(());
        };
        let pulled = client.pull_config(call_context(DOCUMENT_TIME), own).await?;
        if let Some(snapshot) = pulled {
            self.core.offer(snapshot.into()).await;
        }
        drop(permit);
        Ok(())
    }

    async fn push(&self, client: &PeerServiceClient, other: Revision) -> Result<(), PeerError> {
        if let Some(snapshot) = self.core.newer_snapshot(other) {
            let context = call_context(DOCUMENT_TIME);
            client.push_config(context, snapshot.into()).await?;
        }
        Ok(())
    }
}
