//! What all calls of an instance share: the retry budget, and each organisation's places.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::reply::Refusal;
use jacinthweir_policy::admission::{Demand, share_of};
use jacinthweir_policy::retry::{RetryBudget, RetryBudgetConfig};
use jacinthweir_policy::schema::compiled::Org;
use jacinthweir_wire::caller::ErrorCode;

/// When to come back where an organisation's places are taken, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// What all calls of an instance share.
pub(crate) struct Shared {
    budget: Mutex<RetryBudget>,
    calls: Mutex<BTreeMap<Name, u32>>,
}

/// One call's place; given back when dropped.
pub(crate) struct Place {
    shared: Arc<Shared>,
    organisation: Name,
}

impl Shared {
    pub(crate) fn open(cx: &Kernel) -> Arc<Shared> {
        let budget = RetryBudget::new(RetryBudgetConfig::default(), cx.clock.now());
        Arc::new(Shared {
            budget: Mutex::new(budget),
            calls: Mutex::default(),
        })
    }

    pub(crate) fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a place for a call of an organisation.
    ///
    /// # Errors
    /// `organisation_limit`: nothing ran.
    pub(crate) fn enter(self: &Arc<Self>, cx: &Kernel, org: &Org) -> Result<Place, Refusal> {
        let most = most_calls(cx, org);
        let mut calls = self.calls();
        let own = calls.get(&org.name).copied().unwrap_or(0);
        if own >= most {
            let msg = format!("the organisation has {own} calls in progress here");
            let refusal = Refusal::not_run(ErrorCode::OrganisationLimit, msg);
            let spread = rand::random_range(0..=RETRY_AFTER_MS);
            return Err(refusal.retry_after(RETRY_AFTER_MS + spread));
        }
        calls.insert(org.name.clone(), own + 1);
        let all: u32 = calls.values().sum();
        drop(calls);
        self.budget().set_in_flight(all);
        Ok(Place {
            shared: Arc::clone(self),
            organisation: org.name.clone(),
        })
    }

    fn calls(&self) -> MutexGuard<'_, BTreeMap<Name, u32>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The most calls of an organisation in this instance: half of the instance's places, so that one
/// organisation's flood leaves room for the others, and an even share of its own limit.
fn most_calls(cx: &Kernel, org: &Org) -> u32 {
    let half = u32::try_from(cx.settings.limits.requests / 2).unwrap_or(u32::MAX);
    let Some(limit) = org.max_in_flight else {
        return half.max(1);
    };
    let instances = u32::try_from(cx.live_instances()).unwrap_or(1).max(1);
    let even = Demand {
        own: 1,
        all: instances,
        instances,
    };
    share_of(limit, even).min(half).max(1)
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut calls = self.shared.calls();
        let left = calls.get(&self.organisation).map_or(0, |n| n - 1);
        match left {
            0 => calls.remove(&self.organisation),
            _ => calls.insert(self.organisation.clone(), left),
        };
    }
}
