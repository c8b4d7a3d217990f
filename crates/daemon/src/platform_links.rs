//! The feed of settings and the ownership of slots, on the platform's service.

use std::time::Duration;

use futures_lite::FutureExt;
use ibisdale_net::TrafficExecutor;
use ibisdale_platform::{KvClient, KvOptions};
use ibisdale_policy::ownership::{DaemonProfile, OwnershipOptions};
use ibisdale_settings::DaemonSettings;
use rand::Rng;

use crate::listeners::DaemonAddresses;
use crate::ownership::{OwnershipDriver, ProcessClock};
use crate::settings_feed::{FeedOptions, FeedTask, SettingsFeed};

/// Time in which a leaving daemon's slots must be handed over.
const HANDOVER_LIMIT: Duration = Duration::from_secs(20);
/// What the daemon shares with the platform.
#[derive(Debug)]
pub(crate) struct PlatformLinks {
    pub(crate) feed: SettingsFeed,
    feed_task: FeedTask,
    pub(crate) driver: OwnershipDriver,
    pub(crate) clock: ProcessClock,
}

impl PlatformLinks {
    /// Hands all slots over, or gives that up after a while.
    pub(crate) async fn drain(&self) {
        let give_up = async {
            smol::Timer::after(HANDOVER_LIMIT).await;
        };
        self.driver.drain().or(give_up).await;
    }

    /// Stops both.
    pub(crate) async fn close(self) {
        self.feed_task.close().await;
        self.driver.close().await;
    }
}

/// Starts to follow the settings and to own slots.
pub(crate) fn start_platform(
    settings: &DaemonSettings,
    addresses: DaemonAddresses,
    claim_interval: Duration,
    executor: &TrafficExecutor,
) -> PlatformLinks {
    let endpoints = settings.key_value_endpoints.iter().copied();
    let options = endpoints.fold(KvOptions::new(), KvOptions::endpoint);
    let client = KvClient::new(options, executor);
    let (feed, feed_task) = SettingsFeed::start(client.clone(), FeedOptions::new(), executor);
    let profile = DaemonProfile {
        name: settings.name.clone(),
        fleet_address: addresses.fleet,
        entry_address: addresses.entry,
        failure_domain: settings.failure_domain.clone(),
    };
    let clock = ProcessClock::start();
    let options =
        OwnershipOptions::new(profile, rand::rng().random()).batch_interval(claim_interval);
    let driver = OwnershipDriver::start(options, client, clock, executor);
    PlatformLinks {
        feed,
        feed_task,
        driver,
        clock,
    }
}
