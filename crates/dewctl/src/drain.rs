//! Drains a VM or a backend server.

use dewspring::admin::DrainReport;
use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, set_server_drain};

use crate::admin::AdminClient;
use crate::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
use crate::error::CommandError;

/// Request to set the `drain` key of one backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerDrain {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the server.
    pub server: String,
    /// New value; a server with `true` receives no new requests.
    pub drain: bool,
}

/// Sets the `drain` key of one server in the stored pools table.
///
/// The edit is always based on the stored document, so that it never reverts
/// another operator's change.
///
/// # Errors
///
/// [`CommandError::NoDocument`], [`CommandError::Edit`],
/// [`CommandError::Check`], and the errors of [`commit_change`].
pub fn drain_server(
    store: &impl PlatformStore,
    key: &str,
    request: &ServerDrain,
    origin: &ChangeOrigin,
    limits: CommitLimits,
) -> Result<CommitOutcome, CommandError> {
    let propose = |current: Option<&ConfigDocument>| {
        let current = current.ok_or_else(|| CommandError::NoDocument(request.fleet.clone()))?;
        let texts = current.texts();
        let edited = set_server_drain(&texts, &request.server, request.drain)?;
        if edited == texts {
            Ok(ProposedTables::Unchanged)
        } else {
            Ok(ProposedTables::Changed(edited))
        }
    };
    commit_change(store, key, origin, propose, limits)
}

/// Starts the drain of the daemon on a VM.
///
/// # Errors
///
/// [`CommandError::NotFound`] if no responding daemon runs on that VM, and
/// [`CommandError::Admin`] if the drain request fails.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewctl::admin::AdminClient;
/// use dewctl::drain::drain_vm;
///
/// let client = AdminClient::new(Vec::new(), "secret", Duration::from_secs(1));
/// assert!(drain_vm(&client, "vm-1").is_err());
/// ```
pub fn drain_vm(client: &AdminClient, vm: &str) -> Result<DrainReport, CommandError> {
    let mut silent = Vec::new();
    for answer in client.fetch_statuses() {
        match answer.answer {
            Ok(report) if report.vm == vm => return Ok(client.drain(answer.address)?),
            Ok(_) => {}
            Err(error) => silent.push(error.to_string()),
        }
    }
    let mut lines = vec![format!("no responding daemon runs on VM \"{vm}\"")];
    lines.extend(silent);
    Err(CommandError::NotFound(lines.join("\n")))
}
