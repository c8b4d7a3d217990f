//! History records as messages between daemons.

use ibisdale_core::ProgramId;
use ibisdale_fleet::proto;
use ibisdale_programs::{AppendStatus, ProgramRecord, RecordError, StoredRecord};

/// Renders a program's record for its holders; `epoch` is that of the owner who
/// appends it, which for an older record is not the one who wrote it.
pub(super) fn render_record(
    record: &ProgramRecord,
    epoch: u64,
) -> Result<proto::HistoryRecord, RecordError> {
    Ok(proto::HistoryRecord {
        program: bytes::Bytes::copy_from_slice(record.root.as_bytes()),
        slot: record.root.slot().get().into(),
        epoch,
        sequence: record.sequence,
        payload: record.to_bytes()?,
    })
}

/// Reads a record as a holder stores it; `None` when it is malformed.
pub(super) fn parse_stored(record: proto::HistoryRecord) -> Option<StoredRecord> {
    Some(StoredRecord {
        program: ProgramId::from_bytes(&record.program).ok()?,
        epoch: record.epoch,
        sequence: record.sequence,
        payload: record.payload,
    })
}

/// Renders a stored record.
pub(super) fn render_stored(record: StoredRecord) -> proto::HistoryRecord {
    proto::HistoryRecord {
        program: bytes::Bytes::copy_from_slice(record.program.as_bytes()),
        slot: record.program.slot().get().into(),
        epoch: record.epoch,
        sequence: record.sequence,
        payload: record.payload,
    }
}

/// Renders the result of an append.
pub(super) fn render_status(status: AppendStatus) -> proto::AppendStatus {
    match status {
        AppendStatus::Stored => proto::AppendStatus::Stored,
        AppendStatus::StaleEpoch => proto::AppendStatus::StaleEpoch,
        AppendStatus::Gap => proto::AppendStatus::Gap,
        AppendStatus::DiskFull => proto::AppendStatus::DiskFull,
        AppendStatus::DiskError => proto::AppendStatus::DiskError,
    }
}

/// Reads the result of an append; an unknown one counts as a failing disk.
pub(super) fn parse_status(status: i32) -> AppendStatus {
    match proto::AppendStatus::try_from(status) {
        Ok(proto::AppendStatus::Stored) => AppendStatus::Stored,
        Ok(proto::AppendStatus::StaleEpoch) => AppendStatus::StaleEpoch,
        Ok(proto::AppendStatus::Gap) => AppendStatus::Gap,
        Ok(proto::AppendStatus::DiskFull) => AppendStatus::DiskFull,
        _ => AppendStatus::DiskError,
    }
}
