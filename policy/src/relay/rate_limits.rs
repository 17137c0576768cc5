//! Distributed rate limiting by rates that runners announce.
//!
//! Load pattern: an overloaded runner announces in its answers the rate of requests that it accepts. If
//! each instance applied that rate to its own requests, all together would send the rate multiplied by the
//! number of instances.
//!
//! A few instances share the announced rate, each with a token bucket that holds a single request. Together
//! they send no more than the rate and a few requests in any window. Which instances share it is derived
//! from the names of the live ones by rendezvous hashing. Instances gossip the rates that they receive. The
//! latest report of a runner applies, also one that it no longer has a limit.
//!
//! Invariants:
//! - Of two reports for one lifetime the later one applies, whichever instance received it.
//! - A report is sent with its age instead of a timestamp, since clocks differ.
//! - An instance that has just started adds no burst of its own to what its former lifetime sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::lifetime::Lifetime;
use crate::prelude::*;
use crate::relay::new_instance::{MIN_INSTANCES, SETTLING_MS};
use crate::relay::rendezvous::{is_among_first, rank_for};

/// Number of instances that share a rate beyond one per request a second. Each of them may send one
/// request at once from its bucket.
const EXTRA_SHARERS: f64 = 3.0;

/// Lower bound of the applied rate, in requests per second: a runner that gets no requests cannot announce
/// that it has recovered.
const MIN_RATE: f64 = 0.25;

/// Capacity of an instance's token bucket, in requests.
const BUCKET_SIZE: f64 = 1.0;

/// Time for which a report is valid unless it is renewed, in milliseconds.
const REPORT_TTL_MS: Millis = 30_000;

/// Maximum number of reports, several times the runners of a large fleet.
pub const MAX_RATES: usize = 16_384;

/// Relative change of a rate above which it is sent to other instances at once.
const SIGNIFICANT_CHANGE: f64 = 0.05;

/// A runner's announcement of its rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateReport {
    /// Lifetime of the runner.
    pub lifetime: Lifetime,
    /// Requests per second, or `None` for no limit.
    pub rate: Option<f64>,
    /// Time between the announcement and the writing of this report, in milliseconds.
    pub age_ms: Millis,
}

/// The latest report of a runner, and the token bucket of this instance for it.
#[derive(Clone, Debug)]
struct RunnerRate {
    rate: Option<f64>,
    /// Time of the announcement, in milliseconds.
    announced_ms: Millis,
    /// Time of the last significant change, in milliseconds.
    changed_ms: Millis,
    /// Tokens in the bucket as of `refilled_ms`.
    tokens: f64,
    refilled_ms: Millis,
}

/// The live instances, this one included.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This instance.
    pub own: &'a Name,
    /// Live instances; may or may not include this one.
    pub live: &'a [Name],
    /// The largest number that has been live at the same time: unreachable instances go on sending.
    pub most: usize,
}

/// Rate limits of all runners.
#[derive(Clone, Debug, Default)]
pub struct RunnerRateLimits {
    rates: BTreeMap<Lifetime, RunnerRate>,
    /// Until when this instance does not know what its former lifetime and the others send, in milliseconds.
    settled_ms: Millis,
}

impl RunnerRateLimits {
    /// Returns the limits of an instance that starts at `now`.
    #[must_use]
    pub fn started(now: Millis) -> Self {
        RunnerRateLimits {
            rates: BTreeMap::new(),
            settled_ms: now + SETTLING_MS,
        }
    }

    /// Returns the tokens in a new bucket. The former lifetime may have just used those of its own, and an
    /// instance that does not know the others yet takes itself for the first of them.
    fn initial_tokens(&self, now: Millis) -> f64 {
        if now < self.settled_ms {
            0.0
        } else {
            BUCKET_SIZE
        }
    }

    /// Returns the share of a runner's rate that this instance may send, in requests per second. It has none
    /// before it has heard of the others.
    fn share(&self, rate: f64, lifetime: &Lifetime, fleet: Fleet<'_>, now: Millis) -> f64 {
        match now < self.settled_ms && fleet.live.len() < MIN_INSTANCES {
            true => 0.0,
            false => share(rate, lifetime, fleet),
        }
    }

