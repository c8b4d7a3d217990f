//! The daemon as a library: control thread, traffic threads and the parts they
//! connect.
//!
//! One thread owns all control state and takes typed messages; the others carry
//! traffic and read snapshots. The binaries only read settings and start a
//! [`RunningDaemon`].

mod callers;
mod cleanup;
mod clients;
mod clock;
mod context;
mod control;
mod credit;
mod drain;
mod error;
mod history;
mod listeners;
mod load_watch;
mod members;
mod observe;
mod operators;
mod options;
pub mod ownership;
mod platform_links;
mod running;
mod settings_feed;
mod settings_watch;
mod slot_pin;
mod slot_watch;
mod threads;
mod upstream_watch;
mod watches;

pub use drain::DrainSwitch;
pub use error::StartError;
pub use options::DaemonOptions;
pub use running::RunningDaemon;
pub use settings_feed::{
    AppliedSettings, FeedError, FeedOptions, FeedTask, SettingsFeed, StoredText,
};
