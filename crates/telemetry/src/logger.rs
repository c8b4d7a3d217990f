//! Sets up the global logger with `fern`.

use std::fmt::{Arguments, Write};
use std::path::PathBuf;
use std::time::SystemTime;
use std::{fmt, io};

use fern::FormatCallback;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use snafu::{ResultExt, Snafu};

use crate::bounded::BoundedLog;
use crate::event::{EVENT_NAME_KEY, EVENT_NUMBER_KEY};

/// Shown in place of the number for records that are not catalogue events.
const MISSING_NUMBER: &str = "-";

/// Errors that occur while setting up the logger.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LogError {
    /// The log file could not be opened.
    #[snafu(display("cannot open the log file {}: {source}", path.display()))]
    Open {
        /// The path of the log file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The process already has a global logger.
    #[snafu(display("the logger is already initialized: {source}"))]
    AlreadyInitialized {
        /// The error of the `log` crate.
        source: SetLoggerError,
    },
}

/// Destination of log lines.
#[derive(Clone, Debug, Default)]
pub enum LogOutput {
    /// Writes to standard error.
    #[default]
    Stderr,
    /// Appends to a file.
    File(PathBuf),
    /// Writes to a buffer that must be flushed with [`BoundedLog::flush_to`].
    Bounded(BoundedLog),
}

/// Options of the global logger.
///
/// ```
/// use ibisdale_telemetry::{LogOptions, LogOutput};
///
/// let options = LogOptions::new().level(log::LevelFilter::Debug);
/// assert!(matches!(options.get_output(), LogOutput::Stderr));
/// ```
#[derive(Clone, Debug)]
pub struct LogOptions {
    level: LevelFilter,
    output: LogOutput,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl LogOptions {
    /// Creates options that log to standard error at level info and above.
    #[must_use]
    pub fn new() -> Self {
        Self {
            level: LevelFilter::Info,
            output: LogOutput::Stderr,
        }
    }

    /// Sets the most verbose level that is logged.
    #[must_use]
    pub fn level(mut self, level: LevelFilter) -> Self {
        self.level = level;
        self
    }

    /// Sets the destination of log lines.
    #[must_use]
    pub fn output(mut self, output: LogOutput) -> Self {
        self.output = output;
        self
    }

    /// Returns the most verbose level that is logged.
    #[must_use]
    pub fn get_level(&self) -> LevelFilter {
        self.level
    }

    /// Returns the destination of log lines.
    #[must_use]
    pub fn get_output(&self) -> &LogOutput {
        &self.output
    }

    /// Installs the global logger of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or a global logger is
    /// already installed.
    pub fn apply(self) -> Result<(), LogError> {
        let dispatch = fern::Dispatch::new()
            .format(format_record)
            .level(self.level);
        let dispatch = match self.output {
            LogOutput::Stderr => dispatch.chain(io::stderr()),
            LogOutput::File(path) => {
                let file = fern::log_file(&path).context(OpenSnafu { path })?;
                dispatch.chain(file)
            }
            LogOutput::Bounded(log) => dispatch.chain(Box::new(log) as Box<dyn io::Write + Send>),
        };
        dispatch.apply().context(AlreadyInitializedSnafu)
    }
}

fn format_record(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut fields = RecordFields::default();
    // `RecordFields::visit_pair` never fails.
    let _ = record.key_values().visit(&mut fields);
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let number = fields.number.as_deref().unwrap_or(MISSING_NUMBER);
    let name = fields.name.as_deref().unwrap_or(record.target());
    let message = EscapedText(message);
    out.finish(format_args!(
        "{time} {:<5} {number} {name}: {message}{}",
        record.level(),
        fields.formatted
    ));
}

/// The event number, event name and formatted fields from a record's
/// key-value pairs.
#[derive(Default)]
struct RecordFields {
    number: Option<String>,
    name: Option<String>,
    formatted: String,
}

impl<'kvs> VisitSource<'kvs> for RecordFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        match key.as_str() {
            EVENT_NUMBER_KEY => self.number = Some(value.to_string()),
            EVENT_NAME_KEY => self.name = Some(value.to_string()),
            key => self.push_field(key, &value.to_string()),
        }
        Ok(())
    }
}

impl RecordFields {
    fn push_field(&mut self, key: &str, value: &str) {
        let is_plain = !value.is_empty()
            && value.chars().all(|character| {
                !character.is_whitespace() && !character.is_control() && character != '"'
            });
        // Writing to a `String` never fails.
        let _ = if is_plain {
            write!(self.formatted, " {key}={value}")
        } else {
            write!(self.formatted, " {key}={value:?}")
        };
    }
}

/// Displays text with line breaks and other control characters escaped, so
/// that a record stays on one line.
struct EscapedText<'a>(&'a Arguments<'a>);

impl fmt::Display for EscapedText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(EscapingWriter(formatter), "{}", self.0)
    }
}

struct EscapingWriter<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl Write for EscapingWriter<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        for character in text.chars() {
            if character.is_control() {
                write!(self.0, "{}", character.escape_default())?;
            } else {
                self.0.write_char(character)?;
            }
        }
        Ok(())
    }
}
