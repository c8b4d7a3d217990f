//! Set-up of the log by `fern`.

use std::fmt::{Arguments, Write};
use std::path::PathBuf;
use std::time::SystemTime;
use std::{fmt, io};

use fern::FormatCallback;
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record, SetLoggerError};
use snafu::{ResultExt, Snafu};

use crate::bounded::BoundedLog;
use crate::event::{NAME_KEY, NUMBER_KEY};

/// Number shown for records that are no events of the catalogue.
const NO_NUMBER: &str = "-";

/// Tells why the log could not be set up.
#[derive(Debug)]
#[derive(Snafu)]
pub enum LogError {
    /// The log file can't be opened.
    #[snafu(display("cannot open the log file {}: {source}", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The process has a log already.
    #[snafu(display("the log is set up already: {source}"))]
    Again {
        /// The library's error.
        source: SetLoggerError,
    },
}

/// Where the log goes.
#[derive(Clone, Debug, Default)]
pub enum LogTarget {
    /// To standard error.
    #[default]
    Stderr,
    /// To the end of a file.
    File(PathBuf),
    /// To a bounded buffer that its owner writes out.
    Bounded(BoundedLog),
}

/// Options of the log.
///
/// ```
/// use ibisdale_telemetry::{LogOptions, LogTarget};
///
/// let options = LogOptions::new().level(log::LevelFilter::Debug);
/// assert!(matches!(options.get_target(), LogTarget::Stderr));
/// ```
#[derive(Clone, Debug)]
pub struct LogOptions {
    level: LevelFilter,
    target: LogTarget,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl LogOptions {
    /// Creates options that log events of level info and above to standard
    /// error.
    #[must_use]
    pub fn new() -> Self {
        Self {
            level: LevelFilter::Info,
            target: LogTarget::Stderr,
        }
    }

    /// Sets the lowest level that is logged.
    #[must_use]
    pub fn level(mut self, level: LevelFilter) -> Self {
        self.level = level;
        self
    }

    /// Sets where the log goes.
    #[must_use]
    pub fn target(mut self, target: LogTarget) -> Self {
        self.target = target;
        self
    }

    /// Returns the lowest level that is logged.
    #[must_use]
    pub fn get_level(&self) -> LevelFilter {
        self.level
    }

    /// Returns where the log goes.
    #[must_use]
    pub fn get_target(&self) -> &LogTarget {
        &self.target
    }

    /// Sets up the log of the process.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened or the process has a log already.
    pub fn apply(self) -> Result<(), LogError> {
        let dispatch = fern::Dispatch::new()
            .format(format_record)
            .level(self.level);
        let dispatch = match self.target {
            LogTarget::Stderr => dispatch.chain(io::stderr()),
            LogTarget::File(path) => {
                let file = fern::log_file(&path).context(OpenSnafu { path })?;
                dispatch.chain(file)
            }
            LogTarget::Bounded(log) => dispatch.chain(Box::new(log) as Box<dyn io::Write + Send>),
        };
        dispatch.apply().context(AgainSnafu)
    }
}

fn format_record(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let mut line = RecordLine::default();
    // The visitor itself never fails.
    let _ = record.key_values().visit(&mut line);
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let number = line.number.as_deref().unwrap_or(NO_NUMBER);
    let name = line.name.as_deref().unwrap_or(record.target());
    let message = EscapedText(message);
    out.finish(format_args!(
        "{time} {:<5} {number} {name}: {message}{}",
        record.level(),
        line.fields
    ));
}

/// The parts of a record's line that come from its key-value pairs.
#[derive(Default)]
struct RecordLine {
    number: Option<String>,
    name: Option<String>,
    fields: String,
}

impl<'kvs> VisitSource<'kvs> for RecordLine {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        match key.as_str() {
            NUMBER_KEY => self.number = Some(value.to_string()),
            NAME_KEY => self.name = Some(value.to_string()),
            key => self.push_field(key, &value.to_string()),
        }
        Ok(())
    }
}

impl RecordLine {
    fn push_field(&mut self, key: &str, value: &str) {
        let is_plain = !value.is_empty()
            && value.chars().all(|character| {
                !character.is_whitespace() && !character.is_control() && character != '"'
            });
        // Writing to a string never fails.
        let _ = if is_plain {
            write!(self.fields, " {key}={value}")
        } else {
            write!(self.fields, " {key}={value:?}")
        };
    }
}

/// Text in which line ends and other control characters are escaped.
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
