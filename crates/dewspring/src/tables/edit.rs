//! Edits single values of a table and preserves the rest of its text.

use std::ops::Range;

use thiserror::Error;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::document::TableTexts;
use super::error::TableErrors;
use crate::ids::ServerName;

/// Error of editing a table.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum EditError {
    /// The tables are invalid before the edit.
    #[error("{0}")]
    Invalid(#[from] TableErrors),
    /// No pool contains the server.
    #[error("no server is named \"{0}\"")]
    UnknownServer(ServerName),
    /// The layout of the row does not allow an edit in place.
    #[error("the row of server \"{0}\" can't be edited in place; edit the table by hand")]
    UnsupportedLayout(ServerName),
}

/// Sets `drain` of one server in the text of the pools table.
///
/// Comments and layout are preserved. The result differs from `texts` only in
/// that value, or is equal if `drain` already has it.
///
/// # Errors
///
/// Returns an [`EditError`] if the tables are invalid, the server is unknown,
/// or its row can't be edited in place.
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

    let unsupported_layout = || EditError::UnsupportedLayout(server.to_owned());
    let edit = drain_edit(&texts.pools, server, drain).ok_or_else(unsupported_layout)?;
    let mut edited = texts.clone();
    edited.pools.replace_range(edit.range, &edit.text);
    match edited.check() {
        Ok(tables) if tables == expected => Ok(edited),
        Ok(_) | Err(_) => Err(unsupported_layout()),
    }
}

/// Replacement of a byte range of a text.
struct TextEdit {
    range: Range<usize>,
    text: String,
}

/// Returns the edit of the server's row, or `None` if the row isn't found.
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
            range: value.span(),
            text: drain.to_string(),
        });
    }
    let name_end = table.get("name")?.span().end;
    let is_inline = text[row.span()].starts_with('{');
    if is_inline {
        return Some(TextEdit {
            range: name_end..name_end,
            text: format!(", drain = {drain}"),
        });
    }
    let next_newline = text[name_end..].find('\n');
    let line_end = next_newline.map_or(text.len(), |rest| name_end + rest);
    let has_carriage_return = text[..line_end].ends_with('\r');
    let insert_at = line_end - usize::from(has_carriage_return);
    let newline = if has_carriage_return { "\r\n" } else { "\n" };
    Some(TextEdit {
        range: insert_at..insert_at,
        text: format!("{newline}drain = {drain}"),
    })
}

fn server_name<'r>(row: &'r Spanned<DeValue<'_>>) -> Option<&'r str> {
    row.get_ref().as_table()?.get("name")?.get_ref().as_str()
}
