//! Which runner is to hold which layers.
//!
//! Runners start empty and lose all on restart, so the placement is a repair that never ends: each
//! call of [`plan`] takes what the runners hold now and names the next orders. It depends on its
//! arguments only, so any instance that takes over goes on where the last one stopped.
//!
//! Each failure domain is to hold the model as often as its memory allows with the wanted room for
//! requests, once in any case, and the runners that are left over hold second copies of what is
//! held once. A domain that lost a runner
//! is filled up again from those, and by growing ranges at their ends, which loads only what is
//! new. What takes part in the only whole chain is not moved.
//!
//! A runner that took more than leaves it the wanted room is not made smaller: what it gives up is
//! held by others and chains pass by it already, so an order brings nothing, while layers that are
//! given up accept nothing new until what passes through them has ended. A second copy goes where
//! it does most good instead.
//!
//! The room that a domain is planned for goes down in steps until the model fits; after the loss
//! of many runners a small room serves more than none.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::relay::chain::{Holder, cheapest};
use crate::relay::intent::{Accelerator, Engine};
use crate::relay::runners::{RunnerEntry, Runners};

/// Shares of the declared room that a domain is planned for, tried in turn. The last is room for
/// a few requests. More than the declared room is of use while a domain is lost and its callers
/// come to the others.
const ROOM_STEPS: [f64; 8] = [1.5, 1.25, 1.0, 0.8, 0.6, 0.45, 0.3, 0.15];

/// Layers that a domain must have places for beside those of its copies to be planned for more
/// than the declared room, as a share of a copy: these become second holders, with which a lost
/// part is made good without a load.
const SPARE_SHARE: f64 = 0.15;

/// Share of the declared room that a further copy must have: with less, its runners do more good
/// as second holders.
const LEAST_FURTHER: f64 = 0.6;

/// A runner is to hold this range.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Runner.
    pub runner: Name,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// First layer, and one past the last.
    pub layers: (u32, u32),
    /// Why: a hole is filled, or a second copy made.
    pub why: MoveReason,
}

/// Why a runner is given layers.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum MoveReason {
    /// Nobody in the domain holds them.
    #[display("hole")]
    Hole,
    /// One runner alone holds them, or one that is slower or has too little room.
    #[display("second copy")]
    SecondCopy,
}

/// A runner within its domain, with what it holds or is loading.
#[derive(Clone, Debug)]
struct Seat<'a> {
    entry: &'a RunnerEntry,
    kind: Accelerator,
    layers: Option<(u32, u32)>,
    /// An order is under way: it is left alone.
    busy: bool,
    /// It is so slow that a chain does better without it.
    slow: bool,
    moved: Option<MoveReason>,
}

impl Seat<'_> {
    fn covers(&self, layer: u32) -> bool {
        self.layers
            .is_some_and(|(from, to)| from <= layer && layer < to)
    }

    fn held(&self) -> u32 {
        self.layers.map_or(0, |(from, to)| to - from)
    }
}

/// The next orders for a service's runners. `loading` names the ranges that runners have been told
/// to hold and do not yet report.
#[must_use]
pub fn plan(
    runners: &Runners,
    service: &str,
    engine: &Engine,
    loading: &BTreeMap<Name, (u32, u32)>,
    now: Millis,
) -> Vec<Move> {
    let mut domains: BTreeMap<&Name, Vec<Seat<'_>>> = BTreeMap::new();
    for entry in runners.entries().filter(|e| *e.service == *service) {
        let kind = entry.kind.as_ref().and_then(|k| engine.kinds.get(k));
        let Some(mut kind) = kind.copied().filter(|_| runners.usable(entry, now)) else {
            continue;
        };
        let slowness = runners.health(&entry.id).slowness();
        kind.pace *= slowness;
        let pending = loading.get(&entry.id).copied();
        let believed = entry.layers.filter(|_| runners.holds_layers(entry, now));
        let seat = Seat {
            entry,
            kind,
            layers: pending.or(believed),
            busy: pending.is_some(),
            slow: slowness >= SLOW,
            moved: None,
        };
        domains.entry(&entry.domain).or_default().push(seat);
    }
    let mut moves = Vec::new();
    for (domain, seats) in domains {
        let of_domain = runners.entries().filter(|e| e.domain == *domain);
        let standings = of_domain.map(|e| runners.health(&e.id));
        let mut lost = standings.filter(|s| s.dead);
        let recent = lost.any(|s| now < s.dead_since_ms + CERTAIN_MS);
        let certain = runners.is_complete(now) && !recent;
        moves.extend(plan_beside_slow(&seats, engine, certain));
    }
    moves
}

