//! Writes spans to a file on a dedicated thread.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread::{self, JoinHandle};

use opentelemetry_proto::tonic::common::v1::any_value::Value;
use opentelemetry_proto::tonic::common::v1::{AnyValue, InstrumentationScope, KeyValue};
use opentelemetry_proto::tonic::resource::v1::Resource;
use opentelemetry_proto::tonic::trace::v1::{ResourceSpans, ScopeSpans, TracesData};
use snafu::{ResultExt, Snafu};

use crate::record_event;
use crate::span::SpanRecord;

/// Default capacity of the queue to the writer thread, in spans.
const DEFAULT_QUEUE_CAPACITY: usize = 4_096;
/// Maximum number of spans per line.
const MAX_BATCH_SPANS: usize = 256;
/// Default size at which the span file is rotated, in bytes.
const DEFAULT_MAX_FILE_BYTES: u64 = 64 * 1_024 * 1_024;
const SERVICE_NAME: &str = "ibisdale";

/// Errors that occur while starting the span writer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SpanWriterError {
    /// The span file could not be opened.
    #[snafu(display("cannot open the span file {}: {source}", path.display()))]
    Open {
        /// The path of the span file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The writer thread could not be started.
    #[snafu(display("cannot start the span writer thread: {source}"))]
    Start {
        /// The underlying I/O error.
        source: io::Error,
    },
}

/// Options of a [`SpanWriter`].
#[derive(Clone, Debug)]
pub struct SpanWriterOptions {
    path: PathBuf,
    daemon_name: String,
    queue_capacity: usize,
    max_file_bytes: u64,
}

impl SpanWriterOptions {
    /// Creates options to append the spans of a daemon to the file at `path`.
    ///
    /// `daemon_name` is written as the attribute `service.instance.id`.
    pub fn new(path: impl Into<PathBuf>, daemon_name: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            daemon_name: daemon_name.into(),
            queue_capacity: DEFAULT_QUEUE_CAPACITY,
            max_file_bytes: DEFAULT_MAX_FILE_BYTES,
        }
    }

    /// Sets the capacity of the queue to the writer thread, in spans.
    ///
    /// Spans are dropped while the queue is full.
    #[must_use]
    pub fn queue_capacity(mut self, spans: usize) -> Self {
        self.queue_capacity = spans;
        self
    }

    /// Sets the size at which the file is rotated, in bytes.
    ///
    /// Rotation appends `.1` to the file name and replaces an earlier file of
    /// that name.
    #[must_use]
    pub fn max_file_bytes(mut self, bytes: u64) -> Self {
        self.max_file_bytes = bytes;
        self
    }

    /// Returns the path of the span file.
    #[must_use]
    pub fn get_path(&self) -> &Path {
        &self.path
    }
}

/// Sends spans to a [`SpanWriter`], or discards them if disabled.
///
/// Clones share the queue.
#[derive(Clone, Debug, Default)]
pub struct SpanSender {
    queue: Option<SyncSender<WriterMessage>>,
    dropped: Arc<AtomicU64>,
}

impl SpanSender {
    /// Creates a sender that discards all spans.
    #[must_use]
    pub fn disabled() -> Self {
        Self::default()
    }

