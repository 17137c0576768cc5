//! The placement lease, and placement orders to runners.
//!
//! An order contains the wanted layer range and the number of orders that the runner must have
//! accepted before it. If the runner has accepted another order in the meantime, the numbers differ
//! and it refuses the late one. An order without an answer therefore does no harm: the runner's
//! entry shows whether it took effect, and the next plan starts from that entry.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use jacinthweir_platform::runner::{self, Accepted, RunnerError};
use jacinthweir_platform::store::{Object, StoreError};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::backoff::Backoff;
use jacinthweir_policy::relay::held_range::HeldRange;
use jacinthweir_policy::relay::intent::Engine;
use jacinthweir_policy::relay::lease::{Grant, LeaseStep, MAX_TERM};
use jacinthweir_policy::relay::placement::Move;
use jacinthweir_policy::relay::runners::RunnerEntry;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::activity::{self, Activity};
use crate::duties;
use crate::node::Node;
use crate::tasks::{self, TaskName};
use crate::watch::{count_call, note_era};

/// Kind and name of the lease object in the store.
const LEASE_KIND: &str = "jacinthweir-leases";
const LEASE_NAME: &str = "orders";

/// Interval between placement rounds. It is short because every second of a gap in a chain costs the
/// streams of a failure domain.
const ROUND: Duration = Duration::from_millis(100);

/// Timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a runner's entry may lag behind its state, in milliseconds; added to the load time
/// after an accepted order. Entries are written at least at every heartbeat.
const ENTRY_LAG_MS: Millis = 2_500;

/// Time for which a runner gets no further order after one without an answer, in milliseconds.
const UNANSWERED_BACKOFF_MS: Millis = 1_500;

/// First pause after a report without which a runner gets no order, and the longest one, in milliseconds. Such a
/// runner does not answer, is busy, or differs from its entry, which may take seconds or last for good.
const FIRST_UNREADY_PAUSE_MS: Millis = 100;
const MAX_UNREADY_PAUSE_MS: Millis = 1_600;

/// Duration of a plan from which on it is logged, in milliseconds. It delays each event of each stream.
const LONG_PLAN_MS: Millis = 100;

/// What the entries of runners that get orders do not show yet.
#[derive(Default)]
pub(crate) struct Loading {
    /// Layer ranges that runners were ordered to hold and do not report yet.
    pending: BTreeMap<Name, Pending>,
    /// Runners whose reports did not allow an order.
    unready: BTreeMap<Name, Unready>,
}

struct Pending {
    layers: (u32, u32),
    born_ms: u64,
    until_ms: Millis,
}

struct Unready {
    entry: RunnerEntry,
    backoff: Backoff,
}

impl Loading {
    pub(crate) fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether a runner may be asked for its report. A new entry ends each pause.
    fn may_ask(&self, entry: &RunnerEntry, now: Millis) -> bool {
        let unready = self.unready.get(&entry.id).filter(|u| u.entry == *entry);
        unready.is_none_or(|u| u.backoff.is_over(now))
    }

    fn record_unready(&mut self, entry: RunnerEntry, now: Millis) {
        let before = self.unready.remove(&entry.id).filter(|u| u.entry == entry);
        let mut backoff = before.map_or_else(
            || Backoff::new(FIRST_UNREADY_PAUSE_MS, MAX_UNREADY_PAUSE_MS),
            |u| u.backoff,
        );
        backoff.record_failure(now);
        let id = entry.id.clone();
        self.unready.insert(id, Unready { entry, backoff });
    }
}

/// Contents of the lease object.
#[derive(Serialize, Deserialize)]
struct LeaseSpec {
    holder: Name,
    term: u64,
    /// Changes with each renewal, since a write without changes does not advance the revision.
    renewed: u64,
}

/// Starts the task that sends orders while this instance holds the lease.
pub(crate) fn spawn(node: &Rc<Node>) {
    tasks::spawn(node, &node.stop, TaskName::Placement, async |node| {
        run(&node).await;
    });
}

/// Debounce interval of the first placement, in milliseconds. When all runners start at once they
/// register over seconds, and a placement computed from the first few would put layers on slow
/// runners that belong on fast ones.
const REGISTRATION_DEBOUNCE_MS: Millis = 1_200;

/// Maximum delay of the first placement, in milliseconds.
const REGISTRATION_MAX_MS: Millis = 4_500;

/// Debounces the registration of runners before the first placement.
struct RegistrationDebounce {
    known: usize,
    changed_ms: Millis,
    began_ms: Millis,
}

impl RegistrationDebounce {
    /// Returns whether placement may start: a runner already holds layers, the number of runners
    /// has been stable for the debounce interval, or the maximum delay has passed.
    fn is_over(&mut self, node: &Node) -> bool {
        let now = node.now();
        let known = node.runners.borrow().entries().count();
        if known != self.known {
            self.known = known;
            self.changed_ms = now;
        }
        let held = node.runners.borrow().entries().any(|e| e.held() > 0);
        held || now >= self.changed_ms + REGISTRATION_DEBOUNCE_MS
            || now >= self.began_ms + REGISTRATION_MAX_MS
    }
}

