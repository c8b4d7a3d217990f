//! Graceful shutdown: signals all connections and waits until they have ended.

use std::pin::Pin;

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender, bounded};

/// Notifies connections that the process is shutting down.
///
/// [`ShutdownGuard::close`] returns once every clone is dropped.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    started: Receiver<()>,
    // Never used to send: the guard's `finished` channel closes when the last clone
    // is dropped.
    _alive: Sender<()>,
}

impl ShutdownSignal {
    /// Waits until shutdown starts.
    pub async fn wait(&self) {
        // No message is ever sent; `recv` returns when the channel is closed.
        let _ = self.started.recv().await;
    }

    /// Returns whether shutdown has started.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.started.is_closed()
    }
}

/// Starts the shutdown when closed or dropped; closing also waits until it is complete.
#[derive(Debug)]
pub struct ShutdownGuard {
    start: Sender<()>,
    finished: Receiver<()>,
}

impl ShutdownGuard {
    /// Starts the shutdown and waits until every [`ShutdownSignal`] is dropped.
    pub async fn close(self) {
        self.start.close();
        let _ = self.finished.recv().await;
    }
}

/// Creates a guard and the signal that it triggers.
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

/// Polls a connection until it ends; when shutdown starts, `start_graceful_close`
/// is called to complete the requests in flight and then close the connection.
pub(crate) async fn serve_until_shutdown<C: Future>(
    mut connection: Pin<&mut C>,
    shutdown: &ShutdownSignal,
    start_graceful_close: impl FnOnce(Pin<&mut C>),
) -> C::Output {
    let stop = async {
        shutdown.wait().await;
        None
    };
    let run = async { Some(connection.as_mut().await) };
    if let Some(output) = run.or(stop).await {
        return output;
    }
    start_graceful_close(connection.as_mut());
    connection.await
}
