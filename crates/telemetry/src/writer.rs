//! Writes spans to a file from a thread of its own.

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

/// Spans that may wait for the writer by default.
const QUEUE_SPANS: usize = 4_096;
/// Spans written in one line at most.
const BATCH_SPANS: usize = 256;
/// Size by default at which the file is set aside, in bytes.
const FILE_MAX_BYTES: u64 = 64 * 1_024 * 1_024;
const SERVICE_NAME: &str = "ibisdale";

/// Tells why spans can't be written.
#[derive(Debug)]
#[derive(Snafu)]
pub enum SpanError {
    /// The file can't be opened.
    #[snafu(display("cannot open the span file {}: {source}", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The thread can't be started.
    #[snafu(display("cannot start the span writer: {source}"))]
    Start {
        /// The system's error.
        source: io::Error,
    },
}

/// Options of a [`SpanWriter`].
#[derive(Clone, Debug)]
pub struct SpanOptions {
    path: PathBuf,
    daemon: String,
    queue_spans: usize,
    file_max_bytes: u64,
}

impl SpanOptions {
    /// Creates options to write the spans of `daemon` to the file `path`.
    pub fn new(path: impl Into<PathBuf>, daemon: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            daemon: daemon.into(),
            queue_spans: QUEUE_SPANS,
            file_max_bytes: FILE_MAX_BYTES,
        }
    }

    /// Sets how many spans may wait; further ones are dropped.
    #[must_use]
    pub fn queue_spans(mut self, spans: usize) -> Self {
        self.queue_spans = spans;
        self
    }

    /// Sets the size at which the file is set aside under the same name with
    /// `.1` added, in bytes; an earlier one of that name is replaced.
    #[must_use]
    pub fn file_max_bytes(mut self, bytes: u64) -> Self {
        self.file_max_bytes = bytes;
        self
    }

    /// Returns the file.
    #[must_use]
    pub fn get_path(&self) -> &Path {
        &self.path
    }
}

/// Hands spans to a [`SpanWriter`], or to nobody; clones share the queue.
#[derive(Clone, Debug, Default)]
pub struct SpanSender {
    queue: Option<SyncSender<WriterItem>>,
    dropped: Arc<AtomicU64>,
}

impl SpanSender {
    /// Creates a sender whose spans are written nowhere.
    #[must_use]
    pub fn disabled() -> Self {
        Self::default()
    }

    /// Returns the number of spans dropped because the queue was full.
    #[must_use]
    pub fn get_dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    pub(crate) fn send(&self, span: SpanRecord) {
        let Some(queue) = &self.queue else {
            return;
        };
        if queue.try_send(WriterItem::Span(Box::new(span))).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
enum WriterItem {
    Span(Box<SpanRecord>),
    Close,
}

/// Writes spans as OTLP in JSON, one batch a line.
#[derive(Debug)]
pub struct SpanWriter {
    sender: SpanSender,
    thread: JoinHandle<()>,
}

impl SpanWriter {
    /// Opens the file, which is appended to, and starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be opened or the thread can't be started.
    pub fn start(options: SpanOptions) -> Result<Self, SpanError> {
        let (queue, items) = sync_channel(options.queue_spans);
        let file = SpanFile::open(options)?;
        let thread = thread::Builder::new()
            .name("spans".to_owned())
            .spawn(move || write_spans(file, &items))
            .context(StartSnafu)?;
        let sender = SpanSender {
            queue: Some(queue),
            dropped: Arc::default(),
        };
        Ok(Self { sender, thread })
    }

    /// Returns a sender of spans to this writer.
    #[must_use]
    pub fn get_sender(&self) -> SpanSender {
        self.sender.clone()
    }

    /// Writes all spans handed over before and ends the thread.
    pub fn close(self) {
        if let Some(queue) = &self.sender.queue {
            // A writer that ended by itself has nothing left to write.
            let _ = queue.send(WriterItem::Close);
        }
        let _ = self.thread.join();
    }
}

fn write_spans(mut file: SpanFile, items: &Receiver<WriterItem>) {
    let mut is_open = true;
    let mut has_failed = false;
    while is_open {
        let Ok(first) = items.recv() else {
            return;
        };
        let mut batch = Vec::new();
        is_open = take_item(&mut batch, first);
        while is_open && batch.len() < BATCH_SPANS {
            let Ok(item) = items.try_recv() else {
                break;
            };
            is_open = take_item(&mut batch, item);
        }
        if batch.is_empty() {
            continue;
        }
        let result = file.write_batch(batch);
        if let Err(error) = &result
            && !has_failed
        {
            record_event!(SpanFileFailed, path = file.path.display(), error = error);
        }
        has_failed = result.is_err();
    }
}

/// Adds a span to the batch; tells whether the writer goes on.
fn take_item(batch: &mut Vec<SpanRecord>, item: WriterItem) -> bool {
    match item {
        WriterItem::Span(span) => {
            batch.push(*span);
            true
        }
        WriterItem::Close => false,
    }
}

struct SpanFile {
    path: PathBuf,
    daemon: String,
    file: File,
    size: u64,
    max_bytes: u64,
}

impl SpanFile {
    fn open(options: SpanOptions) -> Result<Self, SpanError> {
        let path = options.path;
        let file = open_append(&path).context(OpenSnafu { path: &path })?;
        let size = file.metadata().map_or(0, |metadata| metadata.len());
        Ok(Self {
            path,
            daemon: options.daemon,
            file,
            size,
            max_bytes: options.file_max_bytes,
        })
    }

    fn write_batch(&mut self, spans: Vec<SpanRecord>) -> io::Result<()> {
        let mut line = serde_json::to_vec(&create_data(&self.daemon, spans))?;
        line.push(b'\n');
        let length = line.len() as u64;
        if self.size > 0 && self.size + length > self.max_bytes {
            self.set_aside()?;
        }
        self.file.write_all(&line)?;
        self.size += length;
        Ok(())
    }

    fn set_aside(&mut self) -> io::Result<()> {
        let mut aside = self.path.clone().into_os_string();
        aside.push(".1");
        fs::rename(&self.path, aside)?;
        self.file = open_append(&self.path)?;
        self.size = 0;
        Ok(())
    }
}

fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

fn create_data(daemon: &str, spans: Vec<SpanRecord>) -> TracesData {
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
            create_attribute("service.name", SERVICE_NAME),
            create_attribute("service.instance.id", daemon),
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

fn create_attribute(key: &str, value: &str) -> KeyValue {
    let value = AnyValue {
        value: Some(Value::StringValue(value.to_owned())),
    };
    KeyValue {
        key: key.to_owned(),
        value: Some(value),
    }
}