async fn run(node: &Rc<Node>) {
    let mut held = None;
    let mut registration = RegistrationDebounce {
        known: 0,
        changed_ms: node.now(),
        began_ms: node.now(),
    };
    loop {
        sleep(ROUND).await;
        if !needs_orders(node) {
            continue;
        }
        step_lease(node).await;
        let now = node.now();
        let term = node.lease.borrow().held(now);
        if term != held {
            log::info!(term = term.unwrap_or(0), held = term.is_some(); "placement lease");
            held = term;
        }
        if let Some(term) = term
            && registration.is_over(node)
        {
            send_orders(node, term).await;
        }
    }
}

/// Whether the configuration has a service whose runners hold layers.
fn needs_orders(node: &Node) -> bool {
    let intent = node.intent();
    let layered = |i: Rc<jacinthweir_policy::relay::intent::Intent>| {
        i.services
            .values()
            .any(|s| s.engine.as_ref().is_some_and(|e| e.layers > 0))
    };
    node.runners_listed.get() && intent.is_some_and(layered)
}

/// Performs the next step of the lease protocol.
async fn step_lease(node: &Node) {
    note_era(node);
    let bid = duties::bid(node);
    let sent = node.now();
    let step = node.lease.borrow_mut().step(sent, bid);
    let written = match step {
        LeaseStep::Wait => return,
        LeaseStep::Read => return read_lease(node).await,
        LeaseStep::Create { term } => {
            count_call("create");
            let spec = lease_spec(node, term);
            node.store.create(LEASE_KIND, LEASE_NAME, spec).await
        }
        LeaseStep::Replace { term, revision } => {
            count_call("replace");
            let spec = lease_spec(node, term);
            node.store
                .replace(LEASE_KIND, LEASE_NAME, revision, spec)
                .await
        }
    };
    note_reachability(node, written.as_ref().err());
    match written.as_ref().map(grant_of) {
        Ok(Some(grant)) => node.lease.borrow_mut().write_accepted(sent, grant),
        Ok(None) => {
            log::error!("cannot decode the lease that was written");
            node.lease.borrow_mut().write_failed(node.now());
        }
        Err(cause) => {
            log::warn!(cause:% = cause; "cannot write the lease");
            node.lease.borrow_mut().write_failed(node.now());
        }
    }
}

async fn read_lease(node: &Node) {
    count_call("get");
    let found = node.store.get(LEASE_KIND, LEASE_NAME).await;
    note_reachability(node, found.as_ref().err());
    match found {
        Ok(object) => {
            let grant = object.as_ref().map(grant_or_unreadable);
            node.lease.borrow_mut().observe(node.now(), grant);
        }
        Err(StoreError::Refused { .. } | StoreError::NoAnswer(_)) => {}
        Err(cause) => log::warn!(cause:% = cause; "cannot read the lease"),
    }
}

/// Records whether the store answered. An instance that does not reach the store leaves the lease
/// to others. This is recorded here because watches may be silent for long before they show the
/// failure.
fn note_reachability(node: &Node, failure: Option<&StoreError>) {
    let unreachable = matches!(
        failure,
        Some(StoreError::Refused { .. } | StoreError::NoAnswer(_))
    );
    node.reaches_store.set(!unreachable);
}

fn lease_spec(node: &Node, term: u64) -> serde_json::Value {
    let spec = LeaseSpec {
        holder: node.settings.name.clone(),
        term,
        renewed: node.incarnation.wrapping_add(node.now()),
    };
    serde_json::to_value(spec).unwrap_or_default()
}

/// Returns the grant that an object holds. One that holds none was replaced by another writer.
fn grant_or_unreadable(object: &Object) -> Grant {
    grant_of(object).unwrap_or_else(|| {
        let revision = object.meta.revision;
        log::warn!(revision:% = revision; "the lease cannot be decoded");
        metrics::counter!("jacinthweir_leases_unreadable_total").increment(1);
        Grant::unreadable(revision)
    })
}

fn grant_of(object: &Object) -> Option<Grant> {
    let spec: LeaseSpec = object.spec.decode("lease").ok()?;
    let grant = Grant {
        holder: spec.holder,
        term: spec.term,
        revision: object.meta.revision,
    };
    Some(grant).filter(|g| g.term <= MAX_TERM)
}

/// Sends the orders of the current plan of each service.
async fn send_orders(node: &Node, term: u64) {
    let Some(intent) = node.intent() else {
        return;
    };
    for (service, spec) in &intent.services {
        let Some(engine) = spec.engine.as_ref().filter(|e| e.layers > 0) else {
            continue;
        };
        let moves = plan(node, service, engine);
        let orders = moves.iter().map(|m| send_order(node, engine, term, m));
        join_all(orders).await;
    }
}

