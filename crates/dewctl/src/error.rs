//! Exit statuses of the program and errors of the commands.

use std::path::PathBuf;

use dewspring::store::StoreError;
use dewspring::tables::{DocumentError, EditError, TableErrors};
use thiserror::Error;

use crate::admin::AdminError;
use crate::conflict::ConflictReport;
use crate::wait::WaitTimeout;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed and changed nothing.
    Failed = 1,
    /// The command line or an environment variable is invalid.
    Usage = 2,
    /// The tables fail the checks.
    CheckErrors = 3,
    /// The change conflicts with another operator's change; nothing was changed.
    Conflict = 4,
    /// It is unknown whether the change was applied.
    Unknown = 5,
    /// The change was applied, but was not in force on all daemons before the
    /// timeout.
    WaitTimeout = 6,
}

/// Error that ends a command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line or an environment variable is invalid.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Writing the output failed.
    #[error("failed to write the output: {0}")]
    Output(std::io::Error),
    /// A request to the store failed; nothing was changed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The stored document can't be read, or a new one can't be stored.
    #[error("{0}")]
    Document(#[from] DocumentError),
    /// The store holds no configuration document for this fleet.
    #[error("the store holds no configuration for fleet \"{0}\"")]
    NoDocument(String),
    /// A request to a daemon failed.
    #[error("{0}")]
    Admin(#[from] AdminError),
    /// No responding daemon knows the request id or runs on the VM.
    #[error("{0}")]
    NotFound(String),
    /// The tables fail the checks.
    #[error("{0}")]
    Check(#[from] TableErrors),
    /// A row can't be edited in place.
    #[error("{0}")]
    Edit(EditError),
    /// The change conflicts with another operator's change.
    #[error("{0}")]
    Conflict(Box<ConflictReport>),
    /// The change id belongs to an earlier change with other tables.
    #[error("change {0} was already applied with different tables; nothing was changed")]
    ReusedChange(String),
    /// Other operators' changes were applied first until the retries timed out.
    #[error("timed out because other changes were applied first; nothing was changed")]
    Contended,
    /// It is unknown whether the change was applied.
    #[error(
        "it is unknown whether change {change_id} was applied: {reason}\n\
         run the command again with --change-id {change_id}, or search for it in `dewctl history`"
    )]
    Unknown {
        /// Id of the change.
        change_id: String,
        /// Error that left the outcome unknown.
        reason: String,
    },
    /// The change was not in force on all daemons before the timeout.
    #[error("{0}")]
    WaitTimeout(#[from] WaitTimeout),
}

impl From<EditError> for CommandError {
    fn from(error: EditError) -> Self {
        match error {
            EditError::Invalid(errors) => Self::Check(errors),
            error => Self::Edit(error),
        }
    }
}

impl CommandError {
    /// Returns the exit status that reports this error.
    ///
    /// # Examples
    ///
    /// ```
    /// use dewctl::{CommandError, ExitStatus};
    ///
    /// let error = CommandError::Usage("no such flag".to_owned());
    /// assert_eq!(error.exit_status(), ExitStatus::Usage);
    /// ```
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::Check(_) => ExitStatus::CheckErrors,
            Self::Conflict(_) => ExitStatus::Conflict,
            Self::Unknown { .. } => ExitStatus::Unknown,
            Self::WaitTimeout(_) => ExitStatus::WaitTimeout,
            _ => ExitStatus::Failed,
        }
    }
}
