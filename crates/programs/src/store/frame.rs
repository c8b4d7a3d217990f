//! Fields of the frames in a segment file of histories.

use ibisdale_core::{ProgramId, SlotId};
use ibisdale_segments::encode_frame;

const KIND_OFFSET: usize = 0;
const SLOT_OFFSET: usize = KIND_OFFSET + 1;
const EPOCH_OFFSET: usize = SLOT_OFFSET + 2;
const PROGRAM_OFFSET: usize = EPOCH_OFFSET + 8;
const SEQUENCE_OFFSET: usize = PROGRAM_OFFSET + 16;

/// Length of the encoded fields, in bytes.
pub(crate) const FIELD_BYTES: usize = SEQUENCE_OFFSET + 8;

const SEAL: u8 = 1;
const RECORD: u8 = 2;
const DROP: u8 = 3;

/// Type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// Rejects later appends to the slot with a lower epoch.
    Seal,
    /// One history record.
    Record {
        /// Identifier of the root program.
        program: ProgramId,
        /// Position in the program's history.
        sequence: u64,
    },
    /// Drops the program's history.
    Drop {
        /// Identifier of the root program.
        program: ProgramId,
    },
}

/// Slot, epoch and kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameFields {
    pub(crate) slot: SlotId,
    pub(crate) epoch: u64,
    pub(crate) kind: FrameKind,
}

/// Decodes fields; returns `None` if one is invalid.
pub(crate) fn decode_fields(bytes: &[u8; FIELD_BYTES]) -> Option<FrameFields> {
    let slot = SlotId::new(u16::from_le_bytes(field(bytes, SLOT_OFFSET))).ok()?;
    let epoch = u64::from_le_bytes(field(bytes, EPOCH_OFFSET));
    let program = || ProgramId::from_bytes(&bytes[PROGRAM_OFFSET..SEQUENCE_OFFSET]).ok();
    let kind = match bytes[KIND_OFFSET] {
        SEAL => FrameKind::Seal,
        RECORD => FrameKind::Record {
            program: program()?,
            sequence: u64::from_le_bytes(field(bytes, SEQUENCE_OFFSET)),
        },
        DROP => FrameKind::Drop {
            program: program()?,
        },
        _ => return None,
    };
    Some(FrameFields { slot, epoch, kind })
}

fn field<const N: usize>(bytes: &[u8; FIELD_BYTES], start: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&bytes[start..start + N]);
    field
}

/// Encodes a frame and appends it to `buffer`.
pub(crate) fn encode(fields: FrameFields, payload: &[u8], buffer: &mut Vec<u8>) {
    let mut bytes = [0; FIELD_BYTES];
    let (kind, program, sequence) = match fields.kind {
        FrameKind::Seal => (SEAL, None, 0),
        FrameKind::Record { program, sequence } => (RECORD, Some(program), sequence),
        FrameKind::Drop { program } => (DROP, Some(program), 0),
    };
    bytes[KIND_OFFSET] = kind;
    bytes[SLOT_OFFSET..EPOCH_OFFSET].copy_from_slice(&fields.slot.get().to_le_bytes());
    bytes[EPOCH_OFFSET..PROGRAM_OFFSET].copy_from_slice(&fields.epoch.to_le_bytes());
    if let Some(program) = program {
        bytes[PROGRAM_OFFSET..SEQUENCE_OFFSET].copy_from_slice(program.as_bytes());
    }
    bytes[SEQUENCE_OFFSET..].copy_from_slice(&sequence.to_le_bytes());
    encode_frame(&bytes, payload, buffer);
}
