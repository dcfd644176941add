//! Edits single values of a table and leaves the rest of its text alone.

use std::ops::Range;

use thiserror::Error;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::document::TableTexts;
use super::error::TableErrors;
use crate::ids::ServerName;

/// Why a table was not edited.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EditError {
    /// The tables fail the checks already.
    #[error("{0}")]
    Invalid(#[from] TableErrors),
    /// No pool has such a server.
    #[error("no server is named \"{0}\"")]
    UnknownServer(ServerName),
    /// The row is written in a way that a line edit would spoil.
    #[error("the row of server \"{0}\" can't be edited in place; edit the table by hand")]
    UnusualLayout(ServerName),
}

/// Sets `drain` of one server in the text of the pools table.
///
/// Comments and layout stay as they are. The result differs from `texts` in
/// that one value, or is equal if the value was so already.
///
/// # Errors
///
/// Any [`EditError`]; the texts are not changed then.
///
/// # Examples
///
/// ```
/// use dewspring::tables::{EditError, TableTexts, set_server_drain};
///
/// let outcome = set_server_drain(&TableTexts::default(), "e1", true);
/// assert!(matches!(outcome, Err(EditError::Invalid(_))));
/// ```
pub fn set_server_drain(
    texts: &TableTexts,
    server: &str,
    drain: bool,
) -> Result<TableTexts, EditError> {
    let mut expected = texts.check()?;
    let pools = expected.pools.rows.values_mut();
    let mut servers = pools.flat_map(|pool| pool.servers.iter_mut());
    let row = servers.find(|row| row.name == server);
    let row = row.ok_or_else(|| EditError::UnknownServer(server.to_owned()))?;
    if row.drain == drain {
        return Ok(texts.clone());
    }
    row.drain = drain;

    let unusual = || EditError::UnusualLayout(server.to_owned());
    let edit = drain_edit(&texts.pools, server, drain).ok_or_else(unusual)?;
    let mut edited = texts.clone();
    edited.pools.replace_range(edit.place, &edit.text);
    match edited.check() {
        Ok(tables) if tables == expected => Ok(edited),
        Ok(_) | Err(_) => Err(unusual()),
    }
}

/// A piece of text in place of another.
struct TextEdit {
    place: Range<usize>,
    text: String,
}

fn drain_edit(text: &str, server: &str, drain: bool) -> Option<TextEdit> {
    let document = DeTable::parse(text).ok()?;
    let pools = document.get_ref().get("pool")?.get_ref().as_array()?;
    let tables = pools.iter().filter_map(|pool| pool.get_ref().as_table());
    let servers = tables.filter_map(|pool| pool.get("server")?.get_ref().as_array());
    let mut rows = servers.flat_map(|servers| servers.iter());
    let row = rows.find(|row| server_name(row) == Some(server))?;
    let table = row.get_ref().as_table()?;
    if let Some(value) = table.get("drain") {
        return Some(TextEdit {
            place: value.span(),
            text: drain.to_string(),
        });
    }
    let name_end = table.get("name")?.span().end;
    let is_inline = text[row.span()].starts_with('{');
    if is_inline {
        return Some(TextEdit {
            place: name_end..name_end,
            text: format!(", drain = {drain}"),
        });
    }
    let line_rest = text[name_end..].find('\n');
    let line_end = line_rest.map_or(text.len(), |rest| name_end + rest);
    let has_return = text[..line_end].ends_with('\r');
    let place = line_end - usize::from(has_return);
    let line_break = if has_return { "\r\n" } else { "\n" };
    Some(TextEdit {
        place: place..place,
        text: format!("{line_break}drain = {drain}"),
    })
}

fn server_name<'r>(row: &'r Spanned<DeValue<'_>>) -> Option<&'r str> {
    row.get_ref().as_table()?.get("name")?.get_ref().as_str()
}
