//! Values and their parsing.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use ibisdale_core::{NameError, WorkspaceName};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::key_hash::KeyHash;
use crate::table::spec::ValueKind;

const THOUSANDTHS_PER_UNIT: u64 = 1_000;
const DECIMAL_PLACES: usize = 3;
const YES: &str = "yes";
const NO: &str = "no";

/// A fixed-point number with three decimal places, stored in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Deserialize, Serialize)]
#[serde(transparent)]
pub struct FixedDecimal(u64);

impl FixedDecimal {
    /// Creates a number from a count of thousandths.
    #[must_use]
    pub const fn from_thousandths(thousandths: u64) -> Self {
        Self(thousandths)
    }

    /// Returns the number as a count of thousandths.
    #[must_use]
    pub const fn as_thousandths(self) -> u64 {
        self.0
    }

    /// Converts the number to floating point.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "the largest setting is far below 2^52 thousandths"
    )]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / THOUSANDTHS_PER_UNIT as f64
    }
}

impl FromStr for FixedDecimal {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
        if !is_digits(whole) || !is_digits(decimals) || decimals.len() > DECIMAL_PLACES {
            return Err(ValueError::Decimal);
        }
        let whole: u64 = whole.parse().map_err(|_| ValueError::Decimal)?;
        let decimals: u64 = format!("{decimals:0<DECIMAL_PLACES$}")
            .parse()
            .map_err(|_| ValueError::Decimal)?;
        whole
            .checked_mul(THOUSANDTHS_PER_UNIT)
            .and_then(|thousandths| thousandths.checked_add(decimals))
            .map(Self)
            .ok_or(ValueError::Decimal)
    }
}

impl fmt::Display for FixedDecimal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.0 / THOUSANDTHS_PER_UNIT;
        let decimals = self.0 % THOUSANDTHS_PER_UNIT;
        if decimals == 0 {
            return write!(formatter, "{whole}");
        }
        let decimals = format!("{decimals:0>DECIMAL_PLACES$}");
        write!(formatter, "{whole}.{}", decimals.trim_end_matches('0'))
    }
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Error returned for an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum ValueError {
    /// Not a whole number.
    #[snafu(display("expected a whole number"))]
    Integer,
    /// Not a number with up to three decimal places.
    #[snafu(display("expected a number with at most three decimal places"))]
    Decimal,
    /// The number is outside its range.
    #[snafu(display("expected a number from {min} to {max}"))]
    Range {
        /// Smallest value.
        min: String,
        /// Largest value.
        max: String,
    },
    /// Neither `yes` nor `no`.
    #[snafu(display("expected 'yes' or 'no'"))]
    Flag,
    /// Not one of the allowed words.
    #[snafu(display("expected one of {}", allowed.join(", ")))]
    Choice {
        /// The allowed words.
        allowed: &'static [&'static str],
    },
    /// Not a valid name.
    #[snafu(display("{source}"))]
    Name {
        /// Why the name is invalid.
        source: NameError,
    },
    /// Not a key hash.
    #[snafu(display("expected 'blake3:' followed by 64 hexadecimal digits"))]
    KeyHash,
    /// The path is empty or contains a NUL character.
    #[snafu(display("expected a path that is not empty and contains no NUL character"))]
    FilePath,
    /// Not a URL path.
    #[snafu(display(
        "expected a URL path that starts with '/' and contains only visible ASCII characters except '?' and '#'"
    ))]
    UrlPath,
    /// Not an IP address with a nonzero port.
    #[snafu(display("expected an IP address and nonzero port, such as 127.0.0.1:7101"))]
    Address,
    /// A name or address is listed more than once.
    #[snafu(display("'{item}' is listed more than once"))]
    Repeated {
        /// The repeated item.
        item: String,
    },
}

/// A parsed and validated value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SettingValue {
    Integer(u64),
    Decimal(FixedDecimal),
    Flag(bool),
    Text(String),
    Names(Vec<String>),
    KeyHash(KeyHash),
    Addresses(Vec<SocketAddr>),
}

impl ValueKind {
    /// Checks `text` against this kind.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid value of this kind.
    pub fn check(self, text: &str) -> Result<(), ValueError> {
        self.parse(text).map(drop)
    }

