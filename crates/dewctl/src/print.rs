//! Prints reports and errors as text or JSON.

use std::fmt::Display;
use std::io::Write;

use dewspring::tables::TableErrors;
use serde::Serialize;

use crate::conflict::ConflictReport;
use crate::error::CommandError;

/// Writes reports and errors to the output streams.
pub(crate) struct ReportPrinter<'p, O, E> {
    pub(crate) output: &'p mut O,
    pub(crate) errors: &'p mut E,
    pub(crate) json: bool,
}

#[derive(Serialize)]
struct ErrorReport<'e> {
    error: ErrorDetails<'e>,
}

#[derive(Serialize)]
struct ErrorDetails<'e> {
    exit_status: u8,
    message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    conflict: Option<&'e ConflictReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    faults: Option<Vec<TableErrorDetails<'e>>>,
}

#[derive(Serialize)]
struct TableErrorDetails<'e> {
    file: &'e str,
    line: usize,
    key: &'e str,
    message: String,
}

impl<O: Write, E: Write> ReportPrinter<'_, O, E> {
    /// Prints the report of a command.
    pub(crate) fn report(
        &mut self,
        report: &(impl Display + Serialize),
    ) -> Result<(), CommandError> {
        let printed = if self.json {
            print_json(self.output, report)
        } else {
            write!(self.output, "{report}")
        };
        printed
            .and_then(|()| self.output.flush())
            .map_err(CommandError::Output)
    }

    /// Prints a warning, as text even in JSON mode.
    pub(crate) fn warn(&mut self, warning: &str) {
        // A failure to write to the error stream can't be reported.
        let _ = writeln!(self.errors, "dewctl: {warning}");
    }

    /// Prints the error of a failed command.
    pub(crate) fn error(&mut self, error: &CommandError) {
        let printed = if self.json {
            print_json(self.output, &error_report(error))
        } else {
            writeln!(self.errors, "{error}")
        };
        // If printing fails, the exit status still reports the error.
        let _ = printed;
    }
}

fn print_json(output: &mut impl Write, value: &impl Serialize) -> std::io::Result<()> {
    serde_json::to_writer(&mut *output, value)?;
    writeln!(output)
}

fn error_report(error: &CommandError) -> ErrorReport<'_> {
    let conflict = match error {
        CommandError::Conflict(report) => Some(&**report),
        _ => None,
    };
    let faults = match error {
        CommandError::Check(errors) => Some(table_error_details(errors)),
        _ => None,
    };
    ErrorReport {
        error: ErrorDetails {
            exit_status: error.exit_status() as u8,
            message: error.to_string(),
            conflict,
            faults,
        },
    }
}

fn table_error_details(errors: &TableErrors) -> Vec<TableErrorDetails<'_>> {
    let lines = errors.0.iter().map(|error| TableErrorDetails {
        file: &error.file,
        line: error.line,
        key: &error.key,
        message: error.problem.to_string(),
    });
    lines.collect()
}
