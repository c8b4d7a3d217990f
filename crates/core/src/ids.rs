//! Identifiers of programs, slots, steps and requests.

use std::fmt;
use std::str::FromStr;

use rand::RngCore;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Number of slots that programs are spread over.
///
/// One record a slot is kept in the key-value service.
pub const SLOT_COUNT: u16 = 1_024;

const ID_BYTES: usize = 16;

/// Tells why an identifier is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum IdError {
    /// The text is not 32 lower-case hexadecimal digits.
    #[snafu(display("an identifier is 32 hexadecimal digits"))]
    Malformed,
    /// The slot part is outside the slots in use.
    #[snafu(display("slot {slot} does not exist, slots end at {}", SLOT_COUNT - 1))]
    UnknownSlot {
        /// The rejected slot.
        slot: u16,
    },
}

/// Names one of the [`SLOT_COUNT`] slots that programs are spread over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "u16", into = "u16")]
pub struct SlotId(u16);

impl SlotId {
    /// Creates a slot identifier.
    ///
    /// # Errors
    ///
    /// Fails when the number is not below [`SLOT_COUNT`].
    pub const fn new(slot: u16) -> Result<Self, IdError> {
        if slot < SLOT_COUNT {
            Ok(Self(slot))
        } else {
            Err(IdError::UnknownSlot { slot })
        }
    }

    /// Returns the slot that a name hashes to.
    ///
    /// Used for the home of a workspace's rate credit.
    #[must_use]
    pub fn from_name(name: &[u8]) -> Self {
        let hash = blake3::hash(name);
        let bytes = hash.as_bytes();
        Self(u16::from_be_bytes([bytes[0], bytes[1]]) % SLOT_COUNT)
    }

    /// Returns the slot's number, below [`SLOT_COUNT`].
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Iterates over all slots in order.
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

/// Identifies a program across the fleet.
///
/// The first two bytes are the slot, the other fourteen are random. In text
/// form it is 32 lower-case hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ProgramId([u8; ID_BYTES]);

impl ProgramId {
    /// Creates a random identifier that belongs to `slot`.
    pub fn generate(slot: SlotId, random: &mut impl RngCore) -> Self {
        let mut bytes = [0; ID_BYTES];
        random.fill_bytes(&mut bytes);
        bytes[..2].copy_from_slice(&slot.get().to_be_bytes());
        Self(bytes)
    }

    /// Reads an identifier from its sixteen bytes.
    ///
    /// # Errors
    ///
    /// Fails when there are not sixteen bytes or the slot does not exist.
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

    /// Returns the slot whose owner owns the program.
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

/// Numbers a step within its program, from 1.
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

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the step that follows.
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

/// Identifies one request in answers, logs and traces.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestId([u8; ID_BYTES]);

impl RequestId {
    /// Creates a random identifier.
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