    /// Returns whether no runner has a report.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.rates.is_empty()
    }

    /// Returns whether a runner has a rate limit at `now`.
    #[must_use]
    pub fn is_limited(&self, lifetime: &Lifetime, now: Millis) -> bool {
        self.rate(lifetime, now).is_some()
    }

    /// Records the `rate` from an answer of a runner, or that it had none; returns whether that is a
    /// significant change.
    pub fn record_answer(&mut self, lifetime: &Lifetime, rate: Option<f64>, now: Millis) -> bool {
        if rate.is_none() && !self.rates.contains_key(lifetime) {
            return false;
        }
        self.merge(
            &RateReport {
                lifetime: lifetime.clone(),
                rate,
                age_ms: 0,
            },
            now,
        )
    }

    /// Merges a report, received from the runner or from another instance; returns whether it is a
    /// significant change. One of a further runner is dropped if there are [`MAX_RATES`].
    pub fn merge(&mut self, s: &RateReport, now: Millis) -> bool {
        let is_usable = s.rate.is_none_or(|r| r.is_finite() && r >= 0.0);
        if !is_usable || s.age_ms >= REPORT_TTL_MS {
            return false;
        }
        let announced_ms = now.saturating_sub(s.age_ms);
        let Some(known) = self.rates.get_mut(&s.lifetime) else {
            if self.rates.len() >= MAX_RATES {
                return false;
            }
            let new = RunnerRate {
                rate: s.rate,
                announced_ms,
                changed_ms: now,
                tokens: self.initial_tokens(now),
                refilled_ms: now,
            };
            self.rates.insert(s.lifetime.clone(), new);
            return true;
        };
        if announced_ms <= known.announced_ms {
            return false;
        }
        let is_significant = differ(known.rate, s.rate);
        known.announced_ms = announced_ms;
        known.rate = s.rate;
        if is_significant {
            known.changed_ms = now;
        }
        is_significant
    }

    /// Drops reports that were not renewed in time.
    pub fn expire(&mut self, now: Millis) {
        self.rates
            .retain(|_, r| now < r.announced_ms + REPORT_TTL_MS);
    }

    /// Returns the reports announced within the last `age_ms` milliseconds at `now`, or with
    /// `changed_only` those that changed significantly within that time.
    pub fn recent_reports(
        &self,
        age_ms: Millis,
        changed_only: bool,
        now: Millis,
    ) -> Vec<RateReport> {
        let is_recent = |r: &RunnerRate| match changed_only {
            true => now <= r.changed_ms + age_ms,
            false => now <= r.announced_ms + age_ms,
        };
        let recent = self.rates.iter().filter(|(_, r)| is_recent(r));
        recent
            .map(|(lifetime, r)| RateReport {
                lifetime: lifetime.clone(),
                rate: r.rate,
                age_ms: now.saturating_sub(r.announced_ms),
            })
            .collect()
    }

    /// Returns whether this instance may send a request to a runner at `now`.
    #[must_use]
    pub fn allows(&self, lifetime: &Lifetime, fleet: Fleet<'_>, now: Millis) -> bool {
        let Some(rate) = self.rate(lifetime, now) else {
            return true;
        };
        let share = self.share(rate, lifetime, fleet, now);
        let tokens = self.rates.get(lifetime).map(|r| r.tokens_at(share, now));
        share > 0.0 && tokens.is_some_and(|tokens| tokens >= 1.0)
    }

    /// Records that this instance sends a request to a runner at `now`.
    pub fn record_sent(&mut self, lifetime: &Lifetime, fleet: Fleet<'_>, now: Millis) {
        let Some(rate) = self.rate(lifetime, now) else {
            return;
        };
        let share = self.share(rate, lifetime, fleet, now);
        if let Some(known) = self.rates.get_mut(lifetime) {
            known.tokens = known.tokens_at(share, now) - 1.0;
            known.refilled_ms = now;
        }
    }

    fn rate(&self, lifetime: &Lifetime, now: Millis) -> Option<f64> {
        let known = self.rates.get(lifetime)?;
        known
            .rate
            .filter(|_| now < known.announced_ms + REPORT_TTL_MS)
    }
}

impl RunnerRate {
    fn tokens_at(&self, share: f64, now: Millis) -> f64 {
        let passed_s = now.saturating_sub(self.refilled_ms) as f64 / 1e3;
        (self.tokens + share * passed_s).min(BUCKET_SIZE)
    }
}

fn differ(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() > SIGNIFICANT_CHANGE * a.max(b),
        (None, None) => false,
        _ => true,
    }
}

/// Returns the share of a runner's rate that an instance may send, in requests per second; 0 if it is not
/// among the instances that share the rate.
fn share(rate: f64, lifetime: &Lifetime, fleet: Fleet<'_>) -> f64 {
    let rate = rate.max(MIN_RATE);
    let shares = (rate + EXTRA_SHARERS).floor().min(fleet.most.max(1) as f64);
    let ranks = fleet.live.iter().map(|n| rank_for(n, &lifetime.runner));
    let own = rank_for(fleet.own, &lifetime.runner);
    match is_among_first(shares as usize, &own, ranks) {
        true => rate / shares,
        false => 0.0,
    }
}
