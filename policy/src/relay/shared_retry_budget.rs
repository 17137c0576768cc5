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
//! have left, small enough that the bound holds if others borrow between the same two exchanges. What it
//! borrowed counts against the next loans until the others can know of it.
//!
//! Borrowed retries are subtracted from the guaranteed parts of the other instances. Otherwise they
//! would be spent twice, and exceed the bound once the others need their parts. The same holds for
//! retries of an instance whose callers have moved to others: as its requests leave the window, its part
//! shrinks below what it spent, while the parts of the others grow by the requests of these callers. Of
//! an instance that ended, the others compute how its requests leave the window.
//!
//! An instance that restarts does not know what its former lifetime spent, and neither does anybody else
//! exactly: the last counts that it sent are older than its end. So it has no part of the slack until a
//! window has passed since its start. The share of its own requests is guaranteed once an instance that ran
//! before has told what the former lifetime spent, and less that; the missing part of the slack covers what
//! it did not report. Until then it has a part of that share. After some exchanges it may borrow like the
//! others. The same holds for an instance that replaces another under a new name.
//!
//! Invariants:
//! - Parts of the slack that may be spent, or may have been spent within the window, never exceed the slack.
//! - An instance that isn't heard, or that started within the window, counts as if it had spent its part of
//!   the slack. It lends nothing.
//! - Nobody borrows without recent counts of the others.
//!
//! Requests that can be refused truthfully leave the last retries to those that cannot: see [`RetryPriority`].

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::relay::new_instance::{MIN_INSTANCES, SETTLING_MS};
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
    /// Instances that have a part of the slack, since they have run for a window.
    #[serde(default)]
    pub established: u32,
    /// Guaranteed parts, in retries, of the instances that have not borrowed.
    #[serde(default)]
    pub lenders_part: u32,
    /// What instances spent that ended within the window; their retries are in `repeats`, too.
    #[serde(default)]
    pub ended: EndedCounts,
}

/// Requests and retries of instances that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedCounts {
    /// Requests that have not left the window.
    pub requests: u32,
    /// Retries.
    pub repeats: u32,
    /// Instances that had a part of the slack. Nobody else has it until the window has passed.
    pub established: u32,
}

impl EndedCounts {
    /// Returns the retries beyond the guaranteed parts, in a fleet of `instances` instances.
    fn borrowed(self, cfg: &SharedRetryBudgetConfig, instances: usize) -> f64 {
        let of_slack = f64::from(self.established) * part_of_slack(cfg, instances);
        let part = GUARANTEED_SHARE * (cfg.ratio * f64::from(self.requests) + of_slack);
        (f64::from(self.repeats) - part).max(0.0)
    }
}

impl std::ops::AddAssign for EndedCounts {
    fn add_assign(&mut self, other: EndedCounts) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
        self.established = self.established.saturating_add(other.established);
    }
}

impl std::ops::SubAssign for EndedCounts {
    fn sub_assign(&mut self, other: EndedCounts) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.repeats = self.repeats.saturating_sub(other.repeats);
        self.established = self.established.saturating_sub(other.established);
    }
}

impl RetryCounts {
    /// Returns what still counts after the end of the instances with these counts, while `left` of their
    /// requests have not left the window: a share from 0 to 1.
    pub(crate) fn of_ended(self, left: f64) -> RetryCounts {
        let requests = (f64::from(self.requests) * left) as u32;
        RetryCounts {
            repeats: self.repeats,
            ended: EndedCounts {
                requests: requests + (f64::from(self.ended.requests) * left) as u32,
                repeats: self.repeats,
                established: self.established + self.ended.established,
            },
            ..RetryCounts::default()
        }
    }
}

impl std::ops::AddAssign for RetryCounts {
    fn add_assign(&mut self, other: RetryCounts) {
        self.requests = self.requests.saturating_add(other.requests);
        self.repeats = self.repeats.saturating_add(other.repeats);
        self.borrowed = self.borrowed.saturating_add(other.borrowed);
        self.established = self.established.saturating_add(other.established);
        self.lenders_part = self.lenders_part.saturating_add(other.lenders_part);
        self.ended += other.ended;
    }
}

