//! Layer placement: which runner holds which layers of a model.
//!
//! Runners start empty and lose their layers on restart, so placement is a continuous
//! reconciliation: each call of [`plan`] compares the current holdings with the goal and returns
//! the next moves. It depends on its arguments only, so an instance that takes over the lease
//! continues where the previous one stopped.
//!
//! Goal: each failure domain holds as many complete copies of the model as its memory allows with
//! the target room for requests, and at least one in any case. Remaining runners hold second copies
//! of layers that have a single holder. When a domain loses a runner, the missing layers are taken
//! over by these runners, or by extending adjacent ranges, which loads only the new layers. Runners
//! of the only complete chain are not moved.
//!
//! A range that leaves its runner less than the target room is not shrunk. Other runners hold the
//! surplus layers and chains bypass it already, so shrinking gains nothing, while a runner accepts
//! no new requests for released layers until those in progress have ended. A second copy is placed
//! where it has the highest gain instead.
//!
//! *Room* is memory left beside the weights for the KV cache of requests, in tokens. The room that
//! a domain is planned for is lowered in steps until the model fits: after the loss of many runners
//! a domain with little room still serves more requests than one without a complete chain.

mod coverage;
mod holes;
mod second_copies;
mod work;

use std::collections::BTreeMap;

use self::holes::{fill_holes, lay_out};
use self::second_copies::{add_second_copies, relieve_overfull};
use self::work::WorkBudget;
use crate::prelude::*;
use crate::relay::chain::{Holder, chain_set, cheapest_chain};
use crate::relay::held_range::HeldRange;
use crate::relay::intent::{Accelerator, ChainObjective, Engine};
use crate::relay::runners::{RunnerEntry, Runners};

/// Shares of the declared room that a domain is planned for, tried in descending order. The last
/// leaves room for a few requests only. More than the declared room absorbs the load of another
/// failure domain that is lost.
const ROOM_STEPS: [f64; 8] = [1.5, 1.25, 1.0, 0.8, 0.6, 0.45, 0.3, 0.15];

/// Spare layer capacity, as a share of a copy, that a domain must keep when it is planned for more
/// than the declared room. It goes to second holders, which replace a lost range without a load.
const SPARE_SHARE: f64 = 0.15;

/// Minimum share of the declared room for a copy beyond the first. With less, its runners are of
/// more use as second holders.
const MIN_FURTHER_COPY_ROOM: f64 = 0.6;

/// An assignment of a layer range to a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Runner.
    pub runner: Name,
    /// Address of the runner.
    pub address: std::net::SocketAddr,
    /// Layer range, end exclusive.
    pub layers: (u32, u32),
    /// Reason for the move.
    pub reason: MoveReason,
}

/// Reason for which a runner is assigned layers.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum MoveReason {
    /// No runner in the domain holds the layers.
    #[display("hole")]
    Hole,
    /// The layers have a single holder, or only holders that are slower or short of room.
    #[display("second copy")]
    SecondCopy,
}

/// A runner of the domain being planned, with the layers that it holds or is loading.
#[derive(Clone, Debug)]
struct PlannedRunner<'a> {
    entry: &'a RunnerEntry,
    kind: Accelerator,
    layers: Option<(u32, u32)>,
    /// Whether an earlier move is in progress; the runner gets no new one until that has ended.
    busy: bool,
    /// Whether it is slower than declared by [`SLOW_FACTOR`] or more.
    slow: bool,
    moved: Option<MoveReason>,
}

impl PlannedRunner<'_> {
    /// Whether it keeps the layers that it has.
    fn stays(&self) -> bool {
        !self.busy && self.moved.is_none()
    }

    fn held_layers(&self) -> u32 {
        self.layers.map_or(0, |(from, to)| to - from)
    }
}

