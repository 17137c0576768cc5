//! Hashes of callers' keys.

use sha2::{Digest, Sha256};

/// SHA-256 of a caller's key.
pub type KeyHash = [u8; 32];

/// The hash under which a key stands in the schema.
pub fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Reads 64 hexadecimal digits.
pub fn parse(digits: &str) -> Option<KeyHash> {
    let mut hash = KeyHash::default();
    hex::decode_to_slice(digits, &mut hash).ok()?;
    Some(hash)
}
