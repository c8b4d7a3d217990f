//! Scalars whose JSON form differs from Rust's.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64-bit integer, which JSON carries as a decimal string.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Int64(pub i64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

struct IntVisitor;

impl Visitor<'_> for IntVisitor {
    type Value = Int64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an integer or its decimal string")
    }

    fn visit_i64<E: de::Error>(self, value: i64) -> Result<Int64, E> {
        Ok(Int64(value))
    }

    fn visit_u64<E: de::Error>(self, value: u64) -> Result<Int64, E> {
        i64::try_from(value).map(Int64).map_err(E::custom)
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Int64, E> {
        value.parse().map(Int64).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(IntVisitor)
    }
}

/// Bytes, which JSON carries in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Base64Bytes(pub Bytes);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = Base64Bytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes in base64")
    }

    fn visit_str<E: de::Error>(self, value: &str) -> Result<Base64Bytes, E> {
        let bytes = STANDARD.decode(value).map_err(E::custom)?;
        Ok(Base64Bytes(Bytes::from(bytes)))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(BytesVisitor)
    }
}

impl<T: Into<Bytes>> From<T> for Base64Bytes {
    fn from(bytes: T) -> Self {
        Self(bytes.into())
    }
}
