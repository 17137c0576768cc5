//! What is the same in all attempts of one request.
//!
//! Each attempt of a caller has an id of its own and may come at any instance. What tells that it is
//! the same request is who sends it, to which path, and its body.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes kept of the hash: enough that nobody finds two requests with the same.
const BYTES: usize = 16;

/// Hash of a request's caller, path and body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}", hex::encode(_0))]
pub struct Fingerprint([u8; BYTES]);

impl Fingerprint {
    /// The fingerprint of a request of `organisation`, if it has one, to `path` of `host`.
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
