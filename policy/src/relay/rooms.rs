//! Which chain a request goes to, and who is turned away when there is no room.
//!
//! Room is memory for tokens along the whole chain. A chain that takes more than it has room for
//! takes requests back out of its batch, in the middle of their streams: everybody is late, and
//! callers give up on work that was done. So a request enters only where its tokens fit, counted
//! with what every instance has in flight there.
//!
//! Load pattern: a failure domain is lost and its callers come to the other chains at once, or the
//! arrivals double. What fits is served in time; the rest hears at once when to come back.

use std::collections::BTreeMap;

use crate::prelude::*;
use crate::relay::chain::{Chain, Stage};

/// Part of a chain's room that requests may take by their estimates. Beyond it a chain takes requests
/// back out of its batch.
pub const FILL: f64 = 1.0;

/// The same for requests that were under way in a chain that broke: they have been paid for, and
/// new work takes the room that comes free before they look again.
pub const FILL_RESUMED: f64 = 1.1;

/// Weight of a chain in the own failure domain: a foreign one is preferred only when it is emptier
/// by this share of its room. Bytes between failure domains are few for requests and events, and
/// dear.
const ELSEWHERE: f64 = 0.15;

/// Part of the answer that counts for the whole of a request's life: half of it on average, and
/// some more since long answers stay longest.
const ANSWER_SHARE: f64 = 0.6;

/// Tokens that a request takes at a chain on average.
#[must_use]
pub fn demand(prompt: u32, answer: u32) -> f64 {
    f64::from(prompt) + ANSWER_SHARE * f64::from(answer)
}

/// What the requests in flight take of each runner's memory, as tokens times layers.
///
/// Counted by runner and not by chain: when a chain is worked out anew through another first
/// runner, its other runners still hold what passes through the old one. A new chain that counted
/// as empty was sent everything that waited, and refused it.
#[derive(Clone, Debug, Default)]
pub struct Occupancy(BTreeMap<Name, f64>);

impl Occupancy {
    /// `tokens` tokens are in flight along `stages`.
    pub fn add(&mut self, stages: &[Stage], tokens: f64) {
        for s in stages {
            *self.0.entry(s.runner.id.clone()).or_default() += tokens * s.count();
        }
    }

    /// Tokens that a chain has no room for any more: its room less what its tightest part has left.
    #[must_use]
    pub fn used_tokens(&self, chain: &Chain) -> f64 {
        let left = |s: &Stage| {
            let taken = self.0.get(&s.runner.id).copied().unwrap_or(0.0);
            (s.room - taken) / s.count().max(1.0)
        };
        let left = chain.stages.iter().map(left).min_by(f64::total_cmp);
        chain.room_tokens - left.unwrap_or(0.0)
    }
}

/// A chain as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Index of the chain.
    pub chain: usize,
    /// Whether it is in the own failure domain.
    pub near: bool,
    /// Tokens that it has room for.
    pub room_tokens: f64,
    /// Tokens that it has no room for any more, from the requests of all instances.
    pub used_tokens: f64,
    /// Time without a byte while requests wait, in milliseconds.
    pub silent_ms: Millis,
    /// Whether it refused a request a moment ago.
    pub refusing: bool,
    /// Pause between two events that its streams have, as a share of what their callers take for timely.
    pub pause_share: f64,
}

/// How long a chain gets no new requests after it refused one, in milliseconds: twice as long each
/// time, up to a bound. A runner whose memory is taken refuses for seconds, and each request sent
/// there in vain costs a repeat.
const REFUSED_MS: Millis = 100;
const REFUSED_LONGEST_MS: Millis = 1_600;

/// What a chain's room is multiplied by at each refusal, the least that comes of it, and what is
/// added with each request that is taken. Answers are longer than callers expect where the load is
/// worst, since long ones stay longest; the room that an estimate may fill is found from what the
/// chain refuses.
const SHRINK: f64 = 0.94;
const LEAST_SCALE: f64 = 0.6;
const GROW: f64 = 0.002;

