//! Takes a VM or a backend server out of service.

use dewspring::admin::DrainReport;
use dewspring::store::PlatformStore;
use dewspring::tables::{ConfigDocument, set_server_drain};

use crate::admin::AdminClient;
use crate::commit::{ChangeOrigin, CommitLimits, CommitOutcome, ProposedTables, commit_change};
use crate::error::CommandError;

/// Whether a backend server is to receive new work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerDrain {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the server.
    pub server: String,
    /// Value for the server's `drain` key.
    pub drain: bool,
}

/// Sets `drain` of one server in the stored pools table.
///
/// The edit is made on whatever document the store holds, so it never takes
/// back another operator's change.
///
/// # Errors
///
/// [`CommandError::NoDocument`], [`CommandError::Edit`], and what
/// [`commit_change`] returns.
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

/// Tells the daemon on a VM to leave.
///
/// # Errors
///
/// [`CommandError::NotFound`] if no daemon answers for that VM, and
/// [`CommandError::Admin`] if it doesn't take the order.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dewctl::admin::AdminClient;
/// use dewctl::drain::drain_vm;
///
/// let client = AdminClient::open(Vec::new(), "secret", Duration::from_secs(1));
/// assert!(drain_vm(&client, "vm-1").is_err());
/// ```
pub fn drain_vm(client: &AdminClient, vm: &str) -> Result<DrainReport, CommandError> {
    let mut silent = Vec::new();
    for answer in client.status_of_all() {
        match answer.answer {
            Ok(report) if report.vm == vm => return Ok(client.drain(answer.address)?),
            Ok(_) => {}
            Err(error) => silent.push(error.to_string()),
        }
    }
    let mut lines = vec![format!("no daemon that answered runs on VM \"{vm}\"")];
    lines.extend(silent);
    Err(CommandError::NotFound(lines.join("\n")))
}
