//! Rates that runners name: how many requests a second each takes from all instances together.
//!
//! Load pattern: a runner in need names a rate in its answers. Each instance alone would keep to it, and
//! all together send as many times more as there are instances.
//!
//! The named rate is shared by a few instances, each of which may save up one request; so together they send
//! no more than the rate and a few requests in any window. Which instances share it follows from the names
//! of those that live. What one hears it tells the others: the newest statement of a runner holds, also the
//! one that it names no rate any more.
//!
//! Invariants:
//! - Of two statements of one lifetime the later one holds, whoever heard it.
//! - A statement travels with its age, since clocks differ.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::lifetime::Lifetime;
use crate::relay::ranks::{is_among_first, rank_for};

/// Instances that share a rate beyond one for each request a second: each may have saved up one.
const SPARE_SHARES: f64 = 3.0;

/// The least rate that is used, in requests a second: a runner that gets nothing cannot say that it is well.
const LEAST_RATE: f64 = 0.25;

/// The most requests that an instance saves up.
const SAVED: f64 = 1.0;

/// Time for which a statement holds that nothing repeats, in milliseconds.
const KEPT_MS: Millis = 30_000;

/// Change of a rate that is told to others at once, as a part of it.
const NEWS_SHARE: f64 = 0.05;

/// What a runner said of its rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The runner, in one lifetime.
    pub lifetime: Lifetime,
    /// Requests a second; `None`: as many as there are.
    pub rate: Option<f64>,
    /// Time since it said so when this was written, in milliseconds.
    pub age_ms: Millis,
}

#[derive(Clone, Debug)]
struct Named {
    rate: Option<f64>,
    said_ms: Millis,
    /// When it last said something else, in milliseconds.
    changed_ms: Millis,
    /// Requests that this instance may send now, as of `counted_ms`.
    saved: f64,
    counted_ms: Millis,
}

/// The instances that live, this one included.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// This instance.
    pub own: &'a Name,
    /// Those that live, this one among them or not.
    pub live: &'a [Name],
    /// The most that lived at the same time: those that are out of sight go on sending.
    pub most: usize,
}

/// All that runners said.
#[derive(Clone, Debug, Default)]
pub struct Limits(BTreeMap<Lifetime, Named>);

impl Limits {
    /// Whether no runner names a rate.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a runner names a rate at `now`.
    #[must_use]
    pub fn is_limited(&self, lifetime: &Lifetime, now: Millis) -> bool {
        self.rate(lifetime, now).is_some()
    }

    /// A runner's answer named `rate`, or none; whether that is news.
    pub fn said(&mut self, lifetime: &Lifetime, rate: Option<f64>, now: Millis) -> bool {
        if rate.is_none() && !self.0.contains_key(lifetime) {
            return false;
        }
        self.hear(
            &Statement {
                lifetime: lifetime.clone(),
                rate,
                age_ms: 0,
            },
            now,
        )
    }

    /// Something that a runner said, here or elsewhere; whether that is news.
    pub fn hear(&mut self, s: &Statement, now: Millis) -> bool {
        let is_usable = s.rate.is_none_or(|r| r.is_finite() && r >= 0.0);
        if !is_usable || s.age_ms >= KEPT_MS {
            return false;
        }
        let said_ms = now.saturating_sub(s.age_ms);
        let Some(named) = self.0.get_mut(&s.lifetime) else {
            let named = Named {
                rate: s.rate,
                said_ms,
                changed_ms: now,
                saved: SAVED,
                counted_ms: now,
            };
            self.0.insert(s.lifetime.clone(), named);
            return true;
        };
        if said_ms <= named.said_ms {
            return false;
        }
        let is_news = differ(named.rate, s.rate);
        named.said_ms = said_ms;
        named.rate = s.rate;
        if is_news {
            named.changed_ms = now;
        }
        is_news
    }

    /// Forgets what nobody repeats.
    pub fn forget(&mut self, now: Millis) {
        self.0.retain(|_, n| now < n.said_ms + KEPT_MS);
    }

    /// What is told at `now` of runners that said something within `age_ms`; `news`: something else than
    /// before.
    pub fn told(&self, age_ms: Millis, news: bool, now: Millis) -> Vec<Statement> {
        let is_told = |n: &Named| match news {
            true => now <= n.changed_ms + age_ms,
            false => now <= n.said_ms + age_ms,
        };
        let told = self.0.iter().filter(|(_, n)| is_told(n));
        told.map(|(lifetime, n)| Statement {
            lifetime: lifetime.clone(),
            rate: n.rate,
            age_ms: now.saturating_sub(n.said_ms),
        })
        .collect()
    }

    /// Whether this instance of a fleet may send a runner a request at `now`.
    #[must_use]
    pub fn allows(&self, lifetime: &Lifetime, fleet: Fleet<'_>, now: Millis) -> bool {
        let Some(rate) = self.rate(lifetime, now) else {
            return true;
        };
        let share = share(rate, lifetime, fleet);
        let saved = self.0.get(lifetime).map(|n| n.saved_at(share, now));
        share > 0.0 && saved.is_some_and(|saved| saved >= 1.0)
    }

    /// This instance sends a runner a request at `now`.
    pub fn sent(&mut self, lifetime: &Lifetime, fleet: Fleet<'_>, now: Millis) {
        let Some(rate) = self.rate(lifetime, now) else {
            return;
        };
        let share = share(rate, lifetime, fleet);
        if let Some(named) = self.0.get_mut(lifetime) {
            named.saved = named.saved_at(share, now) - 1.0;
            named.counted_ms = now;
        }
    }

    fn rate(&self, lifetime: &Lifetime, now: Millis) -> Option<f64> {
        let named = self.0.get(lifetime)?;
        named.rate.filter(|_| now < named.said_ms + KEPT_MS)
    }
}

impl Named {
    fn saved_at(&self, share: f64, now: Millis) -> f64 {
        let passed_s = now.saturating_sub(self.counted_ms) as f64 / 1e3;
        (self.saved + share * passed_s).min(SAVED)
    }
}

fn differ(a: Option<f64>, b: Option<f64>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (a - b).abs() > NEWS_SHARE * a.max(b),
        (None, None) => false,
        _ => true,
    }
}

/// What an instance of a fleet may send of a runner's rate, in requests a second: nothing where others share
/// it.
fn share(rate: f64, lifetime: &Lifetime, fleet: Fleet<'_>) -> f64 {
    let rate = rate.max(LEAST_RATE);
    let shares = (rate + SPARE_SHARES).floor().min(fleet.most.max(1) as f64);
    let ranks = fleet.live.iter().map(|n| rank_for(n, &lifetime.runner));
    let own = rank_for(fleet.own, &lifetime.runner);
    match is_among_first(shares as usize, own, ranks) {
        true => rate / shares,
        false => 0.0,
    }
}