/// How many times as slow as declared a runner is whose layers others are to hold.
const SLOW: f64 = 2.0;

/// Plans for the runners that are not slow, where these can hold the model without a chain that is
/// whole being torn up for it.
///
/// Failure: some runners turn ten times as slow for seconds. Every pass waits for them, and prompts
/// queue there until no first event is in time, although what they hold fits on others. What the
/// slow ones hold stays where it is, so that nothing is lost when they are quick again.
fn plan_beside_slow(seats: &[Seat<'_>], engine: &Engine, certain: bool) -> Vec<Move> {
    if seats.iter().any(|s| s.slow) {
        let quick: Vec<Seat<'_>> = seats.iter().filter(|s| !s.slow).cloned().collect();
        match plan_copies(&quick, engine, false) {
            Some(moves) if moves.is_empty() || shortens(seats, &moves, engine) => return moves,
            _ => {}
        }
        let moves = take_over(&quick, engine);
        if shortens(seats, &moves, engine) {
            return moves;
        }
    }
    plan_copies(seats, engine, certain).unwrap_or_default()
}

/// Step that moves beside slow runners must bring a chain to, as a share of the present one: they
/// cost loads, and room that is not given back.
const SHORTER: f64 = 0.8;

/// Whether the best chain becomes much shorter by the moves, or whole.
fn shortens(seats: &[Seat<'_>], moves: &[Move], engine: &Engine) -> bool {
    let mut moved = seats.to_vec();
    for seat in &mut moved {
        if let Some(m) = moves.iter().find(|m| m.runner == seat.entry.id) {
            seat.layers = Some(m.layers);
        }
    }
    match (best_step_ms(seats, engine), best_step_ms(&moved, engine)) {
        (Some(before), Some(after)) => after <= before * SHORTER,
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

fn best_step_ms(seats: &[Seat<'_>], engine: &Engine) -> Option<f64> {
    let holders: Vec<Holder<'_>> = seats.iter().filter_map(|s| holder_of(s, engine)).collect();
    cheapest(&holders, engine.layers).map(|chain| chain.step_ms)
}

/// Share of the declared room down to which runners take over layers of slow ones: a chain with a
/// slow part serves no more than that in time.
const TAKE_OVER_ROOM: f64 = 0.45;

/// What the quick runners of a domain can take of the layers that only slow ones hold. A pass waits
/// for a slow part as long as that part's share of the layers is.
fn take_over(quick: &[Seat<'_>], engine: &Engine) -> Vec<Move> {
    let mut seats = quick.to_vec();
    // Some of the layers are as welcome as all.
    let _all = fill(&mut seats, engine, engine.room_tokens * TAKE_OVER_ROOM);
    seats.iter().filter_map(move_of).collect()
}

/// Time after which a runner that was found dead is taken to be lost for the placement of a whole
/// domain, in milliseconds. One that was only cut off for a moment answers again within 700; if
/// all others had moved meanwhile, its own layers would be of no use.
const CERTAIN_MS: Millis = 700;

/// The moves that give a domain's runners as many copies of the model as they can hold; `None` if
/// they hold none then. `certain`: every living runner is known, and none was lost just now.
fn plan_copies(seats: &[Seat<'_>], engine: &Engine, certain: bool) -> Option<Vec<Move>> {
    let mut pool = seats.to_vec();
    let mut placed = Vec::new();
    while take_chain(&mut pool, &mut placed, engine) {}
    while let Some(filled) = next_copy(&pool, engine, placed.is_empty(), certain) {
        pool = filled;
        if !take_chain(&mut pool, &mut placed, engine) {
            break;
        }
    }
    let chained = placed.len();
    placed.extend(pool);
    if chained > 0 {
        second_copies(&mut placed, engine, engine.room_tokens);
        relieve(&mut placed, chained, engine);
    }
    let moves = placed.iter().filter_map(move_of).collect();
    (chained > 0).then_some(moves)
}

/// Takes the runners of a whole chain out of the pool, if it has one.
fn take_chain<'a>(pool: &mut Vec<Seat<'a>>, placed: &mut Vec<Seat<'a>>, engine: &Engine) -> bool {
    let holders: Vec<Holder<'_>> = pool.iter().filter_map(|s| holder_of(s, engine)).collect();
    let Some(chain) = cheapest(&holders, engine.layers) else {
        return false;
    };
    let (members, rest) = pool.drain(..).partition(|s| chain.has(&s.entry.id));
    *pool = rest;
    placed.extend::<Vec<Seat<'a>>>(members);
    true
}

fn holder_of<'a>(seat: &Seat<'a>, engine: &Engine) -> Option<Holder<'a>> {
    let share = 1.0 / f64::from(engine.layers.max(1));
    Some(Holder {
        entry: seat.entry,
        layers: seat.layers?,
        limited: false,
        layer_ms: engine.step_ms * seat.kind.pace * share,
        room: engine.room(&seat.kind, seat.held(), 1),
        wanted: engine.room_tokens,
    })
}

/// The pool with every hole of one more copy of the model filled, if its memory suffices. A domain
/// without any copy takes one with whatever room is left beside it, and if no runner can take the
/// hole, all of them move.
fn next_copy<'a>(
    pool: &[Seat<'a>],
    engine: &Engine,
    first: bool,
    certain: bool,
) -> Option<Vec<Seat<'a>>> {
    let least = if first { 0.0 } else { LEAST_FURTHER };
    let most = if first { most_room(pool, engine) } else { 1.0 };
    let shares = ROOM_STEPS.into_iter();
    let shares = shares.filter(|s| (least..=most).contains(s));
    let copy = |share: f64, how: Filler| {
        let mut tried = pool.to_vec();
        how(&mut tried, engine, engine.room_tokens * share).then_some(tried)
    };
    let filled = shares.clone().find_map(|share| copy(share, fill));
    let mut moving = shares.filter(|_| first && certain);
    filled.or_else(|| moving.find_map(|share| copy(share, lay_out)))
}

/// A way to give every layer a holder with room for so many tokens; whether that succeeded.
type Filler = fn(&mut [Seat<'_>], &Engine, f64) -> bool;

/// The largest share of the declared room that a domain may be planned for: with more than one, it
/// must hold as many copies as with one, and have places to spare for second holders.
fn most_room(pool: &[Seat<'_>], engine: &Engine) -> f64 {
    let copies = |share: f64| {
        let tokens = engine.room_tokens * share;
        let places = pool.iter().map(|s| engine.layers_beside(&s.kind, tokens));
        f64::from(places.sum::<u32>()) / f64::from(engine.layers.max(1))
    };
    let declared = copies(1.0).floor();
    let fits = |share: &f64| copies(*share) >= declared + SPARE_SHARE;
    let larger = ROOM_STEPS.into_iter().filter(|s| *s > 1.0);
    larger.filter(|_| declared >= 1.0).find(fits).unwrap_or(1.0)
}

/// Lays the model out anew over all runners that no order is under way for, in the order of what
/// they hold, so that most keep a part of it.
///
/// A fast runner holds a third of the layers; when it is lost and nothing is spare, its neighbours
/// alone cannot take the hole, and the domain would serve nobody until it is back and has loaded
/// for five seconds. All together load the hole's worth in two or three.
fn lay_out(seats: &mut [Seat<'_>], engine: &Engine, tokens: f64) -> bool {
    let Some((empty_at, _)) = hole(seats, engine.layers) else {
        return true;
    };
    let mut order: Vec<usize> = (0..seats.len()).filter(|i| !seats[*i].busy).collect();
    order.sort_by_key(|i| seats[*i].layers.map_or(empty_at, |(from, _)| from));
    let count = |i: &usize| engine.layers_beside(&seats[*i].kind, tokens);
    let mut places: u32 = order.iter().map(count).sum();
    if places < engine.layers {
        return false;
    }
    let mut from = 0;
    for i in order {
        let most = engine.layers_beside(&seats[i].kind, tokens);
        if most == 0 {
            continue;
        }
        let left = engine.layers - from;
        let share = (most * left).div_ceil(places).min(most);
        places -= most;
        if share == 0 {
            continue;
        }
        let layers = Some((from, from + share));
        if seats[i].layers != layers {
            seats[i].layers = layers;
            seats[i].moved = Some(MoveReason::Hole);
        }
        from += share;
    }
    from == engine.layers
}

fn move_of(seat: &Seat<'_>) -> Option<Move> {
    Some(Move {
        runner: seat.entry.id.clone(),
        address: seat.entry.address,
        layers: seat.layers?,
        why: seat.moved?,
    })
}

/// Gives every layer that nobody holds to somebody; whether that succeeded.
fn fill(seats: &mut [Seat<'_>], engine: &Engine, tokens: f64) -> bool {
    // Each round fills one hole or part of one.
    for _ in 0..=seats.len() * 2 {
        let Some((from, to)) = hole(seats, engine.layers) else {
            return true;
        };
        if !take_free(seats, engine, tokens, (from, to)) && !grow(seats, engine, tokens, (from, to))
        {
            return false;
        }
    }
    hole(seats, engine.layers).is_none()
}

/// The first run of layers that nobody holds.
fn hole(seats: &[Seat<'_>], layers: u32) -> Option<(u32, u32)> {
    let held = |layer: u32| seats.iter().any(|s| s.covers(layer));
    let from = (0..layers).find(|l| !held(*l))?;
    let to = (from..layers).find(|l| held(*l)).unwrap_or(layers);
    Some((from, to))
}

/// A runner whose own range is not needed takes the start of a hole: the fastest empty one, which
/// gives up nothing, or the slowest of the others.
fn take_free(seats: &mut [Seat<'_>], engine: &Engine, tokens: f64, (from, to): (u32, u32)) -> bool {
    let room = |s: &Seat<'_>| engine.layers_beside(&s.kind, tokens);
    let free = (0..seats.len()).filter(|i| is_free(seats, *i) && room(&seats[*i]) > 0);
    let rank = |i: &usize| {
        let s = &seats[*i];
        let pace = (s.kind.pace * 1e3) as i64;
        let whole = room(s) >= to - from;
        // A runner that holds something is moved only where no empty one is left: one that closes
        // the whole hole, and of those the slowest, since the chain passes by that one already.
        match s.held() {
            0 => (false, false, pace),
            _ => (true, !whole, -pace),
        }
    };
    let Some(chosen) = free.min_by_key(rank) else {
        return false;
    };
    let count = room(&seats[chosen]).min(to - from);
    seats[chosen].layers = Some((from, from + count));
    seats[chosen].moved = Some(MoveReason::Hole);
    true
}

/// Whether a runner's range is held by others as well and no order is under way there.
fn is_free(seats: &[Seat<'_>], index: usize) -> bool {
    let seat = &seats[index];
    if seat.busy || seat.moved.is_some() {
        return false;
    }
    let Some((from, to)) = seat.layers else {
        return true;
    };
    let others = |layer: u32| {
        let mut rest = seats.iter().enumerate().filter(|(i, _)| *i != index);
        rest.any(|(_, s)| s.covers(layer))
    };
    (from..to).all(others)
}

/// A runner beside a hole takes more of it.
fn grow(seats: &mut [Seat<'_>], engine: &Engine, tokens: f64, (from, to): (u32, u32)) -> bool {
    let mut best: Option<(u32, usize)> = None;
    for (i, s) in seats.iter().enumerate().filter(|(_, s)| !s.busy) {
        let Some((start, end)) = s.layers else {
            continue;
        };
        let spare = engine
            .layers_beside(&s.kind, tokens)
            .saturating_sub(s.held());
        let touches = end == from || start == to;
        if touches && spare > 0 && best.is_none_or(|(b, _)| spare > b) {
            best = Some((spare, i));
        }
    }
    let Some((spare, i)) = best else {
        return false;
    };
    let count = spare.min(to - from);
    let seat = &mut seats[i];
    seat.layers = seat.layers.map(|(start, end)| match end == from {
        true => (start, end + count),
        false => (start - count, end),
    });
    seat.moved = Some(MoveReason::Hole);
    true
}

/// Empty runners take the run of layers for which a second holder does most good; of equal ones
/// the last, where the small ranges of the many small runners stand.
fn second_copies(seats: &mut [Seat<'_>], engine: &Engine, tokens: f64) {
    for i in 0..seats.len() {
        if seats[i].layers.is_some() || seats[i].busy {
            continue;
        }
        let count = engine.layers_beside(&seats[i].kind, tokens);
        let Some(range) = best_copy(seats, engine, &seats[i].kind, count) else {
            continue;
        };
        seats[i].layers = Some(range);
        seats[i].moved = Some(MoveReason::SecondCopy);
    }
}

/// Runners that no chain passes through go to layers whose every holder has too little room.
///
/// After the loss of a fast runner small ones take over its layers and are left with little room.
/// When it is back, what they hold is held twice; without this they would keep it, and the domain
/// would refuse requests for want of room for the rest of the day. Each move gives at least one
/// more layer a holder with room and takes none away, so the moves end.
fn relieve(seats: &mut [Seat<'_>], chained: usize, engine: &Engine) {
    if !seats.iter().any(|s| is_overfull(s, engine)) {
        return;
    }
    for i in chained..seats.len() {
        if !can_leave(seats, i, engine) {
            continue;
        }
        let short = |layer: u32| {
            let mut holders = seats.iter().filter(|s| s.covers(layer)).peekable();
            holders.peek().is_some() && holders.all(|s| is_overfull(s, engine))
        };
        let short: Vec<bool> = (0..engine.layers).map(short).collect();
        let count = engine.layers_beside(&seats[i].kind, engine.room_tokens);
        let count = count.clamp(1, engine.layers);
        let relieved = |from: &u32| {
            let range = *from as usize..(*from + count) as usize;
            short[range].iter().filter(|s| **s).count()
        };
        let best = (0..=engine.layers - count).max_by_key(relieved);
        if let Some(from) = best.filter(|from| relieved(from) > 0) {
            seats[i].layers = Some((from, from + count));
            seats[i].moved = Some(MoveReason::SecondCopy);
        }
    }
}

/// Whether every layer of a runner stays with another one that holds it already, and with as much
/// room as here.
fn can_leave(seats: &[Seat<'_>], index: usize, engine: &Engine) -> bool {
    let seat = &seats[index];
    let Some((from, to)) = seat.layers.filter(|_| !seat.busy && seat.moved.is_none()) else {
        return false;
    };
    let has_room = engine.layers_beside(&seat.kind, engine.room_tokens) > 0;
    let overfull = is_overfull(seat, engine);
    let stays = |layer: u32| {
        let others = seats.iter().enumerate().filter(|(i, _)| *i != index);
        let mut holders = others.filter(|(_, s)| !s.busy && s.moved.is_none() && s.covers(layer));
        holders.any(|(_, s)| overfull || !is_overfull(s, engine))
    };
    has_room && (from..to).all(stays)
}

/// Worth of a second holder for a layer that one runner alone holds.
const GAIN_ALONE: f64 = 1.0;

/// Worth of a holder with room for a layer whose every holder has too little.
const GAIN_ROOM: f64 = 4.0;

/// Worth of a holder that is faster than every other, for each time that it is faster.
const GAIN_PACE: f64 = 1.0;

fn best_copy(
    seats: &[Seat<'_>],
    engine: &Engine,
    kind: &Accelerator,
    count: u32,
) -> Option<(u32, u32)> {
    let count = count.min(engine.layers);
    if count == 0 {
        return None;
    }
    let gains: Vec<f64> = (0..engine.layers)
        .map(|layer| gain(seats, engine, kind, layer))
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

/// What one more holder of `kind` is worth to a layer.
fn gain(seats: &[Seat<'_>], engine: &Engine, kind: &Accelerator, layer: u32) -> f64 {
    let holders: Vec<&Seat<'_>> = seats.iter().filter(|s| s.covers(layer)).collect();
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

/// Whether a runner holds more than leaves it the wanted room.
fn is_overfull(seat: &Seat<'_>, engine: &Engine) -> bool {
    seat.held() > engine.layers_beside(&seat.kind, engine.room_tokens)
}
