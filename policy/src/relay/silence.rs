//! When a chain has fallen silent.
//!
//! A dead runner in a chain stops every stream that passes through it, and says nothing: its first
//! runner reports the stall only after seconds, by when callers have given up. Overload looks
//! different: some streams wait, others go on. So the sign is that *nothing at all* has come from
//! a chain for a while, although requests are waiting there. The more of them wait, the less a
//! silence can be chance and the shorter it needs to be.
//!
//! Silence names a chain, not a runner. Its parts are then asked one by one; a chain whose parts
//! all answer is left alone for a while, so that a slow chain is not asked again and again.

use crate::prelude::*;

/// Silence of a chain with one waiting request that counts as a stall, in milliseconds. An event
/// comes every 20 to 30 ms in a calm chain, and a long prompt is read within 100 ms.
const LONE_MS: Millis = 400;

/// The same with [`MANY`] waiting requests or more. All requests of a chain share its passes, so
/// their bytes come together: of 70,000 gaps between bytes on a day at high load, 1 in 400 was
/// longer. Callers count an answer as late after a pause of 200 ms, and to name the dead part and
/// go on elsewhere takes 60 to 120 ms of these.
const MANY_MS: Millis = 100;

/// Waiting requests from which on the short silence counts.
const MANY: usize = 2;

/// A chain is asked no earlier than this multiple of its longest gap of late: a slow chain is
/// silent for as long at each pass, and ten questions at each would cost more than they bring.
const LONGEST_TIMES: f64 = 1.1;

/// How long a longest gap is remembered, in milliseconds, and the most that counts of it: a packet
/// that was sent again makes a gap that says nothing of the next.
const LONGEST_KEPT_MS: Millis = 5_000;
const LONGEST_COUNTED_MS: Millis = 130;

/// How long a chain that was asked is left alone, in milliseconds; twice as long each time that it
/// stays silent all the same, up to so many doublings. Where a part of the fleet is cut off, every
/// instance finds every chain silent and asks ten parts of each: on 71 instances the reports cost
/// more than what was served.
const ASKED_PAUSE_MS: Millis = 700;
const MOST_DOUBLINGS: u32 = 3;

/// Weight of the newest gap between two events in the mean.
const GAP_WEIGHT: f64 = 0.05;

/// Mean gap that is asked about, as a multiple of what the declared figures give, and in any case,
/// in milliseconds. A full batch takes about twice the declared time.
const SLOW_TIMES: f64 = 6.0;
const SLOW_MS: f64 = 120.0;

/// How long a slow chain that was asked is left alone, in milliseconds.
const SLOW_PAUSE_MS: Millis = 2_000;

/// Gaps between the events of a chain's streams: a chain is as slow as its slowest part, which
/// says so when it is asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gaps {
    mean_ms: f64,
    asked_ms: Option<Millis>,
}

impl Gaps {
    /// Two events of a stream came `gap` milliseconds apart.
    pub fn seen(&mut self, gap: Millis) {
        self.mean_ms += GAP_WEIGHT * (gap as f64 - self.mean_ms);
    }

    /// Mean gap, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Whether the parts of a chain whose declared gap is `declared_ms` should be asked how slow
    /// they are; remembers that they were.
    pub fn should_ask(&mut self, now: Millis, declared_ms: f64) -> bool {
        let slow = self.mean_ms > SLOW_MS && self.mean_ms > SLOW_TIMES * declared_ms;
        let rested = self.asked_ms.is_none_or(|at| now >= at + SLOW_PAUSE_MS);
        if slow && rested {
            self.asked_ms = Some(now);
        }
        slow && rested
    }
}

/// What this instance hears from one chain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    waiting: usize,
    heard_ms: Millis,
    asked_ms: Option<Millis>,
    /// Times that it was asked since bytes came.
    asks: u32,
    /// Longest gap of late, and when it ended.
    longest_ms: Millis,
    longest_at_ms: Millis,
}

impl Silence {
    /// A request was sent.
    pub fn sent(&mut self, now: Millis) {
        if self.waiting == 0 {
            self.heard_ms = now;
        }
        self.waiting += 1;
    }

    /// A request ended or was taken away.
    pub fn ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Bytes came.
    pub fn heard(&mut self, now: Millis) {
        let gap = self.silent_ms(now).min(LONGEST_COUNTED_MS);
        if gap >= self.longest_ms || now >= self.longest_at_ms + LONGEST_KEPT_MS {
            self.longest_ms = gap;
            self.longest_at_ms = now;
        }
        self.heard_ms = now;
        self.asks = 0;
    }

    /// Requests that wait for bytes.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Time since the last bytes, in milliseconds, while requests wait.
    #[must_use]
    pub fn silent_ms(&self, now: Millis) -> Millis {
        match self.waiting {
            0 => 0,
            _ => now.saturating_sub(self.heard_ms),
        }
    }

    /// Whether the chain's parts should be asked now; remembers that they were.
    pub fn should_ask(&mut self, now: Millis) -> bool {
        let least = if self.waiting >= MANY {
            MANY_MS
        } else {
            LONE_MS
        };
        let usual = (self.longest_ms as f64 * LONGEST_TIMES) as Millis;
        let limit = least.max(usual);
        let pause = ASKED_PAUSE_MS << self.asks.min(MOST_DOUBLINGS);
        let rested = self.asked_ms.is_none_or(|at| now >= at + pause);
        let ask = rested && self.silent_ms(now) >= limit;
        if ask {
            self.asked_ms = Some(now);
            self.asks += 1;
        }
        ask
    }
}
