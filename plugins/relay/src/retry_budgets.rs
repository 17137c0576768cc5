//! The shared retry budgets of this instance, one for each service.
//!
//! The policy decides what may be spent ([`SharedRetryBudget`]); this module holds the budgets, counts
//! what they decide, and logs what is spent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::intent::Intent;
use jacinthweir_policy::relay::loads::{LoadTable, ServiceCounts};
use jacinthweir_policy::relay::shared_retry_budget::{
    RetryCounts, SharedRetryBudget, SharedRetryBudgetConfig,
};
use jacinthweir_policy::retry_priority::RetryPriority;

/// Minimum interval between two log lines about what is spent, in milliseconds.
const LOG_INTERVAL_MS: Millis = 1_000;

/// Retry budgets by service.
pub(crate) struct RetryBudgets {
    cfg: SharedRetryBudgetConfig,
    /// Whether the whole system starts for the first time, so that nothing was spent before.
    first_start: bool,
    budgets: RefCell<BTreeMap<Name, SharedRetryBudget>>,
    /// Retries of the former lifetimes of this instance by service, once another instance has told them.
    former: RefCell<Option<BTreeMap<Name, u32>>>,
    /// Sends beyond the first of their request in the window by service, whether a retry was taken or not.
    resends: RefCell<BTreeMap<Name, VecDeque<Millis>>>,
    logged_ms: Cell<Millis>,
    /// Whether a retry was asked for, or a request sent again, since the last log line.
    asked: Cell<bool>,
}

impl RetryBudgets {
    /// Returns the budgets of an instance that starts at time zero.
    pub(crate) fn new(cfg: SharedRetryBudgetConfig, first_start: bool) -> Self {
        RetryBudgets {
            cfg,
            first_start,
            budgets: RefCell::default(),
            former: RefCell::default(),
            resends: RefCell::default(),
            logged_ms: Cell::default(),
            asked: Cell::default(),
        }
    }

    /// Opens the budgets of a configuration's services, so that the others learn that this instance has spent
    /// nothing. Budgets of former services go when they have nothing in the window.
    pub(crate) fn configure(&self, intent: &Intent, now: Millis) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.retain(|service, budget| {
            let counts = budget.counts(now, &self.cfg);
            intent.services.contains_key(service) || counts.requests + counts.repeats > 0
        });
        let mut resends = self.resends.borrow_mut();
        resends.retain(|service, _| budgets.contains_key(service));
        drop(budgets);
        let services = intent.services.keys();
        services.for_each(|service| self.with(service, |_| ()));
    }

    fn with<T>(&self, service: &Name, f: impl FnOnce(&mut SharedRetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| self.new_budget(service));
        f(budget)
    }

    fn new_budget(&self, service: &Name) -> SharedRetryBudget {
        if self.first_start {
            return SharedRetryBudget::default();
        }
        let mut budget = SharedRetryBudget::started(0);
        if let Some(former) = &*self.former.borrow() {
            budget.record_former(former.get(service).copied().unwrap_or(0));
        }
        budget
    }

    /// Records what former lifetimes of this instance spent, as another instance says: `counts`, and nothing
    /// for other services.
    pub(crate) fn record_former(&self, counts: &[ServiceCounts]) {
        let counts = counts.iter().map(|s| (s.service.clone(), s.counts.repeats));
        let mut told: BTreeMap<Name, u32> = counts.collect();
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            budget.record_former(told.get(service).copied().unwrap_or(0));
        }
        let mut former = self.former.borrow_mut();
        for (service, known) in former.iter().flatten() {
            let retries = told.entry(service.clone()).or_default();
            *retries = (*known).max(*retries);
        }
        *former = Some(told);
    }

    /// Counts a request for a service.
    pub(crate) fn record_request(&self, service: &Name, now: Millis) {
        self.with(service, |budget| budget.record_request(now, &self.cfg));
    }

    /// Whether the budget of a service permits a retry in a fleet of `instances` instances.
    pub(crate) fn has_retry(
        &self,
        service: &Name,
        now: Millis,
        instances: usize,
        priority: RetryPriority,
    ) -> bool {
        self.with(service, |budget| {
            budget.has_retry(now, &self.cfg, instances, priority)
        })
    }

    /// Takes a retry out of the budget of a service; returns whether there was one.
    pub(crate) fn take_retry(
        &self,
        service: &Name,
        now: Millis,
        instances: usize,
        priority: RetryPriority,
    ) -> bool {
        self.asked.set(true);
        let taken = self.with(service, |budget| {
            budget.take_retry(now, &self.cfg, instances, priority)
        });
        let outcome = if taken { "taken" } else { "refused" };
        metrics::counter!("jacinthweir_repeats_total", "outcome" => outcome).increment(1);
        taken
    }

    /// Counts a send by this instance that is not the first of its request.
    pub(crate) fn record_resend(&self, service: &Name, now: Millis) {
        self.asked.set(true);
        metrics::counter!("jacinthweir_resends_total").increment(1);
        let mut resends = self.resends.borrow_mut();
        resends.entry(service.clone()).or_default().push_back(now);
    }

    /// Returns the number of sends in the window that are not the first of their request.
    fn resends(&self, service: &Name, now: Millis) -> usize {
        let mut resends = self.resends.borrow_mut();
        let Some(times) = resends.get_mut(service) else {
            return 0;
        };
        while times.front().is_some_and(|t| t + self.cfg.window_ms < now) {
            times.pop_front();
        }
        times.len()
    }

    /// Returns this instance's requests and retries in the window, by service.
    pub(crate) fn counts(&self, now: Millis) -> Vec<ServiceCounts> {
        let mut budgets = self.budgets.borrow_mut();
        let all = budgets.iter_mut();
        all.map(|(service, budget)| ServiceCounts {
            service: service.clone(),
            counts: budget.counts(now, &self.cfg),
        })
        .collect()
    }

    /// Updates from the other instances' counts how much of their unused budget this one may use.
    pub(crate) fn update_loans(&self, loads: &LoadTable, now: Millis, instances: usize) {
        for (service, budget) in self.budgets.borrow_mut().iter_mut() {
            budget.update_loan(now, &self.cfg, loads.retry_counts(service, now), instances);
        }
    }

    /// Logs what this instance and the others spent in the window, if a retry was asked for since the
    /// last line and [`LOG_INTERVAL_MS`] has passed.
    pub(crate) fn log_spent(&self, loads: &LoadTable, now: Millis, instances: usize) {
        let is_due = now >= self.logged_ms.get() + LOG_INTERVAL_MS;
        if !is_due || !self.asked.replace(false) {
            return;
        }
        self.logged_ms.set(now);
        for ServiceCounts { service, counts } in self.counts(now) {
            if counts.requests + counts.repeats > 0 {
                let others = loads.retry_counts(&service, now);
                log_counts(
                    &service,
                    counts,
                    self.resends(&service, now),
                    others,
                    instances,
                );
            }
        }
    }
}

fn log_counts(
    service: &Name,
    own: RetryCounts,
    resends: usize,
    others: RetryCounts,
    instances: usize,
) {
    log::info!(
        service = service.as_ref(),
        requests = own.requests,
        retries = own.repeats,
        resends,
        borrowed = own.borrowed,
        others_requests = others.requests,
        others_retries = others.repeats,
        others_borrowed = others.borrowed,
        instances;
        "retries in the window"
    );
}
