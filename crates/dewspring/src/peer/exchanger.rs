//! Sending one heartbeat request, and syncing the configuration after its reply.

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

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of fetching or sending a configuration document.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends heartbeat requests and handles their replies.
pub(super) struct HeartbeatExchanger<Exchange, Grants> {
    pub(super) core: PeerCore<Exchange, Grants>,
    /// Bounds the configuration documents that are fetched at the same time.
    pub(super) pull_permits: Arc<Semaphore>,
}

impl<Exchange: ConfigExchange, Grants: GrantService> HeartbeatExchanger<Exchange, Grants> {
    /// Exchanges heartbeats with one VM; a failure counts as a missed reply.
    pub(super) async fn exchange(self, target: HeartbeatTarget) {
        let links = &self.core.shared.links;
        let link = links.get(&target.vm, target.endpoint.address);
        if let Err(error) = self.try_exchange(&link).await {
            log::debug!("peer: no heartbeat reply from {}: {error}.", link.vm);
        }
    }

    async fn try_exchange(&self, link: &PeerLink) -> Result<(), PeerError> {
        let shared = &self.core.shared;
        let client = link.client(shared).await?;
        let revision = self.core.exchange.revision();
        let request = shared.membership().heartbeat_request(&link.vm, revision);
        let context = call_context(HEARTBEAT_TIMEOUT);
        let reply = client.heartbeat(context, request).await;
        let reply = reply.map_err(PeerError::from);
        if reply == Err(PeerError::TimedOut) {
            // The VM's own heartbeats may still arrive and keep it live while calls to it
            // hang. Closing the connection aborts these calls.
            link.reset();
        }
        let reply = reply?;
        let verdict = self.core.handle_heartbeat_reply(&link.vm, &reply);
        if verdict == HeartbeatVerdict::Accepted {
            self.sync_config(&client, reply.revision).await?;
        }
        Ok(())
    }

    /// Fetches or sends the configuration document if the revisions differ.
    async fn sync_config(
        &self,
        client: &PeerServiceClient,
        remote: Revision,
    ) -> Result<(), PeerError> {
        let local = self.core.exchange.revision();
        if remote > local {
            self.pull_config(client, local).await
        } else if remote < local {
            self.push_config(client, remote).await
        } else {
            Ok(())
        }
    }

    async fn pull_config(
        &self,
        client: &PeerServiceClient,
        local: Revision,
    ) -> Result<(), PeerError> {
        let Ok(permit) = self.pull_permits.try_acquire() else {
            return Ok(());
        };
        let snapshot = client
            .pull_config(call_context(DOCUMENT_TIMEOUT), local)
            .await?;
        if let Some(snapshot) = snapshot {
            self.core.offer(snapshot.into()).await;
        }
        drop(permit);
        Ok(())
    }

    async fn push_config(
        &self,
        client: &PeerServiceClient,
        remote: Revision,
    ) -> Result<(), PeerError> {
        if let Some(snapshot) = self.core.newer_snapshot(remote) {
            let context = call_context(DOCUMENT_TIMEOUT);
            client.push_config(context, snapshot.into()).await?;
        }
        Ok(())
    }
}
