//! Parsers for the values of single keys.
//!
//! Each parser takes a TOML value and returns the typed value or a
//! [`TableProblem`]; the row reader adds the line.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::de::DeValue;

use super::error::TableProblem;
use super::model::{LatePolicy, PoolKind};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a model name, a label or a path, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Maximum duration in a table.
const MAX_DURATION: Duration = Duration::from_secs(24 * 60 * 60);

fn string<'v>(value: &'v DeValue<'_>) -> Result<&'v str, TableProblem> {
    value.as_str().ok_or(TableProblem::WrongType("a string"))
}

/// Parses a name; its characters need no escaping in logs and metrics.
pub(super) fn name(value: &DeValue<'_>) -> Result<String, TableProblem> {
    let text = string(value)?;
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let starts_alphanumeric = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let is_name =
        starts_alphanumeric && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_name_byte);
    if is_name {
        Ok(text.to_owned())
    } else {
        Err(TableProblem::BadName)
    }
}

/// Parses a token, such as a model name or the value of a header.
pub(super) fn token(value: &DeValue<'_>) -> Result<String, TableProblem> {
    let text = string(value)?;
    let has_valid_length = !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
    if has_valid_length && text.bytes().all(|byte| byte.is_ascii_graphic()) {
        Ok(text.to_owned())
    } else {
        Err(TableProblem::BadToken)
    }
}

/// Parses the path of a route.
pub(super) fn path(value: &DeValue<'_>) -> Result<String, TableProblem> {
    let text = string(value)?;
    let is_path_byte = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    let is_bounded_absolute = text.starts_with('/') && text.len() <= MAX_TEXT_BYTES;
    if is_bounded_absolute && text.bytes().all(is_path_byte) {
        Ok(text.to_owned())
    } else {
        Err(TableProblem::BadPath)
    }
}

/// Parses an array of HTTP methods without duplicates.
pub(super) fn methods(value: &DeValue<'_>) -> Result<Vec<String>, TableProblem> {
    const EXPECTED: TableProblem = TableProblem::WrongType("an array of strings");
    let items = value.as_array().ok_or(EXPECTED)?;
    let mut methods: Vec<String> = Vec::new();
    for item in items.iter() {
        let method = item.get_ref().as_str().ok_or(EXPECTED)?;
        let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_method || methods.iter().any(|earlier| earlier == method) {
            return Err(TableProblem::BadMethods);
        }
        methods.push(method.to_owned());
    }
    Ok(methods)
}

/// Parses a duration above zero, at most [`MAX_DURATION`].
pub(super) fn duration(value: &DeValue<'_>) -> Result<Duration, TableProblem> {
    let text = value.as_str().ok_or(TableProblem::BadDuration)?;
    let duration = humantime::parse_duration(text).map_err(|_| TableProblem::BadDuration)?;
    if duration.is_zero() {
        return Err(TableProblem::NotPositive);
    }
    if duration > MAX_DURATION {
        return Err(TableProblem::DurationTooLong);
    }
    Ok(duration)
}

/// Parses an integer within a range.
pub(super) fn integer<T: TryFrom<u64>>(
    range: RangeInclusive<u64>,
) -> impl Fn(&DeValue<'_>) -> Result<T, TableProblem> {
    move |value| {
        let integer = value
            .as_integer()
            .ok_or(TableProblem::WrongType("an integer"))?;
        let out_of_range = TableProblem::OutOfRange {
            min: *range.start(),
            max: *range.end(),
        };
        let number = i128::from_str_radix(integer.as_str(), integer.radix());
        let number = number.map_err(|_| out_of_range.clone())?;
        if number <= 0 && *range.start() == 1 {
            return Err(TableProblem::NotPositive);
        }
        let number = u64::try_from(number).map_err(|_| out_of_range.clone())?;
        if !range.contains(&number) {
            return Err(out_of_range);
        }
        T::try_from(number).map_err(|_| out_of_range)
    }
}

/// Parses a boolean.
pub(super) fn boolean(value: &DeValue<'_>) -> Result<bool, TableProblem> {
    value
        .as_bool()
        .ok_or(TableProblem::WrongType("true or false"))
}

/// Parses the address of a backend server.
pub(super) fn address(value: &DeValue<'_>) -> Result<SocketAddr, TableProblem> {
    let parsed = string(value)?.parse::<SocketAddr>();
    parsed
        .ok()
        .filter(|address| address.port() > 0)
        .ok_or(TableProblem::BadAddress)
}

/// Parses the kind of a pool.
pub(super) fn pool_kind(value: &DeValue<'_>) -> Result<PoolKind, TableProblem> {
    match string(value)? {
        "engine" => Ok(PoolKind::Engine),
        "service" => Ok(PoolKind::Service),
        _ => Err(TableProblem::BadChoice("\"engine\", \"service\"")),
    }
}

/// Parses the policy for late responses.
pub(super) fn late_policy(value: &DeValue<'_>) -> Result<LatePolicy, TableProblem> {
    match string(value)? {
        "useful" => Ok(LatePolicy::Useful),
        "worthless" => Ok(LatePolicy::Worthless),
        _ => Err(TableProblem::BadChoice("\"useful\", \"worthless\"")),
    }
}
