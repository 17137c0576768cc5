//! The lease on giving orders, and the orders.
//!
//! Orders name a wanted state and the count of orders that the runner must have accepted before;
//! one that comes late meets another count and is refused. So an order without an answer does no
//! harm: the runner's entry shows what came of it, and the next plan starts from there.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use jacinthweir_platform::runner::{self, Accepted, RunnerError};
use jacinthweir_platform::store::{Object, StoreError};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::intent::Engine;
use jacinthweir_policy::relay::lease::{Grant, LeaseStep};
use jacinthweir_policy::relay::placement::{self, Move};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::node::Node;
use crate::peers;
use crate::watch::{count_call, note_era};

/// Kind and name of the lease's object.
const LEASE_KIND: &str = "jacinthweir-leases";
const LEASE_NAME: &str = "orders";

/// Period of looking whether orders are due. A hole costs the streams of a domain each second.
const PERIOD: Duration = Duration::from_millis(100);

/// Time that a runner has to answer an order.
const ORDER_TIME: Duration = Duration::from_millis(500);

/// Time after a runner's order was answered within which its entry must show the new range, beside
/// the time of the load, in milliseconds: entries are written at every heartbeat at the latest.
const ENTRY_LAG_MS: Millis = 2_500;

/// Time for which a runner whose order got no answer is left alone, in milliseconds.
const UNANSWERED_MS: Millis = 1_500;

/// Ranges that runners were told to hold and do not report yet.
#[derive(Default)]
pub(crate) struct Loading(BTreeMap<Name, Pending>);

struct Pending {
    layers: (u32, u32),
    born_ms: u64,
    until_ms: Millis,
}

impl Loading {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }
}

#[derive(Serialize, Deserialize)]
struct LeaseSpec {
    holder: Name,
    term: u64,
    /// Changes with each renewal: a write that changes nothing leaves the revision as it is.
    renewed: u64,
}

/// Starts giving orders whenever this instance holds the lease.
pub(crate) fn spawn(node: &Rc<Node>) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = node.stop.clone();
        let _ = stop.run_until_cancelled(run(&node)).await;
    });
}

/// New runners register over seconds when all start at once; a placement made from the first few
/// would put layers on slow ones that fast ones are to hold.
const SETTLE_MS: Millis = 1_200;

/// The longest that a first placement waits for runners, in milliseconds.
const SETTLE_LONGEST_MS: Millis = 4_500;

/// Whether the runners of a first placement have come.
struct Settling {
    known: usize,
    changed_ms: Millis,
    began_ms: Millis,
}

impl Settling {
    fn is_over(&mut self, node: &Node) -> bool {
        let now = node.now();
        let known = node.runners.borrow().entries().count();
        if known != self.known {
            self.known = known;
            self.changed_ms = now;
        }
        let held = node.runners.borrow().entries().any(|e| e.held() > 0);
        held || now >= self.changed_ms + SETTLE_MS || now >= self.began_ms + SETTLE_LONGEST_MS
    }
}

async fn run(node: &Rc<Node>) {
    let mut held = None;
    let mut settling = Settling {
        known: 0,
        changed_ms: node.now(),
        began_ms: node.now(),
    };
    loop {
        sleep(PERIOD).await;
        if !needs_orders(node) {
            continue;
        }
        step_lease(node).await;
        let now = node.now();
        let term = node.lease.borrow().held(now);
        if term != held {
            log::info!(term = term.unwrap_or(0), held = term.is_some(); "lease on giving orders");
            held = term;
        }
        if let Some(term) = term
            && settling.is_over(node)
        {
            give_orders(node, term).await;
        }
    }
}

/// Whether any runner is to hold layers.
fn needs_orders(node: &Node) -> bool {
    let intent = node.intent();
    let layered = |i: Rc<jacinthweir_policy::relay::intent::Intent>| {
        i.services
            .values()
            .any(|s| s.engine.as_ref().is_some_and(|e| e.layers > 0))
    };
    node.runners_listed.get() && intent.is_some_and(layered)
}

async fn step_lease(node: &Node) {
    note_era(node);
    let bid = peers::bid(node);
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
    note_answer(node, written.as_ref().err());
    match written.as_ref().map(grant_of) {
        Ok(Some(grant)) => node.lease.borrow_mut().write_accepted(sent, grant),
        Ok(None) => log::error!("the lease that was written cannot be read"),
        Err(cause) => {
            log::warn!(cause:% = cause; "lease not written");
            node.lease.borrow_mut().write_failed(node.now());
        }
    }
}

async fn read_lease(node: &Node) {
    count_call("get");
    let found = node.store.get(LEASE_KIND, LEASE_NAME).await;
    note_answer(node, found.as_ref().err());
    match found {
        Ok(object) => {
            let grant = object.as_ref().and_then(grant_of);
            node.lease.borrow_mut().observe(node.now(), grant);
        }
        Err(StoreError::Refused { .. } | StoreError::NoAnswer(_)) => {}
        Err(cause) => log::warn!(cause:% = cause; "lease not read"),
    }
}

