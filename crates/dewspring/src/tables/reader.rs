//! Typed reading of TOML rows with error recovery.
//!
//! A [`RowReader`] reads the keys of one row and reports errors to the
//! [`Diagnostics`] of the file. A [`Field`] records that a key is missing or
//! invalid; later checks skip such fields, so each error is reported once.

use indexmap::IndexSet;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::error::{TableError, TableProblem, TableSource};

/// Collects the errors of one file.
pub(super) struct Diagnostics<'a> {
    file: &'a str,
    line_starts: Vec<usize>,
    errors: Vec<LocatedError>,
    syntax_lines: IndexSet<usize>,
}

struct LocatedError {
    offset: usize,
    error: TableError,
}

impl<'a> Diagnostics<'a> {
    /// Creates an empty collection for a file.
    pub(super) fn new(source: TableSource<'a>) -> Self {
        let indexed_bytes = source.text.bytes().enumerate();
        let next_lines = indexed_bytes
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(index, _)| index + 1);
        Self {
            file: source.file,
            line_starts: std::iter::once(0).chain(next_lines).collect(),
            errors: Vec::new(),
            syntax_lines: IndexSet::new(),
        }
    }

    /// Parses the file with error recovery and reports its syntax errors.
    pub(super) fn parse(&mut self, text: &'a str) -> Spanned<DeTable<'a>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().replace('\n', " ");
            self.report(offset, "", TableProblem::Syntax(message));
            self.syntax_lines.insert(self.line(offset));
        }
        table
    }

    /// Returns whether parts of the file were skipped due to a syntax error.
    pub(super) fn has_syntax_error(&self) -> bool {
        !self.syntax_lines.is_empty()
    }

    /// Returns the line number of a byte offset, from 1.
    pub(super) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Records an error at a byte offset of the file, unless it follows from a
    /// syntax error.
    pub(super) fn report(&mut self, offset: usize, key: impl Into<String>, problem: TableProblem) {
        let line = self.line(offset);
        if self.is_caused_by_syntax_error(line, &problem) {
            return;
        }
        let error = TableError {
            file: self.file.to_owned(),
            line,
            key: key.into(),
            problem,
        };
        self.errors.push(LocatedError { offset, error });
    }

    /// Returns whether a syntax error may be the cause of the problem.
    ///
    /// During error recovery, the parser inserts values on the line of the
    /// error, and a missing key may be in the part that the parser skipped.
    fn is_caused_by_syntax_error(&self, line: usize, problem: &TableProblem) -> bool {
        match problem {
            TableProblem::Syntax(_) => false,
            TableProblem::MissingKey => self.has_syntax_error(),
            _ => self.syntax_lines.contains(&line),
        }
    }

    /// Returns the errors in file order.
    pub(super) fn into_errors(mut self) -> Vec<TableError> {
        self.errors.sort_by_key(|located| located.offset);
        self.errors
            .into_iter()
            .map(|located| located.error)
            .collect()
    }
}

/// State of a key in a row.
#[derive(Clone, Debug)]
enum FieldValue<T> {
    Present(T),
    Missing,
    Invalid,
}

/// The value of a key with its position in the file.
#[derive(Clone, Debug)]
pub(super) struct Field<T> {
    /// Byte offset of the key, or of the row if the key is missing.
    pub(super) offset: usize,
    value: FieldValue<T>,
}

impl<T> Field<T> {
    /// Returns the value unless it is missing or invalid.
    pub(super) fn get(&self) -> Option<&T> {
        match &self.value {
            FieldValue::Present(value) => Some(value),
            FieldValue::Missing | FieldValue::Invalid => None,
        }
    }

    /// Returns whether the row lacks the key.
    pub(super) fn is_missing(&self) -> bool {
        matches!(self.value, FieldValue::Missing)
    }

