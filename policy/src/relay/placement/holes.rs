//! Assignment of layers that no runner of a failure domain holds.

use super::coverage::Coverage;
use super::{MoveReason, PlanContext, PlannedRunner};

/// Lays the model out anew over all runners without a move in progress, ordered by their present
/// ranges, so that most of them keep a part of their layers.
///
/// A fast runner may hold a third of the layers. If it is lost and there is no spare capacity, the
/// adjacent runners cannot take its range, and the domain serves no requests until the runner is
/// back and has loaded, which takes 5 s. All runners together load the missing layers in 2 s to 3 s.
pub(super) fn lay_out(
    planned: &mut [PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    tokens: f64,
) -> bool {
    let Some((empty_at, _)) = hole(planned, cx) else {
        return !cx.work.is_exhausted();
    };
    let mut order: Vec<usize> = (0..planned.len()).filter(|i| !planned[*i].busy).collect();
    order.sort_by_key(|i| planned[*i].layers.map_or(empty_at, |(from, _)| from));
    let count = |i: &usize| cx.engine.layers_beside(&planned[*i].kind, tokens);
    let mut places: u32 = order.iter().map(count).sum();
    if places < cx.engine.layers {
        return false;
    }
    let mut from = 0;
    for i in order {
        let most = cx.engine.layers_beside(&planned[i].kind, tokens);
        if most == 0 {
            continue;
        }
        let left = cx.engine.layers - from;
        let share = (most * left).div_ceil(places).min(most);
        places -= most;
        if share == 0 {
            continue;
        }
        let layers = Some((from, from + share));
        if planned[i].layers != layers {
            planned[i].layers = layers;
            planned[i].moved = Some(MoveReason::Hole);
        }
        from += share;
    }
    from == cx.engine.layers
}

/// Assigns every layer without a holder to a runner; returns whether that succeeded.
pub(super) fn fill_holes(
    planned: &mut [PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    tokens: f64,
) -> bool {
    // Each iteration fills one hole or a part of it.
    for _ in 0..=planned.len() * 2 {
        let Some((from, to)) = hole(planned, cx) else {
            return !cx.work.is_exhausted();
        };
        if !reassign_redundant(planned, cx, tokens, (from, to))
            && !extend_adjacent(planned, cx, tokens, (from, to))
        {
            return false;
        }
    }
    hole(planned, cx).is_none() && !cx.work.is_exhausted()
}

/// Returns the first contiguous range of layers without a holder, or `None` if the plan is given up.
fn hole(planned: &[PlannedRunner<'_>], cx: &PlanContext<'_>) -> Option<(u32, u32)> {
    let layers = cx.engine.layers;
    if !cx.work.spend(planned.len() + layers as usize) {
        return None;
    }
    let coverage = Coverage::of(planned, layers, |_| true);
    let held = |layer: u32| coverage.holders(layer) > 0;
    let from = (0..layers).find(|l| !held(*l))?;
    let to = (from..layers).find(|l| held(*l)).unwrap_or(layers);
    Some((from, to))
}

/// Assigns the start of a hole to a runner whose own range is redundant: the fastest empty one, or
/// else the slowest of the others.
fn reassign_redundant(
    planned: &mut [PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    tokens: f64,
    (from, to): (u32, u32),
) -> bool {
    let room = |s: &PlannedRunner<'_>| cx.engine.layers_beside(&s.kind, tokens);
    let held: u32 = planned.iter().map(PlannedRunner::held_layers).sum();
    if !cx
        .work
        .spend(planned.len() + cx.engine.layers as usize + held as usize)
    {
        return false;
    }
    let coverage = Coverage::of(planned, cx.engine.layers, |_| true);
    let free = (0..planned.len())
        .filter(|i| is_redundant(&planned[*i], &coverage) && room(&planned[*i]) > 0);
    let rank = |i: &usize| {
        let s = &planned[*i];
        let pace = (s.kind.pace * 1e3) as i64;
        let whole = room(s) >= to - from;
        // A runner with layers is moved only if no empty one is left. One that closes the whole
        // hole is preferred, and of those the slowest, since chains bypass it already.
        match s.held_layers() {
            0 => (false, false, pace),
            _ => (true, !whole, -pace),
        }
    };
    let Some(chosen) = free.min_by_key(rank) else {
        return false;
    };
    let count = room(&planned[chosen]).min(to - from);
    planned[chosen].layers = Some((from, from + count));
    planned[chosen].moved = Some(MoveReason::Hole);
    true
}

/// Returns whether other runners hold all layers of this one, and it has no move in progress.
fn is_redundant(runner: &PlannedRunner<'_>, coverage: &Coverage) -> bool {
    // The runner itself is one of the holders.
    let others_hold = |layers| coverage.has_everywhere(layers, 2);
    runner.stays() && runner.layers.is_none_or(others_hold)
}

/// Extends the range of the adjacent runner with the most spare capacity into a hole.
fn extend_adjacent(
    planned: &mut [PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    tokens: f64,
    (from, to): (u32, u32),
) -> bool {
    if !cx.work.spend(planned.len()) {
        return false;
    }
    let mut best: Option<(u32, usize)> = None;
    for (i, s) in planned.iter().enumerate().filter(|(_, s)| !s.busy) {
        let Some((start, end)) = s.layers else {
            continue;
        };
        let spare = cx
            .engine
            .layers_beside(&s.kind, tokens)
            .saturating_sub(s.held_layers());
        let touches = end == from || start == to;
        if touches && spare > 0 && best.is_none_or(|(b, _)| spare > b) {
            best = Some((spare, i));
        }
    }
    let Some((spare, i)) = best else {
        return false;
    };
    let count = spare.min(to - from);
    let runner = &mut planned[i];
    runner.layers = runner.layers.map(|(start, end)| match end == from {
        true => (start, end + count),
        false => (start - count, end),
    });
    runner.moved = Some(MoveReason::Hole);
    true
}
