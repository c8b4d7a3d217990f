//! Graceful shutdown: a signal to all connections, and a count of those left.

use std::pin::Pin;

use futures_lite::FutureExt;
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

/// Drives a connection to its end; when shutdown starts, `start_close` asks it
/// to finish what is in flight.
pub(crate) async fn serve_until_shutdown<C: Future>(
    mut connection: Pin<&mut C>,
    shutdown: &ShutdownSignal,
    start_close: impl FnOnce(Pin<&mut C>),
) -> C::Output {
    let stop = async {
        shutdown.wait().await;
        None
    };
    let run = async { Some(connection.as_mut().await) };
    if let Some(output) = run.or(stop).await {
        return output;
    }
    start_close(connection.as_mut());
    connection.await
}
