//! What the verifier reports of the operators' tables.
//!
//! The verifier goes on after an error, so one run names every fault. Errors
//! are ordered by file, then by place in the file.

use thiserror::Error;

use crate::ids::{PoolName, RouteName};

/// One table's text with the name that errors give it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableSource<'a> {
    /// File name for error messages.
    pub file: &'a str,
    /// The table in TOML.
    pub text: &'a str,
}

/// One fault of a table.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{file}:{line}: {}{problem}", key_prefix(.key))]
pub struct TableError {
    /// Name of the file.
    pub file: String,
    /// Line of the faulty key, from 1.
    pub line: usize,
    /// The faulty key; empty for a fault of syntax.
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

/// Every fault of the two tables, in the order of the files.
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
    /// The text is no TOML.
    #[error("{0}")]
    Syntax(String),
    /// No such key exists.
    #[error("unknown key")]
    UnknownKey,
    /// A key without a default is left out.
    #[error("missing key")]
    MissingKey,
    /// The value has another type.
    #[error("must be {0}")]
    WrongType(&'static str),
    /// The value is zero or below.
    #[error("must be above zero")]
    NotPositive,
    /// The value is outside its range.
    #[error("must be from {least} to {most}")]
    OutOfRange {
        /// Least value allowed.
        least: u64,
        /// Largest value allowed.
        most: u64,
    },
    /// The text is no duration.
    #[error("must be a duration such as \"120s\" or \"5m\"")]
    BadDuration,
    /// The duration is too long.
    #[error("must be at most 1day")]
    DurationTooLong,
    /// The text is no name.
    #[error("must be 1 to 64 letters, digits, '.', '_' or '-', and begin with a letter or digit")]
    BadName,
    /// The text can't be a model's name or a header's value.
    #[error("must be 1 to 256 visible ASCII characters without spaces")]
    BadToken,
    /// The text is no path of a URL.
    #[error("must begin with '/' and hold only visible ASCII characters but '?' and '#'")]
    BadPath,
    /// The text is no HTTP method.
    #[error("must be HTTP methods in capitals, each once")]
    BadMethods,
    /// The text is no address.
    #[error("must be an IP address with a port above zero, such as \"10.0.0.7:8000\"")]
    BadAddress,
    /// The text is none of the values allowed.
    #[error("must be one of {0}")]
    BadChoice(&'static str),
    /// Another row has the same name.
    #[error("\"{value}\" is already taken at line {line}")]
    Duplicate {
        /// The value that stands twice.
        value: String,
        /// Line of the first row.
        line: usize,
    },
    /// An array of rows is empty.
    #[error("must hold at least one row")]
    NoRows,
    /// The pools table has no such pool.
    #[error("no pool is named \"{0}\"")]
    UnknownPool(PoolName),
    /// Two routes match the same requests.
    #[error("overlaps route \"{route}\" at line {line}")]
    Overlap {
        /// The earlier route.
        route: RouteName,
        /// Line of the earlier route.
        line: usize,
    },
    /// One path serves models and plain services.
    #[error("route \"{route}\" at line {line} serves the path with another kind of pool")]
    MixedKinds {
        /// The earlier route.
        route: RouteName,
        /// Line of the earlier route.
        line: usize,
    },
    /// Two routes of one class and pool disagree.
    #[error("differs from route \"{route}\" of the same class at line {line}")]
    ClassMismatch {
        /// The earlier route.
        route: RouteName,
        /// Line of the earlier route.
        line: usize,
    },
    /// A duration is longer than the one that bounds it.
    #[error("must not be above {0}")]
    Above(&'static str),
    /// The guaranteed shares of a pool are more than the pool.
    #[error("the floors of pool \"{pool}\" sum to {sum} percent")]
    FloorSum {
        /// The pool.
        pool: PoolName,
        /// Sum of the floors up to this route, in percent.
        sum: u32,
    },
    /// The route's model isn't the pool's.
    #[error("pool \"{pool}\" serves model \"{model}\"")]
    WrongModel {
        /// The pool.
        pool: PoolName,
        /// The pool's model.
        model: String,
    },
    /// The key has a meaning for engines only.
    #[error("is not allowed with a service pool")]
    EngineOnly,
}
