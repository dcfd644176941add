//! How a command ends.

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
    /// The command did what it was asked.
    Success = 0,
    /// The command failed and changed nothing.
    Failed = 1,
    /// The command line or the environment is wrong.
    Usage = 2,
    /// The tables fail the checks.
    CheckErrors = 3,
    /// Another operator's change is in the way; nothing was changed.
    Conflict = 4,
    /// Whether the change was applied is not known.
    Unknown = 5,
    /// The change was applied, but isn't in force everywhere in time.
    WaitTimeout = 6,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line or the environment is wrong.
    #[error("{0}")]
    Usage(String),
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// The output can't be written.
    #[error("the output can't be written: {0}")]
    Output(std::io::Error),
    /// The store gave no answer; nothing was changed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The stored document can't be read, or a new one can't be stored.
    #[error("{0}")]
    Document(#[from] DocumentError),
    /// The store holds no document of this fleet.
    #[error("the store holds no configuration of fleet \"{0}\"")]
    NoDocument(String),
    /// A daemon gave no answer.
    #[error("{0}")]
    Admin(#[from] AdminError),
    /// The daemons that were asked don't know it.
    #[error("{0}")]
    NotFound(String),
    /// The tables fail the checks.
    #[error("{0}")]
    Check(#[from] TableErrors),
    /// A row can't be edited in place.
    #[error("{0}")]
    Edit(EditError),
    /// Another operator's change is in the way.
    #[error("{0}")]
    Conflict(Box<ConflictReport>),
    /// The change id belongs to an earlier change.
    #[error("change {0} has been applied already, with other tables; nothing was changed")]
    ReusedChange(String),
    /// Other operators' changes came first again and again.
    #[error("other changes came first until the time was up; nothing was changed")]
    Contended,
    /// Whether the change was applied is not known.
    #[error(
        "it is not known whether change {change_id} was applied: {reason}\n\
         run the command again with --change-id {change_id}, or look for it in `dewctl history`"
    )]
    Unknown {
        /// Identity of the change.
        change_id: String,
        /// Why it is not known.
        reason: String,
    },
    /// The change isn't in force everywhere in time.
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
    /// Returns the exit status for this error.
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
