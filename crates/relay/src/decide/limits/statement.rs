//! What a response says of its replica's limit.

/// Lowest limit, in requests per second; a lower one is raised to it, since only the response
/// to a request can tell that the limit has ended.
const LIMIT_MIN_PER_S: f64 = 0.25;
/// Highest limit, in requests per second; a higher one is lowered to it.
const LIMIT_MAX_PER_S: f64 = 1_000_000.0;

/// What a response says of its replica's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitStatement {
    /// The response names no limit.
    Absent,
    /// The response names a limit that can't be read.
    Unreadable,
    /// The replica takes this many requests per second from all VMs together.
    PerSecond(f64),
}

impl LimitStatement {
    /// Reads the values of all headers that name the limit.
    ///
    /// A limit is one header with one decimal number of at least 0, which consists of digits
    /// with at most one point between them. Anything else is unreadable.
    #[must_use]
    pub fn read<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Self {
        let Some(value) = values.next() else {
            return Self::Absent;
        };
        if values.next().is_some() {
            return Self::Unreadable;
        }
        match read_decimal(value.trim_ascii()) {
            Some(limit) => Self::PerSecond(limit.clamp(LIMIT_MIN_PER_S, LIMIT_MAX_PER_S)),
            None => Self::Unreadable,
        }
    }
}

fn read_decimal(value: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(value).ok()?;
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_number = |digits: &str| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
    if is_number(whole) && is_number(fraction) {
        text.parse().ok()
    } else {
        None
    }
}
