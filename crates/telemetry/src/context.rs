//! W3C Trace Context: the `traceparent` header.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use snafu::Snafu;

/// Length of a version 00 `traceparent` header, in bytes.
const HEADER_BYTES: usize = 55;
const VERSION: &str = "00";
const INVALID_VERSION: &str = "ff";
const FLAG_SAMPLED: u8 = 1;

/// Error returned when parsing an invalid `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("malformed traceparent header"))]
pub struct TraceContextError;

/// Identifies a trace and one span in it.
///
/// ```
/// use ibisdale_telemetry::TraceContext;
///
/// let text = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
/// let context: TraceContext = text.parse().unwrap();
/// assert!(context.is_sampled());
/// assert_eq!(context.to_string(), text);
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct TraceContext {
    trace_id: [u8; 16],
    span_id: [u8; 8],
    flags: u8,
}

impl TraceContext {
    /// Creates the context of a new, sampled trace.
    pub fn generate(random: &mut impl RngCore) -> Self {
        Self {
            trace_id: generate_id(random),
            span_id: generate_id(random),
            flags: FLAG_SAMPLED,
        }
    }

    /// Creates the context of a new span in the same trace.
    #[must_use]
    pub fn create_child(self, random: &mut impl RngCore) -> Self {
        Self {
            span_id: generate_id(random),
            ..self
        }
    }

    /// Returns the trace ID.
    #[must_use]
    pub const fn get_trace_id(&self) -> &[u8; 16] {
        &self.trace_id
    }

    /// Returns the span ID.
    #[must_use]
    pub const fn get_span_id(&self) -> &[u8; 8] {
        &self.span_id
    }

    /// Returns whether the trace is sampled.
    #[must_use]
    pub const fn is_sampled(&self) -> bool {
        self.flags & FLAG_SAMPLED != 0
    }

    pub(crate) const fn get_flags(&self) -> u8 {
        self.flags
    }
}

/// Returns a random ID. All zeros is an invalid ID and never returned.
fn generate_id<const N: usize>(random: &mut impl RngCore) -> [u8; N] {
    let mut id = [0; N];
    while id == [0; N] {
        random.fill_bytes(&mut id);
    }
    id
}

fn parse_hex<const N: usize>(digits: &str) -> Result<[u8; N], TraceContextError> {
    let is_lower_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if !digits.bytes().all(is_lower_hex_digit) {
        return Err(TraceContextError);
    }
    let mut bytes = [0; N];
    hex::decode_to_slice(digits, &mut bytes).map_err(|_| TraceContextError)?;
    Ok(bytes)
}

fn parse_id<const N: usize>(digits: &str) -> Result<[u8; N], TraceContextError> {
    let id = parse_hex(digits)?;
    if id == [0; N] {
        return Err(TraceContextError);
    }
    Ok(id)
}

impl FromStr for TraceContext {
    type Err = TraceContextError;

    /// Parses a `traceparent` header.
    ///
    /// For later versions, only the fields defined by version 00 are read.
    fn from_str(text: &str) -> Result<Self, TraceContextError> {
        let mut parts = text.splitn(5, '-');
        let mut next = || parts.next().ok_or(TraceContextError);
        let (version, trace_id, span_id, flags) = (next()?, next()?, next()?, next()?);
        parse_hex::<1>(version)?;
        let has_wrong_length = version == VERSION && text.len() != HEADER_BYTES;
        if version == INVALID_VERSION || has_wrong_length {
            return Err(TraceContextError);
        }
        Ok(Self {
            trace_id: parse_id(trace_id)?,
            span_id: parse_id(span_id)?,
            flags: parse_hex::<1>(flags)?[0],
        })
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let trace_id = hex::encode(self.trace_id);
        let span_id = hex::encode(self.span_id);
        let flags = self.flags & FLAG_SAMPLED;
        write!(formatter, "{VERSION}-{trace_id}-{span_id}-{flags:02x}")
    }
}

impl fmt::Debug for TraceContext {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "TraceContext({self})")
    }
}
