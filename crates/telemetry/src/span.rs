//! Trace spans of requests.

use std::time::{SystemTime, UNIX_EPOCH};

use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::common::v1::{AnyValue, KeyValue};
use opentelemetry_proto::tonic::trace::v1::Status;
use opentelemetry_proto::tonic::trace::v1::span::SpanKind as ProtoKind;
use opentelemetry_proto::tonic::trace::v1::status::StatusCode;

use crate::context::TraceContext;
use crate::writer::SpanSender;

/// The OTLP span that is written to the file.
pub(crate) type SpanRecord = opentelemetry_proto::tonic::trace::v1::Span;

/// The role of a span in a request, as defined by OpenTelemetry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SpanKind {
    /// An operation within the daemon.
    Internal,
    /// Handles an incoming request.
    Server,
    /// Sends an outgoing request.
    Client,
}

impl SpanKind {
    const fn to_proto(self) -> ProtoKind {
        match self {
            Self::Internal => ProtoKind::Internal,
            Self::Server => ProtoKind::Server,
            Self::Client => ProtoKind::Client,
        }
    }
}

/// An active span.
///
/// It is written when it is closed. Dropping it discards it.
#[derive(Debug)]
pub struct TraceSpan {
    context: TraceContext,
    record: SpanRecord,
    sender: SpanSender,
}

impl TraceSpan {
    /// Starts a span as a child of `parent`, or a new trace if there is none.
    #[must_use]
    pub fn start(
        name: impl Into<String>,
        kind: SpanKind,
        parent: Option<TraceContext>,
        sender: SpanSender,
    ) -> Self {
        let mut random = rand::rng();
        let context = match parent {
            Some(parent) => parent.create_child(&mut random),
            None => TraceContext::generate(&mut random),
        };
        let parent_span_id = parent.map(|parent| parent.get_span_id().to_vec());
        let record = SpanRecord {
            trace_id: context.get_trace_id().to_vec(),
            span_id: context.get_span_id().to_vec(),
            parent_span_id: parent_span_id.unwrap_or_default(),
            flags: u32::from(context.get_flags()),
            name: name.into(),
            kind: kind.to_proto() as i32,
            start_time_unix_nano: unix_time_nanos(),
            ..SpanRecord::default()
        };
        Self {
            context,
            record,
            sender,
        }
    }

    /// Adds a string attribute and returns the span, for method chaining.
    #[must_use]
    pub fn attribute(mut self, key: impl Into<String>, value: impl Into<String>) -> Self {
        self.add_attribute(key, value);
        self
    }

    /// Adds a string attribute.
    pub fn add_attribute(&mut self, key: impl Into<String>, value: impl Into<String>) {
        self.push_attribute(key.into(), Value::StringValue(value.into()));
    }

    /// Adds an integer attribute.
    pub fn add_int_attribute(&mut self, key: impl Into<String>, value: i64) {
        self.push_attribute(key.into(), Value::IntValue(value));
    }

    /// Sets the span status to error with a message.
    pub fn fail(&mut self, message: impl Into<String>) {
        self.record.status = Some(Status {
            message: message.into(),
            code: StatusCode::Error as i32,
        });
    }

    /// Returns the context to propagate to the next hop.
    #[must_use]
    pub fn get_context(&self) -> TraceContext {
        self.context
    }

    /// Ends the span and queues it for writing if its trace is sampled.
    pub fn close(mut self) {
        if !self.context.is_sampled() {
            return;
        }
        self.record.end_time_unix_nano = unix_time_nanos();
        self.sender.send(self.record);
    }

    fn push_attribute(&mut self, key: String, value: Value) {
        let value = AnyValue { value: Some(value) };
        self.record.attributes.push(KeyValue {
            key,
            value: Some(value),
        });
    }
}

/// Returns the time since the Unix epoch in nanoseconds, or 0 if it cannot be
/// represented.
fn unix_time_nanos() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.ok()
        .and_then(|time| u64::try_from(time.as_nanos()).ok())
        .unwrap_or(0)
}
