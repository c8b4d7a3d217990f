//! Keeps the settings in force: reads them from the key-value service, follows
//! changes, and applies operators' revisions.
//!
//! The head record is read in transactions, which never lag. A revision below
//! the one in force, or below one that peers are known to have, is never taken.

mod apply;
mod conflict;
mod edit;
mod error;
mod follow;
mod options;
mod prune;
mod shared;
mod state;
mod store;
mod swap;

pub use error::FeedError;
pub use follow::{FeedTask, SettingsFeed};
pub use options::FeedOptions;
pub use state::{AppliedSettings, StoredText};
