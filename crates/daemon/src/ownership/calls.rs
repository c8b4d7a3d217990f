//! The machine's calls, made with the key-value client.

use ibisdale_platform::{
    KvClient, KvCompare, KvEntry, KvError, KvFailure, KvPut, KvRevision, KvTxn, KvTxnOutcome,
    LeaseId, LeaseStatus,
};
use ibisdale_policy::ownership::{
    CallFailure, ConditionalWrite, DAEMON_PREFIX, FleetRead, KeyCondition, KeyEntry, KeyWrite,
    SLOT_PREFIX, StoreCall, StoreResponse, WriteOutcome,
};

use super::message::FollowStart;

/// gRPC status code of a call whose precondition does not hold.
const CODE_FAILED_PRECONDITION: i32 = 9;
/// gRPC status code of a call on something that does not exist.
const CODE_NOT_FOUND: i32 = 5;

/// An answer, and where changes are to be followed from.
pub(crate) struct CallResult {
    pub(crate) answer: Result<StoreResponse, CallFailure>,
    pub(crate) follow: Option<FollowStart>,
}

/// Makes a call.
pub(crate) async fn make_call(client: &KvClient, call: StoreCall) -> CallResult {
    let mut follow = None;
    let answer = match call {
        StoreCall::ReadAndWatchRecords => match read_fleet(client).await {
            Ok((read, start)) => {
                follow = Some(start);
                Ok(StoreResponse::Fleet(read))
            }
            Err(error) => Err(error),
        },
        StoreCall::ReadKey(key) => client.get(key).await.map(|snapshot| StoreResponse::Key {
            revision: snapshot.revision.get(),
            entry: snapshot.into_entry().map(entry_of),
        }),
        StoreCall::Write(write) => {
            let outcome = client.txn(txn_of(write)).await;
            outcome.map(|outcome| StoreResponse::Write(outcome_of(outcome)))
        }
        StoreCall::GrantLease { lease, ttl } => {
            let grant = client.grant_lease(ttl, Some(LeaseId::new(lease))).await;
            let grant = grant.map(|_| StoreResponse::LeaseHeld);
            accept_code(grant, CODE_FAILED_PRECONDITION, StoreResponse::LeaseHeld)
        }
        StoreCall::RenewLease(lease) => {
            let status = client.keep_lease(LeaseId::new(lease)).await;
            status.map(|status| match status {
                LeaseStatus::Renewed { .. } => StoreResponse::LeaseHeld,
                LeaseStatus::Ended => StoreResponse::LeaseEnded,
            })
        }
        StoreCall::RevokeLease(lease) => {
            let revoked = client.revoke_lease(LeaseId::new(lease)).await;
            let revoked = revoked.map(|()| StoreResponse::LeaseEnded);
            accept_code(revoked, CODE_NOT_FOUND, StoreResponse::LeaseEnded)
        }
    };
    CallResult {
        answer: answer.map_err(|error| failure_of(&error)),
        follow,
    }
}

/// Reads daemons first, so that the owner of every slot that is read later was
/// registered before.
async fn read_fleet(client: &KvClient) -> Result<(FleetRead, FollowStart), KvError> {
    let daemons = client.get_prefix(DAEMON_PREFIX).await?;
    let slots = client.get_prefix(SLOT_PREFIX).await?;
    let start = FollowStart {
        daemons: daemons.revision.get(),
        slots: slots.revision.get(),
    };
    let entries = daemons.entries.into_iter().chain(slots.entries);
    let read = FleetRead {
        revision: start.daemons,
        entries: entries.map(entry_of).collect(),
    };
    Ok((read, start))
}

/// Turns a refusal with the given code into an answer.
fn accept_code(
    result: Result<StoreResponse, KvError>,
    accepted: i32,
    answer: StoreResponse,
) -> Result<StoreResponse, KvError> {
    match result {
        Err(error) => match error.get_failure() {
            KvFailure::Refused { code, .. } if *code == accepted => Ok(answer),
            _ => Err(error),
        },
        result => result,
    }
}

fn failure_of(error: &KvError) -> CallFailure {
    match (error.is_not_applied(), error.is_refused()) {
        (true, true) => CallFailure::Rejected,
        (true, false) => CallFailure::NotApplied,
        (false, _) => CallFailure::Unknown,
    }
}

fn entry_of(entry: KvEntry) -> KeyEntry {
    KeyEntry {
        key: entry.key,
        value: entry.value,
        revision: entry.mod_revision.get(),
    }
}

fn compare_of(condition: KeyCondition) -> KvCompare {
    match condition {
        KeyCondition::Revision { key, revision } => {
            KvCompare::mod_revision(key, KvRevision::new(revision))
        }
        KeyCondition::Lease { key, lease } => KvCompare::lease(key, LeaseId::new(lease)),
    }
}

fn add_write(txn: KvTxn, write: KeyWrite) -> KvTxn {
    let Some(value) = write.value else {
        return txn.delete(write.key);
    };
    let mut put = KvPut::new(write.key, value);
    if let Some(lease) = write.lease {
        put = put.lease(LeaseId::new(lease));
    }
    txn.put(put)
}

fn txn_of(write: ConditionalWrite) -> KvTxn {
    let conditions = write.conditions.into_iter().map(compare_of);
    let txn = conditions.fold(KvTxn::new(), KvTxn::when);
    let txn = write.writes.into_iter().fold(txn, add_write);
    let reads = write.failure_reads.into_iter();
    reads.fold(txn, KvTxn::otherwise_get)
}

fn outcome_of(outcome: KvTxnOutcome) -> WriteOutcome {
    let revision = outcome.revision.get();
    if outcome.is_applied {
        return WriteOutcome::Applied { revision };
    }
    WriteOutcome::ConditionFailed {
        revision,
        entries: outcome.entries.into_iter().map(entry_of).collect(),
    }
}
