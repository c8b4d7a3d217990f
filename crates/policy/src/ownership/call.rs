//! Calls that the machine asks for, and their answers.

use std::time::Duration;

use bytes::Bytes;

/// Identifies a call until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub(crate) u64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// Revision of the last write.
    pub revision: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyChange {
    /// The key.
    pub key: Bytes,
    /// The value, or nothing when the key was deleted.
    pub value: Option<Bytes>,
    /// Revision of the change.
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

/// A condition of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCondition {
    /// The key was last written at this revision; 0 when it does not exist.
    Revision {
        /// The key.
        key: Bytes,
        /// The revision.
        revision: i64,
    },
    /// The key exists and ends with this lease.
    Lease {
        /// The key.
        key: Bytes,
        /// The lease.
        lease: i64,
    },
}

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyWrite {
    /// The key.
    pub key: Bytes,
    /// The value, or nothing to delete the key.
    pub value: Option<Bytes>,
    /// The lease that the key ends with.
    pub lease: Option<i64>,
}

/// Writes that are made together if all conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GuardedWrite {
    /// The conditions.
    pub conditions: Vec<KeyCondition>,
    /// The writes.
    pub writes: Vec<KeyWrite>,
    /// Keys that are read when a condition does not hold.
    pub reads_otherwise: Vec<Bytes>,
}

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads the records of all daemons, then of all slots, and follows their
    /// changes from then on.
    ReadFleet,
    /// Reads one key.
    ReadKey(Bytes),
    /// Makes a write.
    Write(GuardedWrite),
    /// Grants a lease; one that exists already counts as granted.
    GrantLease {
        /// The lease's identifier.
        lease: i64,
        /// Its time to live.
        ttl: Duration,
    },
    /// Renews a lease.
    RenewLease(i64),
    /// Ends a lease; one that has already ended counts as ended.
    RevokeLease(i64),
}

/// A call with its identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedCall {
    /// Identifies the call in the answer.
    pub id: CallId,
    /// The call.
    pub call: StoreCall,
}

/// What [`StoreCall::ReadFleet`] saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetRead {
    /// Revision of the first read.
    pub revision: i64,
    /// Records of daemons and slots.
    pub entries: Vec<KeyEntry>,
}

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was made.
    Applied {
        /// Its revision.
        revision: i64,
    },
    /// A condition did not hold.
    Refused {
        /// Revision of the store when the conditions were looked at.
        revision: i64,
        /// Keys found of those that were to be read.
        entries: Vec<KeyEntry>,
    },
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreAnswer {
    /// Answers [`StoreCall::ReadFleet`].
    Fleet(FleetRead),
    /// Answers [`StoreCall::ReadKey`].
    Key {
        /// Revision of the read.
        revision: i64,
        /// The key, if it exists.
        entry: Option<KeyEntry>,
    },
    /// Answers [`StoreCall::Write`].
    Write(WriteOutcome),
    /// The lease is held.
    LeaseHeld,
    /// The lease has ended.
    LeaseEnded,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service answered that it does not take the call.
    Refused,
    /// The call is proven to have had no effect.
    NotApplied,
    /// The call may have had an effect, or may yet have one.
    Unknown,
}
