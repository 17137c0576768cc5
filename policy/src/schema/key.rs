//! Hashes of callers' API keys.

use sha2::{Digest, Sha256};

/// SHA-256 of a caller's API key.
pub type KeyHash = [u8; 32];

/// Returns the hash by which the schema identifies an API key.
pub fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses a hash of 64 hexadecimal digits.
pub fn parse(digits: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    hex::decode_to_slice(digits, &mut hash).ok()?;
    Some(hash)
}
