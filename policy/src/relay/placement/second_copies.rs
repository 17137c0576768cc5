//! Second holders for layers that have one, or only holders that are slow or short of room.

use super::coverage::Coverage;
use super::{MoveReason, PlanContext, PlannedRunner};
use crate::relay::intent::Accelerator;

/// Assigns to each empty runner the range for which a further holder has the highest gain. Of equal
/// ranges the last one is taken, where the many small runners have their small ranges.
pub(super) fn add_second_copies(
    planned: &mut [PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    tokens: f64,
) {
    for i in 0..planned.len() {
        if planned[i].layers.is_some() || planned[i].busy {
            continue;
        }
        let count = cx.engine.layers_beside(&planned[i].kind, tokens);
        let Some(range) = best_range(planned, cx, &planned[i].kind, count) else {
            continue;
        };
        planned[i].layers = Some(range);
        planned[i].moved = Some(MoveReason::SecondCopy);
    }
}

/// Moves runners that take part in no chain to layers whose holders are all short of room.
///
/// After the loss of a fast runner, small ones take over its layers and are left with little room.
/// When it returns, their layers have two holders each; without this step they would keep their
/// ranges, and the domain would refuse requests for lack of room permanently. Each move gives at
/// least one more layer a holder with sufficient room and takes none away, so the moves terminate.
pub(super) fn relieve_overfull(
    planned: &mut [PlannedRunner<'_>],
    chained: usize,
    cx: &PlanContext<'_>,
) {
    if !planned.iter().any(|s| is_overfull(s, cx)) {
        return;
    }
    for i in chained..planned.len() {
        if !can_move_away(planned, i, cx) {
            continue;
        }
        let count = cx
            .engine
            .layers_beside(&planned[i].kind, cx.engine.room_tokens);
        let count = count.clamp(1, cx.engine.layers);
        if let Some(from) = most_relieved(planned, count, cx) {
            planned[i].layers = Some((from, from + count));
            planned[i].moved = Some(MoveReason::SecondCopy);
        }
    }
}

/// Returns the first layer of the range of `count` layers with the most layers whose holders are all
/// short of room; `None` if there is no such layer.
fn most_relieved(planned: &[PlannedRunner<'_>], count: u32, cx: &PlanContext<'_>) -> Option<u32> {
    let layers = cx.engine.layers;
    if !cx.work.spend(2 * (planned.len() + layers as usize)) {
        return None;
    }
    let all = Coverage::of(planned, layers, |_| true);
    let overfull = Coverage::of(planned, layers, |s| is_overfull(s, cx));
    let is_short = |layer: u32| {
        let holders = all.holders(layer);
        holders > 0 && holders == overfull.holders(layer)
    };
    // Number of such layers before each layer.
    let mut before = vec![0_u32];
    for layer in 0..layers {
        before.push(before[layer as usize] + u32::from(is_short(layer)));
    }
    let relieved = |from: &u32| before[(*from + count) as usize] - before[*from as usize];
    let best = (0..=layers - count).max_by_key(relieved);
    best.filter(|from| relieved(from) > 0)
}

/// Returns whether another runner without a move in progress holds each layer of this one, with
/// sufficient room unless this one is short of room too.
fn can_move_away(planned: &[PlannedRunner<'_>], index: usize, cx: &PlanContext<'_>) -> bool {
    let runner = &planned[index];
    let Some(layers) = runner.layers.filter(|_| runner.stays()) else {
        return false;
    };
    let work = planned.len() + cx.engine.layers as usize + runner.held_layers() as usize;
    if !cx.work.spend(work) {
        return false;
    }
    let has_room = cx.engine.layers_beside(&runner.kind, cx.engine.room_tokens) > 0;
    let overfull = is_overfull(runner, cx);
    let stay = Coverage::of(planned, cx.engine.layers, |s| {
        s.stays() && (overfull || !is_overfull(s, cx))
    });
    // The runner itself is one of them.
    has_room && stay.has_everywhere(layers, 2)
}

/// Gain of a second holder for a layer with a single one.
const GAIN_ALONE: f64 = 1.0;

/// Gain of a holder for a layer whose holders are all short of room.
const GAIN_ROOM: f64 = 4.0;

/// Gain of a holder that is faster than all present ones, multiplied by its relative speed-up.
const GAIN_PACE: f64 = 1.0;

/// Returns the range of `count` layers for which a holder of `kind` has the highest total gain.
fn best_range(
    planned: &[PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    kind: &Accelerator,
    count: u32,
) -> Option<(u32, u32)> {
    let layers = cx.engine.layers;
    let count = count.min(layers);
    let held: u32 = planned.iter().map(PlannedRunner::held_layers).sum();
    let work = planned.len() + held as usize + layers as usize * (1 + count as usize);
    if count == 0 || !cx.work.spend(work) {
        return None;
    }
    let holders = holders_by_layer(planned, cx);
    let gains: Vec<f64> = holders.iter().map(|h| h.gain(kind)).collect();
    let mut best: Option<(f64, u32)> = None;
    for from in 0..=layers - count {
        let sum: f64 = gains[from as usize..(from + count) as usize].iter().sum();
        if sum > 0.0 && best.is_none_or(|(b, _)| sum >= b) {
            best = Some((sum, from));
        }
    }
    best.map(|(_, from)| (from, from + count))
}

/// The holders of one layer.
#[derive(Clone, Copy, Debug, Default)]
struct LayerHolders {
    count: u32,
    overfull: u32,
    /// Least pace of a holder.
    fastest: Option<f64>,
}

impl LayerHolders {
    /// Returns the gain of one more holder of `kind`.
    fn gain(&self, kind: &Accelerator) -> f64 {
        let mut gain = 0.0;
        if self.count == 1 {
            gain += GAIN_ALONE;
        }
        if self.count > 0 && self.count == self.overfull {
            gain += GAIN_ROOM;
        }
        let faster = |pace| pace / kind.pace.max(1e-3) - 1.0;
        gain + GAIN_PACE * self.fastest.map_or(0.0, faster).max(0.0)
    }
}

/// Returns the holders of each layer of the model.
fn holders_by_layer(planned: &[PlannedRunner<'_>], cx: &PlanContext<'_>) -> Vec<LayerHolders> {
    let layers = cx.engine.layers as usize;
    let mut by_layer = vec![LayerHolders::default(); layers];
    for runner in planned {
        let Some((from, to)) = runner.layers else {
            continue;
        };
        let to = layers.min(to as usize);
        let overfull = u32::from(is_overfull(runner, cx));
        for holders in by_layer.get_mut(from as usize..to).into_iter().flatten() {
            holders.count += 1;
            holders.overfull += overfull;
            let pace = runner.kind.pace;
            holders.fastest = Some(holders.fastest.map_or(pace, |f| f.min(pace)));
        }
    }
    by_layer
}

/// Returns whether a runner holds more layers than the target room allows.
fn is_overfull(runner: &PlannedRunner<'_>, cx: &PlanContext<'_>) -> bool {
    runner.held_layers() > cx.engine.layers_beside(&runner.kind, cx.engine.room_tokens)
}
