//! Which instances watch the head on the platform.
//!
//! A waiting watch counts as a call, and the platform's rates grow more slowly than the fleet.
//! So a few instances watch, and the others hear of a new head from them through the peers'
//! exchange and poll now and then. Each instance ranks the live ones by a hash of their names
//! and reaches the same answer without asking; while their views differ, a few more or fewer
//! watch for a moment, which costs calls or a polling interval, and nothing else.

use sha2::{Digest, Sha256};

use crate::time::Name;

/// Number of instances that watch: one may be dead and another draining.
pub const WATCHER_COUNT: usize = 3;

/// Place of the instance `own` among the `live` ones (with or without itself), from 0.
pub fn rank(own: &Name, live: &[Name]) -> usize {
    let hash = |name: &Name| <[u8; 32]>::from(Sha256::digest(name.as_bytes()));
    let mine = hash(own);
    live.iter()
        .filter(|name| *name != own && hash(name) < mine)
        .count()
}

/// Whether the instance `own` watches, among the `live` ones (with or without itself).
pub fn should_watch(own: &Name, live: &[Name]) -> bool {
    rank(own, live) < WATCHER_COUNT
}
