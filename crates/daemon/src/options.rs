//! How a daemon is started.

use std::time::Duration;

use ibisdale_settings::DaemonSettings;

/// Time between two writes by which slots are claimed.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which callers keep an answer with addresses.
const ADDRESS_KEEP: Duration = Duration::from_secs(5);

/// How a daemon is started.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    pub(crate) settings: DaemonSettings,
    pub(crate) address_keep: Duration,
    pub(crate) claim_interval: Duration,
}

impl DaemonOptions {
    /// Creates the options from the daemon's own file.
    #[must_use]
    pub fn new(settings: DaemonSettings) -> Self {
        Self {
            settings,
            address_keep: ADDRESS_KEEP,
            claim_interval: CLAIM_INTERVAL,
        }
    }

    /// Sets how long callers keep an answer with addresses, and so how long a
    /// leaving daemon still serves those who hold an old one.
    #[must_use]
    pub fn address_keep(mut self, keep: Duration) -> Self {
        self.address_keep = keep;
        self
    }

    /// Sets the time between two writes by which slots are claimed.
    #[must_use]
    pub fn claim_interval(mut self, interval: Duration) -> Self {
        self.claim_interval = interval;
        self
    }

    /// Returns the daemon's own settings.
    #[must_use]
    pub fn get_settings(&self) -> &DaemonSettings {
        &self.settings
    }
}