/// What a chain's refusals say of its next answer.
#[derive(Clone, Copy, Debug)]
pub struct Refusals {
    count: u32,
    until_ms: Millis,
    scale: f64,
}

impl Default for Refusals {
    fn default() -> Self {
        Refusals {
            count: 0,
            until_ms: 0,
            scale: 1.0,
        }
    }
}

impl Refusals {
    /// It refused a request. Refusals of requests that were under way together count once.
    pub fn refused(&mut self, now: Millis) {
        if now < self.until_ms {
            return;
        }
        let pause = REFUSED_MS << self.count.min(8);
        self.until_ms = now + pause.min(REFUSED_LONGEST_MS);
        self.count += 1;
        self.scale = (self.scale * SHRINK).max(LEAST_SCALE);
    }

    /// It took a request.
    pub fn taken(&mut self, now: Millis) {
        if now >= self.until_ms {
            self.count = 0;
        }
        self.scale = (self.scale + GROW).min(1.0);
    }

    /// Share of the chain's room that estimates may fill.
    #[must_use]
    pub fn scale(&self) -> f64 {
        self.scale
    }

    /// Whether it gets no new requests at `now`.
    #[must_use]
    pub fn refusing(&self, now: Millis) -> bool {
        now < self.until_ms
    }
}

/// Silence from which on a chain gets new requests only if no other has room, in milliseconds.
const DOUBT_MS: Millis = 200;

impl Room {
    /// Whether a request of `tokens` tokens may be sent there below `fill`.
    fn fits(&self, tokens: f64, fill: f64) -> bool {
        !self.refusing && self.used_tokens + tokens <= self.room_tokens * fill
    }

    /// Share of its room that is taken with `tokens` tokens more.
    fn fill_with(&self, tokens: f64) -> f64 {
        (self.used_tokens + tokens) / self.room_tokens.max(1.0)
    }

    fn is_doubted(&self) -> bool {
        self.silent_ms > DOUBT_MS
    }

    /// How much of a chain's usual share of new requests it should get, from 0 to 1.
    ///
    /// Load pattern: the chains of a fleet differ three times in speed, and a chain's pauses grow with what
    /// it writes at once. A slow one that is filled as far as a quick one writes every event a little too
    /// late: nearly all of its streams fail their callers, with room to spare. So it gets less before its
    /// pauses reach the bound.
    fn timeliness(&self) -> f64 {
        let left = (LATE_SHARE - self.pause_share) / (LATE_SHARE - TIMELY_SHARE);
        left.clamp(0.0, 1.0)
    }
}

/// Share of a timely pause from which on a chain gets less new work, and at which it gets what no other
/// has room for.
const TIMELY_SHARE: f64 = 0.6;
const LATE_SHARE: f64 = 0.95;

/// The chain for a request of `tokens` tokens, if one has room for it below `fill`.
#[must_use]
pub fn choose(rooms: &[Room], tokens: f64, fill: f64) -> Option<usize> {
    let rank = |r: &Room| {
        let far = if r.near { 0.0 } else { ELSEWHERE };
        let doubt = if r.is_doubted() { 10.0 } else { 0.0 };
        r.fill_with(tokens) + far + doubt
    };
    let best = rooms
        .iter()
        .filter(|r| r.fits(tokens, fill))
        .min_by(|a, b| rank(a).total_cmp(&rank(b)));
    best.map(|r| r.chain)
}

/// Instances that may each look at all chains: their loads are a moment old.
const FEW_DECIDERS: usize = 6;

/// Weights in the draw of a chain in the own failure domain, and of one that is silent.
const NEAR_WEIGHT: f64 = 8.0;
const DOUBT_WEIGHT: f64 = 1e-3;

/// The least that a chain's fill or its pauses leave of its weight, as long as it has room.
const LEAST_FREE: f64 = 0.05;