    pub(crate) fn parse(self, text: &str) -> Result<SettingValue, ValueError> {
        match self {
            Self::Integer { min, max } => parse_integer(text, min, max),
            Self::Decimal { min, max } => parse_decimal(text, min, max),
            Self::Flag => parse_flag(text),
            Self::Choice(allowed) => parse_choice(text, allowed),
            Self::Name => check_name(text).map(|()| SettingValue::Text(text.to_owned())),
            Self::GroupName => parse_group_name(text),
            Self::References(_) => parse_names(text),
            Self::KeyHash => text.parse().map(SettingValue::KeyHash),
            Self::FilePath => parse_file_path(text),
            Self::UrlPath => parse_url_path(text),
            Self::Address => {
                parse_address(text).map(|address| SettingValue::Addresses(vec![address]))
            }
            Self::Addresses => parse_addresses(text),
        }
    }
}

fn parse_integer(text: &str, min: u64, max: u64) -> Result<SettingValue, ValueError> {
    if !is_digits(text) {
        return Err(ValueError::Integer);
    }
    // A number that overflows becomes the maximum, which is outside every range.
    let number = text.parse().unwrap_or(u64::MAX);
    check_range(&number, &min, &max)?;
    Ok(SettingValue::Integer(number))
}

fn parse_decimal(
    text: &str,
    min: FixedDecimal,
    max: FixedDecimal,
) -> Result<SettingValue, ValueError> {
    let number = text.parse()?;
    check_range(&number, &min, &max)?;
    Ok(SettingValue::Decimal(number))
}

fn check_range<T: PartialOrd + ToString>(number: &T, min: &T, max: &T) -> Result<(), ValueError> {
    if number >= min && number <= max {
        return Ok(());
    }
    Err(ValueError::Range {
        min: min.to_string(),
        max: max.to_string(),
    })
}

fn parse_flag(text: &str) -> Result<SettingValue, ValueError> {
    match text {
        YES => Ok(SettingValue::Flag(true)),
        NO => Ok(SettingValue::Flag(false)),
        _ => Err(ValueError::Flag),
    }
}

fn parse_choice(text: &str, allowed: &'static [&'static str]) -> Result<SettingValue, ValueError> {
    if allowed.contains(&text) {
        return Ok(SettingValue::Text(text.to_owned()));
    }
    Err(ValueError::Choice { allowed })
}

fn check_name(text: &str) -> Result<(), ValueError> {
    // Workspace names follow the same rule as all other names.
    match WorkspaceName::new(text.to_owned()) {
        Ok(_) => Ok(()),
        Err(source) => Err(ValueError::Name { source }),
    }
}

fn parse_group_name(text: &str) -> Result<SettingValue, ValueError> {
    for name in text.split('/') {
        check_name(name)?;
    }
    Ok(SettingValue::Text(text.to_owned()))
}

fn parse_names(text: &str) -> Result<SettingValue, ValueError> {
    let mut names: Vec<String> = Vec::new();
    for name in split_list(text) {
        check_name(name)?;
        if names.iter().any(|known| known == name) {
            return Err(ValueError::Repeated {
                item: name.to_owned(),
            });
        }
        names.push(name.to_owned());
    }
    Ok(SettingValue::Names(names))
}

/// Splits a comma-separated list; an empty text is an empty list.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    let is_empty = text.is_empty();
    text.split(',').map(str::trim).filter(move |_| !is_empty)
}

fn parse_file_path(text: &str) -> Result<SettingValue, ValueError> {
    if text.is_empty() || text.contains('\0') {
        return Err(ValueError::FilePath);
    }
    Ok(SettingValue::Text(text.to_owned()))
}

fn parse_url_path(text: &str) -> Result<SettingValue, ValueError> {
    let is_allowed_byte = |byte: u8| byte.is_ascii_graphic() && !b"?#".contains(&byte);
    if text.starts_with('/') && text.bytes().all(is_allowed_byte) {
        return Ok(SettingValue::Text(text.to_owned()));
    }
    Err(ValueError::UrlPath)
}

fn parse_address(text: &str) -> Result<SocketAddr, ValueError> {
    let address: SocketAddr = text.parse().map_err(|_| ValueError::Address)?;
    if address.port() == 0 {
        return Err(ValueError::Address);
    }
    Ok(address)
}

fn parse_addresses(text: &str) -> Result<SettingValue, ValueError> {
    let mut addresses = Vec::new();
    for item in text.split(',').map(str::trim) {
        let address = parse_address(item)?;
        if addresses.contains(&address) {
            return Err(ValueError::Repeated {
                item: item.to_owned(),
            });
        }
        addresses.push(address);
    }
    Ok(SettingValue::Addresses(addresses))
}
