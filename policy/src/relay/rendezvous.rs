//! Rendezvous hashing: selection of a few instances for a task that is done on behalf of all.
//!
//! Every instance computes the same ranks from the names of the live instances, and the first ones by rank
//! do the task. No coordination is needed, and when one of them is lost the next by rank replaces it.

/// Returns the rank of a name, which is the same on every instance. Names that differ in one digit, as
/// those of a failure domain do, get distant ranks.
pub(crate) fn rank(name: &str) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    let h = (h ^ (h >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

/// Returns the rank of a name for one key; the order of names differs from key to key.
pub(crate) fn rank_for(name: &str, key: &str) -> u64 {
    rank(name) ^ rank(key).rotate_left(17)
}

/// Returns whether the rank `own` is among the lowest `count` of `ranks`, which may include it.
pub(crate) fn is_among_first(count: usize, own: u64, ranks: impl Iterator<Item = u64>) -> bool {
    ranks.filter(|rank| *rank < own).take(count).count() < count
}
