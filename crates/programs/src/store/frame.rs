//! Frames of a segment file.

use ibisdale_core::{ProgramId, SlotId};

const KIND_AT: usize = 4;
const SLOT_AT: usize = KIND_AT + 1;
const EPOCH_AT: usize = SLOT_AT + 2;
const PROGRAM_AT: usize = EPOCH_AT + 8;
const SEQUENCE_AT: usize = PROGRAM_AT + 16;
const PAYLOAD_CRC_AT: usize = SEQUENCE_AT + 8;
const HEADER_CRC_AT: usize = PAYLOAD_CRC_AT + 4;

/// Bytes of a frame before its payload.
pub(crate) const HEADER_BYTES: usize = HEADER_CRC_AT + 4;

/// Longest payload, in bytes.
pub(crate) const PAYLOAD_MAX_BYTES: usize = 64 * 1024 * 1024;

const SEAL: u8 = 1;
const RECORD: u8 = 2;
const DROP: u8 = 3;

/// What a frame says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// Appends below the epoch are refused for the slot.
    Seal,
    /// One history record.
    Record {
        /// The root program.
        program: ProgramId,
        /// Position in the program's history.
        sequence: u64,
    },
    /// The program's history is dropped.
    Drop {
        /// The root program.
        program: ProgramId,
    },
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    pub(crate) slot: SlotId,
    pub(crate) epoch: u64,
    pub(crate) kind: FrameKind,
}

/// Header as read, with what is needed to check the payload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckedHeader {
    pub(crate) header: FrameHeader,
    pub(crate) payload_length: usize,
    payload_crc: u32,
}

impl CheckedHeader {
    /// Reads a header, unless its checksum or a field of it is wrong.
    ///
    /// The header has its own checksum, so that its length can be trusted when
    /// the payload is damaged.
    pub(crate) fn decode(bytes: &[u8; HEADER_BYTES]) -> Option<Self> {
        let crc = u32::from_le_bytes(field(bytes, HEADER_CRC_AT));
        if crc != crc32fast::hash(&bytes[..HEADER_CRC_AT]) {
            return None;
        }
        let length = u32::from_le_bytes(field(bytes, 0));
        Some(Self {
            header: decode_fields(bytes)?,
            payload_length: usize::try_from(length).ok()?,
            payload_crc: u32::from_le_bytes(field(bytes, PAYLOAD_CRC_AT)),
        })
    }

    /// Tells whether the payload is the one that was written.
    pub(crate) fn is_payload(&self, payload: &[u8]) -> bool {
        self.payload_crc == crc32fast::hash(payload)
    }

    /// Returns the frame's length, in bytes.
    pub(crate) const fn frame_length(&self) -> usize {
        HEADER_BYTES + self.payload_length
    }
}

fn decode_fields(bytes: &[u8; HEADER_BYTES]) -> Option<FrameHeader> {
    let slot = SlotId::new(u16::from_le_bytes(field(bytes, SLOT_AT))).ok()?;
    let epoch = u64::from_le_bytes(field(bytes, EPOCH_AT));
    let program = || ProgramId::from_bytes(&bytes[PROGRAM_AT..SEQUENCE_AT]).ok();
    let kind = match bytes[KIND_AT] {
        SEAL => FrameKind::Seal,
        RECORD => FrameKind::Record {
            program: program()?,
            sequence: u64::from_le_bytes(field(bytes, SEQUENCE_AT)),
        },
        DROP => FrameKind::Drop {
            program: program()?,
        },
        _ => return None,
    };
    Some(FrameHeader { slot, epoch, kind })
}

fn field<const N: usize>(bytes: &[u8; HEADER_BYTES], start: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&bytes[start..start + N]);
    field
}

/// Appends a frame to `buffer`.
pub(crate) fn encode(header: FrameHeader, payload: &[u8], buffer: &mut Vec<u8>) {
    let mut bytes = [0; HEADER_BYTES];
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let (kind, program, sequence) = match header.kind {
        FrameKind::Seal => (SEAL, None, 0),
        FrameKind::Record { program, sequence } => (RECORD, Some(program), sequence),
        FrameKind::Drop { program } => (DROP, Some(program), 0),
    };
    bytes[..KIND_AT].copy_from_slice(&length.to_le_bytes());
    bytes[KIND_AT] = kind;
    bytes[SLOT_AT..EPOCH_AT].copy_from_slice(&header.slot.get().to_le_bytes());
    bytes[EPOCH_AT..PROGRAM_AT].copy_from_slice(&header.epoch.to_le_bytes());
    if let Some(program) = program {
        bytes[PROGRAM_AT..SEQUENCE_AT].copy_from_slice(program.as_bytes());
    }
    bytes[SEQUENCE_AT..PAYLOAD_CRC_AT].copy_from_slice(&sequence.to_le_bytes());
    let payload_crc = crc32fast::hash(payload);
    bytes[PAYLOAD_CRC_AT..HEADER_CRC_AT].copy_from_slice(&payload_crc.to_le_bytes());
    let header_crc = crc32fast::hash(&bytes[..HEADER_CRC_AT]);
    bytes[HEADER_CRC_AT..].copy_from_slice(&header_crc.to_le_bytes());
    buffer.extend_from_slice(&bytes);
    buffer.extend_from_slice(payload);
}
