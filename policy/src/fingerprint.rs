//! Fingerprint that identifies a request across attempts.
//!
//! Each attempt of a caller has its own id and may arrive at any instance. Attempts are of the same
//! request if they agree in the organisation, the host, the path and the body.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes kept of the hash: enough to be collision-resistant.
const BYTES: usize = 16;

/// Hash of a request's organisation, host, path and body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}", hex::encode(_0))]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// Returns the fingerprint of a request to `path` of `host`, sent by `organisation` if it has
    /// one.
    #[must_use]
    pub fn of(organisation: Option<&str>, host: &str, path: &str, body: &[u8]) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in [organisation.unwrap_or_default(), host, path] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(body);
        let digest = hash.finalize();
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest[..BYTES]);
        Fingerprint(bytes)
    }
}
