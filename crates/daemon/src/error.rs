//! Errors of a daemon's start.

use std::io;

use ibisdale_net::NetError;
use ibisdale_programs::StoreError;
use ibisdale_telemetry::SpanWriterError;
use snafu::Snafu;

/// Tells why a daemon did not start.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// A listener could not be opened.
    #[snafu(display("{source}"))]
    Listener {
        /// The cause.
        source: NetError,
    },
    /// A listener's address could not be read.
    #[snafu(display("a listener's address can't be read: {source}"))]
    ListenerAddress {
        /// The system's error.
        source: io::Error,
    },
    /// The trace file could not be opened.
    #[snafu(display("{source}"))]
    Spans {
        /// The cause.
        source: SpanWriterError,
    },
    /// The data folder can't be used.
    #[snafu(display("the data folder can't be used: {source}"))]
    History {
        /// The cause.
        source: StoreError,
    },
    /// A thread could not be started.
    #[snafu(display("a thread can't be started: {source}"))]
    Thread {
        /// The system's error.
        source: io::Error,
    },
}
