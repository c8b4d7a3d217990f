//! Kept connections to holders, with several calls at a time on each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::channel::{Receiver, Sender, bounded, unbounded};
use smol::{Async, LocalExecutor, Timer};
use snafu::Snafu;

use crate::message::{HolderReply, HolderRequest};
use crate::wire::{encode_message, read_message, write_message};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without calls after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a call to a holder failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CallError {
    /// The connection could not be opened or ended before the reply.
    #[snafu(display("no connection"))]
    Disconnected,
    /// No reply arrived in time.
    #[snafu(display("no reply in time"))]
    Timeout,
    /// The request could not be encoded.
    #[snafu(display("the request can't be encoded"))]
    Unencodable,
}

/// Connections to holders, opened on demand.
#[derive(Clone)]
pub struct HolderLinks {
    /// Not kept alive by the links, so that its tasks, which hold links, end with it.
    executor: Weak<LocalExecutor<'static>>,
    links: Rc<RefCell<HashMap<SocketAddrV4, HolderLink>>>,
    next_call: Rc<Cell<u64>>,
}

impl std::fmt::Debug for HolderLinks {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HolderLinks")
    }
}

type PendingCalls = Rc<RefCell<HashMap<u64, Sender<HolderReply>>>>;

#[derive(Clone)]
struct HolderLink {
    /// Distinguishes the link from a later one to the same address.
    number: u64,
    outgoing: Sender<Vec<u8>>,
    pending: PendingCalls,
}

impl HolderLinks {
    /// Creates links whose tasks run on the given executor.
    #[must_use]
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Self {
            executor: Rc::downgrade(executor),
            links: Rc::default(),
            next_call: Rc::default(),
        }
    }

    /// Runs a task on the executor of the links.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Sends a request to a holder and waits for the reply.
    ///
    /// A call that gets no reply in time closes its connection, since a connection may go
    /// silent without an error.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply in time; the holder may have executed the
    /// request.
    pub async fn call(
        &self,
        address: SocketAddrV4,
        request: &HolderRequest,
        timeout: Duration,
    ) -> Result<HolderReply, CallError> {
        let call = self.take_number();
        let encoded = encode_message(&(call, request)).map_err(|_| CallError::Unencodable)?;
        let link = self.link(address);
        let (sender, receiver) = bounded(1);
        link.pending.borrow_mut().insert(call, sender);
        // Fails if the connection has just ended; then the reply channel is closed as well.
        let _ = link.outgoing.try_send(encoded);
        let reply = async { receiver.recv().await.map_err(|_| CallError::Disconnected) };
        let expire = async {
            Timer::after(timeout).await;
            Err(CallError::Timeout)
        };
        let result = reply.or(expire).await;
        link.pending.borrow_mut().remove(&call);
        if matches!(result, Err(CallError::Timeout)) {
            self.close_link(address, link.number);
        }
        result
    }

    fn take_number(&self) -> u64 {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        number
    }

    fn link(&self, address: SocketAddrV4) -> HolderLink {
        if let Some(link) = self.links.borrow().get(&address) {
            return link.clone();
        }
        let (outgoing, messages) = unbounded();
        let link = HolderLink {
            number: self.take_number(),
            outgoing,
            pending: PendingCalls::default(),
        };
        self.links.borrow_mut().insert(address, link.clone());
        let links = self.clone();
        let (number, pending) = (link.number, Rc::clone(&link.pending));
        self.spawn(async move {
            if let Err(error) = run_link(address, messages, &pending).await {
                log::debug!("the connection to the holder at {address} ended: {error}");
            }
            links.close_link(address, number);
            // Closes the channels, which ends the calls.
            pending.borrow_mut().clear();
        });
        link
    }

    fn close_link(&self, address: SocketAddrV4, number: u64) {
        let mut links = self.links.borrow_mut();
        if links
            .get(&address)
            .is_some_and(|link| link.number == number)
            && let Some(link) = links.remove(&address)
        {
            link.outgoing.close();
        }
    }
}

/// Opens a connection and runs it until it fails, idles or its channel is closed.
async fn run_link(
    address: SocketAddrV4,
    messages: Receiver<Vec<u8>>,
    pending: &PendingCalls,
) -> io::Result<()> {
    let connect = Async::<TcpStream>::connect(address);
    let expire = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = connect.or(expire).await?;
    stream.get_ref().set_nodelay(true)?;
    let stream = &stream;
    let write = async {
        let mut stream = stream;
        loop {
            let next = async { messages.recv().await.ok() };
            let idle = async {
                Timer::after(IDLE_TIMEOUT).await;
                None
            };
            let Some(encoded) = next.or(idle).await else {
                return Ok(());
            };
            write_message(&mut stream, &encoded).await?;
        }
    };
    let read = async {
        let mut stream = stream;
        loop {
            let (call, reply): (u64, HolderReply) = read_message(&mut stream).await?;
            if let Some(waiting) = pending.borrow_mut().remove(&call) {
                // Fails if the call has timed out.
                let _ = waiting.try_send(reply);
            }
        }
    };
    write.or(read).await
}
