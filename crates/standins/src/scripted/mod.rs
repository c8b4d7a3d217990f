//! A peer that answers with bytes given beforehand, right or wrong.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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

/// Answers the first request on each connection with the same bytes.
///
/// It waits for the first bytes of a request and looks at none of them.
#[derive(Debug)]
pub struct ScriptedServer {
    address: SocketAddr,
    connections: Arc<AtomicU64>,
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
        let connections = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&connections);
        let task = executor.spawn(accept_all(listener, script.into(), end, count));
        Ok(Self {
            address,
            connections,
            task,
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections accepted.
    #[must_use]
    pub fn get_connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
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
    count: Arc<AtomicU64>,
) {
    let connections = async_executor::Executor::new();
    let accept = async {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::Relaxed);
            connections
                .spawn(answer_once(stream, script.clone(), end))
                .detach();
        }
    };
    connections.run(accept).await;
}

async fn answer_once(mut stream: Async<TcpStream>, script: Bytes, end: ScriptEnd) {
    let mut buffer = vec![0; READ_BYTES];
    if !matches!(stream.read(&mut buffer).await, Ok(1..)) {
        return;
    }
    if stream.write_all(&script).await.is_err() || stream.flush().await.is_err() {
        return;
    }
    match end {
        ScriptEnd::Close => drain_and_close(stream, &mut buffer).await,
        ScriptEnd::Hold => while matches!(stream.read(&mut buffer).await, Ok(1..)) {},
    }
}

/// Closes the sending side, then reads what is left so that no reset overtakes
/// the bytes sent.
async fn drain_and_close(mut stream: Async<TcpStream>, buffer: &mut [u8]) {
    if stream.close().await.is_err() {
        return;
    }
    while matches!(stream.read(buffer).await, Ok(1..)) {}
}
