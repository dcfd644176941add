//! Typed reading of TOML rows that goes on after an error.
//!
//! A [`RowReader`] takes the keys of one row one after another and reports
//! what is wrong to the [`ErrorLog`] of the file. A field that is missing or
//! invalid stays so, and later checks skip it: each fault is reported once.

use indexmap::IndexSet;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::error::{TableError, TableProblem, TableSource};

/// Collects the errors of one file.
pub(super) struct ErrorLog<'a> {
    file: &'a str,
    line_starts: Vec<usize>,
    errors: Vec<LoggedError>,
    syntax_lines: IndexSet<usize>,
}

struct LoggedError {
    offset: usize,
    error: TableError,
}

impl<'a> ErrorLog<'a> {
    /// Opens an empty log for a file.
    pub(super) fn open(source: TableSource<'a>) -> Self {
        let breaks = source.text.bytes().enumerate();
        let after_breaks = breaks
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(at, _)| at + 1);
        Self {
            file: source.file,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
            errors: Vec::new(),
            syntax_lines: IndexSet::new(),
        }
    }

    /// Parses the file as far as it can be read and logs its faults of syntax.
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

    /// Returns whether parts of the file could not be read at all.
    pub(super) fn has_syntax_error(&self) -> bool {
        !self.syntax_lines.is_empty()
    }

    /// Returns the line of a byte offset, from 1.
    pub(super) fn line(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    /// Logs an error at a byte offset of the file.
    pub(super) fn report(&mut self, offset: usize, key: impl Into<String>, problem: TableProblem) {
        let line = self.line(offset);
        if self.follows_from_syntax(line, &problem) {
            return;
        }
        let error = TableError {
            file: self.file.to_owned(),
            line,
            key: key.into(),
            problem,
        };
        self.errors.push(LoggedError { offset, error });
    }

    /// Returns whether a fault of syntax may be the cause: the value was made
    /// up by the parser, or the part that it skipped may hold the key.
    fn follows_from_syntax(&self, line: usize, problem: &TableProblem) -> bool {
        match problem {
            TableProblem::Syntax(_) => false,
            TableProblem::MissingKey => self.has_syntax_error(),
            _ => self.syntax_lines.contains(&line),
        }
    }

    /// Returns the errors in the order of the file.
    pub(super) fn into_errors(mut self) -> Vec<TableError> {
        self.errors.sort_by_key(|logged| logged.offset);
        self.errors.into_iter().map(|logged| logged.error).collect()
    }
}

/// What a row holds for a key.
#[derive(Clone, Debug)]
enum FieldValue<T> {
    Given(T),
    Missing,
    Invalid,
}

/// A key's value with its place in the file.
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
            FieldValue::Given(value) => Some(value),
            FieldValue::Missing | FieldValue::Invalid => None,
        }
    }

    /// Returns whether the row lacks the key.
    pub(super) fn is_missing(&self) -> bool {
        matches!(self.value, FieldValue::Missing)
    }

    /// Fills in the default of a missing key.
    pub(super) fn or_default(mut self, default: Option<T>) -> Self {
        if let (FieldValue::Missing, Some(value)) = (&self.value, default) {
            self.value = FieldValue::Given(value);
        }
        self
    }

    /// Takes the value unless it is missing or invalid.
    pub(super) fn into_value(self) -> Option<T> {
        match self.value {
            FieldValue::Given(value) => Some(value),
            FieldValue::Missing | FieldValue::Invalid => None,
        }
    }
}

/// Reads one row of a table.
pub(super) struct RowReader<'r, 'a> {
    table: &'r DeTable<'a>,
    offset: usize,
    known: Vec<&'static str>,
    log: &'r mut ErrorLog<'a>,
}

impl<'r, 'a> RowReader<'r, 'a> {
    /// Opens a row that begins at a byte offset.
    pub(super) fn open(table: &'r DeTable<'a>, offset: usize, log: &'r mut ErrorLog<'a>) -> Self {
        Self {
            table,
            offset,
            known: Vec::new(),
            log,
        }
    }

    /// Reads a key that may be left out.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&DeValue<'_>) -> Result<T, TableProblem>,
    ) -> Field<T> {
        self.known.push(key);
        let Some((name, value)) = self.table.get_key_value(key) else {
            return self.missing();
        };
        let offset = name.span().start;
        let value = match parse(value.get_ref()) {
            Ok(value) => FieldValue::Given(value),
            Err(problem) => {
                self.log.report(offset, key, problem);
                FieldValue::Invalid
            }
        };
        Field { offset, value }
    }

    /// Reads a key that must be there.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&DeValue<'_>) -> Result<T, TableProblem>,
    ) -> Field<T> {
        let field = self.optional(key, parse);
        if field.is_missing() {
            self.log.report(self.offset, key, TableProblem::MissingKey);
        }
        field
    }

    /// Reads the rows below a key, at least one.
    pub(super) fn rows<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(&mut RowReader<'_, 'a>) -> T,
    ) -> Field<Vec<T>> {
        self.known.push(key);
        let Some((name, value)) = self.table.get_key_value(key) else {
            self.log.report(self.offset, key, TableProblem::MissingKey);
            return self.missing();
        };
        let offset = name.span().start;
        let DeValue::Array(items) = value.get_ref() else {
            let problem = TableProblem::WrongType("an array of tables");
            self.log.report(offset, key, problem);
            return Field {
                offset,
                value: FieldValue::Invalid,
            };
        };
        if items.is_empty() {
            self.log.report(offset, key, TableProblem::NoRows);
        }
        let mut rows = Vec::new();
        for item in items.iter() {
            rows.extend(self.row(key, item, &read));
        }
        Field {
            offset,
            value: FieldValue::Given(rows),
        }
    }

    /// Logs every key that was not asked for.
    pub(super) fn finish(self) {
        for name in self.table.keys() {
            let key = name.get_ref().as_ref();
            if !self.known.contains(&key) {
                let offset = name.span().start;
                self.log.report(offset, key, TableProblem::UnknownKey);
            }
        }
    }

    fn row<T>(
        &mut self,
        key: &'static str,
        item: &Spanned<DeValue<'a>>,
        read: impl Fn(&mut RowReader<'_, 'a>) -> T,
    ) -> Option<T> {
        let offset = item.span().start;
        let DeValue::Table(table) = item.get_ref() else {
            self.log
                .report(offset, key, TableProblem::WrongType("a table"));
            return None;
        };
        let mut reader = RowReader::open(table, offset, self.log);
        let row = read(&mut reader);
        reader.finish();
        Some(row)
    }

    fn missing<T>(&self) -> Field<T> {
        Field {
            offset: self.offset,
            value: FieldValue::Missing,
        }
    }
}
