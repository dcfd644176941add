//! Errors in the description of a workload.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// The reason why a workload is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkloadError {
    /// The text is not valid TOML or has missing or unknown fields.
    Syntax { reason: String },
    /// A field of the workload has an invalid value.
    Field { field: String, reason: String },
    /// A field of a class has an invalid value.
    Class {
        class: String,
        field: String,
        reason: String,
    },
}

impl WorkloadError {
    pub(super) fn field(field: &str, reason: &str) -> Self {
        Self::Field {
            field: field.to_owned(),
            reason: reason.to_owned(),
        }
    }

    pub(super) fn class(class: &str, field: &str, reason: &str) -> Self {
        Self::field(field, reason).in_class(class)
    }

    /// Adds the name of the class to a field error.
    pub(super) fn in_class(self, class: &str) -> Self {
        match self {
            Self::Field { field, reason } => Self::Class {
                class: class.to_owned(),
                field,
                reason,
            },
            other => other,
        }
    }
}

impl Display for WorkloadError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { reason } => write!(formatter, "the workload can't be read: {reason}"),
            Self::Field { field, reason } => write!(formatter, "{field} {reason}"),
            Self::Class {
                class,
                field,
                reason,
            } => write!(formatter, "class {class}: {field} {reason}"),
        }
    }
}

impl Error for WorkloadError {}
