//! A peer that answers with bytes given beforehand, right or wrong.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use ibisdale_net::{NetError, TrafficExecutor, bind_listener};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::{Async, Task};

/// Bytes read from a peer at a time.
const READ_BYTES: usize = 64 * 1_024;

/// What a [`ScriptedServer`] does after its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScriptEnd {
    /// Closes the connection.
    Close,
    /// Keeps the connection open and says nothing more.
    Hold,
}

/// The bytes that came in on each connection, in the order of acceptance.
#[derive(Clone, Debug, Default)]
struct ReceivedBytes(Arc<Mutex<Vec<Vec<u8>>>>);

impl ReceivedBytes {
    fn lock(&self) -> MutexGuard<'_, Vec<Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection and returns its index.
    fn add(&self) -> usize {
        let mut connections = self.lock();
        connections.push(Vec::new());
        connections.len() - 1
    }

    fn extend(&self, index: usize, bytes: &[u8]) {
        if let Some(connection) = self.lock().get_mut(index) {
            connection.extend_from_slice(bytes);
        }
    }
}

/// Answers the first request on each connection with the same bytes.
///
/// It waits for the first bytes of a request and looks at none of them.
#[derive(Debug)]
pub struct ScriptedServer {
    address: SocketAddr,
    received: ReceivedBytes,
    task: Task<()>,
}

impl ScriptedServer {
    /// Listens on `address` and answers each connection with `script`.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be had.
    pub fn start(
        address: SocketAddr,
        executor: &TrafficExecutor,
        script: impl Into<Bytes>,
        end: ScriptEnd,
    ) -> Result<Self, NetError> {
        let listener = bind_listener(address)?;
        let address = listener
            .get_ref()
            .local_addr()
            .map_err(|source| NetError::Listen { address, source })?;
        let received = ReceivedBytes::default();
        let accept = accept_all(listener, script.into(), end, received.clone());
        Ok(Self {
            address,
            received,
            task: executor.spawn(accept),
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted.
    #[must_use]
    pub fn get_connections(&self) -> usize {
        self.received.lock().len()
    }

    /// Returns the bytes that came in on each connection so far.
    #[must_use]
    pub fn get_received(&self) -> Vec<Vec<u8>> {
        self.received.lock().clone()
    }

    /// Closes the listener and every connection.
    pub async fn close(self) {
        self.task.cancel().await;
    }
}

async fn accept_all(
    listener: Async<TcpListener>,
    script: Bytes,
    end: ScriptEnd,
    received: ReceivedBytes,
) {
    let connections = async_executor::Executor::new();
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            let index = received.add();
            let connection = ScriptedConnection {
                stream,
                received: received.clone(),
                index,
            };
            connections
                .spawn(connection.answer_once(script.clone(), end))
                .detach();
        }
    };
    connections.run(accept).await;
}

struct ScriptedConnection {
    stream: Async<TcpStream>,
    received: ReceivedBytes,
    index: usize,
}

impl ScriptedConnection {
    async fn answer_once(mut self, script: Bytes, end: ScriptEnd) {
        if !self.read_some().await {
            return;
        }
        if self.stream.write_all(&script).await.is_err() || self.stream.flush().await.is_err() {
            return;
        }
        // What is left is read first, so that no reset overtakes the script.
        if end == ScriptEnd::Close {
            // A peer that is gone already needs no closing.
            let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        }
        while self.read_some().await {}
    }

    /// Reads what comes next; tells whether anything came.
    async fn read_some(&mut self) -> bool {
        let mut buffer = vec![0; READ_BYTES];
        match self.stream.read(&mut buffer).await {
            Ok(length) if length > 0 => {
                self.received.extend(self.index, &buffer[..length]);
                true
            }
            _ => false,
        }
    }
}
