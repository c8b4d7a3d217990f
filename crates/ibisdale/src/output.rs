//! Results on standard output, errors on standard error.

use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;
use serde_json::json;
use snafu::ResultExt;

use crate::error::{CommandError, WriteResultSnafu};

/// How results and errors are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// For people.
    Text,
    /// One JSON document.
    Json,
}

impl OutputFormat {
    /// Writes a result.
    pub(crate) fn write(
        self,
        value: &impl Serialize,
        text: impl Display,
    ) -> Result<(), CommandError> {
        let mut output = io::stdout().lock();
        let written = match self {
            Self::Text => writeln!(output, "{text}"),
            Self::Json => write_json(&mut output, value),
        };
        written.context(WriteResultSnafu)
    }

    /// Writes progress for people; errors are of no consequence.
    pub(crate) fn report_progress(self, text: impl Display) {
        if self == Self::Text {
            let _ = writeln!(io::stderr().lock(), "{text}");
        }
    }

    /// Writes an error; there is nowhere to report a failure of that.
    pub(crate) fn write_error(self, error: &CommandError) {
        let mut output = io::stderr().lock();
        let _ = match self {
            Self::Text => writeln!(output, "ibisdale: {error}"),
            Self::Json => write_json(&mut output, &error_value(error)),
        };
    }
}

fn write_json(output: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *output, value)?;
    writeln!(output)
}

fn error_value(error: &CommandError) -> serde_json::Value {
    match error {
        CommandError::Refused { refusal } => json!(refusal),
        CommandError::Findings { findings } => json!({ "findings": findings }),
        _ => json!({ "message": error.to_string(), "exit_code": error.status() as u8 }),
    }
}

/// Lays out rows in columns as wide as their widest cell.
pub(crate) fn render_table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let lines: Vec<String> = std::iter::once(&head)
        .chain(rows)
        .map(|row| render_row(row, &widths))
        .collect();
    lines.join("\n")
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    cells.join("  ").trim_end().to_owned()
}
