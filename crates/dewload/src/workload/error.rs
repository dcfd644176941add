//! Why a workload can't be used.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

/// Why a workload can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WorkloadError {
    /// The text is no TOML of the right shape.
    Syntax { reason: String },
    /// A field of the workload has a bad value.
    Field { field: String, reason: String },
    /// A field of a class has a bad value.
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

    /// Says in which class the field stands.
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
