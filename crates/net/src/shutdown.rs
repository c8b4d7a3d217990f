//! Graceful shutdown: a signal to all connections, and a count of those left.

use smol::channel::{Receiver, Sender, bounded};

/// Tells connections that the process is leaving.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    started: Receiver<()>,
    // Held by each connection; the guard waits until all are dropped.
    _alive: Sender<()>,
}

impl ShutdownSignal {
    /// Waits until shutdown starts.
    pub async fn wait(&self) {
        // The channel carries nothing: it is closed when shutdown starts.
        let _ = self.started.recv().await;
    }

    /// Tells whether shutdown has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.started.is_closed()
    }
}

/// Starts the shutdown and waits for its end.
#[derive(Debug)]
pub struct ShutdownGuard {
    start: Sender<()>,
    finished: Receiver<()>,
}

impl ShutdownGuard {
    /// Starts the shutdown and waits until every signal is dropped.
    pub async fn close(self) {
        self.start.close();
        let _ = self.finished.recv().await;
    }
}

/// Creates a guard and the signal that it controls.
#[must_use]
pub fn shutdown_pair() -> (ShutdownGuard, ShutdownSignal) {
    let (start, started) = bounded(1);
    let (alive, finished) = bounded(1);
    (
        ShutdownGuard { start, finished },
        ShutdownSignal {
            started,
            _alive: alive,
        },
    )
}
