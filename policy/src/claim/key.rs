//! Keys of claims: where a claim stands, and when its key expires.

use super::ClaimConfig;
use crate::prelude::*;
use derive_more::{Display, Error};

/// The longest key that a caller may give, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Hexadecimal digits of a UUID without its dashes.
const UUID_DIGITS: usize = 32;
/// Digits of a UUIDv7 that hold its Unix time in milliseconds.
const UUID_TIME_DIGITS: usize = 12;
/// Position of the digit that tells a UUID's version.
const UUID_VERSION_DIGIT: usize = 12;

/// Why a caller's key is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyFault {
    /// It is empty.
    #[display("the idempotency key is empty")]
    Empty,
    /// It is longer than [`MAX_KEY_BYTES`].
    #[display("the idempotency key is longer than {MAX_KEY_BYTES} bytes")]
    TooLong,
    /// It has a byte other than letters, digits, `-`, `_`, `.`, `~`, `:`.
    #[display("the idempotency key has a character other than letters, digits and -_.~:")]
    BadCharacter,
}

/// Where a claim stands in the platform.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("claims/{organisation}/{key}")]
pub struct ClaimKey {
    organisation: Name,
    key: Name,
    made_ms: Option<Millis>,
}

impl ClaimKey {
    /// The key that a caller of an organisation gave. UUIDs are taken in lower case, so that one
    /// UUID has one claim.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn new(organisation: Name, key: &str) -> Result<Self, KeyFault> {
        if key.is_empty() {
            return Err(KeyFault::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(KeyFault::TooLong);
        }
        // The key becomes a part of a path: `/` or `?` would make it another organisation's.
        let fits = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:".contains(&b);
        if !key.bytes().all(fits) || key.bytes().all(|b| b == b'.') {
            return Err(KeyFault::BadCharacter);
        }
        let digits = uuid_digits(key);
        let key = match digits {
            Some(_) => key.to_ascii_lowercase().into(),
            None => key.into(),
        };
        Ok(Self {
            organisation,
            key,
            made_ms: digits.as_deref().and_then(uuid_time),
        })
    }

    /// The key as the caller gave it; a UUID in lower case.
    pub fn key(&self) -> &Name {
        &self.key
    }

    /// When the key was made, in Unix milliseconds, where it says so (UUIDv7).
    pub fn made_ms(&self) -> Option<Millis> {
        self.made_ms
    }

    /// Whether the key is too old to be claimed.
    ///
    /// A key that does not say when it was made never expires, and its claim is never deleted.
    pub fn is_expired(&self, unix_ms: Millis, cfg: &ClaimConfig) -> bool {
        self.made_ms
            .is_some_and(|made| made.saturating_add(cfg.retention_ms) <= unix_ms)
    }

    /// Whether its claim may be deleted: the key is expired for every instance whose clock is
    /// wrong by less than the margin, and no deadline of a submission made before reaches here.
    pub fn is_deletable(&self, unix_ms: Millis, cfg: &ClaimConfig) -> bool {
        let kept = cfg.retention_ms + cfg.margin_ms;
        self.made_ms
            .is_some_and(|made| made.saturating_add(kept) <= unix_ms)
    }
}

/// The digits of a UUID in lower case, where `key` is one.
fn uuid_digits(key: &str) -> Option<String> {
    let dashes_fit = key
        .bytes()
        .enumerate()
        .all(|(i, b)| (b == b'-') == matches!(i, 8 | 13 | 18 | 23));
    if key.len() != UUID_DIGITS + 4 || !dashes_fit {
        return None;
    }
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
    all_hex.then(|| digits.to_ascii_lowercase())
}

/// The Unix time in milliseconds of a UUIDv7's digits.
fn uuid_time(digits: &str) -> Option<Millis> {
    if digits.as_bytes().get(UUID_VERSION_DIGIT) != Some(&b'7') {
        return None;
    }
    Millis::from_str_radix(digits.get(..UUID_TIME_DIGITS)?, 16).ok()
}
