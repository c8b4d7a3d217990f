//! Calls to the key-value service that the state machine issues, and their results.

use std::time::Duration;

use bytes::Bytes;

/// Identifies a call until its result is passed to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub(crate) u64);

/// A key with its value and revision, as read from the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// Key name.
    pub key: Bytes,
    /// Stored value.
    pub value: Bytes,
    /// Store revision of the last write to the key.
    pub revision: i64,
}

/// A put or delete of a key, as reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// Key name.
    pub key: Bytes,
    /// New value; `None` if the key was deleted.
    pub value: Option<Bytes>,
    /// Store revision of the change.
    pub revision: i64,
}

impl From<KeyEntry> for KeyChange {
    fn from(entry: KeyEntry) -> Self {
        Self {
            key: entry.key,
            value: Some(entry.value),
            revision: entry.revision,
        }
    }
}

/// A precondition of a [`ConditionalWrite`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCondition {
    /// The key was last written at this revision. Revision 0 requires that the key does
    /// not exist.
    Revision {
        /// Key name.
        key: Bytes,
        /// Expected revision of the last write.
        revision: i64,
    },
    /// The key exists and is attached to this lease.
    Lease {
        /// Key name.
        key: Bytes,
        /// Lease identifier.
        lease: i64,
    },
}

/// A put or delete of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyWrite {
    /// Key name.
    pub key: Bytes,
    /// New value; `None` deletes the key.
    pub value: Option<Bytes>,
    /// Lease to attach the key to; the key is deleted when the lease ends.
    pub lease: Option<i64>,
}

/// A transaction: applies all writes atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConditionalWrite {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<KeyCondition>,
    /// Writes to apply.
    pub writes: Vec<KeyWrite>,
    /// Keys to read instead if a condition does not hold.
    pub failure_reads: Vec<Bytes>,
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the records of all daemons, then those of all slots, and watches the
    /// prefixes of both from the revisions read.
    ReadAndWatchRecords,
    /// Reads a single key.
    ReadKey(Bytes),
    /// Executes a conditional write.
    Write(ConditionalWrite),
    /// Grants a lease. Succeeds if the lease already exists, so that it can be
    /// retried.
    GrantLease {
        /// Lease identifier, chosen by the caller.
        lease: i64,
        /// Time to live of the lease.
        ttl: Duration,
    },
    /// Renews the lease with this identifier.
    RenewLease(i64),
    /// Revokes the lease with this identifier. Succeeds if it has already ended.
    RevokeLease(i64),
}

/// A call to execute, with the identifier that its result is passed back with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedCall {
    /// To be passed back to
    /// [`OwnershipMachine::on_response`](super::OwnershipMachine::on_response).
    pub id: CallId,
    /// Call to execute.
    pub call: StoreCall,
}

/// Result of [`StoreCall::ReadAndWatchRecords`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetRead {
    /// Store revision of the first of the two reads.
    pub revision: i64,
    /// All records of daemons and slots.
    pub entries: Vec<KeyEntry>,
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All conditions held and the writes were applied.
    Applied {
        /// Store revision of the writes.
        revision: i64,
    },
    /// A condition did not hold; nothing was written.
    ConditionFailed {
        /// Store revision at which the conditions were evaluated.
        revision: i64,
        /// Entries of the `failure_reads` keys that exist.
        entries: Vec<KeyEntry>,
    },
}

/// Successful result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResponse {
    /// Result of [`StoreCall::ReadAndWatchRecords`].
    Fleet(FleetRead),
    /// Result of [`StoreCall::ReadKey`].
    Key {
        /// Store revision of the read.
        revision: i64,
        /// The entry, if the key exists.
        entry: Option<KeyEntry>,
    },
    /// Result of [`StoreCall::Write`].
    Write(WriteOutcome),
    /// The lease was granted or renewed.
    LeaseHeld,
    /// The lease was revoked, or had already ended.
    LeaseEnded,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service rejected the call, which had no effect.
    Rejected,
    /// The call failed in another way and is known to have had no effect.
    NotApplied,
    /// The call may have taken effect, or may still take effect later.
    Unknown,
}
