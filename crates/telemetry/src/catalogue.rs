//! Formats the event and metric catalogues as the tables of the operator
//! documentation.

use std::fmt::Write;

use crate::event::LogEvent;
use crate::metric::METRIC_CATALOGUE;

/// Returns the catalogue of log events as a Markdown table.
#[must_use]
pub fn format_event_table() -> String {
    let mut table = String::from(
        "| number | level | name | fields | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for event in LogEvent::ALL {
        // Writing to a `String` never fails.
        let _ = writeln!(
            table,
            "| {} | {} | `{}` | {} | {} |",
            event.get_number(),
            event.get_level().as_str().to_lowercase(),
            event.get_name(),
            format_names(event.get_fields()),
            event.get_message(),
        );
    }
    table
}

/// Returns the catalogue of metrics as a Markdown table.
#[must_use]
pub fn format_metric_table() -> String {
    let mut table = String::from("| name | kind | labels | meaning |\n| --- | --- | --- | --- |\n");
    for definition in METRIC_CATALOGUE {
        // Writing to a `String` never fails.
        let _ = writeln!(
            table,
            "| `{}` | {} | {} | {} |",
            definition.name,
            definition.kind.as_str(),
            format_names(definition.labels),
            definition.help,
        );
    }
    table
}

fn format_names(names: &[&str]) -> String {
    let names: Vec<String> = names.iter().map(|name| format!("`{name}`")).collect();
    names.join(", ")
}