/// One that the store does not answer leaves the lease to others. Its watches may be silent for long
/// before they show it.
fn note_answer(node: &Node, failure: Option<&StoreError>) {
    let lost = matches!(
        failure,
        Some(StoreError::Refused { .. } | StoreError::NoAnswer(_))
    );
    node.reaches_store.set(!lost);
}

fn lease_spec(node: &Node, term: u64) -> serde_json::Value {
    let spec = LeaseSpec {
        holder: node.settings.name.clone(),
        term,
        renewed: node.incarnation.wrapping_add(node.now()),
    };
    serde_json::to_value(spec).unwrap_or_default()
}

fn grant_of(object: &Object) -> Option<Grant> {
    let spec: LeaseSpec = object.spec.decode("lease").ok()?;
    Some(Grant {
        holder: spec.holder,
        term: spec.term,
        revision: object.meta.revision,
    })
}

async fn give_orders(node: &Node, term: u64) {
    let Some(intent) = node.intent() else {
        return;
    };
    for (service, spec) in &intent.services {
        let Some(engine) = spec.engine.as_ref().filter(|e| e.layers > 0) else {
            continue;
        };
        let moves = plan(node, service, engine);
        let orders = moves.iter().map(|m| give_order(node, engine, term, m));
        join_all(orders).await;
    }
}

fn plan(node: &Node, service: &Name, engine: &Engine) -> Vec<Move> {
    let now = node.now();
    let runners = node.runners.borrow();
    let mut loading = node.loading.borrow_mut();
    loading.0.retain(|id, pending| {
        let Some(entry) = runners.entry(id) else {
            return false;
        };
        let done = entry.layers == Some(pending.layers);
        entry.born_ms == pending.born_ms && !done && now < pending.until_ms
    });
    let wanted = loading.0.iter().map(|(id, p)| (id.clone(), p.layers));
    placement::plan(&runners, service, engine, &wanted.collect(), now)
}

async fn give_order(node: &Node, engine: &Engine, term: u64, m: &Move) {
    let born_ms = {
        let runners = node.runners.borrow();
        runners.entry(&m.runner).map_or(0, |e| e.born_ms)
    };
    let Some(orders) = accepted_orders(node, m).await else {
        return;
    };
    metrics::counter!("jacinthweir_orders_total").increment(1);
    let answer = runner::place(m.address, m.layers, term, orders, ORDER_TIME).await;
    if let Some(s) = node.runners.borrow_mut().health_mut(&m.runner) {
        s.orders = match &answer {
            Ok(Accepted::Begun) => Some(orders + 1),
            Ok(Accepted::Holds) => Some(orders),
            Err(_) => None,
        };
    }
    let (from, to) = m.layers;
    let runner = m.runner.as_ref();
    let outcome = match &answer {
        Ok(Accepted::Begun) => "begun".to_owned(),
        Ok(Accepted::Holds) => "holds".to_owned(),
        Err(e) => e.to_string(),
    };
    log::info!(runner, from, to, term, orders, why:% = m.reason, outcome; "order");
    let wait_ms = match answer {
        Ok(_) => load_ms(engine, m) + ENTRY_LAG_MS,
        Err(RunnerError::NoAnswer(_)) => UNANSWERED_MS,
        // Its entry is behind its state: it is read anew from the next one.
        Err(RunnerError::Refused { .. } | RunnerError::Undecodable(_)) => ENTRY_LAG_MS,
    };
    let pending = Pending {
        layers: m.layers,
        born_ms,
        until_ms: node.now() + wait_ms,
    };
    node.loading
        .borrow_mut()
        .0
        .insert(m.runner.clone(), pending);
}

/// Orders that a runner has accepted so far: counted since it was last asked, or asked now. `None`
/// if it gives no answer, or holds something other than the plan was made from.
async fn accepted_orders(node: &Node, m: &Move) -> Option<u64> {
    if let Some(orders) = node.runners.borrow().health(&m.runner).orders {
        return Some(orders);
    }
    metrics::counter!("jacinthweir_probes_total").increment(1);
    let report = runner::report(m.address, ORDER_TIME).await;
    let runner = m.runner.as_ref();
    let report = match report {
        Ok(report) => report,
        Err(e) => {
            log::info!(runner, cause:% = e; "no report, no order");
            return None;
        }
    };
    let mut runners = node.runners.borrow_mut();
    let (born_ms, layers) = runners.entry(&m.runner).map(|e| (e.born_ms, e.layers))?;
    if report.busy || report.layers != layers || !report.is_of(born_ms) {
        log::info!(runner, busy = report.busy, layers:? = report.layers; "entry is behind, no order");
        return None;
    }
    runners.health_mut(&m.runner)?.orders = Some(report.orders);
    Some(report.orders)
}

/// The longest that a load takes: other loads slow it down.
fn load_ms(engine: &Engine, m: &Move) -> Millis {
    let share = f64::from(m.layers.1 - m.layers.0) / f64::from(engine.layers.max(1));
    (engine.load_ms * share * 3.0) as Millis
}
