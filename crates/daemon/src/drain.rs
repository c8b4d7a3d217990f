//! The start of a graceful shutdown.

use async_channel::{Receiver, Sender};

/// Starts a graceful shutdown and tells who waits for it; cheap to clone.
#[derive(Clone, Debug)]
pub struct DrainSwitch {
    start: Sender<()>,
    started: Receiver<()>,
}

impl DrainSwitch {
    pub(crate) fn new() -> Self {
        let (start, started) = async_channel::bounded(1);
        Self { start, started }
    }

    /// Starts the shutdown; does nothing when it has started.
    pub fn start(&self) {
        self.start.close();
    }

    /// Tells whether the shutdown has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.started.is_closed()
    }

    /// Waits until the shutdown starts.
    pub async fn wait(&self) {
        // The channel carries nothing: it is closed when the shutdown starts.
        let _ = self.started.recv().await;
    }
}
