//! Chain selection: which chain a request is sent to.
//!
//! Room is KV-cache memory for tokens along the whole chain. A chain that is admitted more than it
//! has room for preempts requests of its batch in the middle of their streams: all of them become
//! late, and callers abandon work that has been done. So a request is sent only where its tokens
//! fit, counting what all instances have in flight there.
//!
//! Load pattern: a failure domain is lost and its callers move to the other chains at once, or the
//! arrival rate doubles. What fits is served in time; the rest is shed
//! ([`load_shedding`](crate::relay::load_shedding)).

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::relay::chain::{Chain, Stage};

/// Share of a chain's room that new requests may fill by their estimates. Beyond it the chain
/// preempts requests of its batch.
pub const MAX_FILL: f64 = 1.0;

/// Fill limit for requests that resume after their chain broke. It is higher than that of new
/// requests: part of their work is done, and new requests would otherwise take the room that is
/// released before they retry.
pub const MAX_FILL_RESUMED: f64 = 1.1;

/// Fill limit for new requests where a flow plan keeps chains at their target. It is higher than
/// [`MAX_FILL`], since occupancies are known late and vary around the target: with a limit at the target
/// chains would be excluded and included by turns.
pub const MAX_PLANNED_FILL: f64 = 1.1;

/// Fill limit for resumed requests where a flow plan keeps chains at their target.
pub const MAX_PLANNED_FILL_RESUMED: f64 = 1.2;

/// Penalty of a chain in another failure domain, as a share of its room: it is preferred only if it
/// is emptier by more than this. Requests and events are small, but traffic between failure domains
/// is expensive.
const REMOTE_PENALTY: f64 = 0.15;

/// Share of the answer's tokens that counts over the lifetime of a request: half of them on average,
/// and somewhat more since requests with long answers stay longest.
const ANSWER_SHARE: f64 = 0.6;

/// Returns the number of tokens that a request occupies in a chain on average.
#[must_use]
pub fn demand(prompt: u32, answer: u32) -> f64 {
    f64::from(prompt) + ANSWER_SHARE * f64::from(answer)
}

/// Memory of runners that requests in flight through former chains occupy, as tokens times layers.
///
/// Counted by runner and not by chain: when a chain is recomputed with another first runner, its
/// other runners still hold the tokens of requests in the old chain. If the new chain counted as
/// empty, all queued requests would be sent there, and refused. Chains in use have no runner in
/// common, so the tokens in one of them concern no other.
#[derive(Clone, Debug, Default)]
pub struct FormerOccupancy(BTreeMap<Name, f64>);

impl FormerOccupancy {
    /// Adds `tokens` tokens that are in flight through the `stages` of a former chain.
    pub fn add(&mut self, stages: &[Stage], tokens: f64) {
        if tokens <= 0.0 {
            return;
        }
        for s in stages {
            *self.0.entry(s.runner.id.clone()).or_default() += tokens * s.count();
        }
    }

    /// Returns the used part of a chain's room, in tokens: the room less what is left at the stage
    /// with the least. `tokens` are in flight through the chain itself.
    #[must_use]
    pub fn used_tokens(&self, chain: &Chain, tokens: f64) -> f64 {
        if self.0.is_empty() {
            return tokens;
        }
        let left = |s: &Stage| {
            let taken = self.0.get(&s.runner.id).copied().unwrap_or(0.0);
            (s.room - taken) / s.count().max(1.0) - tokens
        };
        let left = chain.stages.iter().map(left).min_by(f64::total_cmp);
        chain.room_tokens - left.unwrap_or(0.0)
    }
}

/// The state of a chain that selection depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainCandidate {
    /// Index of the chain.
    pub chain: usize,
    /// Whether it is in the failure domain of this instance.
    pub near: bool,
    /// Room of the chain, in tokens.
    pub room_tokens: f64,
    /// Room that requests of all instances use, in tokens.
    pub used_tokens: f64,
    /// Time without a byte while requests are waiting, in milliseconds.
    pub silent_ms: Millis,
    /// Whether it is backing off after a refusal.
    pub backing_off: bool,
    /// Inter-token gap of its streams, as a share of the largest gap that is in time.
    pub gap_share: f64,
    /// Expected time between two events of a new stream, in milliseconds.
    pub event_ms: f64,
}

/// Initial and maximum backoff of a chain after a refusal, in milliseconds; it doubles with each
/// refusal. A runner whose memory is full refuses for seconds, and each refused request costs a
/// retry.
const BACKOFF_MS: Millis = 100;
const MAX_BACKOFF_MS: Millis = 1_600;

