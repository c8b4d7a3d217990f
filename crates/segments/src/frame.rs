//! Binary format of the frames in a segment file.
//!
//! A frame is a header and a payload. The header holds the length of the payload, the
//! fields of the store, and CRC32 checksums of the payload and of the header itself.

/// Maximum payload length, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;

const FIELDS_OFFSET: usize = 4;
/// Length of the two checksums at the end of a header, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// Returns the length of a header with `FIELDS` bytes of fields, in bytes.
#[must_use]
pub const fn frame_overhead<const FIELDS: usize>() -> usize {
    FIELDS_OFFSET + FIELDS + CHECKSUM_BYTES
}

/// Frame header with a valid checksum, and the payload's length and checksum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FrameHeader<const FIELDS: usize> {
    pub(crate) fields: [u8; FIELDS],
    pub(crate) payload_length: usize,
    payload_crc: u32,
}

impl<const FIELDS: usize> FrameHeader<FIELDS> {
    /// Decodes a header of [`frame_overhead`] bytes; returns `None` if its checksum is
    /// invalid.
    ///
    /// The header has its own checksum, so that its length field can be trusted
    /// even if the payload is damaged.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        let (covered, header_crc) = bytes.split_last_chunk::<4>()?;
        if u32::from_le_bytes(*header_crc) != crc32fast::hash(covered) {
            return None;
        }
        let (length, rest) = covered.split_first_chunk::<FIELDS_OFFSET>()?;
        let (fields, payload_crc) = rest.split_first_chunk::<FIELDS>()?;
        Some(Self {
            fields: *fields,
            payload_length: usize::try_from(u32::from_le_bytes(*length)).ok()?,
            payload_crc: u32::from_le_bytes(payload_crc.try_into().ok()?),
        })
    }

    /// Returns whether the payload matches its checksum.
    pub(crate) fn payload_matches(&self, payload: &[u8]) -> bool {
        self.payload_crc == crc32fast::hash(payload)
    }

    /// Returns the length of the header and payload, in bytes.
    pub(crate) const fn frame_length(&self) -> usize {
        frame_overhead::<FIELDS>() + self.payload_length
    }
}

/// Encodes a frame and appends it to `buffer`.
pub fn encode_frame<const FIELDS: usize>(
    fields: &[u8; FIELDS],
    payload: &[u8],
    buffer: &mut Vec<u8>,
) {
    let start = buffer.len();
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(fields);
    buffer.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    let header_crc = crc32fast::hash(&buffer[start..]);
    buffer.extend_from_slice(&header_crc.to_le_bytes());
    buffer.extend_from_slice(payload);
}
