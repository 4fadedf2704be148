//! The rate that an upstream names, read from text.

/// Longest text that is read as a rate, in bytes.
const MAX_TEXT_BYTES: usize = 32;

/// Lowest rate that is used, in requests a second: an upstream that names a lower one, or zero, is asked
/// now and then all the same, since only its answers show when it takes more.
const MIN_PER_SECOND: f64 = 0.1;

/// Highest rate that is used, in requests a second; more is no limit in effect.
const MAX_PER_SECOND: f64 = 1e6;

/// Requests a second that an upstream takes from all instances together.
///
/// ```
/// use vanillakeel::rate_limits::Rate;
///
/// assert_eq!(Rate::parse("1.9").map(Rate::per_second), Ok(1.9));
/// assert!(Rate::parse("-1").is_err());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

/// Why a text is no rate.
///
/// The doc comment of each variant is its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadRate {
    /// it is longer than 32 bytes
    TooLong,
    /// it is not a decimal number of 0 or more
    NotDecimal,
}

impl std::error::Error for BadRate {}

impl Rate {
    /// Creates a rate from requests a second, which is raised to 0.1 and cut to a million.
    ///
    /// Returns `None` for a number that is negative or not finite.
    #[must_use]
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(per_second.clamp(MIN_PER_SECOND, MAX_PER_SECOND)))
    }

    /// Reads a decimal number of requests a second, such as `12` or `1.9`.
    ///
    /// # Errors
    ///
    /// Returns an error for anything else: signs, exponents, names of numbers that are not finite.
    pub fn parse(text: &str) -> Result<Self, BadRate> {
        let text = text.trim();
        if text.len() > MAX_TEXT_BYTES {
            return Err(BadRate::TooLong);
        }
        let has_digit = text.bytes().any(|b| b.is_ascii_digit());
        let is_decimal = has_digit && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let number = text.parse().ok().filter(|_| is_decimal);
        number.and_then(Self::new).ok_or(BadRate::NotDecimal)
    }

    /// Reads the values of the header that names a rate and returns the lowest one; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the values can't be read.
    pub fn lowest_of<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<Self>, BadRate> {
        let mut lowest: Option<Self> = None;
        for value in values {
            let text = std::str::from_utf8(value).map_err(|_| BadRate::NotDecimal)?;
            let rate = Self::parse(text)?;
            lowest = Some(lowest.map_or(rate, |l| if rate < l { rate } else { l }));
        }
        Ok(lowest)
    }

    /// Returns the requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}