/// Plans the orders of a service, assuming that pending ones succeed.
fn plan(node: &Node, service: &Name, engine: &Engine) -> Vec<Move> {
    let now = node.now();
    let runners = node.runners.borrow();
    let mut loading = node.loading.borrow_mut();
    loading.unready.retain(|id, _| runners.entry(id).is_some());
    loading.pending.retain(|id, pending| {
        let Some(entry) = runners.entry(id) else {
            return false;
        };
        let done = entry.layers.map(HeldRange::bounds) == Some(pending.layers);
        entry.born_ms == pending.born_ms && !done && now < pending.until_ms
    });
    let wanted = loading.pending.iter().map(|(id, p)| (id.clone(), p.layers));
    let mut planners = node.planners.borrow_mut();
    let planner = planners.entry(service.clone()).or_default();
    let given_up = planner.given_up();
    let moves = {
        let _current = activity::enter(Activity::PlacementPlan);
        planner.plan(&runners, service, engine, &wanted.collect(), now)
    };
    if planner.given_up() > given_up {
        metrics::counter!("jacinthweir_plans_given_up_total").increment(1);
        log::error!(service = service.as_ref(); "a placement plan takes too much work: no orders");
    }
    note_duration(service, node.now().saturating_sub(now));
    moves
}

/// Records how long a plan took; all requests of this instance waited meanwhile.
fn note_duration(service: &Name, ms: Millis) {
    metrics::counter!("jacinthweir_plans_total").increment(1);
    metrics::counter!("jacinthweir_plan_ms_total").increment(ms);
    if ms >= LONG_PLAN_MS {
        log::warn!(service = service.as_ref(), ms; "a placement plan took long");
    }
}

async fn send_order(node: &Node, engine: &Engine, term: u64, m: &Move) {
    let Some(entry) = node.runners.borrow().entry(&m.runner).cloned() else {
        return;
    };
    let born_ms = entry.born_ms;
    if !node.loading.borrow().may_ask(&entry, node.now()) {
        return;
    }
    let Some(orders) = accepted_orders(node, m).await else {
        metrics::counter!("jacinthweir_orders_not_sent_total").increment(1);
        let now = node.now();
        return node.loading.borrow_mut().record_unready(entry, now);
    };
    node.loading.borrow_mut().unready.remove(&m.runner);
    metrics::counter!("jacinthweir_orders_total").increment(1);
    let answer = runner::place(
        node.runner_address(m.address),
        m.layers,
        term,
        orders,
        ORDER_TIMEOUT,
    )
    .await;
    if let Some(s) = node.runners.borrow_mut().health_mut(&m.runner) {
        s.orders = match &answer {
            Ok(Accepted::Started) => Some(orders + 1),
            Ok(Accepted::AlreadyHolds) => Some(orders),
            Err(_) => None,
        };
    }
    let (from, to) = m.layers;
    let runner = m.runner.as_ref();
    let outcome = match &answer {
        Ok(Accepted::Started) => "begun".to_owned(),
        Ok(Accepted::AlreadyHolds) => "holds".to_owned(),
        Err(e) => e.to_string(),
    };
    log::info!(runner, from, to, term, orders, why:% = m.reason, outcome; "order");
    let wait_ms = match answer {
        Ok(_) => load_ms(engine, m) + ENTRY_LAG_MS,
        Err(RunnerError::NoAnswer(_)) => UNANSWERED_BACKOFF_MS,
        // The entry is older than the runner's state; the next entry will show it.
        Err(RunnerError::Refused { .. } | RunnerError::Undecodable(_)) => ENTRY_LAG_MS,
    };
    let pending = Pending {
        layers: m.layers,
        born_ms,
        until_ms: node.now() + wait_ms,
    };
    node.loading
        .borrow_mut()
        .pending
        .insert(m.runner.clone(), pending);
}

/// Returns how many orders a runner has accepted so far: the count kept since its last report, or
/// that of a new report if none is kept. Returns `None` if the runner does not answer, or if its
/// state differs from the entry that the plan is based on.
async fn accepted_orders(node: &Node, m: &Move) -> Option<u64> {
    if let Some(orders) = node.runners.borrow().health(&m.runner).orders {
        return Some(orders);
    }
    metrics::counter!("jacinthweir_probes_total").increment(1);
    let report = runner::report(node.runner_address(m.address), ORDER_TIMEOUT).await;
    let runner = m.runner.as_ref();
    let report = match report {
        Ok(report) => report,
        Err(e) => {
            log::info!(runner, cause:% = e; "no report from runner, order not sent");
            return None;
        }
    };
    let mut runners = node.runners.borrow_mut();
    let (born_ms, layers) = runners.entry(&m.runner).map(|e| (e.born_ms, e.layers))?;
    if report.busy || report.layers != layers || !report.is_from_lifetime(born_ms) {
        log::info!(runner, busy = report.busy, layers:? = report.layers; "entry is stale");
        return None;
    }
    runners.health_mut(&m.runner)?.orders = Some(report.orders);
    Some(report.orders)
}

/// Returns an upper bound on the duration of a load, in milliseconds: three times its time alone,
/// because concurrent loads slow each other down.
fn load_ms(engine: &Engine, m: &Move) -> Millis {
    let share = f64::from(m.layers.1 - m.layers.0) / f64::from(engine.layers.max(1));
    (engine.load_ms * share * 3.0) as Millis
}
