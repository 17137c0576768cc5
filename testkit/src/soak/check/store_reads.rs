//! The store's rate of read calls: what all instances make together, and the share that one may use up.

use super::Violation;
use crate::soak::INSTANCES;
use crate::soak::observed::{Millis, Observed};
use crate::soak::site::READS_PER_S;

const SECOND_MS: Millis = 1_000;

/// Returns the densest second of all instances, and of each one, if it holds more reads than are allowed.
pub(super) fn above_rate(o: &Observed) -> Vec<Violation> {
    let all = densest(o, None, READS_PER_S);
    let each = (0..INSTANCES).filter_map(|i| densest(o, Some(i), READS_PER_S / INSTANCES));
    all.into_iter().chain(each).collect()
}

fn densest(o: &Observed, instance: Option<usize>, allowed: usize) -> Option<Violation> {
    let reads = o.reads.iter();
    let reads = reads.filter(|r| instance.is_none_or(|index| r.instance == index));
    let mut times: Vec<Millis> = reads.map(|r| r.at_ms).collect();
    times.sort_unstable();
    let from = |from_ms: &Millis| {
        let before = |ms| times.partition_point(|t| *t < ms);
        before(from_ms + SECOND_MS) - before(*from_ms)
    };
    let (from_ms, reads) = times
        .iter()
        .map(|t| (*t, from(t)))
        .max_by_key(|(_, n)| *n)?;
    (reads > allowed).then_some(Violation::Reads {
        instance,
        from_ms,
        reads,
        allowed,
    })
}