/// Returns the next moves for the runners of a service. `loading` lists the ranges that runners
/// have been ordered to hold and do not report yet.
#[must_use]
pub fn plan(
    runners: &Runners,
    service: &str,
    engine: &Engine,
    loading: &BTreeMap<Name, (u32, u32)>,
    now: Millis,
) -> Vec<Move> {
    Planner::default().plan(runners, service, engine, loading, now)
}

/// Plans the placement of a service and skips the failure domains in which nothing changed since a
/// plan without moves.
///
/// Load pattern: a fleet has thousands of runners, placement runs several times a second, and most of
/// the time nothing is to be done.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    engine: Engine,
    /// Inputs of the last plan of each domain, if it had no moves.
    idle: BTreeMap<Name, PlanInputs>,
    domains_planned: u64,
    given_up: u64,
    most_work: u64,
}

/// What the plan of a failure domain is made with.
#[derive(Debug)]
struct PlanContext<'a> {
    engine: &'a Engine,
    work: WorkBudget,
}

impl<'a> PlanContext<'a> {
    fn new(engine: &'a Engine) -> PlanContext<'a> {
        PlanContext {
            engine,
            work: WorkBudget::new(),
        }
    }
}

/// A runner and the layer range that it has been ordered to hold.
type LoadingRange = (Name, (u32, u32));

/// What the plan of a failure domain depends on, besides the configuration.
#[derive(Clone, Debug, PartialEq)]
struct PlanInputs {
    generation: u64,
    loading: Vec<LoadingRange>,
    settled: bool,
    /// Until when the inputs remain as they are unless a runner changes, in milliseconds.
    valid_until_ms: Millis,
}

impl Planner {
    /// Returns how many plans of a failure domain were computed so far.
    #[must_use]
    pub fn domains_planned(&self) -> u64 {
        self.domains_planned
    }

    /// Returns how many plans of a failure domain were given up, because they took too much work.
    #[must_use]
    pub fn given_up(&self) -> u64 {
        self.given_up
    }

    /// Returns the most work that the plan of a failure domain took so far, in visits of a layer or
    /// runner.
    #[must_use]
    pub fn most_work(&self) -> u64 {
        self.most_work
    }

    /// Returns the next moves, as [`plan`] does.
    pub fn plan(
        &mut self,
        runners: &Runners,
        service: &str,
        engine: &Engine,
        loading: &BTreeMap<Name, (u32, u32)>,
        now: Millis,
    ) -> Vec<Move> {
        if self.engine != *engine {
            self.engine = engine.clone();
            self.idle.clear();
        }
        let mut pending: BTreeMap<&Name, Vec<LoadingRange>> = BTreeMap::new();
        for (id, layers) in loading {
            if let Some(entry) = runners.entry(id) {
                let of_domain = pending.entry(&entry.domain).or_default();
                of_domain.push((id.clone(), *layers));
            }
        }
        self.idle.retain(|domain, _| runners.has_domain(domain));
        let mut moves = Vec::new();
        for domain in runners.domains() {
            let pending = pending.remove(domain).unwrap_or_default();
            let idle = self.idle.get(domain).is_some_and(|i| {
                let same = i.generation == runners.generation(domain) && i.loading == pending;
                same && now < i.valid_until_ms
            });
            if idle {
                continue;
            }
            let inputs = plan_inputs(runners, domain, pending, now);
            let planned = planned_runners(runners, domain, service, engine, loading, now);
            let cx = PlanContext::new(engine);
            let mut of_domain = plan_around_slow(&planned, &cx, inputs.settled);
            self.domains_planned += 1;
            self.most_work = self.most_work.max(cx.work.spent());
            if cx.work.is_exhausted() {
                of_domain.clear();
                self.given_up += 1;
            }
            match of_domain.is_empty() {
                true => self.idle.insert(domain.clone(), inputs),
                false => self.idle.remove(domain),
            };
            moves.extend(of_domain);
        }
        moves
    }
}

/// Returns the inputs of the plan of a failure domain at `now`.
fn plan_inputs(
    runners: &Runners,
    domain: &str,
    loading: Vec<LoadingRange>,
    now: Millis,
) -> PlanInputs {
    let healths = runners.in_domain(domain).map(|e| runners.health(&e.id));
    let dead = healths.filter(|s| s.dead);
    let confirmed = dead.map(|s| s.dead_since_ms + LOSS_CONFIRM_MS).max();
    let settles_ms = confirmed.unwrap_or(0).max(runners.complete_from_ms());
    let settled = now >= settles_ms;
    let until_ms = runners.next_usability_change_ms(domain, now);
    PlanInputs {
        generation: runners.generation(domain),
        loading,
        settled,
        valid_until_ms: if settled {
            until_ms
        } else {
            until_ms.min(settles_ms)
        },
    }
}

/// Returns the usable runners of a failure domain as they are planned with.
fn planned_runners<'a>(
    runners: &'a Runners,
    domain: &str,
    service: &str,
    engine: &Engine,
    loading: &BTreeMap<Name, (u32, u32)>,
    now: Millis,
) -> Vec<PlannedRunner<'a>> {
    let mut planned = Vec::new();
    let of_service = runners.in_domain(domain).filter(|e| *e.service == *service);
    for entry in of_service.filter(|e| e.fits_model(engine.layers)) {
        let kind = entry.kind.as_ref().and_then(|k| engine.kinds.get(k));
        let Some(mut kind) = kind.copied().filter(|_| runners.usable(entry, now)) else {
            continue;
        };
        let slowness = runners.health(&entry.id).slowness();
        kind.pace *= slowness;
        let pending = loading.get(&entry.id).copied();
        let reported = entry.layers.filter(|_| runners.holds_layers(entry, now));
        planned.push(PlannedRunner {
            entry,
            kind,
            layers: pending.or(reported.map(HeldRange::bounds)),
            busy: pending.is_some(),
            slow: slowness >= SLOW_FACTOR,
            moved: None,
        });
    }
    planned
}

