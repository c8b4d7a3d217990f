//! Errors of reading and applying settings.

use ibisdale_core::admin::SettingsConflict;
use ibisdale_platform::KvError;
use ibisdale_settings::store::{JoinError, RecordError};
use ibisdale_settings::{EditError, SettingsFindings};
use snafu::Snafu;

/// Tells why settings were not read or applied.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FeedError {
    /// The settings have findings; nothing was written.
    #[snafu(display("{findings}"))]
    Findings {
        /// What is wrong.
        findings: SettingsFindings,
    },
    /// Another revision is in force than the one the settings were made from;
    /// they are not in force and will not be.
    #[snafu(display(
        "revision {} is in force, the settings were made from revision {}",
        conflict.current, conflict.expected
    ))]
    Conflict {
        /// The revision in force, and what changed.
        conflict: Box<SettingsConflict>,
    },
    /// The key-value service does not answer; nothing took effect.
    #[snafu(display("the key-value service can't be used: {source}"))]
    Unavailable {
        /// The call's error.
        source: KvError,
    },
    /// The answer is lost and could not be settled in time: the revision may be
    /// in force, or may yet come into force.
    #[snafu(display("it is not known whether revision {revision} is accepted: {source}"))]
    OutcomeUnknown {
        /// The revision that was written.
        revision: u64,
        /// The last call's error.
        source: KvError,
    },
    /// The revision is not kept.
    #[snafu(display("revision {revision} is not kept"))]
    UnknownRevision {
        /// The revision.
        revision: u64,
    },
    /// A record in the key-value service can't be read.
    #[snafu(display("the record of a revision can't be read: {source}"))]
    BadRecord {
        /// What is wrong with it.
        source: RecordError,
    },
    /// The text of a revision is not whole.
    #[snafu(display("the text of revision {revision} is not whole: {source}"))]
    BadText {
        /// The revision.
        revision: u64,
        /// What is wrong with it.
        source: JoinError,
    },
    /// The head record was deleted.
    #[snafu(display(
        "the head record of the settings is gone, revision {revision} stays in force"
    ))]
    HeadGone {
        /// The revision in force.
        revision: u64,
    },
    /// The settings can't be changed as asked for.
    #[snafu(display("{source}"))]
    Edit {
        /// Why.
        source: EditError,
    },
}
