//! Limits shared by all calls of an instance: the retry budget and the number of concurrent calls
//! per organisation.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::admission::{Demand, share_of};
use jacinthweir_policy::retry::{RetryBudget, RetryBudgetConfig};
use jacinthweir_policy::schema::compiled::Org;
use jacinthweir_wire::caller::ErrorCode;

/// Minimum retry delay suggested to an organisation at its limit, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Retry budget and concurrent calls per organisation.
pub(crate) struct CallLimits {
    budget: Mutex<RetryBudget>,
    calls: Mutex<BTreeMap<Name, u32>>,
}

/// Permission for one concurrent call of an organisation; released when dropped.
pub(crate) struct CallPermit {
    limits: Arc<CallLimits>,
    organisation: Name,
}

impl CallLimits {
    pub(crate) fn open(cx: &Kernel) -> Arc<CallLimits> {
        let budget = RetryBudget::new(RetryBudgetConfig::default(), cx.clock.now());
        Arc::new(CallLimits {
            budget: Mutex::new(budget),
            calls: Mutex::default(),
        })
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a call of an organisation.
    ///
    /// # Errors
    /// Returns `organisation_limit` if the organisation is at its limit; nothing ran.
    pub(crate) fn admit(self: &Arc<Self>, cx: &Kernel, org: &Org) -> Result<CallPermit, Refusal> {
        let max = max_calls(cx, org);
        let mut calls = self.calls();
        let own = calls.get(&org.name).copied().unwrap_or(0);
        if own >= max {
            let msg = format!("the organisation has {own} calls in progress here");
            let refusal = Refusal::not_run(ErrorCode::OrganisationLimit, msg);
            let jitter = rand::random_range(0..=RETRY_AFTER_MS);
            return Err(refusal.retry_after(RETRY_AFTER_MS + jitter));
        }
        calls.insert(org.name.clone(), own + 1);
        let in_flight: u32 = calls.values().sum();
        drop(calls);
        self.budget().set_in_flight(in_flight);
        Ok(CallPermit {
            limits: Arc::clone(self),
            organisation: org.name.clone(),
        })
    }

    fn calls(&self) -> MutexGuard<'_, BTreeMap<Name, u32>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the maximum number of concurrent calls of an organisation at this instance.
///
/// It is at most half of the instance's request limit, so that a burst of one organisation leaves
/// headroom for the others, and at most an even share of the organisation's own limit.
fn max_calls(cx: &Kernel, org: &Org) -> u32 {
    let half = u32::try_from(cx.settings.limits.requests / 2).unwrap_or(u32::MAX);
    let Some(limit) = org.max_in_flight else {
        return half.max(1);
    };
    let instances = u32::try_from(cx.live_instances()).unwrap_or(1).max(1);
    let even_share = Demand {
        own: 1,
        all: instances,
        instances,
    };
    share_of(limit, even_share).min(half).max(1)
}

impl Drop for CallPermit {
    fn drop(&mut self) {
        let mut calls = self.limits.calls();
        let left = calls.get(&self.organisation).map_or(0, |n| n - 1);
        match left {
            0 => calls.remove(&self.organisation),
            _ => calls.insert(self.organisation.clone(), left),
        };
    }
}