    /// Replaces a missing value by the default, if there is one.
    pub(super) fn or_default(mut self, default: Option<T>) -> Self {
        if let (FieldValue::Missing, Some(value)) = (&self.value, default) {
            self.value = FieldValue::Present(value);
        }
        self
    }

    /// Converts into the value unless it is missing or invalid.
    pub(super) fn into_value(self) -> Option<T> {
        match self.value {
            FieldValue::Present(value) => Some(value),
            FieldValue::Missing | FieldValue::Invalid => None,
        }
    }
}

/// Reads the keys of one row.
pub(super) struct RowReader<'r, 'a> {
    table: &'r DeTable<'a>,
    offset: usize,
    known_keys: Vec<&'static str>,
    diagnostics: &'r mut Diagnostics<'a>,
}

impl<'r, 'a> RowReader<'r, 'a> {
    /// Creates a reader for a row that begins at a byte offset.
    pub(super) fn new(
        table: &'r DeTable<'a>,
        offset: usize,
        diagnostics: &'r mut Diagnostics<'a>,
    ) -> Self {
        Self {
            table,
            offset,
            known_keys: Vec::new(),
            diagnostics,
        }
    }

    /// Reads an optional key.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&DeValue<'_>) -> Result<T, TableProblem>,
    ) -> Field<T> {
        self.known_keys.push(key);
        let Some((name, value)) = self.table.get_key_value(key) else {
            return self.missing_field();
        };
        let offset = name.span().start;
        let value = match parse(value.get_ref()) {
            Ok(value) => FieldValue::Present(value),
            Err(problem) => {
                self.diagnostics.report(offset, key, problem);
                FieldValue::Invalid
            }
        };
        Field { offset, value }
    }

    /// Reads a required key.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&DeValue<'_>) -> Result<T, TableProblem>,
    ) -> Field<T> {
        let field = self.optional(key, parse);
        if field.is_missing() {
            self.diagnostics
                .report(self.offset, key, TableProblem::MissingKey);
        }
        field
    }

    /// Reads an array of tables with at least one row.
    pub(super) fn rows<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut RowReader<'_, 'a>) -> T,
    ) -> Field<Vec<T>> {
        self.known_keys.push(key);
        let Some((name, value)) = self.table.get_key_value(key) else {
            self.diagnostics
                .report(self.offset, key, TableProblem::MissingKey);
            return self.missing_field();
        };
        let offset = name.span().start;
        let DeValue::Array(items) = value.get_ref() else {
            let problem = TableProblem::WrongType("an array of tables");
            self.diagnostics.report(offset, key, problem);
            return Field {
                offset,
                value: FieldValue::Invalid,
            };
        };
        if items.is_empty() {
            self.diagnostics
                .report(offset, key, TableProblem::EmptyArray);
        }
        let mut rows = Vec::new();
        for item in items.iter() {
            rows.extend(self.read_row(key, item, &read));
        }
        Field {
            offset,
            value: FieldValue::Present(rows),
        }
    }

    /// Reports each key of the row that was not read as an unknown key.
    pub(super) fn finish(self) {
        for name in self.table.keys() {
            let key = name.get_ref().as_ref();
            if !self.known_keys.contains(&key) {
                let offset = name.span().start;
                self.diagnostics
                    .report(offset, key, TableProblem::UnknownKey);
            }
        }
    }

    fn read_row<T>(
        &mut self,
        key: &'static str,
        item: &Spanned<DeValue<'a>>,
        read: impl Fn(&mut RowReader<'_, 'a>) -> T,
    ) -> Option<T> {
        let offset = item.span().start;
        let DeValue::Table(table) = item.get_ref() else {
            self.diagnostics
                .report(offset, key, TableProblem::WrongType("a table"));
            return None;
        };
        let mut reader = RowReader::new(table, offset, self.diagnostics);
        let row = read(&mut reader);
        reader.finish();
        Some(row)
    }

    fn missing_field<T>(&self) -> Field<T> {
        Field {
            offset: self.offset,
            value: FieldValue::Missing,
        }
    }
}
