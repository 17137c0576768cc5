//! Retry budget of a service, shared by all instances.
//!
//! A dead failure domain makes every request in it fail, and each retry is additional load on the
//! remaining domains. All instances together may retry a share of the requests plus a fixed number
//! (slack) in a window.
//!
//! Each instance has a guaranteed part: the share of its own requests, and its part of the slack. This
//! part needs no communication. But callers are not spread evenly while instances are down, and an
//! instance that has used up its part would cut streams while the parts of others are unused. So it
//! may borrow beyond its part what it was lent at the last exchange: a fraction of what all instances
//! have left, small enough that the bound holds if others borrow between the same two exchanges.
//!
//! Borrowed retries are subtracted from the guaranteed parts of the other instances. Otherwise they
//! would be spent twice, and exceed the bound once the others need their parts.
//!
//! Requests that can be refused truthfully leave the last retries to those that cannot: see [`RetryPriority`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::retry_priority::RetryPriority;

/// Bound on the retries of all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryBudgetConfig {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries, over all instances.
    pub slack: f64,
    /// Window length, in milliseconds.
    pub window_ms: Millis,
}

/// Requests and retries in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCounts {
    /// Requests.
    pub requests: u32,
    /// Retries.
    pub repeats: u32,
    /// Retries beyond the guaranteed part of their instance.
    pub borrowed: u32,
    /// Instances with such retries.
    pub borrowers: u32,
}

impl std::ops::AddAssign for RetryCounts {
    fn add_assign(&mut self, other: RetryCounts) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
        self.borrowed = self.borrowed.saturating_add(other.borrowed);
        self.borrowers = self.borrowers.saturating_add(other.borrowers);
    }
}

impl std::ops::SubAssign for RetryCounts {
    fn sub_assign(&mut self, other: RetryCounts) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.repeats = self.repeats.saturating_sub(other.repeats);
        self.borrowed = self.borrowed.saturating_sub(other.borrowed);
        self.borrowers = self.borrowers.saturating_sub(other.borrowers);
    }
}

/// Share of the bound that all guaranteed parts use together. It is below 1 since each instance counts
/// only requests that arrive at it, and the window of the bound may begin at any time.
const GUARANTEED_SHARE: f64 = 0.88;

/// Share of the bound up to which instances may borrow. Above it each has its guaranteed part only.
const LENT_SHARE: f64 = 0.58;

/// Divisor of the remaining loan for each instance in a small fleet.
const LOAN_DIVISOR: f64 = 4.0;

/// Increment of [`LOAN_DIVISOR`] for each instance beyond [`MIN_INSTANCES`]. In a fleet of six, a few
/// instances need retries at the same time; in one of seventy, all that have a stream through a dead
/// runner do, before an exchange has reached them. With the increment, the loans of all instances fit
/// beside the guaranteed parts.
const LOAN_DIVISOR_STEP: f64 = LENT_SHARE / (1.0 - GUARANTEED_SHARE);

/// Minimum number of instances that the slack is divided by: instances that are not known yet spend
/// as well.
const MIN_INSTANCES: usize = 6;

/// Requests and retries of this instance in the window, for one service.
#[derive(Clone, Debug, Default)]
pub struct SharedRetryBudget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
    /// Retries that may still be borrowed.
    loan: f64,
    /// Retries that others borrowed from the guaranteed part of this instance.
    lent: f64,
    /// Number of instances at the last exchange.
    instances: usize,
}

impl SharedRetryBudget {
    /// Records a request for the service.
    pub fn record_request(&mut self, now: Millis, cfg: &SharedRetryBudgetConfig) {
        self.requests.push_back(now);
        drop_old(&mut self.requests, now, cfg.window_ms);
    }

    /// Returns the counts of this instance in the window that ends at `now`.
    pub fn counts(&mut self, now: Millis, cfg: &SharedRetryBudgetConfig) -> RetryCounts {
        drop_old(&mut self.requests, now, cfg.window_ms);
        drop_old(&mut self.repeats, now, cfg.window_ms);
        let count = |times: &VecDeque<Millis>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        let (requests, repeats) = (count(&self.requests), count(&self.repeats));
        let part = guaranteed_part(requests, cfg, self.instances);
        let borrowed = (f64::from(repeats) - part).max(0.0) as u32;
        RetryCounts {
            requests,
            repeats,
            borrowed,
            borrowers: u32::from(borrowed > 0),
        }
    }

    /// Recomputes the loan from the counts of all other instances; there are `instances` in total.
    pub fn update_loan(
        &mut self,
        now: Millis,
        cfg: &SharedRetryBudgetConfig,
        others: RetryCounts,
        instances: usize,
    ) {
        self.instances = instances;
        let lenders = instances.saturating_sub(others.borrowers as usize).max(1);
        self.lent = f64::from(others.borrowed) / lenders as f64;
        let own = self.counts(now, cfg);
        let requests = f64::from(own.requests) + f64::from(others.requests);
        let repeats = f64::from(own.repeats) + f64::from(others.repeats);
        let bound = cfg.ratio * requests + cfg.slack;
        let further = instances.saturating_sub(MIN_INSTANCES) as f64;
        let divisor = LOAN_DIVISOR + LOAN_DIVISOR_STEP * further;
        self.loan = ((LENT_SHARE * bound - repeats) / divisor).max(0.0);
    }

    /// Returns whether a retry is available in a fleet of `instances` instances.
    pub fn has_retry(
        &mut self,
        now: Millis,
        cfg: &SharedRetryBudgetConfig,
        instances: usize,
        need: RetryPriority,
    ) -> bool {
        let guaranteed = self.guaranteed(now, cfg, instances);
        let reserved = need.reserved(guaranteed.total);
        let available = guaranteed.left >= 1.0 || self.loan >= 1.0;
        available && guaranteed.left.max(0.0) + self.loan >= 1.0 + reserved
    }

    /// Spends a retry if one is available in a fleet of `instances` instances; returns whether it was.
    pub fn take_retry(
        &mut self,
        now: Millis,
        cfg: &SharedRetryBudgetConfig,
        instances: usize,
        need: RetryPriority,
    ) -> bool {
        if !self.has_retry(now, cfg, instances, need) {
            return false;
        }
        if self.guaranteed(now, cfg, instances).left < 1.0 {
            self.loan -= 1.0;
        }
        self.repeats.push_back(now);
        true
    }

    fn guaranteed(
        &mut self,
        now: Millis,
        cfg: &SharedRetryBudgetConfig,
        instances: usize,
    ) -> Guaranteed {
        let own = self.counts(now, cfg);
        let total = guaranteed_part(own.requests, cfg, instances) - self.lent;
        let total = total.max(0.0);
        Guaranteed {
            total,
            left: total - f64::from(own.repeats),
        }
    }
}

/// Returns the guaranteed part of one of `instances` instances, before subtraction of what others
/// borrowed.
fn guaranteed_part(requests: u32, cfg: &SharedRetryBudgetConfig, instances: usize) -> f64 {
    let of_slack = cfg.slack / instances.max(MIN_INSTANCES) as f64;
    GUARANTEED_SHARE * (cfg.ratio * f64::from(requests) + of_slack)
}

/// The guaranteed part of an instance, and the unspent rest of it.
struct Guaranteed {
    total: f64,
    left: f64,
}

fn drop_old(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|t| t + window_ms < now) {
        times.pop_front();
    }
}
