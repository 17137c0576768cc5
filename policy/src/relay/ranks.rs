//! Which few of many instances do something for all: the first by a rank that every instance works out
//! alike from their names.
//!
//! Nobody is told who they are, and when one is lost the next takes its place.

/// Rank of a name, the same at every instance: names that differ in a digit only, as those of one
/// failure domain do, are far apart.
pub(crate) fn rank(name: &str) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    let h = (h ^ (h >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

/// Rank of a name for one matter: another order for each.
pub(crate) fn rank_for(name: &str, matter: &str) -> u64 {
    rank(name) ^ rank(matter).rotate_left(17)
}

/// Whether an instance of rank `own` is one of the first `count`, where the others have `ranks`; its own
/// may be among them.
pub(crate) fn is_among_first(count: usize, own: u64, ranks: impl Iterator<Item = u64>) -> bool {
    ranks.filter(|rank| *rank < own).take(count).count() < count
}
