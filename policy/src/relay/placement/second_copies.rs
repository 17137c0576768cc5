//! Second holders for layers that have one, or only holders that are slow or short of room.

use super::{MoveReason, PlannedRunner};
use crate::relay::intent::{Accelerator, Engine};

/// Assigns to each empty runner the range for which a further holder has the highest gain. Of equal
/// ranges the last one is taken, where the many small runners have their small ranges.
pub(super) fn add_second_copies(planned: &mut [PlannedRunner<'_>], engine: &Engine, tokens: f64) {
    for i in 0..planned.len() {
        if planned[i].layers.is_some() || planned[i].busy {
            continue;
        }
        let count = engine.layers_beside(&planned[i].kind, tokens);
        let Some(range) = best_range(planned, engine, &planned[i].kind, count) else {
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
pub(super) fn relieve_overfull(planned: &mut [PlannedRunner<'_>], chained: usize, engine: &Engine) {
    if !planned.iter().any(|s| is_overfull(s, engine)) {
        return;
    }
    for i in chained..planned.len() {
        if !can_move_away(planned, i, engine) {
            continue;
        }
        let short = |layer: u32| {
            let mut holders = planned.iter().filter(|s| s.covers(layer)).peekable();
            holders.peek().is_some() && holders.all(|s| is_overfull(s, engine))
        };
        let short: Vec<bool> = (0..engine.layers).map(short).collect();
        let count = engine.layers_beside(&planned[i].kind, engine.room_tokens);
        let count = count.clamp(1, engine.layers);
        let relieved = |from: &u32| {
            let range = *from as usize..(*from + count) as usize;
            short[range].iter().filter(|s| **s).count()
        };
        let best = (0..=engine.layers - count).max_by_key(relieved);
        if let Some(from) = best.filter(|from| relieved(from) > 0) {
            planned[i].layers = Some((from, from + count));
            planned[i].moved = Some(MoveReason::SecondCopy);
        }
    }
}

/// Returns whether another runner without a move in progress holds each layer of this one, with
/// sufficient room unless this one is short of room too.
fn can_move_away(planned: &[PlannedRunner<'_>], index: usize, engine: &Engine) -> bool {
    let runner = &planned[index];
    let Some((from, to)) = runner
        .layers
        .filter(|_| !runner.busy && runner.moved.is_none())
    else {
        return false;
    };
    let has_room = engine.layers_beside(&runner.kind, engine.room_tokens) > 0;
    let overfull = is_overfull(runner, engine);
    let stays = |layer: u32| {
        let others = planned.iter().enumerate().filter(|(i, _)| *i != index);
        let mut holders = others.filter(|(_, s)| !s.busy && s.moved.is_none() && s.covers(layer));
        holders.any(|(_, s)| overfull || !is_overfull(s, engine))
    };
    has_room && (from..to).all(stays)
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
    engine: &Engine,
    kind: &Accelerator,
    count: u32,
) -> Option<(u32, u32)> {
    let count = count.min(engine.layers);
    if count == 0 {
        return None;
    }
    let gains: Vec<f64> = (0..engine.layers)
        .map(|layer| gain(planned, engine, kind, layer))
        .collect();
    let mut best: Option<(f64, u32)> = None;
    for from in 0..=engine.layers - count {
        let sum: f64 = gains[from as usize..(from + count) as usize].iter().sum();
        if sum > 0.0 && best.is_none_or(|(b, _)| sum >= b) {
            best = Some((sum, from));
        }
    }
    best.map(|(_, from)| (from, from + count))
}

/// Returns the gain of one more holder of `kind` for a layer.
fn gain(planned: &[PlannedRunner<'_>], engine: &Engine, kind: &Accelerator, layer: u32) -> f64 {
    let holders: Vec<&PlannedRunner<'_>> = planned.iter().filter(|s| s.covers(layer)).collect();
    let fastest = holders.iter().map(|s| s.kind.pace).min_by(f64::total_cmp);
    let mut gain = 0.0;
    if holders.len() == 1 {
        gain += GAIN_ALONE;
    }
    if !holders.is_empty() && holders.iter().all(|s| is_overfull(s, engine)) {
        gain += GAIN_ROOM;
    }
    let faster = fastest.map_or(0.0, |pace| pace / kind.pace.max(1e-3) - 1.0);
    gain + GAIN_PACE * faster.max(0.0)
}

/// Returns whether a runner holds more layers than the target room allows.
fn is_overfull(runner: &PlannedRunner<'_>, engine: &Engine) -> bool {
    runner.held_layers() > engine.layers_beside(&runner.kind, engine.room_tokens)
}