/// Adaptation of a chain's usable room: factor at each refusal, lower bound of the scale, and
/// increment with each accepted request. Under the highest load answers are longer than estimated,
/// since long ones stay longest, so the room that estimates may fill is derived from refusals.
const SCALE_DECREASE: f64 = 0.94;
const MIN_SCALE: f64 = 0.6;
const SCALE_INCREASE: f64 = 0.002;

/// Exponential backoff of a chain that refuses requests, and the scale of its usable room.
#[derive(Clone, Copy, Debug)]
pub struct RefusalBackoff {
    count: u32,
    until_ms: Millis,
    scale: f64,
}

impl Default for RefusalBackoff {
    fn default() -> Self {
        RefusalBackoff {
            count: 0,
            until_ms: 0,
            scale: 1.0,
        }
    }
}

impl RefusalBackoff {
    /// Records a refusal at `now`. Refusals during the backoff, of requests that were sent before it
    /// began, count as one.
    pub fn record_refused(&mut self, now: Millis) {
        if now < self.until_ms {
            return;
        }
        let backoff = BACKOFF_MS << self.count.min(8);
        self.until_ms = now + backoff.min(MAX_BACKOFF_MS);
        self.count += 1;
        self.scale = (self.scale * SCALE_DECREASE).max(MIN_SCALE);
    }

    /// Records an accepted request at `now`.
    pub fn record_accepted(&mut self, now: Millis) {
        if now >= self.until_ms {
            self.count = 0;
        }
        self.scale = (self.scale + SCALE_INCREASE).min(1.0);
    }

    /// Returns the share of the chain's room that estimates may fill.
    #[must_use]
    pub fn room_scale(&self) -> f64 {
        self.scale
    }

    /// Returns whether the chain gets no requests at `now`.
    #[must_use]
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.until_ms
    }
}

/// Silence after which a chain is suspected and gets new requests only if no other has room, in
/// milliseconds.
const SUSPECT_AFTER_MS: Millis = 200;

impl ChainCandidate {
    /// Returns whether a request of `tokens` tokens fits within the share `fill` of the room.
    fn fits(&self, tokens: f64, fill: f64) -> bool {
        !self.backing_off && self.used_tokens + tokens <= self.room_tokens * fill
    }

    /// Returns the used share of the room with `tokens` more tokens.
    fn fill_with(&self, tokens: f64) -> f64 {
        (self.used_tokens + tokens) / self.room_tokens.max(1.0)
    }

    fn is_suspected(&self) -> bool {
        self.silent_ms > SUSPECT_AFTER_MS
    }

    /// Returns the factor for a chain's share of new requests, from 0 to 1.
    ///
    /// Load pattern: the chains of a fleet differ in speed by a factor of three, and the inter-token gap
    /// grows with the number of concurrent streams. A slow chain that is filled as far as a fast one
    /// exceeds the gap objective on nearly all of its streams while it still has room. So its share is
    /// reduced before its gaps reach the objective.
    fn timeliness(&self) -> f64 {
        let left = (LATE_SHARE - self.gap_share) / (LATE_SHARE - TIMELY_SHARE);
        left.clamp(0.0, 1.0)
    }
}

/// Share of the gap objective from which on a chain gets fewer new requests, and at which its weight is
/// lowest.
const TIMELY_SHARE: f64 = 0.6;
const LATE_SHARE: f64 = 0.95;

/// Returns the least loaded chain with room for a request of `tokens` tokens within the share `fill`.
#[must_use]
pub fn select(candidates: &[ChainCandidate], tokens: f64, fill: f64) -> Option<usize> {
    let rank = |c: &ChainCandidate| {
        let remote = if c.near { 0.0 } else { REMOTE_PENALTY };
        let suspected = if c.is_suspected() { 10.0 } else { 0.0 };
        c.fill_with(tokens) + remote + suspected
    };
    let best = candidates
        .iter()
        .filter(|c| c.fits(tokens, fill))
        .min_by(|a, b| rank(a).total_cmp(&rank(b)));
    best.map(|c| c.chain)
}

