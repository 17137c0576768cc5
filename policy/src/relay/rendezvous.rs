//! Rendezvous hashing: selection of a few instances for a task that is done on behalf of all.
//!
//! Every instance computes the same ranks from the names of the live instances, and the first ones by rank
//! do the task. No coordination is needed, and when one of them is lost the next by rank replaces it.
//! Tasks that take much processor time go to the instances with the most of it ([`Candidate`]).

use std::cmp::Reverse;

use crate::prelude::*;

/// An instance that may do a task on behalf of others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name.
    pub name: Name,
    /// Processing capacity, in thousandths of a core.
    pub capacity: u32,
}

impl Candidate {
    /// Returns the rank by which tasks are assigned: the lowest has the most capacity.
    pub(crate) fn rank(&self) -> (Reverse<u32>, u64) {
        (Reverse(self.capacity), rank(&self.name))
    }

    /// Returns the rank for one key; the order of candidates of the same capacity differs from key to
    /// key.
    pub(crate) fn rank_for(&self, key: &str) -> (Reverse<u32>, u64) {
        (Reverse(self.capacity), rank_for(&self.name, key))
    }

    /// Returns whether this instance precedes another in the order in which they seek the placement
    /// lease.
    #[must_use]
    pub fn precedes(&self, other: &Candidate) -> bool {
        let order = |c: &Candidate| (Reverse(c.capacity), c.name.clone());
        order(self) < order(other)
    }
}

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

/// Returns whether `name` is the first of `names`, which may include it, for one key.
pub fn is_first_for<'a>(name: &Name, names: impl Iterator<Item = &'a Name>, key: &str) -> bool {
    let ranks = names.map(|n| rank_for(n, key));
    is_among_first(1, &rank_for(name, key), ranks)
}

/// Returns whether the rank `own` is among the lowest `count` of `ranks`, which may include it.
pub(crate) fn is_among_first<R: Ord>(
    count: usize,
    own: &R,
    ranks: impl Iterator<Item = R>,
) -> bool {
    ranks.filter(|rank| rank < own).take(count).count() < count
}
