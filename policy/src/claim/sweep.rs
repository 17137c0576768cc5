//! Garbage collection of expired claims.
//!
//! One instance sweeps an organisation's claims, chosen by rendezvous hashing of organisation and
//! instance names. Two instances that both consider themselves the sweeper do no harm, as a
//! deletion is conditional on the version and idempotent. A claim is deleted only when its key is
//! refused by every instance ([`ClaimKey::is_deletable`]), so the deletion can't let its call run
//! again.
//!
//! UUIDv7 keys sort by time. A sweep lists the keys with a common prefix of their time digits, so
//! that one listing covers [`Sweep::SPAN_MS`] of an organisation's claims.

use super::{ClaimConfig, ClaimKey};
use crate::prelude::*;
use sha2::{Digest, Sha256};

/// Number of low bits of a UUIDv7's time that vary within one listing.
const SPAN_BITS: u32 = 24;

/// A time span whose keys are listed together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sweep(u64);

impl Sweep {
    /// Length of a span: 2^24 ms (about 4.7 hours).
    pub const SPAN_MS: u64 = 1 << SPAN_BITS;

    /// Returns the newest span all of whose claims may be deleted.
    pub fn newest(unix_ms: Millis, cfg: &ClaimConfig) -> Option<Self> {
        let kept = cfg.retention_ms + cfg.margin_ms;
        let spans = unix_ms.checked_sub(kept)? >> SPAN_BITS;
        spans.checked_sub(1).map(Self)
    }

    /// Returns the preceding span.
    pub fn before(self) -> Option<Self> {
        self.0.checked_sub(1).map(Self)
    }

    /// Returns the prefix of the keys to list.
    pub fn prefix(self, organisation: &str) -> String {
        format!("claims/{organisation}/{:06x}", self.0)
    }

    /// Whether a listed key belongs to a claim that may be deleted.
    ///
    /// False for a key of another form that happens to share the prefix.
    pub fn may_delete(key: &str, unix_ms: Millis, cfg: &ClaimConfig) -> bool {
        let Some((organisation, key)) = key
            .strip_prefix("claims/")
            .and_then(|rest| rest.split_once('/'))
        else {
            return false;
        };
        ClaimKey::new(organisation.into(), key).is_ok_and(|key| key.is_deletable(unix_ms, cfg))
    }
}

/// Returns which of the live instances sweeps an organisation's claims.
pub fn sweeper_of<'a>(organisation: &str, instances: &'a [Name]) -> Option<&'a Name> {
    instances.iter().max_by_key(|instance| {
        let mut hash = Sha256::new();
        hash.update(organisation.as_bytes());
        hash.update([0]);
        hash.update(instance.as_bytes());
        hash.finalize().to_vec()
    })
}