    /// Returns the number of spans that were dropped because the queue was full
    /// or the writer had stopped.
    #[must_use]
    pub fn get_dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn send(&self, span: SpanRecord) {
        let Some(queue) = &self.queue else {
            return;
        };
        if queue.try_send(WriterMessage::Span(Box::new(span))).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
enum WriterMessage {
    Span(Box<SpanRecord>),
    Close,
}

/// Writes spans as OTLP JSON, one batch per line.
#[derive(Debug)]
pub struct SpanWriter {
    sender: SpanSender,
    thread: JoinHandle<()>,
}

impl SpanWriter {
    /// Opens the span file for appending and starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the thread cannot be
    /// started.
    pub fn start(options: SpanWriterOptions) -> Result<Self, SpanWriterError> {
        let (queue, messages) = sync_channel(options.queue_capacity);
        let file = SpanFile::open(options)?;
        let thread = thread::Builder::new()
            .name("spans".to_owned())
            .spawn(move || write_spans(file, &messages))
            .context(StartSnafu)?;
        let sender = SpanSender {
            queue: Some(queue),
            dropped: Arc::default(),
        };
        Ok(Self { sender, thread })
    }

    /// Returns a sender that queues spans for this writer.
    #[must_use]
    pub fn get_sender(&self) -> SpanSender {
        self.sender.clone()
    }

    /// Writes all spans queued so far and stops the writer thread.
    pub fn close(self) {
        if let Some(queue) = &self.sender.queue {
            // Sending fails only if the thread has panicked; the queued spans are
            // lost then.
            let _ = queue.send(WriterMessage::Close);
        }
        let _ = self.thread.join();
    }
}

fn write_spans(mut file: SpanFile, messages: &Receiver<WriterMessage>) {
    let mut is_open = true;
    let mut last_write_failed = false;
    while is_open {
        let Ok(first) = messages.recv() else {
            return;
        };
        let mut batch = Vec::new();
        is_open = handle_message(&mut batch, first);
        while is_open && batch.len() < MAX_BATCH_SPANS {
            let Ok(message) = messages.try_recv() else {
                break;
            };
            is_open = handle_message(&mut batch, message);
        }
        if batch.is_empty() {
            continue;
        }
        let result = file.write_batch(batch);
        if let Err(error) = &result
            && !last_write_failed
        {
            record_event!(SpanFileFailed, path = file.path.display(), error = error);
        }
        last_write_failed = result.is_err();
    }
}

/// Adds a span to the batch. Returns whether the writer stays open.
fn handle_message(batch: &mut Vec<SpanRecord>, message: WriterMessage) -> bool {
    match message {
        WriterMessage::Span(span) => {
            batch.push(*span);
            true
        }
        WriterMessage::Close => false,
    }
}

struct SpanFile {
    path: PathBuf,
    daemon_name: String,
    file: File,
    size: u64,
    max_file_bytes: u64,
}

impl SpanFile {
    fn open(options: SpanWriterOptions) -> Result<Self, SpanWriterError> {
        let path = options.path;
        let file = open_append(&path).context(OpenSnafu { path: &path })?;
        let size = file.metadata().map_or(0, |metadata| metadata.len());
        Ok(Self {
            path,
            daemon_name: options.daemon_name,
            file,
            size,
            max_file_bytes: options.max_file_bytes,
        })
    }

    fn write_batch(&mut self, spans: Vec<SpanRecord>) -> io::Result<()> {
        let mut line = serde_json::to_vec(&build_traces_data(&self.daemon_name, spans))?;
        line.push(b'\n');
        let length = line.len() as u64;
        if self.size > 0 && self.size + length > self.max_file_bytes {
            self.rotate()?;
        }
        self.file.write_all(&line)?;
        self.size += length;
        Ok(())
    }

    fn rotate(&mut self) -> io::Result<()> {
        let mut rotated_path = self.path.clone().into_os_string();
        rotated_path.push(".1");
        fs::rename(&self.path, rotated_path)?;
        self.file = open_append(&self.path)?;
        self.size = 0;
        Ok(())
    }
}

fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

fn build_traces_data(daemon_name: &str, spans: Vec<SpanRecord>) -> TracesData {
    let scope = InstrumentationScope {
        name: SERVICE_NAME.to_owned(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        ..InstrumentationScope::default()
    };
    let scope_spans = ScopeSpans {
        scope: Some(scope),
        spans,
        ..ScopeSpans::default()
    };
    let resource = Resource {
        attributes: vec![
            string_attribute("service.name", SERVICE_NAME),
            string_attribute("service.instance.id", daemon_name),
        ],
        ..Resource::default()
    };
    let resource_spans = ResourceSpans {
        resource: Some(resource),
        scope_spans: vec![scope_spans],
        ..ResourceSpans::default()
    };
    TracesData {
        resource_spans: vec![resource_spans],
    }
}

fn string_attribute(key: &str, value: &str) -> KeyValue {
    let value = AnyValue {
        value: Some(Value::StringValue(value.to_owned())),
    };
    KeyValue {
        key: key.to_owned(),
        value: Some(value),
    }
}