impl std::ops::SubAssign for RetryCounts {
    fn sub_assign(&mut self, other: RetryCounts) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.repeats = self.repeats.saturating_sub(other.repeats);
        self.borrowed = self.borrowed.saturating_sub(other.borrowed);
        self.established = self.established.saturating_sub(other.established);
        self.lenders_part = self.lenders_part.saturating_sub(other.lenders_part);
        self.ended -= other.ended;
    }
}

/// Share of the bound that all guaranteed parts use together. It is below 1 since each instance counts
/// only requests that arrive at it, and the window of the bound may begin at any time.
const GUARANTEED_SHARE: f64 = 0.88;

/// Share of the retries for its own requests that an instance has while nobody has told it what its former
/// lifetime spent. It is not 0, since a fleet that starts again as a whole has nobody to tell.
const UNKNOWN_FORMER_SHARE: f64 = 0.3;

/// Share of the bound up to which instances may borrow. Above it each has its guaranteed part only.
const LENT_SHARE: f64 = 0.58;

/// Divisor of the remaining loan for each instance in a small fleet.
const LOAN_DIVISOR: f64 = 4.0;

/// Increment of [`LOAN_DIVISOR`] for each instance beyond [`MIN_INSTANCES`]. In a fleet of six, a few
/// instances need retries at the same time; in one of seventy, all that have a stream through a dead
/// runner do, before an exchange has reached them. With the increment, the loans of all instances fit
/// beside the guaranteed parts.
const LOAN_DIVISOR_STEP: f64 = LENT_SHARE / (1.0 - GUARANTEED_SHARE);

/// Age that counts may have when the other instances use them, in milliseconds. What an instance borrows as
/// its callers leave is computed for as much later.
pub(super) const LEAD_MS: Millis = 1_500;

/// Time after which a loan is void unless an exchange renews it, in milliseconds. It equals the age up to
/// which the counts that it was computed from are valid.
const LOAN_TTL_MS: Millis = 3_000;

/// Requests and retries of this instance in the window, for one service.
#[derive(Clone, Debug, Default)]
pub struct SharedRetryBudget {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
    /// When this instance started, or `None` if it has always been running.
    started_ms: Option<Millis>,
    /// Retries of the former lifetime, if known.
    former: Option<u32>,
    /// Retries that may still be borrowed until `loan_until_ms`.
    loan: f64,
    /// When the last loans were spent.
    loans: VecDeque<Millis>,
    loan_until_ms: Millis,
    /// Share of the guaranteed part of this instance, from 0 to 1, that others borrowed.
    lent_share: f64,
    /// Number of instances at the last exchange.
    instances: usize,
}

impl SharedRetryBudget {
    /// Returns the budget of an instance that started at `now`.
    #[must_use]
    pub fn started(now: Millis) -> Self {
        SharedRetryBudget {
            started_ms: Some(now),
            ..SharedRetryBudget::default()
        }
    }

    /// Records what the former lifetime of this instance spent within the window, as another instance says.
    pub fn record_former(&mut self, retries: u32) {
        self.former = self.former.max(Some(retries));
    }

