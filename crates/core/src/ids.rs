//! Identifiers of programs, slots, steps and requests.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Number of slots that programs are distributed over.
///
/// The key-value service holds one record per slot.
pub const SLOT_COUNT: u16 = 1_024;

const ID_BYTES: usize = 16;

/// Reason why an identifier or a history digest is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum IdError {
    /// The input does not have the expected form, which is 32 hexadecimal digits for
    /// an identifier.
    #[snafu(display("an identifier is 32 hexadecimal digits"))]
    Malformed,
    /// The slot number is not below [`SLOT_COUNT`].
    #[snafu(display("slot {slot} does not exist, slots end at {}", SLOT_COUNT - 1))]
    UnknownSlot {
        /// The rejected slot number.
        slot: u16,
    },
}

/// Identifier of one of the [`SLOT_COUNT`] slots that programs are distributed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct SlotId(u16);

impl SlotId {
    /// Creates a slot identifier.
    ///
    /// # Errors
    ///
    /// Returns an error if `slot` is not below [`SLOT_COUNT`].
    pub const fn new(slot: u16) -> Result<Self, IdError> {
        if slot < SLOT_COUNT {
            Ok(Self(slot))
        } else {
            Err(IdError::UnknownSlot { slot })
        }
    }

    /// Returns the slot that a name hashes to.
    ///
    /// The owner of that slot grants credit for a part of a workspace's or
    /// program's rate limit.
    #[must_use]
    pub fn from_name(name: &[u8]) -> Self {
        let hash = blake3::hash(name);
        let bytes = hash.as_bytes();
        Self(u16::from_be_bytes([bytes[0], bytes[1]]) % SLOT_COUNT)
    }

    /// Returns the slot number, which is below [`SLOT_COUNT`].
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Returns an iterator over all slots in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOT_COUNT).map(Self)
    }
}

impl TryFrom<u16> for SlotId {
    type Error = IdError;

    fn try_from(slot: u16) -> Result<Self, IdError> {
        Self::new(slot)
    }
}

impl From<SlotId> for u16 {
    fn from(slot: SlotId) -> Self {
        slot.0
    }
}

/// Identifier of a program, unique across the fleet.
///
/// The first two bytes are the slot number in big-endian order; the other fourteen
/// are random. The text form is 32 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ProgramId([u8; ID_BYTES]);

impl ProgramId {
    /// Generates a random identifier in `slot`.
    pub fn generate(slot: SlotId, random: &mut impl RngCore) -> Self {
        let mut bytes = [0; ID_BYTES];
        random.fill_bytes(&mut bytes);
        bytes[..2].copy_from_slice(&slot.get().to_be_bytes());
        Self(bytes)
    }

    /// Creates an identifier from its sixteen bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not sixteen bytes long or the slot does not exist.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, IdError> {
        let bytes: [u8; ID_BYTES] = bytes.try_into().map_err(|_| IdError::Malformed)?;
        SlotId::new(u16::from_be_bytes([bytes[0], bytes[1]]))?;
        Ok(Self(bytes))
    }

    /// Returns the sixteen bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; ID_BYTES] {
        &self.0
    }

    /// Returns the program's slot; the owner of the slot owns the program.
    #[must_use]
    pub fn slot(self) -> SlotId {
        SlotId(u16::from_be_bytes([self.0[0], self.0[1]]))
    }
}

impl FromStr for ProgramId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.bytes().any(|byte| byte.is_ascii_uppercase()) {
            return Err(IdError::Malformed);
        }
        let mut bytes = [0; ID_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| IdError::Malformed)?;
        Self::from_bytes(&bytes)
    }
}

impl fmt::Display for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for ProgramId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "ProgramId({self})")
    }
}

impl TryFrom<String> for ProgramId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<ProgramId> for String {
    fn from(id: ProgramId) -> Self {
        id.to_string()
    }
}

/// Number of a step within its program, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct StepNumber(u32);

impl StepNumber {
    /// The first step of a program.
    pub const FIRST: Self = Self(1);

    /// Creates a step number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the step number as an integer.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the following step, saturating at `u32::MAX`.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for StepNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Identifier of a request in responses, logs and traces.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestId([u8; ID_BYTES]);

impl RequestId {
    /// Generates a random identifier.
    pub fn generate(random: &mut impl RngCore) -> Self {
        let mut bytes = [0; ID_BYTES];
        random.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// Returns the sixteen bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; ID_BYTES] {
        &self.0
    }
}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let mut bytes = [0; ID_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| IdError::Malformed)?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestId({self})")
    }
}

impl TryFrom<String> for RequestId {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}
