//! Reads the spans of the demonstration.

use std::fmt;
use std::path::Path;

use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SpanLine {
    resource_spans: Vec<ResourceSpans>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ResourceSpans {
    scope_spans: Vec<ScopeSpans>,
}

#[derive(Deserialize)]
struct ScopeSpans {
    spans: Vec<SpanRecord>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SpanRecord {
    trace_id: String,
    name: String,
    start_time_unix_nano: String,
    end_time_unix_nano: String,
    #[serde(default)]
    attributes: Vec<SpanAttribute>,
}

#[derive(Deserialize)]
struct SpanAttribute {
    key: String,
    value: AttributeValue,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct AttributeValue {
    #[serde(default)]
    string_value: Option<String>,
}

impl SpanRecord {
    fn attribute(&self, key: &str) -> Option<&str> {
        let attribute = self
            .attributes
            .iter()
            .find(|attribute| attribute.key == key)?;
        attribute.value.string_value.as_deref()
    }

    fn micros(&self) -> u64 {
        let parse = |text: &str| text.parse::<u64>().unwrap_or_default();
        parse(&self.end_time_unix_nano).saturating_sub(parse(&self.start_time_unix_nano)) / 1_000
    }
}

/// One hop of a request.
pub(crate) struct TraceHop(SpanRecord);

impl fmt::Display for TraceHop {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let span = &self.0;
        let trace = span.trace_id.get(..8).unwrap_or(&span.trace_id);
        write!(formatter, "trace {trace}  {:<8}", span.name)?;
        let target = span
            .attribute("ibisdale.upstream")
            .or(span.attribute("ibisdale.route"));
        write!(
            formatter,
            "{:<18} {} us",
            target.unwrap_or("-"),
            span.micros()
        )
    }
}

/// Reads the hops of a trace file in the order of their start; what can't be
/// read is left out.
pub(crate) fn read_hops(file: &Path) -> Vec<TraceHop> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|line| serde_json::from_str::<SpanLine>(line).ok());
    let scopes = lines
        .flat_map(|line| line.resource_spans)
        .flat_map(|spans| spans.scope_spans);
    let mut spans: Vec<SpanRecord> = scopes.flat_map(|scope| scope.spans).collect();
    spans.sort_by(|left, right| left.start_time_unix_nano.cmp(&right.start_time_unix_nano));
    spans.into_iter().map(TraceHop).collect()
}
