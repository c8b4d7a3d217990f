//! Numbered log events, metrics and trace spans.
//!
//! Each log event has a stable number. `docs/operate/events.md` lists the events
//! and `docs/operate/metrics.md` the metrics. Spans are written as OTLP JSON,
//! one batch per line.
//!
//! ```
//! use ibisdale_telemetry::{LogEvent, record_event};
//!
//! record_event!(SettingsInForce, revision = 12);
//! assert_eq!(LogEvent::SettingsInForce.get_number(), 1101);
//! ```

mod bounded;
mod catalogue;
mod context;
mod event;
mod logger;
mod metric;
mod registry;
mod span;
mod writer;

pub use bounded::BoundedLog;
pub use catalogue::{format_event_table, format_metric_table};
pub use context::{TraceContext, TraceContextError};
pub use event::{EventField, LogEvent, record_event_unchecked};
pub use logger::{LogError, LogOptions, LogOutput};
pub use metric::{METRIC_CATALOGUE, MetricDefinition, MetricKind};
pub use registry::{MetricRegistry, TokenKind};
pub use span::{SpanKind, TraceSpan};
pub use writer::{SpanSender, SpanWriter, SpanWriterError, SpanWriterOptions};