/// Slowdown against the declared speed from which on a runner's layers are placed elsewhere.
const SLOW_FACTOR: f64 = 2.0;

/// Plans with the runners that are not slow, if these can hold the model without breaking up a
/// complete chain.
///
/// Failure: some runners become ten times slower for seconds. Every pass through the chain waits for
/// them, and prompts queue there until the time-to-first-token objective is missed, although other
/// runners have memory for their layers. Slow runners keep their layers and are usable again as
/// soon as they recover.
fn plan_around_slow(
    planned: &[PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    settled: bool,
) -> Vec<Move> {
    if planned.iter().any(|s| s.slow) {
        let quick: Vec<PlannedRunner<'_>> = planned.iter().filter(|s| !s.slow).cloned().collect();
        match plan_copies(&quick, cx, false) {
            Some(moves) if moves.is_empty() || improves_chain(planned, &moves, cx) => {
                return moves;
            }
            _ => {}
        }
        let moves = take_over(&quick, cx);
        if improves_chain(planned, &moves, cx) {
            return moves;
        }
    }
    plan_copies(planned, cx, settled).unwrap_or_default()
}

/// Maximum ratio of the step time after moves that bypass slow runners to the present one. Such
/// moves cost loads, and room that is not regained.
const MAX_STEP_RATIO: f64 = 0.8;

/// Returns whether the moves reduce the step time of the best chain to [`MAX_STEP_RATIO`] of the
/// present one or less, or make a chain complete where there was none.
fn improves_chain(planned: &[PlannedRunner<'_>], moves: &[Move], cx: &PlanContext<'_>) -> bool {
    let mut moved = planned.to_vec();
    for runner in &mut moved {
        if let Some(m) = moves.iter().find(|m| m.runner == runner.entry.id) {
            runner.layers = Some(m.layers);
        }
    }
    match (best_step_ms(planned, cx), best_step_ms(&moved, cx)) {
        (Some(before), Some(after)) => after <= before * MAX_STEP_RATIO,
        (None, Some(_)) => true,
        (_, None) => false,
    }
}

fn best_step_ms(planned: &[PlannedRunner<'_>], cx: &PlanContext<'_>) -> Option<f64> {
    let holders: Vec<Holder<'_>> = planned.iter().filter_map(|s| as_holder(s, cx)).collect();
    cheapest_chain(&holders, cx.engine.layers).map(|chain| chain.step_ms)
}

/// Minimum share of the declared room when runners take over layers of slow ones. A chain with a
/// slow stage cannot serve more than this share within its objectives.
const TAKE_OVER_ROOM: f64 = 0.45;

/// Returns moves by which runners at normal speed take over layers that only slow ones hold, as
/// many as fit. The delay that a slow stage adds to each pass is proportional to its layers.
fn take_over(quick: &[PlannedRunner<'_>], cx: &PlanContext<'_>) -> Vec<Move> {
    let mut planned = quick.to_vec();
    // A partial take-over improves_chain the pass as well.
    let _complete = fill_holes(&mut planned, cx, cx.engine.room_tokens * TAKE_OVER_ROOM);
    planned.iter().filter_map(as_move).collect()
}

/// Time after which a dead runner counts as permanently lost for the layout of a whole domain, in
/// milliseconds. A runner that was disconnected briefly answers again within 700 ms; if all others
/// had moved by then, its layers would be useless.
const LOSS_CONFIRM_MS: Millis = 700;

/// Returns the moves that give a domain as many copies of the model as it can hold, or `None` if it
/// has no complete chain after them. `settled` states that all live runners are known and none was
/// lost within [`LOSS_CONFIRM_MS`]; only then may the whole domain be laid out anew.
fn plan_copies(
    planned: &[PlannedRunner<'_>],
    cx: &PlanContext<'_>,
    settled: bool,
) -> Option<Vec<Move>> {
    let mut pool = planned.to_vec();
    let mut placed = Vec::new();
    take_chains(&mut pool, &mut placed, cx);
    while let Some(filled) = next_copy(&pool, cx, placed.is_empty(), settled) {
        pool = filled;
        if !take_chains(&mut pool, &mut placed, cx) {
            break;
        }
    }
    let chained = placed.len();
    placed.extend(pool);
    if chained > 0 {
        add_second_copies(&mut placed, cx, cx.engine.room_tokens);
        relieve_overfull(&mut placed, chained, cx);
    }
    let moves = placed.iter().filter_map(as_move).collect();
    (chained > 0).then_some(moves)
}

/// Moves the runners of all complete chains from `pool` to `placed`, a chain after the other; returns
/// whether there was one.
fn take_chains<'a>(
    pool: &mut Vec<PlannedRunner<'a>>,
    placed: &mut Vec<PlannedRunner<'a>>,
    cx: &PlanContext<'_>,
) -> bool {
    let holders: Vec<Holder<'_>> = pool.iter().filter_map(|s| as_holder(s, cx)).collect();
    let mut chain_of: BTreeMap<Name, usize> = BTreeMap::new();
    let chains = chain_set(&holders, cx.engine).chains;
    for (i, chain) in chains.iter().enumerate() {
        chain_of.extend(chain.stages.iter().map(|s| (s.runner.id.clone(), i)));
    }
    let chained = |s: &PlannedRunner<'_>| chain_of.get(&s.entry.id).copied();
    let (mut members, rest): (Vec<_>, Vec<_>) = pool.drain(..).partition(|s| chained(s).is_some());
    members.sort_by_key(chained);
    *pool = rest;
    placed.extend(members);
    !chain_of.is_empty()
}

fn as_holder<'a>(runner: &PlannedRunner<'a>, cx: &PlanContext<'_>) -> Option<Holder<'a>> {
    let share = 1.0 / f64::from(cx.engine.layers.max(1));
    Some(Holder {
        entry: runner.entry,
        layers: runner.layers?,
        limited: false,
        layer_ms: cx.engine.step_ms * runner.kind.pace * share,
        room: cx.engine.room(&runner.kind, runner.held_layers(), 1),
        target_room: cx.engine.room_tokens,
    })
}

/// Returns the pool with all missing layers of one more copy assigned, if its memory suffices. The
/// first copy of a domain is accepted with any amount of room, and the domain is laid out anew if no
/// runner can take the missing layers.
fn next_copy<'a>(
    pool: &[PlannedRunner<'a>],
    cx: &PlanContext<'_>,
    first: bool,
    settled: bool,
) -> Option<Vec<PlannedRunner<'a>>> {
    let least = if first { 0.0 } else { MIN_FURTHER_COPY_ROOM };
    let most = if first { max_room_share(pool, cx) } else { 1.0 };
    let shares = ROOM_STEPS.into_iter();
    let shares = shares.filter(|s| (least..=most).contains(s));
    let copy = |share: f64, assign: AssignFn| {
        let mut tried = pool.to_vec();
        assign(&mut tried, cx, cx.engine.room_tokens * share).then_some(tried)
    };
    let filled = shares.clone().find_map(|share| {
        let filled = copy(share, fill_holes)?;
        Some(match cx.engine.chain_objective {
            ChainObjective::Fastest => filled,
            ChainObjective::Throughput => {
                with_more_room(filled, |raise| copy(share * (1.0 + raise), fill_holes))
            }
        })
    });
    let mut moving = shares.filter(|_| first && settled);
    filled.or_else(|| moving.find_map(|share| copy(share, lay_out)))
}

/// Steps in which the room of a copy is raised, as shares of the room that was tried.
const ROOM_RAISES: [f64; 6] = [0.3, 0.25, 0.2, 0.15, 0.1, 0.05];

/// Returns the copy with the most room that moves no more runners than `filled`; `copy` tries one with
/// its room raised by a share.
///
/// Load pattern: a service lacks room. Runners that are filled one after the other leave the last one
/// with few layers, and the chain has the room of the others; the same runners with equal parts have
/// up to a fifth more.
fn with_more_room<'a>(
    filled: Vec<PlannedRunner<'a>>,
    copy: impl Fn(f64) -> Option<Vec<PlannedRunner<'a>>>,
) -> Vec<PlannedRunner<'a>> {
    let moves = |copy: &[PlannedRunner<'_>]| copy.iter().filter(|s| s.moved.is_some()).count();
    let raised = ROOM_RAISES.into_iter().filter_map(copy);
    let mut raised = raised.filter(|copy| moves(copy) <= moves(&filled));
    raised.next().unwrap_or(filled)
}

/// Assigns every layer to a holder with room for the given number of tokens; returns whether that
/// succeeded.
type AssignFn = fn(&mut [PlannedRunner<'_>], &PlanContext<'_>, f64) -> bool;

/// Returns the largest share of the declared room that a domain may be planned for. A share above 1
/// must allow as many copies as a share of 1, with [`SPARE_SHARE`] left for second holders.
fn max_room_share(pool: &[PlannedRunner<'_>], cx: &PlanContext<'_>) -> f64 {
    let copies = |share: f64| {
        let tokens = cx.engine.room_tokens * share;
        let places = pool
            .iter()
            .map(|s| cx.engine.layers_beside(&s.kind, tokens));
        f64::from(places.sum::<u32>()) / f64::from(cx.engine.layers.max(1))
    };
    let declared = copies(1.0).floor();
    let fits = |share: &f64| copies(*share) >= declared + SPARE_SHARE;
    let larger = ROOM_STEPS.into_iter().filter(|s| *s > 1.0);
    larger.filter(|_| declared >= 1.0).find(fits).unwrap_or(1.0)
}

fn as_move(runner: &PlannedRunner<'_>) -> Option<Move> {
    Some(Move {
        runner: runner.entry.id.clone(),
        address: runner.entry.address,
        layers: runner.layers?,
        reason: runner.moved?,
    })
}
