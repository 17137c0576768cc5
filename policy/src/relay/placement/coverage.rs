//! How many runners hold each layer.

use super::PlannedRunner;

/// Number of holders of each layer of a model.
#[derive(Debug)]
pub(super) struct Coverage(Vec<u32>);

impl Coverage {
    /// Counts the holders among those of `planned` that `counts` selects. Ranges are clipped to the
    /// model's `layers`.
    pub(super) fn of(
        planned: &[PlannedRunner<'_>],
        layers: u32,
        counts: impl Fn(&PlannedRunner<'_>) -> bool,
    ) -> Coverage {
        // Number of ranges that begin at a layer, less those that end there.
        let mut changes = vec![0_i64; layers as usize + 1];
        for (from, to) in planned
            .iter()
            .filter(|s| counts(s))
            .filter_map(|s| s.layers)
        {
            if from < to.min(layers) {
                changes[from as usize] += 1;
                changes[to.min(layers) as usize] -= 1;
            }
        }
        changes.pop();
        let mut holders = 0;
        let sums = changes.into_iter().map(|change| {
            holders += change;
            u32::try_from(holders).unwrap_or(0)
        });
        Coverage(sums.collect())
    }

    /// Returns the number of holders of a layer.
    pub(super) fn holders(&self, layer: u32) -> u32 {
        self.0.get(layer as usize).copied().unwrap_or(0)
    }

    /// Returns whether each layer of a range has at least `count` holders.
    pub(super) fn has_everywhere(&self, (from, to): (u32, u32), count: u32) -> bool {
        let range = self.0.get(from as usize..to as usize);
        range.is_some_and(|holders| holders.iter().all(|h| *h >= count))
    }
}
