//! Reading the histories of a slot back after a takeover.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::StreamExt;
use ibisdale_core::{ProgramId, SlotId};
use ibisdale_fleet::proto::{ReadHistoryRequest, SealHistoryRequest};
use ibisdale_fleet::{FleetError, FleetLinks};
use ibisdale_programs::{HistoryCompleteness, ProgramRecord};

use crate::members::MemberSnapshot;

/// Time in which a holder must seal a slot.
const SEAL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a holder must hand over a slot's histories.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// What was read back of a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SlotRecovery {
    /// The longest history found of each root program.
    pub(crate) histories: Vec<Vec<ProgramRecord>>,
    /// Whether every known holder was read.
    pub(crate) completeness: HistoryCompleteness,
}

impl SlotRecovery {
    /// Creates the recovery of a slot that never had an owner.
    pub(crate) fn new_slot() -> Self {
        Self {
            histories: Vec::new(),
            completeness: HistoryCompleteness::Whole,
        }
    }
}

/// Seals a slot at all holders, so that its old owner can store nothing more,
/// and reads its histories.
pub(crate) async fn recover_slot(
    links: &FleetLinks,
    members: &MemberSnapshot,
    slot: SlotId,
    epoch: u64,
) -> SlotRecovery {
    let mut found: BTreeMap<ProgramId, Vec<ProgramRecord>> = BTreeMap::new();
    let mut completeness = HistoryCompleteness::Whole;
    let all = members.own.iter().chain(&members.others);
    let holders: Vec<_> = all.filter(|update| update.facts.is_holder).collect();
    if holders.is_empty() {
        completeness = HistoryCompleteness::Incomplete;
    }
    for holder in holders {
        let address = holder.facts.fleet_address;
        match read_holder(links, address, slot, epoch).await {
            Ok(records) => keep_longest(&mut found, records),
            Err(_) => completeness = HistoryCompleteness::Incomplete,
        }
    }
    SlotRecovery {
        histories: found.into_values().collect(),
        completeness,
    }
}

async fn read_holder(
    links: &FleetLinks,
    address: SocketAddr,
    slot: SlotId,
    epoch: u64,
) -> Result<Vec<ProgramRecord>, FleetError> {
    let slot = u32::from(slot.get());
    let seal = SealHistoryRequest {
        slot,
        epoch,
        ..SealHistoryRequest::default()
    };
    let sealed = links.seal_history(address, seal, SEAL_TIMEOUT).await?;
    if !sealed.sealed {
        return Err(FleetError::Refused {
            message: "a later owner has the slot".to_owned(),
        });
    }
    let request = ReadHistoryRequest {
        slot,
        ..ReadHistoryRequest::default()
    };
    let mut stream = links.read_history(address, request, READ_TIMEOUT).await?;
    let mut records = Vec::new();
    while let Some(record) = stream.next().await {
        let record = ProgramRecord::from_bytes(&record?.payload);
        records.push(record.map_err(|_| FleetError::Malformed {
            detail: "history record",
        })?);
    }
    Ok(records)
}

/// Adds one holder's records; a longer history replaces a shorter one.
fn keep_longest(found: &mut BTreeMap<ProgramId, Vec<ProgramRecord>>, records: Vec<ProgramRecord>) {
    let mut own: BTreeMap<ProgramId, Vec<ProgramRecord>> = BTreeMap::new();
    for record in records {
        own.entry(record.root).or_default().push(record);
    }
    for (root, history) in own {
        let known = found.entry(root).or_default();
        if history.len() > known.len() {
            *known = history;
        }
    }
}
