//! How many requests may be sent once more.
//!
//! A dead failure domain makes every request fail, and each that is sent again is load on what is
//! left. All instances together may add a share of the requests plus a fixed number in a window.
//!
//! Each instance has a part for certain: the share of its own requests, and its part of the fixed
//! number. It needs no word of the others, but callers are not spread evenly when instances
//! are down, and one whose part is used up cuts streams while the others' parts lie idle. So
//! beyond its part it may use what it was lent at the last exchange: a part of what all have left,
//! so that those who do the same between two exchanges stay within the bound.
//!
//! What is lent comes out of the others' parts, which are as much smaller: spent twice, it is beyond the
//! bound when their turn comes.
//!
//! What can be refused truthfully leaves the last of it to what cannot: see [`RetryPriority`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::retry_priority::RetryPriority;

/// Bound over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingConfig {
    /// Further sends for each request.
    pub ratio: f64,
    /// Further sends besides, over all instances.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
}

/// Requests and further sends in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    pub requests: u32,
    /// Further sends.
    pub repeats: u32,
    /// Those of them that went beyond the certain part of their instance.
    pub borrowed: u32,
    /// Instances that went beyond it.
    pub borrowers: u32,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
        self.borrowed = self.borrowed.saturating_add(other.borrowed);
        self.borrowers = self.borrowers.saturating_add(other.borrowers);
    }
}

/// Part of the bound that the certain parts use together: requests are counted where they arrive,
/// and the bound's window may begin anywhere.
const USED_SHARE: f64 = 0.88;

/// Part of the bound up to which instances lend each other. Above it each has its own part only.
const LENT_SHARE: f64 = 0.58;

/// What is left below that is divided by this for each instance where there are few.
const LENT_TO: f64 = 4.0;

/// What is added to that for each instance beyond [`LEAST_INSTANCES`]: of six a few break at a time,
/// of seventy all that have a stream through a dead runner, before an exchange has reached them. What
/// is lent to all together then fits beside the certain parts.
const LENT_TO_FURTHER: f64 = LENT_SHARE / (1.0 - USED_SHARE);

/// The least number of instances that the fixed number is divided by: instances that are not known
/// yet spend as well.
const LEAST_INSTANCES: usize = 6;

/// Requests and further sends of this instance in the window, for one service.
#[derive(Clone, Debug, Default)]
pub struct Spending {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
    lent: f64,
    /// What others borrowed of this instance's part.
    borrowed_here: f64,
    /// Instances at the last exchange.
    instances: usize,
}

impl Spending {
    /// A request came for the service.
    pub fn request(&mut self, now: Millis, cfg: &SpendingConfig) {
        self.requests.push_back(now);
        drop_old(&mut self.requests, now, cfg.window_ms);
    }

    /// What this instance counted in the window that ends at `now`.
    pub fn counts(&mut self, now: Millis, cfg: &SpendingConfig) -> Counts {
        drop_old(&mut self.requests, now, cfg.window_ms);
        drop_old(&mut self.repeats, now, cfg.window_ms);
        let count = |times: &VecDeque<Millis>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        let (requests, repeats) = (count(&self.requests), count(&self.repeats));
        let part = whole_part(requests, cfg, self.instances);
        let borrowed = (f64::from(repeats) - part).max(0.0) as u32;
        Counts {
            requests,
            repeats,
            borrowed,
            borrowers: u32::from(borrowed > 0),
        }
    }

    /// An exchange brought what all other instances counted; there are `instances` in all.
    pub fn lend(&mut self, now: Millis, cfg: &SpendingConfig, others: Counts, instances: usize) {
        self.instances = instances;
        let lenders = instances.saturating_sub(others.borrowers as usize).max(1);
        self.borrowed_here = f64::from(others.borrowed) / lenders as f64;
        let own = self.counts(now, cfg);
        let requests = f64::from(own.requests) + f64::from(others.requests);
        let repeats = f64::from(own.repeats) + f64::from(others.repeats);
        let bound = cfg.ratio * requests + cfg.slack;
        let further = instances.saturating_sub(LEAST_INSTANCES) as f64;
        let to = LENT_TO + LENT_TO_FURTHER * further;
        self.lent = ((LENT_SHARE * bound - repeats) / to).max(0.0);
    }

    /// Whether there is a further send among `instances` instances.
    pub fn has(
        &mut self,
        now: Millis,
        cfg: &SpendingConfig,
        instances: usize,
        need: RetryPriority,
    ) -> bool {
        let certain = self.certain(now, cfg, instances);
        let kept = need.reserved(certain.all);
        let there_is = certain.left >= 1.0 || self.lent >= 1.0;
        there_is && certain.left.max(0.0) + self.lent >= 1.0 + kept
    }

    /// Takes one further send, if there is one among `instances` instances.
    pub fn take(
        &mut self,
        now: Millis,
        cfg: &SpendingConfig,
        instances: usize,
        need: RetryPriority,
    ) -> bool {
        if !self.has(now, cfg, instances, need) {
            return false;
        }
        if self.certain(now, cfg, instances).left < 1.0 {
            self.lent -= 1.0;
        }
        self.repeats.push_back(now);
        true
    }

    fn certain(&mut self, now: Millis, cfg: &SpendingConfig, instances: usize) -> Certain {
        let own = self.counts(now, cfg);
        let all = whole_part(own.requests, cfg, instances) - self.borrowed_here;
        let all = all.max(0.0);
        Certain {
            all,
            left: all - f64::from(own.repeats),
        }
    }
}

/// The certain part of one of `instances` instances, whatever others borrowed of it.
fn whole_part(requests: u32, cfg: &SpendingConfig, instances: usize) -> f64 {
    let of_slack = cfg.slack / instances.max(LEAST_INSTANCES) as f64;
    USED_SHARE * (cfg.ratio * f64::from(requests) + of_slack)
}

/// An instance's certain part, and what is left of it.
struct Certain {
    all: f64,
    left: f64,
}

fn drop_old(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|t| t + window_ms < now) {
        times.pop_front();
    }
}
