//! Shares of a process's memory and descriptors for clients.

/// Share of the memory that a process leaves that clients may make it hold; the rest is for
/// connections and what the allocator does not return.
const CLIENT_MEMORY_SHARE: f64 = 0.75;
/// Memory of a connection with a request head, in MB; 400 with parts of heads took 27 KB each.
const CONNECTION_MEMORY_MB: f64 = 0.032;
/// Share of the remaining memory, beside that of clients, that connections may take.
const CONNECTION_MEMORY_SHARE: f64 = 0.25;
/// Share of the file descriptors for connections on which clients send requests; the rest is for
/// upstreams, the platform, other VMs and the other listeners.
const CONNECTION_FD_SHARE: f64 = 0.5;
/// Least number of such connections.
const CONNECTIONS_MIN: f64 = 16.0;
/// Least share of the memory of the process for clients, where it has less than it needs.
const CLIENT_MEMORY_SHARE_MIN: f64 = 0.125;
/// The connections for requests divided by this are those of a listener for checks.
const CHECK_DIVISOR: usize = 8;
/// The connections for requests divided by this are those of a listener for other VMs.
const PEER_DIVISOR: usize = 2;

/// Share of the memory of a daemon for itself: settings, programs and connections to upstreams.
const DAEMON_MEMORY_SHARE: f64 = 0.25;
/// Least memory of a daemon for itself, in megabytes.
const DAEMON_MEMORY_MIN_MB: f64 = 24.0;

/// What clients may make a process hold.
///
/// ```
/// let limits = ibisdale_clients::ClientLimits::share(88.0, 64.0, 3_075.0);
/// assert_eq!(limits.memory_bytes(), 48_000_000);
/// assert_eq!(limits.connections(), 500);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    memory_bytes: usize,
    connections: usize,
}

impl ClientLimits {
    /// Limits of a process without bounds, for tests and stand-ins.
    pub const UNLIMITED: Self = Self {
        memory_bytes: usize::MAX / 4,
        connections: usize::MAX / 4,
    };

    /// Shares the resources of a process that has `memory_mb` megabytes, of which `remaining_mb`
    /// are not needed for itself, and `descriptors`.
    #[must_use]
    pub fn share(memory_mb: f64, remaining_mb: f64, descriptors: f64) -> Self {
        let least = memory_mb * CLIENT_MEMORY_SHARE_MIN;
        let megabytes = (remaining_mb * CLIENT_MEMORY_SHARE).max(least);
        let by_memory = remaining_mb * CONNECTION_MEMORY_SHARE / CONNECTION_MEMORY_MB;
        let by_descriptors = descriptors * CONNECTION_FD_SHARE;
        Self {
            memory_bytes: whole(megabytes * 1_000_000.0),
            connections: whole(by_memory.min(by_descriptors).max(CONNECTIONS_MIN)),
        }
    }

    /// Shares the resources of a daemon that has `memory_mb` megabytes, of which it needs a quarter
    /// for itself, at least 24 MB, and `descriptors`.
    #[must_use]
    pub fn share_of_daemon(memory_mb: f64, descriptors: f64) -> Self {
        let own_mb = (memory_mb * DAEMON_MEMORY_SHARE).max(DAEMON_MEMORY_MIN_MB);
        Self::share(memory_mb, memory_mb - own_mb, descriptors)
    }

    /// Sets the memory for bodies and responses, in bytes.
    #[must_use]
    pub fn memory(mut self, bytes: usize) -> Self {
        self.memory_bytes = bytes;
        self
    }

    /// Returns the memory for bodies of requests and for responses, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Returns the maximum number of connections on which clients send requests.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Returns the maximum number of connections of a listener for checks: readiness, directory,
    /// metrics and operators.
    #[must_use]
    pub fn check_connections(&self) -> usize {
        self.connections / CHECK_DIVISOR + 1
    }

    /// Returns the maximum number of connections of a listener for other VMs.
    #[must_use]
    pub fn peer_connections(&self) -> usize {
        self.connections / PEER_DIVISOR + 1
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates for negative and large numbers"
)]
fn whole(number: f64) -> usize {
    number as usize
}
