//! Selection of the instances that watch the head on the platform.
//!
//! A long-polling watch counts as a call, and the platform's rate limits grow more slowly than the
//! fleet. Only a few instances therefore watch; the others learn of a new head through gossip and
//! poll at intervals. Each instance ranks the live ones by a hash of their names, so that all of
//! them select the same watchers without coordination. While their views differ, slightly more or
//! fewer instances watch, which costs only extra calls or the delay of a polling interval.

use sha2::{Digest, Sha256};

use crate::time::Name;

/// Number of watching instances; one of them may have failed while another drains.
pub const WATCHER_COUNT: usize = 3;

/// Returns the zero-based rank of `own` among the `live` instances, which may or may not include
/// it.
pub fn rank(own: &Name, live: &[Name]) -> usize {
    let hash = |name: &Name| <[u8; 32]>::from(Sha256::digest(name.as_bytes()));
    let mine = hash(own);
    live.iter()
        .filter(|name| *name != own && hash(name) < mine)
        .count()
}

/// Returns whether `own` should watch, given the `live` instances, which may or may not include it.
pub fn should_watch(own: &Name, live: &[Name]) -> bool {
    rank(own, live) < WATCHER_COUNT
}
