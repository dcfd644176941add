//! Errors of the operators' tables.
//!
//! The verifier continues after an error, so one run reports all of them. They
//! are ordered by file, then by position in the file.

use thiserror::Error;

use crate::ids::{PoolName, RouteName};

/// The text of a table with its file name for error messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableSource<'a> {
    /// File name for error messages.
    pub file: &'a str,
    /// The table in TOML.
    pub text: &'a str,
}

/// One error in a table.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{file}:{line}: {}{problem}", key_prefix(.key))]
pub struct TableError {
    /// Name of the file.
    pub file: String,
    /// Line of the key, from 1.
    pub line: usize,
    /// The invalid key; empty for a syntax error.
    pub key: String,
    /// What is wrong.
    pub problem: TableProblem,
}

fn key_prefix(key: &str) -> String {
    if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    }
}

/// Every error of the two tables, ordered by file and position.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{}", join_lines(.0))]
pub struct TableErrors(pub Vec<TableError>);

fn join_lines(errors: &[TableError]) -> String {
    let lines: Vec<String> = errors.iter().map(TableError::to_string).collect();
    lines.join("\n")
}

/// What is wrong with a key of a table.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TableProblem {
    /// The text is not valid TOML.
    #[error("{0}")]
    Syntax(String),
    /// The table has no such key.
    #[error("unknown key")]
    UnknownKey,
    /// A required key is missing.
    #[error("missing key")]
    MissingKey,
    /// The value has the wrong type.
    #[error("must be {0}")]
    WrongType(&'static str),
    /// The value is zero or negative.
    #[error("must be above zero")]
    NotPositive,
    /// The value is outside its range.
    #[error("must be from {min} to {max}")]
    OutOfRange {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
    },
    /// The value is not a duration.
    #[error("must be a duration such as \"120s\" or \"5m\"")]
    BadDuration,
    /// The duration exceeds the maximum.
    #[error("must be at most 1day")]
    DurationTooLong,
    /// The text is not a valid name.
    #[error("must be 1 to 64 letters, digits, '.', '_' or '-', and begin with a letter or digit")]
    BadName,
    /// The text is not a valid token, such as a model name or the value of a
    /// header.
    #[error("must be 1 to 256 visible ASCII characters without spaces")]
    BadToken,
    /// The text is not a valid URL path.
    #[error("must begin with '/' and contain only visible ASCII characters except '?' and '#'")]
    BadPath,
    /// An element is not an HTTP method or occurs twice.
    #[error("must be HTTP methods in upper case without duplicates")]
    BadMethods,
    /// The text is not a socket address.
    #[error("must be an IP address with a port above zero, such as \"10.0.0.7:8000\"")]
    BadAddress,
    /// The text is not one of the allowed values.
    #[error("must be one of {0}")]
    BadChoice(&'static str),
    /// An earlier row has the same value for a unique key.
    #[error("\"{value}\" is already taken at line {line}")]
    Duplicate {
        /// The duplicate value.
        value: String,
        /// Line of the first row.
        line: usize,
    },
    /// An array of rows is empty.
    #[error("must contain at least one row")]
    EmptyArray,
    /// The route refers to a pool that does not exist.
    #[error("no pool is named \"{0}\"")]
    UnknownPool(PoolName),
    /// Two routes can match the same request.
    #[error("overlaps route \"{route}\" at line {line}")]
    Overlap {
        /// The earlier route.
        route: RouteName,
        /// Line of the earlier route.
        line: usize,
    },
    /// Routes of one path use both engine and service pools.
    #[error("route \"{route}\" at line {line} serves the path with another kind of pool")]
    MixedPoolKinds {
        /// The earlier route.
        route: RouteName,
        /// Line of the earlier route.
        line: usize,
    },
    /// Two routes of one class and pool have different class settings.
    #[error("differs from route \"{route}\" of the same class at line {line}")]
    ClassMismatch {
        /// The earlier route.
        route: RouteName,
        /// Line of the earlier route.
        line: usize,
    },
    /// The duration is longer than that of another key, which bounds it.
    #[error("must not be above {0}")]
    ExceedsKey(&'static str),
    /// The floors of a pool's classes sum to more than 100 percent.
    #[error("the floors of pool \"{pool}\" sum to {sum} percent")]
    FloorSum {
        /// The pool.
        pool: PoolName,
        /// Sum of the floors up to this route, in percent.
        sum: u32,
    },
    /// The model of the route is not the model of its pool.
    #[error("pool \"{pool}\" serves model \"{model}\"")]
    ModelMismatch {
        /// The pool.
        pool: PoolName,
        /// The pool's model.
        model: String,
    },
    /// The key is allowed only with an engine pool.
    #[error("is not allowed with a service pool")]
    EngineOnly,
}
