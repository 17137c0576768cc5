//! Keys of claims: their path in the platform and their expiry.

use super::ClaimConfig;
use crate::prelude::*;
use derive_more::{Display, Error};

/// Maximum length of a caller's idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;
/// Number of hexadecimal digits of a UUID.
const UUID_DIGITS: usize = 32;
/// Number of leading digits of a UUIDv7 that encode its Unix time in milliseconds.
const UUID_TIME_DIGITS: usize = 12;
/// Index of the digit that encodes a UUID's version.
const UUID_VERSION_DIGIT: usize = 12;

/// Reason for refusing a caller's key.
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

/// Path of a claim in the platform.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("claims/{organisation}/{key}")]
pub struct ClaimKey {
    organisation: Name,
    key: Name,
    created_ms: Option<Millis>,
}

impl ClaimKey {
    /// Validates a key given by a caller of an organisation. UUIDs are converted to lower case, so
    /// that one UUID has one claim.
    ///
    /// # Errors
    ///
    /// Returns why the key is refused.
    pub fn new(organisation: Name, key: &str) -> Result<Self, KeyFault> {
        if key.is_empty() {
            return Err(KeyFault::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(KeyFault::TooLong);
        }
        // The key becomes part of a path: with `/` or `?` it could name another organisation's.
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.~:".contains(&b);
        if !key.bytes().all(is_allowed) || key.bytes().all(|b| b == b'.') {
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
            created_ms: digits.as_deref().and_then(uuid_time),
        })
    }

    /// Returns the key as the caller gave it; a UUID in lower case.
    pub fn key(&self) -> &Name {
        &self.key
    }

    /// Returns the creation time of the key in Unix milliseconds, where it contains one (UUIDv7).
    pub fn created_ms(&self) -> Option<Millis> {
        self.created_ms
    }

    /// Whether the key is too old to be claimed.
    ///
    /// A key without a creation time never expires, and its claim is never deleted.
    pub fn is_expired(&self, unix_ms: Millis, cfg: &ClaimConfig) -> bool {
        self.created_ms
            .is_some_and(|created| created.saturating_add(cfg.retention_ms) <= unix_ms)
    }

    /// Whether its claim may be deleted.
    ///
    /// From then on the key is expired for every instance whose clock is off by less than the
    /// margin, and the deadlines of all submissions made before its expiry have passed.
    pub fn is_deletable(&self, unix_ms: Millis, cfg: &ClaimConfig) -> bool {
        let kept = cfg.retention_ms + cfg.margin_ms;
        self.created_ms
            .is_some_and(|created| created.saturating_add(kept) <= unix_ms)
    }
}

/// Returns the digits in lower case if `key` is a UUID.
fn uuid_digits(key: &str) -> Option<String> {
    let dashes_match = key
        .bytes()
        .enumerate()
        .all(|(i, b)| (b == b'-') == matches!(i, 8 | 13 | 18 | 23));
    if key.len() != UUID_DIGITS + 4 || !dashes_match {
        return None;
    }
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let all_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
    all_hex.then(|| digits.to_ascii_lowercase())
}

/// Returns the Unix time in milliseconds that a UUIDv7's digits encode.
fn uuid_time(digits: &str) -> Option<Millis> {
    if digits.as_bytes().get(UUID_VERSION_DIGIT) != Some(&b'7') {
        return None;
    }
    Millis::from_str_radix(digits.get(..UUID_TIME_DIGITS)?, 16).ok()
}
