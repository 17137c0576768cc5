//! Requests that end the runners which run them: what breaks shows, what others tell, and what the store
//! keeps.
//!
//! Instances keep nothing, and all may be lost at once; so a request that is held stands in the store, and
//! an instance that starts reads which are.

use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::store::StoreError;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain::Chain;
use jacinthweir_policy::relay::fingerprint::Fingerprint;
use jacinthweir_policy::relay::lifetime::Lifetime;
use jacinthweir_policy::relay::quarantine::{self, CrashRecord, Evaluation, Verdict};
use jacinthweir_policy::relay::runners::RunnerEntry;
use tokio::time::sleep;

use crate::node::Node;
use crate::peers;
use crate::request::Proxied;
use crate::watch::count_call;

/// Kind of the objects that say which requests are held. Each is named by its request's fingerprint.
const KIND: &str = "jacinthweir-quarantine";

/// Period of looking whether the store has all that is held, and pause after a failed call.
const LOOK: Duration = Duration::from_millis(300);
const PAUSE: Duration = Duration::from_millis(1_000);

/// Lifetimes that a request passes through along a chain, the first one first.
pub(crate) fn lifetimes(chain: &Chain) -> Vec<Lifetime> {
    chain.stages.iter().map(|s| lifetime(&s.runner)).collect()
}

/// The lifetime that a runner's entry is of.
pub(crate) fn lifetime(runner: &RunnerEntry) -> Lifetime {
    Lifetime {
        runner: runner.id.clone(),
        born_ms: runner.born_ms,
    }
}

/// When to come back to an instance that does not know yet whether a runner ended, in milliseconds.
const UNDECIDED_MS: Millis = 1_000;

/// Period of looking whether it is known by now.
const DECISION_LOOK: Duration = Duration::from_millis(20);

fn verdict(node: &Node, rq: &Proxied) -> Verdict {
    let quarantine = node.quarantine.borrow();
    match quarantine.is_idle() {
        true => Verdict::Allowed,
        false => quarantine.verdict(rq.fingerprint(), node.now()),
    }
}

/// How long a request is not to be sent to any runner, in milliseconds; `None` if it may be. What is not
/// known yet is waited for until the time `until`.
pub(crate) async fn quarantined_ms(node: &Node, rq: &Proxied, until: Millis) -> Option<Millis> {
    loop {
        match verdict(node, rq) {
            Verdict::Allowed => return None,
            Verdict::Quarantined(ms) => return Some(ms),
            Verdict::Undecided if node.now() >= until => return Some(UNDECIDED_MS),
            Verdict::Undecided => sleep(DECISION_LOOK).await,
        }
    }
}

/// A run of a request came to its end, or went on for long enough.
pub(crate) fn record_survival(node: &Node, rq: &Proxied) {
    let mut quarantine = node.quarantine.borrow_mut();
    if !quarantine.is_idle() && quarantine.record_survival(rq.fingerprint(), node.now()) {
        log::info!(request = rq.id.as_ref(), fingerprint:% = rq.fingerprint(); "strikes are void");
        node.gossip_due.notify_one();
    }
}

/// Looks what became of the runners of runs that broke off.
pub(crate) fn evaluate(node: &Node) {
    let mut quarantine = node.quarantine.borrow_mut();
    if quarantine.is_idle() {
        return;
    }
    let runners = node.runners.borrow();
    let settled = quarantine.evaluate(node.now(), |l| runners.lifetime_state(l));
    drop(quarantine);
    log_settled(&settled);
    if settled.is_news() {
        node.gossip_due.notify_one();
    }
    node.expired_quarantines
        .borrow_mut()
        .extend(settled.expired);
}

fn log_settled(settled: &Evaluation) {
    for strike in &settled.new_crashes {
        metrics::counter!("jacinthweir_strikes_total").increment(1);
        log::warn!(
            fingerprint:% = strike.request,
            runner:% = strike.lifetime,
            born_ms = strike.lifetime.born_ms,
            strikes = strike.count;
            "a runner ended under a request"
        );
        if strike.count == quarantine::CRASH_THRESHOLD {
            log::warn!(fingerprint:% = strike.request; "request is held");
        }
    }
}

/// Takes in cases that another instance, or the store, tells.
pub(crate) fn merge_records(node: &Node, cases: &[CrashRecord]) {
    let now = node.now();
    let mut is_news = false;
    for case in cases {
        is_news |= node.quarantine.borrow_mut().merge(case, now);
    }
    if is_news {
        node.gossip_due.notify_one();
    }
}

/// Starts following and writing what the store has of requests that are held.
pub(crate) fn spawn(node: &Rc<Node>) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        let stop = node.stop.clone();
        let _ = stop.run_until_cancelled(run(&node)).await;
    });
}

async fn run(node: &Node) {
    while let Err(cause) = read(node).await {
        log::debug!(cause:% = cause; "held requests not read");
        sleep(PAUSE).await;
    }
    loop {
        sleep(LOOK).await;
        evaluate(node);
        let written = write(node).await;
        if let Err(cause) = written {
            log::warn!(cause:% = cause; "held requests not written");
            sleep(PAUSE).await;
        }
    }
}

/// Reads which requests are held.
async fn read(node: &Node) -> Result<(), StoreError> {
    count_call("list");
    let listed = match node.store.list(KIND).await {
        Ok(listed) => listed,
        // Nothing was ever written.
        Err(StoreError::Refused { status: 404 }) => return Ok(()),
        Err(e) => return Err(e),
    };
    let cases = listed.objects.iter().filter_map(|o| {
        let case = o.spec.decode::<CrashRecord>("held request");
        case.inspect_err(|e| log::warn!(object = o.meta.name.as_ref(), cause:% = e; "left out"))
            .ok()
    });
    let cases: Vec<CrashRecord> = cases.collect();
    if !cases.is_empty() {
        log::info!(held = cases.len(); "held requests read");
    }
    merge_records(node, &cases);
    Ok(())
}

/// Writes what is held and the store lacks, and removes what is forgotten, as far as it falls to this
/// instance.
async fn write(node: &Node) -> Result<(), StoreError> {
    let forgotten = std::mem::take(&mut *node.expired_quarantines.borrow_mut());
    for request in forgotten.into_iter().filter(|r| is_writer(node, *r)) {
        count_call("remove");
        node.store.remove(KIND, &request.to_string()).await?;
    }
    let era = node.store.era().unwrap_or_default();
    for case in lacking(node, era) {
        count_call("create");
        let spec = serde_json::to_value(&case).unwrap_or_default();
        let name = case.request.to_string();
        match node.store.create(KIND, &name, spec).await {
            Ok(_) | Err(StoreError::Conflict) => {
                node.quarantine.borrow_mut().mark_stored(case.request, era);
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Cases that this instance is to write: the store may have lost those that were written in an era before.
fn lacking(node: &Node, era: u64) -> Vec<CrashRecord> {
    let quarantine = node.quarantine.borrow();
    let held = quarantine.quarantined(node.now());
    let lacking = held.filter(|c| c.stored_era < Some(era) && is_writer(node, c.request));
    let written = lacking.map(|c| CrashRecord {
        stored_era: Some(era),
        age_ms: 0,
        ..c
    });
    written.collect()
}

fn is_writer(node: &Node, request: Fingerprint) -> bool {
    let reaching_store = peers::reaching_store(node);
    node.reaches_store.get()
        && quarantine::is_writer(&node.settings.name, reaching_store.iter(), request)
}
