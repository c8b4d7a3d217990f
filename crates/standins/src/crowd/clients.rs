//! Clients that send at the same time and then do not behave.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

/// Time after which a client stops sending to a process that does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a client stops reading an answer that does not go on.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What each client of a crowd sends.
#[derive(Clone, Debug)]
pub struct CrowdPlan {
    address: SocketAddr,
    message: Vec<u8>,
    clients: usize,
    piece: usize,
    is_lenient: bool,
}

impl CrowdPlan {
    /// Creates the plan of `clients` clients that send `message` as a whole.
    #[must_use]
    pub fn new(address: SocketAddr, clients: usize, message: Vec<u8>) -> Self {
        Self {
            address,
            piece: message.len(),
            message,
            clients,
            is_lenient: false,
        }
    }

    /// Leaves out the clients that can't connect, since the process may be down.
    #[must_use]
    pub fn lenient(mut self) -> Self {
        self.is_lenient = true;
        self
    }

    /// Lets the clients send pieces of `piece` bytes.
    #[must_use]
    pub fn piece(mut self, piece: usize) -> Self {
        self.piece = piece;
        self
    }

    /// Sends from all clients at the same time; returns them with their connections open.
    ///
    /// # Panics
    ///
    /// Panics if a client can't connect, unless the plan is lenient.
    #[must_use]
    pub fn send(&self) -> ClientCrowd {
        self.run(|plan| {
            let mut stream = plan.connect()?;
            plan.write(&mut stream);
            Some(stream)
        })
    }

    /// Sends from all clients at the same time, `rounds` times, each on a new connection; a client
    /// that gets an answer comes back at once, others keep their connections open.
    ///
    /// # Panics
    ///
    /// Panics if a client can't connect, unless the plan is lenient.
    #[must_use]
    pub fn send_again(&self, rounds: usize, patience: Duration) -> ClientCrowd {
        self.run(move |plan| {
            let mut stream = plan.connect()?;
            for _ in 1..rounds {
                plan.write(&mut stream);
                stream.set_read_timeout(Some(patience)).ok();
                let mut part = [0_u8; 1_024];
                if stream.read(&mut part).is_err() {
                    break;
                }
                stream = plan.connect()?;
            }
            plan.write(&mut stream);
            Some(stream)
        })
    }

    /// Opens connections one after the other, without waiting for all; for more clients than a
    /// process may have threads.
    ///
    /// # Panics
    ///
    /// Panics if a client can't connect, unless the plan is lenient.
    #[must_use]
    pub fn open(&self) -> ClientCrowd {
        let streams = (0..self.clients).filter_map(|_| {
            let mut stream = self.connect()?;
            self.write(&mut stream);
            Some(stream)
        });
        ClientCrowd {
            streams: streams.collect(),
        }
    }

    fn run(
        &self,
        act: impl Fn(&Self) -> Option<TcpStream> + Clone + Send + 'static,
    ) -> ClientCrowd {
        let start = Arc::new(Barrier::new(self.clients));
        let clients = (0..self.clients).map(|_| {
            let (start, plan, act) = (Arc::clone(&start), self.clone(), act.clone());
            thread::spawn(move || {
                start.wait();
                act(&plan)
            })
        });
        let clients: Vec<_> = clients.collect();
        let streams = clients.into_iter().map(thread::JoinHandle::join);
        let streams = streams.filter_map(|joined| joined.expect("a client connects"));
        let streams = streams.collect();
        ClientCrowd { streams }
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = match TcpStream::connect(self.address) {
            Ok(stream) => stream,
            Err(_) if self.is_lenient => return None,
            Err(error) => panic!("{}: {error}", self.address),
        };
        stream.set_write_timeout(Some(WRITE_TIMEOUT)).ok();
        Some(stream)
    }

    /// Sends until the message ends or the client is refused.
    fn write(&self, stream: &mut TcpStream) {
        for part in self.message.chunks(self.piece.max(1)) {
            if stream.write_all(part).is_err() {
                return;
            }
            thread::yield_now();
        }
    }
}

/// Clients with open connections.
#[derive(Debug)]
pub struct ClientCrowd {
    streams: Vec<TcpStream>,
}

impl ClientCrowd {
    /// Reads `size` bytes from each connection in each of `rounds` rounds, with a pause between
    /// them.
    pub fn read_slowly(&mut self, size: usize, rounds: usize, pause: Duration) {
        let mut buffer = vec![0; size];
        for _ in 0..rounds {
            for stream in &mut self.streams {
                stream.set_nonblocking(true).ok();
                // Fails while nothing has arrived.
                let _ = stream.read(&mut buffer);
            }
            thread::sleep(pause);
        }
    }

    /// Sends `data` on each connection.
    pub fn write(&mut self, data: &[u8]) {
        for stream in &mut self.streams {
            // Fails if the client was refused.
            let _ = stream.write_all(data);
        }
    }

    /// Adds the clients of another crowd.
    pub fn join(&mut self, other: Self) {
        self.streams.extend(other.streams);
    }

    /// Returns what each client has received, up to the end of its connection.
    #[must_use]
    pub fn receive(self) -> Vec<String> {
        let answers = self.streams.into_iter().map(|stream| {
            stream.set_nonblocking(false).ok();
            read_all(stream)
        });
        answers.collect()
    }

    /// Closes all connections.
    pub fn close(self) {
        for stream in self.streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Sends a request on a connection of its own; returns what is received until it ends, empty if
/// there is no connection.
#[must_use]
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return String::new();
    };
    let _ = stream.write_all(request);
    read_all(stream)
}

fn read_all(mut stream: TcpStream) -> String {
    let mut response = Vec::new();
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok();
    // After an error, the data received before it is returned.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}