    /// Returns whether this instance has run for longer than `ms` milliseconds.
    fn has_run_for(&self, ms: Millis, now: Millis) -> bool {
        self.started_ms.is_none_or(|started| now > started + ms)
    }

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
        let part = self.guaranteed_part(requests, now, cfg, self.instances);
        let soon = self.guaranteed_part(self.requests_soon(now, cfg), now, cfg, self.instances);
        // Rounded up: of seventy instances, the rests would add up to dozens of retries.
        let borrowed = (f64::from(repeats) - soon).max(0.0).ceil() as u32;
        let is_established = self.has_run_for(cfg.window_ms, now);
        RetryCounts {
            requests,
            repeats,
            borrowed,
            established: u32::from(is_established),
            lenders_part: if borrowed == 0 { part as u32 } else { 0 },
            ended: EndedCounts::default(),
        }
    }

    /// Returns the requests that the window will hold [`LEAD_MS`] later if callers are leaving this instance,
    /// and at most those that it holds now. Twice the present rate is expected, so that chance does not
    /// look like leaving.
    fn requests_soon(&self, now: Millis, cfg: &SharedRetryBudgetConfig) -> u32 {
        let since = |ms: Millis| self.requests.len() - self.requests.partition_point(|t| *t < ms);
        let kept = since((now + LEAD_MS).saturating_sub(cfg.window_ms));
        let expected = kept + 2 * since(now.saturating_sub(LEAD_MS));
        u32::try_from(expected.min(self.requests.len())).unwrap_or(u32::MAX)
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
        let own = self.counts(now, cfg);
        let mut all = others;
        all += own;
        let borrowed = f64::from(others.borrowed) + others.ended.borrowed(cfg, instances);
        let lenders_part = f64::from(all.lenders_part).max(1.0);
        self.lent_share = (borrowed / lenders_part).min(1.0);
        let bound = cfg.ratio * f64::from(all.requests) + cfg.slack;
        let spent = f64::from(all.repeats) + self.unknown_spending(all, now, cfg);
        let further = instances.saturating_sub(MIN_INSTANCES) as f64;
        let divisor = LOAN_DIVISOR + LOAN_DIVISOR_STEP * further;
        // The counts may not show yet what was borrowed on the last ones.
        drop_old(&mut self.loans, now, LEAD_MS);
        let lent = (LENT_SHARE * bound - spent) / divisor - self.loans.len() as f64;
        self.loan = match self.has_run_for(SETTLING_MS, now) {
            true => lent.max(0.0),
            false => 0.0,
        };
        self.loan_until_ms = now + LOAN_TTL_MS;
    }

    /// Returns what instances may have spent of the slack without being in the counts `all`: the parts of
    /// those that are not heard, and of those that started within the window.
    fn unknown_spending(
        &self,
        all: RetryCounts,
        now: Millis,
        cfg: &SharedRetryBudgetConfig,
    ) -> f64 {
        // An instance that has just started may not know yet how many there are.
        let instances = match self.has_run_for(cfg.window_ms, now) {
            true => self.instances,
            false => self.instances.max(MIN_INSTANCES),
        };
        let unknown = instances.saturating_sub(all.established as usize);
        unknown as f64 * GUARANTEED_SHARE * part_of_slack(cfg, self.instances)
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
        let loan = if now < self.loan_until_ms {
            self.loan
        } else {
            0.0
        };
        let available = guaranteed.left >= 1.0 || loan >= 1.0;
        available && guaranteed.left.max(0.0) + loan >= 1.0 + reserved
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
            self.loans.push_back(now);
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
        let part = self.guaranteed_part(own.requests, now, cfg, instances);
        let total = part * (1.0 - self.lent_share);
        Guaranteed {
            total,
            left: total - f64::from(own.repeats),
        }
    }

    /// Returns the guaranteed part of this instance, one of `instances`, before subtraction of what others
    /// borrowed.
    fn guaranteed_part(
        &self,
        requests: u32,
        now: Millis,
        cfg: &SharedRetryBudgetConfig,
        instances: usize,
    ) -> f64 {
        let of_requests = cfg.ratio * f64::from(requests);
        if self.has_run_for(cfg.window_ms, now) {
            return GUARANTEED_SHARE * (of_requests + part_of_slack(cfg, instances));
        }
        match self.former {
            Some(retries) => (GUARANTEED_SHARE * of_requests - f64::from(retries)).max(0.0),
            None => UNKNOWN_FORMER_SHARE * of_requests,
        }
    }
}

/// Returns the part of the slack of one of `instances` instances.
fn part_of_slack(cfg: &SharedRetryBudgetConfig, instances: usize) -> f64 {
    cfg.slack / instances.max(MIN_INSTANCES) as f64
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