/// Returns a chain with room for a request of `tokens` tokens within the share `fill`, drawn by the
/// weights of a flow plan (`weights`, in the order of `candidates`); `draw` is a random number from 0 to
/// 1. A suspected chain is taken only if no other has room.
#[must_use]
pub fn select_planned(
    candidates: &[ChainCandidate],
    weights: &[f64],
    tokens: f64,
    fill: f64,
    draw: f64,
) -> Option<usize> {
    let weighted = candidates.iter().zip(weights);
    let fitting = weighted.filter(|(c, _)| c.fits(tokens, fill));
    let weighted: Vec<(usize, f64)> = fitting
        .map(|(c, weight)| match c.is_suspected() {
            true => (c.chain, weight * SUSPECT_WEIGHT),
            false => (c.chain, *weight),
        })
        .collect();
    let sum: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    let mut left = draw * sum;
    for (chain, weight) in &weighted {
        left -= weight;
        if left < 0.0 {
            return Some(*chain);
        }
    }
    weighted.last().map(|(chain, _)| *chain)
}

/// Number of instances up to which each considers all chains; in a fleet of this size loads are known
/// with little delay.
const FULL_SCAN_INSTANCES: usize = 6;

/// Sampling weights of a chain in the failure domain of this instance, and of a suspected one.
const NEAR_WEIGHT: f64 = 8.0;
const SUSPECT_WEIGHT: f64 = 1e-3;

/// Lower bound of the weight factors for free room and timeliness, as long as a chain has room.
const MIN_WEIGHT: f64 = 0.05;

/// Returns a chain as [`select`] does, from a random sample that shrinks with the number of instances
/// that decide independently (`deciders`); `draw` gives random numbers from 0 to 1.
///
/// Load pattern: hundreds of instances know each other's load with a delay of a second. If each takes
/// the least loaded chain, all take the same one until they learn that it is full: it gets twice the
/// requests that it has room for, which queue for seconds while other chains are half empty. The better
/// of two random chains is still the same one too often. So the more instances decide, the fewer chains
/// each considers, down to one, drawn with a probability that grows with its free room and its speed.
pub fn select_sampled(
    candidates: &[ChainCandidate],
    tokens: f64,
    fill: f64,
    deciders: usize,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    if deciders <= FULL_SCAN_INSTANCES {
        return select(candidates, tokens, fill);
    }
    let exponent = speed_exponent(candidates);
    let fitting = candidates.iter().filter(|c| c.fits(tokens, fill));
    let mut drawn: Vec<(f64, ChainCandidate)> = fitting
        .map(|c| {
            let weight = draw_weight(c, exponent, tokens);
            (-(1.0 - draw()).ln() / weight, *c)
        })
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    let sample = drawn.len() * FULL_SCAN_INSTANCES / deciders;
    drawn.truncate(sample.max(1));
    let drawn: Vec<ChainCandidate> = drawn.into_iter().map(|(_, candidate)| candidate).collect();
    select(&drawn, tokens, fill)
}

/// Exponent of a chain's speed in its sampling weight while all chains are empty. With 1, chains of
/// any speed are equally full; above that, slow ones are emptier.
const SPEED_EXPONENT: f64 = 3.0;

/// Returns the exponent of a chain's speed in its sampling weight.
///
/// Load pattern: a failure domain is lost under high load. All room is needed then, and loads are known
/// with delay: work that prefers fast chains overfills them while slow ones have room left. So the
/// preference fades as the chains fill up.
#[must_use]
pub fn speed_exponent(candidates: &[ChainCandidate]) -> f64 {
    let room: f64 = candidates.iter().map(|c| c.room_tokens).sum();
    let used: f64 = candidates.iter().map(|c| c.used_tokens).sum();
    SPEED_EXPONENT * (1.0 - used / room.max(1.0)).clamp(0.0, 1.0)
}

/// Returns the relative probability of a chain to be drawn.
///
/// Load pattern: the chains of a fleet differ in speed by a factor of seven, and the load is half of
/// what they have room for. If slow chains are filled as far as fast ones, most streams in flight are
/// theirs, and every stream in flight is late when a chain breaks or all instances are lost.
#[must_use]
pub fn draw_weight(candidate: &ChainCandidate, speed_exponent: f64, tokens: f64) -> f64 {
    let free = (1.0 - candidate.fill_with(tokens)).max(MIN_WEIGHT);
    let near = if candidate.near { NEAR_WEIGHT } else { 1.0 };
    let suspected = if candidate.is_suspected() {
        SUSPECT_WEIGHT
    } else {
        1.0
    };
    let timely = candidate.timeliness().max(MIN_WEIGHT);
    let speed = candidate.event_ms.max(1.0).powf(-speed_exponent);
    free * near * suspected * timely * speed
}