/// The same where `deciders` instances choose by themselves; `draw` gives random numbers from 0 to 1.
///
/// Load pattern: hundreds of instances know what the others have in flight a second late. If each takes
/// the emptiest chain, all take the same one until they hear that it is full: it has twice the requests
/// that it has places for, and those wait for seconds beside chains that are half empty. The emptier of
/// two drawn chains is still the same one too often. So the more decide the fewer chains each looks at,
/// in the end one, drawn by what it has free.
pub fn choose_among(
    rooms: &[Room],
    tokens: f64,
    fill: f64,
    deciders: usize,
    mut draw: impl FnMut() -> f64,
) -> Option<usize> {
    if deciders <= FEW_DECIDERS {
        return choose(rooms, tokens, fill);
    }
    let fitting = rooms.iter().filter(|r| r.fits(tokens, fill));
    let mut drawn: Vec<(f64, Room)> = fitting
        .map(|r| (-(1.0 - draw()).ln() / draw_weight(r, tokens), *r))
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    let looked_at = drawn.len() * FEW_DECIDERS / deciders;
    drawn.truncate(looked_at.max(1));
    let drawn: Vec<Room> = drawn.into_iter().map(|(_, room)| room).collect();
    choose(&drawn, tokens, fill)
}

fn draw_weight(room: &Room, tokens: f64) -> f64 {
    let free = (1.0 - room.fill_with(tokens)).max(LEAST_FREE);
    let near = if room.near { NEAR_WEIGHT } else { 1.0 };
    let doubt = if room.is_doubted() { DOUBT_WEIGHT } else { 1.0 };
    let timely = room.timeliness().max(LEAST_FREE);
    free * near * doubt * timely
}

/// Time over which released room is averaged, in milliseconds.
const FLOW_MS: f64 = 1_000.0;

/// How fast room comes free: the tokens of requests that ended of late.
///
/// Load pattern: arrivals exceed what the chains can take for seconds. Whoever waits behind more
/// tokens than come free in the time that it may wait is held in vain, and hears only then when to
/// come back.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    tokens: f64,
    at_ms: Millis,
}

impl Flow {
    /// A request of `tokens` tokens ended.
    pub fn released(&mut self, now: Millis, tokens: f64) {
        self.tokens = self.recent(now) + tokens;
        self.at_ms = now;
    }

    fn recent(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.at_ms) as f64;
        self.tokens * (-passed / FLOW_MS).exp()
    }

    /// Tokens that are expected to come free within `ms` milliseconds.
    #[must_use]
    pub fn expected(&self, now: Millis, ms: Millis) -> f64 {
        self.recent(now) * ms as f64 / FLOW_MS
    }
}

/// Pause without a refusal after which a shortage is over, in milliseconds.
const SHORTAGE_GAP_MS: Millis = 1_500;

/// The least time to come back, and the longest, in milliseconds; up to as much again is added.
/// Callers wait for a third of the time that they have left at the most, which is 20 s at first.
const COME_BACK_MS: Millis = 1_500;
const LONGEST_COME_BACK_MS: Millis = 4_500;

/// How long there has been no room.
///
/// Load pattern: a failure domain is lost for some seconds under high load. Most callers come back
/// once; one that comes back into the same shortage is lost. A shortage that has lasted for a while
/// is taken to last as long again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Shortage {
    since_ms: Millis,
    last_ms: Option<Millis>,
}

impl Shortage {
    /// A request is refused for want of room at `now`; when its caller is to come back, in
    /// milliseconds, where `draw` is a random number from 0 to 1: those that are refused together
    /// must not return together.
    pub fn refused(&mut self, now: Millis, draw: f64) -> Millis {
        let goes_on = self.last_ms.is_some_and(|at| now < at + SHORTAGE_GAP_MS);
        if !goes_on {
            self.since_ms = now;
        }
        self.last_ms = Some(now);
        let lasted = now - self.since_ms;
        let base = lasted.clamp(COME_BACK_MS, LONGEST_COME_BACK_MS);
        (base as f64 * (1.0 + draw)) as Millis
    }
}
