//! Binary format of the frames in a segment file.

use ibisdale_core::{ProgramId, SlotId};

const KIND_OFFSET: usize = 4;
const SLOT_OFFSET: usize = KIND_OFFSET + 1;
const EPOCH_OFFSET: usize = SLOT_OFFSET + 2;
const PROGRAM_OFFSET: usize = EPOCH_OFFSET + 8;
const SEQUENCE_OFFSET: usize = PROGRAM_OFFSET + 16;
const PAYLOAD_CRC_OFFSET: usize = SEQUENCE_OFFSET + 8;
const HEADER_CRC_OFFSET: usize = PAYLOAD_CRC_OFFSET + 4;

/// Length of a frame header, in bytes.
pub(crate) const HEADER_BYTES: usize = HEADER_CRC_OFFSET + 4;

/// Maximum payload length, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

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

/// Frame header with a valid checksum, and the payload's length and checksum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHeader {
    pub(crate) fields: FrameFields,
    pub(crate) payload_length: usize,
    payload_crc: u32,
}

impl FrameHeader {
    /// Decodes a header; returns `None` if its checksum or a field is invalid.
    ///
    /// The header has its own checksum, so that its length field can be trusted
    /// even if the payload is damaged.
    pub(crate) fn decode(bytes: &[u8; HEADER_BYTES]) -> Option<Self> {
        let crc = u32::from_le_bytes(field(bytes, HEADER_CRC_OFFSET));
        if crc != crc32fast::hash(&bytes[..HEADER_CRC_OFFSET]) {
            return None;
        }
        let length = u32::from_le_bytes(field(bytes, 0));
        Some(Self {
            fields: decode_fields(bytes)?,
            payload_length: usize::try_from(length).ok()?,
            payload_crc: u32::from_le_bytes(field(bytes, PAYLOAD_CRC_OFFSET)),
        })
    }

    /// Returns whether the payload matches its checksum.
    pub(crate) fn payload_matches(&self, payload: &[u8]) -> bool {
        self.payload_crc == crc32fast::hash(payload)
    }

    /// Returns the length of the header and payload, in bytes.
    pub(crate) const fn frame_length(&self) -> usize {
        HEADER_BYTES + self.payload_length
    }
}

fn decode_fields(bytes: &[u8; HEADER_BYTES]) -> Option<FrameFields> {
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

fn field<const N: usize>(bytes: &[u8; HEADER_BYTES], start: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&bytes[start..start + N]);
    field
}

/// Encodes a frame and appends it to `buffer`.
pub(crate) fn encode(fields: FrameFields, payload: &[u8], buffer: &mut Vec<u8>) {
    let mut bytes = [0; HEADER_BYTES];
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let (kind, program, sequence) = match fields.kind {
        FrameKind::Seal => (SEAL, None, 0),
        FrameKind::Record { program, sequence } => (RECORD, Some(program), sequence),
        FrameKind::Drop { program } => (DROP, Some(program), 0),
    };
    bytes[..KIND_OFFSET].copy_from_slice(&length.to_le_bytes());
    bytes[KIND_OFFSET] = kind;
    bytes[SLOT_OFFSET..EPOCH_OFFSET].copy_from_slice(&fields.slot.get().to_le_bytes());
    bytes[EPOCH_OFFSET..PROGRAM_OFFSET].copy_from_slice(&fields.epoch.to_le_bytes());
    if let Some(program) = program {
        bytes[PROGRAM_OFFSET..SEQUENCE_OFFSET].copy_from_slice(program.as_bytes());
    }
    bytes[SEQUENCE_OFFSET..PAYLOAD_CRC_OFFSET].copy_from_slice(&sequence.to_le_bytes());
    let payload_crc = crc32fast::hash(payload);
    bytes[PAYLOAD_CRC_OFFSET..HEADER_CRC_OFFSET].copy_from_slice(&payload_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&bytes[..HEADER_CRC_OFFSET]);
    bytes[HEADER_CRC_OFFSET..].copy_from_slice(&header_crc.to_le_bytes());
    buffer.extend_from_slice(&bytes);
    buffer.extend_from_slice(payload);
}
