//! Options of the client.

use std::net::SocketAddr;
use std::time::Duration;

/// Time by default in which a call must be answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time by default after which a watch without changes is opened anew.
const WATCH_RENEWAL: Duration = Duration::from_secs(30);
/// Keys by default in a page of a prefix read.
const PAGE_MAX_KEYS: u32 = 512;

/// Where the service is and how long calls may take.
///
/// ```
/// use std::time::Duration;
/// use ibisdale_platform::KvOptions;
///
/// let options = KvOptions::new()
///     .endpoint(([127, 0, 0, 1], 2379).into())
///     .call_timeout(Duration::from_secs(1));
/// assert_eq!(options.get_endpoints().len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct KvOptions {
    endpoints: Vec<SocketAddr>,
    call_timeout: Duration,
    watch_renewal: Duration,
    page_max_keys: u32,
}

impl Default for KvOptions {
    fn default() -> Self {
        Self::new()
    }
}

impl KvOptions {
    /// Creates options without endpoints.
    #[must_use]
    pub fn new() -> Self {
        Self {
            endpoints: Vec::new(),
            call_timeout: CALL_TIMEOUT,
            watch_renewal: WATCH_RENEWAL,
            page_max_keys: PAGE_MAX_KEYS,
        }
    }

    /// Adds an endpoint of the service.
    #[must_use]
    pub fn endpoint(mut self, endpoint: SocketAddr) -> Self {
        self.endpoints.push(endpoint);
        self
    }

    /// Sets the time in which a call must be answered.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the time after which a watch without changes is opened anew, which
    /// bounds how long a silent connection goes unnoticed.
    #[must_use]
    pub fn watch_renewal(mut self, renewal: Duration) -> Self {
        self.watch_renewal = renewal;
        self
    }

    /// Sets the number of keys in a page of a prefix read; at least 1.
    #[must_use]
    pub fn page_max_keys(mut self, keys: u32) -> Self {
        self.page_max_keys = keys.max(1);
        self
    }

    /// Returns the endpoints.
    #[must_use]
    pub fn get_endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    /// Returns the time in which a call must be answered.
    #[must_use]
    pub fn get_call_timeout(&self) -> Duration {
        self.call_timeout
    }

    /// Returns the time after which a watch without changes is opened anew.
    #[must_use]
    pub fn get_watch_renewal(&self) -> Duration {
        self.watch_renewal
    }

    /// Returns the number of keys in a page of a prefix read.
    #[must_use]
    pub fn get_page_max_keys(&self) -> u32 {
        self.page_max_keys
    }
}
