//! What the head of one answer says.

/// Longest text that is read as a time, in bytes.
const MAX_TEXT_BYTES: usize = 32;

/// What the head of one answer says about whether its upstream takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream leaves.
    pub is_leaving: bool,
    /// Time for which it wants no request from this instance, in ms.
    pub pause_ms: Option<u64>,
}

impl Notice {
    /// Returns whether the upstream wants no further request, now or at all.
    #[must_use]
    pub const fn is_withdrawn(&self) -> bool {
        self.is_leaving || self.pause_ms.is_some()
    }
}

/// Time for which an upstream wants no request, read from text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The time in ms.
    pub ms: u64,
    /// Whether the upstream has named a longer time than is allowed.
    pub is_cut: bool,
}

/// Why a text is no pause.
///
/// The doc comment of each variant is its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum BadPause {
    /// it is longer than 32 bytes
    TooLong,
    /// it is not a decimal number of 0 or more
    NotDecimal,
}

impl std::error::Error for BadPause {}

impl Pause {
    /// Reads a decimal number of seconds, such as `3` or `1.5`; a time above `max_ms` is cut to it.
    ///
    /// # Errors
    ///
    /// Returns an error for anything else: signs, exponents, dates, names of numbers that are not finite.
    ///
    /// ```
    /// use vanillakeel::availability::Pause;
    ///
    /// assert_eq!(Pause::parse("1.5", 60_000).map(|p| p.ms), Ok(1_500));
    /// assert!(Pause::parse("soon", 60_000).is_err());
    /// ```
    pub fn parse(text: &str, max_ms: u64) -> Result<Self, BadPause> {
        let text = text.trim();
        if text.len() > MAX_TEXT_BYTES {
            return Err(BadPause::TooLong);
        }
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let seconds: f64 = text
            .parse()
            .ok()
            .filter(|_| is_decimal)
            .ok_or(BadPause::NotDecimal)?;
        // A part of a ms counts as a whole one, and a number too large for the type becomes its largest.
        let ms = (seconds * 1_000.0).ceil() as u64;
        Ok(Self {
            ms: ms.min(max_ms),
            is_cut: ms > max_ms,
        })
    }

    /// Reads the values of the header that names a pause and returns the longest one; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the values can't be read.
    pub fn longest_of<'a>(
        values: impl Iterator<Item = &'a [u8]>,
        max_ms: u64,
    ) -> Result<Option<Self>, BadPause> {
        let mut longest: Option<Self> = None;
        for value in values {
            let text = std::str::from_utf8(value).map_err(|_| BadPause::NotDecimal)?;
            let pause = Self::parse(text, max_ms)?;
            longest = longest.filter(|l| l.ms >= pause.ms).or(Some(pause));
        }
        Ok(longest)
    }
}
