//! Quarantine of requests and parts of prompts that crash their runners: evaluates broken runs, merges
//! the crash reports of other instances, and persists what is quarantined in the store.
//!
//! Instances have no persistent state, and all may be lost at once. What is quarantined is therefore
//! written to the store, and an instance reads it when it starts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use jacinthweir_platform::store::{Object, StoreError};
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::prompt_part::{self, PromptPart};
use jacinthweir_policy::quarantine::{
    Change, CrashReport, Evaluation, FormerRecord, SeenCrash, Suspect, SuspectCrashes, Verdict,
};
use jacinthweir_policy::relay::backoff::Backoff;
use jacinthweir_policy::relay::chain::Chain;
use jacinthweir_policy::relay::rendezvous;
use jacinthweir_policy::relay::runners::{RunnerEntry, Runners};
use jacinthweir_policy::relay::store_pacing::PartialLists;
use tokio::time::sleep;

use crate::duties;
use crate::node::Node;
use crate::request::ProxiedRequest;
use crate::tasks::{self, TaskName};
use crate::watch::count_call;

/// Kind of the store objects of the crashes for which something is quarantined. Each is named by the lifetime
/// that ended.
const KIND: &str = "jacinthweir-quarantine";

/// Maximum length of the name of an object that an instance wrote, in bytes. Longer ones are of others.
const MAX_OBJECT_NAME_BYTES: usize = 128;

/// Maximum number of crashes that are read from the store, many times what an instance keeps of them.
const MAX_READ: usize = 4_096;

/// Maximum number of objects that wait to be removed. The others are removed by an instance that starts later.
const MAX_OBSOLETE: usize = 1_000;

/// Interval between checks whether the store has all that is quarantined.
const SYNC_INTERVAL: Duration = Duration::from_millis(300);

/// First pause after a failed call to the store, and the longest one, in milliseconds.
const FIRST_RETRY_PAUSE_MS: Millis = 1_000;
const MAX_RETRY_PAUSE_MS: Millis = 2_400;

/// Returns the lifetimes of a chain's runners, in the order of its stages.
pub(crate) fn lifetimes(chain: &Chain) -> Vec<Lifetime> {
    chain.stages.iter().map(|s| lifetime(&s.runner)).collect()
}

/// Returns the lifetime of a runner's entry.
pub(crate) fn lifetime(runner: &RunnerEntry) -> Lifetime {
    Lifetime {
        runner: runner.id.clone(),
        born_ms: runner.born_ms,
    }
}

/// Retry delay named to callers while it is not known whether a runner crashed, in milliseconds.
const UNDECIDED_RETRY_MS: Millis = 1_000;

/// Interval between checks whether an undecided verdict is known.
const VERDICT_POLL: Duration = Duration::from_millis(20);

fn verdict(node: &Node, rq: &ProxiedRequest) -> Verdict {
    let mut quarantine = node.quarantine.borrow_mut();
    match quarantine.is_idle() {
        true => Verdict::Allowed,
        false => quarantine.verdict(&rq.subject(), node.now()),
    }
}

/// Returns whether a request may be sent now: it is not quarantined, and no verdict on it is open.
pub(crate) fn may_send(node: &Node, rq: &ProxiedRequest) -> bool {
    verdict(node, rq) == Verdict::Allowed
}

/// Returns how long a request is quarantined, in milliseconds; `None` if it may be sent. Waits for
/// an undecided verdict up to the time `until`.
pub(crate) async fn quarantined_ms(
    node: &Node,
    rq: &ProxiedRequest,
    until: Millis,
) -> Option<Millis> {
    loop {
        match verdict(node, rq) {
            Verdict::Allowed => return None,
            Verdict::Quarantined { suspect, left_ms } => {
                log::info!(request = rq.id.as_ref(), suspect:%, left_ms; "quarantined");
                let now = node.now();
                node.quarantine.borrow_mut().record_refusal(suspect, now);
                return Some(left_ms);
            }
            Verdict::Undecided if node.now() >= until => return Some(UNDECIDED_RETRY_MS),
            Verdict::Undecided => sleep(VERDICT_POLL).await,
        }
    }
}

/// Records that a run of a request completed or went on for long enough, which clears the crashes of
/// the request and of the parts of its prompt.
pub(crate) fn record_survival(node: &Node, rq: &ProxiedRequest) {
    let mut quarantine = node.quarantine.borrow_mut();
    if quarantine.is_idle() {
        return quarantine.record_part_survivals(&rq.prompt_parts, node.now());
    }
    if quarantine.record_survival(&rq.subject(), node.now()) {
        log::info!(
            request = rq.id.as_ref(),
            fingerprint:% = rq.fingerprint(),
            parts = prompt_part::list(&rq.prompt_parts);
            "crashes cleared"
        );
        node.gossip_due.notify_one();
    }
}

/// Evaluates whether the runners of broken runs crashed.
pub(crate) fn evaluate(node: &Node) {
    let mut quarantine = node.quarantine.borrow_mut();
    if quarantine.is_idle() {
        return;
    }
    let runners = node.runners.borrow();
    let evaluation = quarantine.evaluate(node.now(), |l| runners.lifetime_state(l));
    drop(quarantine);
    log_crashes(&runners, &evaluation);
    if evaluation.is_news() {
        node.gossip_due.notify_one();
    }
    node.obsolete_quarantines
        .borrow_mut()
        .extend(evaluation.obsolete.iter().map(object_name));
}

fn log_crashes(runners: &Runners, evaluation: &Evaluation) {
    for crash in &evaluation.seen_crashes {
        metrics::counter!("jacinthweir_strikes_total").increment(1);
        log_crash(runners, crash);
    }
    for change in &evaluation.changes {
        log_change(change);
    }
}

fn log_crash(runners: &Runners, crash: &SeenCrash) {
    let SeenCrash {
        lifetime,
        own_runs,
        all_runs,
        suspects,
    } = crash;
    let evidence = runners.end_evidence(lifetime).map(|e| e.to_string());
    let evidence = evidence.unwrap_or_default();
    let born_ms = lifetime.born_ms;
    log::warn!(runner:% = lifetime, born_ms, own_runs, all_runs, evidence; "a runner ended under requests");
    for SuspectCrashes { suspect, count } in suspects {
        match suspect {
            Suspect::Request(fingerprint) => log::warn!(
                fingerprint:%,
                runner:% = lifetime,
                born_ms,
                strikes = count,
                evidence;
                "a runner ended under a request"
            ),
            Suspect::Part(part) => log::warn!(
                part:%,
                runner:% = lifetime,
                born_ms,
                strikes = count,
                evidence;
                "a runner ended under a part of prompts"
            ),
        }
    }
}

/// Logs a change. Requests with all of its suspects are refused, or not any more.
fn log_change(change: &Change) {
    let (Change::Quarantined(suspects) | Change::Released(suspects)) = change;
    let together = suspects.len();
    for suspect in suspects {
        match (change, suspect) {
            (Change::Quarantined(_), Suspect::Request(fingerprint)) => {
                log::warn!(fingerprint:%, together; "request is quarantined");
            }
            (Change::Quarantined(_), Suspect::Part(part)) => {
                log::warn!(part:%, together; "part of prompts is quarantined");
            }
            (Change::Released(_), Suspect::Request(fingerprint)) => {
                log::warn!(fingerprint:%, together; "request is released");
            }
            (Change::Released(_), Suspect::Part(part)) => {
                log::warn!(part:%, together; "part of prompts is released");
            }
        }
    }
}

/// Merges crash reports from another instance or the store.
pub(crate) fn merge_reports(node: &Node, reports: &[CrashReport]) {
    let now = node.now();
    let mut changed = false;
    for report in reports {
        changed |= node.quarantine.borrow_mut().merge(report, now);
    }
    if changed {
        node.gossip_due.notify_one();
    }
}

/// Starts the task that reads what is quarantined from the store and keeps it up to date there.
pub(crate) fn spawn(node: &Rc<Node>) {
    tasks::spawn(node, &node.stop, TaskName::QuarantineSync, async |node| {
        run(&node).await;
    });
}

async fn run(node: &Node) {
    let mut reads = Reads::new(node);
    let mut removals = retry_backoff();
    let mut creations = retry_backoff();
    loop {
        reads.read_if_due(node).await;
        sleep(SYNC_INTERVAL).await;
        evaluate(node);
        if removals.is_over(node.now()) {
            record_write(node, &mut removals, remove_obsolete(node).await);
        }
        if creations.is_over(node.now()) {
            record_write(node, &mut creations, create_missing(node).await);
        }
    }
}

fn retry_backoff() -> Backoff {
    Backoff::new(FIRST_RETRY_PAUSE_MS, MAX_RETRY_PAUSE_MS)
}

fn record_write(node: &Node, backoff: &mut Backoff, written: Result<(), StoreError>) {
    match written {
        Ok(()) => backoff.reset(),
        Err(cause) => {
            let pause_ms = backoff.record_failure(node.now());
            log::warn!(cause:% = cause, pause_ms; "cannot write what is quarantined");
            metrics::counter!("jacinthweir_quarantine_write_failures_total").increment(1);
        }
    }
}

/// Reads of what is quarantined: at the start until one succeeds, and again while lists are partial.
struct Reads {
    due_ms: Option<Millis>,
    failures: Backoff,
    partial: PartialLists,
    /// Crashes read so far. To merge one again would prolong a quarantine.
    known: BTreeSet<Lifetime>,
}

impl Reads {
    fn new(node: &Node) -> Reads {
        Reads {
            due_ms: Some(node.now()),
            failures: retry_backoff(),
            partial: PartialLists::default(),
            known: BTreeSet::new(),
        }
    }

    async fn read_if_due(&mut self, node: &Node) {
        if self.due_ms.is_none_or(|due| node.now() < due) {
            return;
        }
        let pause_ms = match self.read(node).await {
            Ok(is_whole) => {
                self.failures.reset();
                self.partial.record(is_whole)
            }
            Err(cause) => {
                log::debug!(cause:% = cause; "cannot read what is quarantined");
                Some(self.failures.record_failure(node.now()))
            }
        };
        self.due_ms = pause_ms.map(|ms| node.now() + ms);
    }

    /// Reads what is quarantined from the store. Returns whether that was all.
    async fn read(&mut self, node: &Node) -> Result<bool, StoreError> {
        count_call("list");
        let known = &mut self.known;
        let merge = |object: Object| {
            let mut reports = reports_of(node, &object)?;
            reports.retain(|r| known.len() < MAX_READ && known.insert(r.lifetime.clone()));
            merge_reports(node, &reports);
            Some(reports.len())
        };
        let listed = match node.store.list(KIND, merge).await {
            Ok(listed) => listed,
            // The kind does not exist before the first write.
            Err(StoreError::Refused { status: 404 }) => return Ok(true),
            Err(e) => return Err(e),
        };
        let held: usize = listed.kept.into_iter().sum();
        if held > 0 {
            log::info!(held; "quarantine read");
        }
        Ok(listed.end.is_whole())
    }
}

/// Decodes an object of the store; `None` if it holds no crash reports.
fn reports_of(node: &Node, object: &Object) -> Option<Vec<CrashReport>> {
    let spec = &object.spec;
    let cause = match spec.decode::<CrashReport>("crash report") {
        Ok(report) => return Some(vec![report]),
        Err(cause) => cause,
    };
    let Ok(record) = spec.decode::<FormerRecord>("crash record") else {
        log::warn!(object = object.meta.name.as_ref(), cause:%; "bad crash report");
        return None;
    };
    let name = object.meta.name.as_ref();
    if name.len() > MAX_OBJECT_NAME_BYTES {
        log::warn!(object = name; "a crash record of another writer");
        return None;
    }
    let mut obsolete = node.obsolete_quarantines.borrow_mut();
    if obsolete.len() < MAX_OBSOLETE {
        obsolete.insert(name.to_owned());
    }
    Some(Vec::from(record))
}

/// Removes what is obsolete in the store, as far as this instance is its writer.
async fn remove_obsolete(node: &Node) -> Result<(), StoreError> {
    let names = node.obsolete_quarantines.borrow().clone();
    let mut refused = Ok(());
    for name in names {
        if is_writer(node, &name) {
            count_call("remove");
            match node.store.remove(KIND, &name).await {
                Err(e) if concerns_object(&e) => {
                    refused = Err(e);
                    continue;
                }
                removed => removed?,
            }
        }
        node.obsolete_quarantines.borrow_mut().remove(&name);
    }
    refused
}

/// Writes what is quarantined and missing in the store, as far as this instance is its writer.
async fn create_missing(node: &Node) -> Result<(), StoreError> {
    let era = node.store.era().unwrap_or_default();
    let mut refused = Ok(());
    for report in unstored(node, era) {
        count_call("create");
        let spec = serde_json::to_value(&report).unwrap_or_default();
        let name = object_name(&report.lifetime);
        match node.store.create(KIND, &name, spec).await {
            Ok(_) | Err(StoreError::Conflict) => {
                node.quarantine
                    .borrow_mut()
                    .mark_stored(&report.lifetime, era);
            }
            Err(e) if concerns_object(&e) => refused = Err(e),
            Err(e) => return Err(e),
        }
    }
    refused
}

/// Returns whether a call may have failed because of the object that it names, so that calls for others may
/// succeed.
fn concerns_object(error: &StoreError) -> bool {
    match error {
        StoreError::Refused { status } => (400..500).contains(status) && *status != 429,
        StoreError::Unsendable(_) | StoreError::Conflict => true,
        _ => false,
    }
}

/// Returns the crashes that this instance has to write. Those that were written in an earlier era of the
/// store may have been lost.
fn unstored(node: &Node, era: u64) -> Vec<CrashReport> {
    let quarantine = node.quarantine.borrow();
    let causes = quarantine.causes(node.now());
    let unstored =
        causes.filter(|c| c.stored_era < Some(era) && is_writer(node, &object_name(&c.lifetime)));
    let written = unstored.map(|c| CrashReport {
        stored_era: Some(era),
        age_ms: 0,
        ..c
    });
    written.collect()
}

/// Returns the name of the store object of a crash. Identities of runners may be longer than names are.
fn object_name(lifetime: &Lifetime) -> String {
    let runner = PromptPart::of_content(lifetime.runner.as_bytes());
    format!("{runner}-{}", lifetime.born_ms)
}

/// Whether this instance is the one that writes an object.
fn is_writer(node: &Node, object: &str) -> bool {
    let reaching_store = duties::reaching_store(node);
    let names = reaching_store.iter().map(|c| &c.name);
    node.reaches_store.get() && rendezvous::is_first_for(&node.settings.name, names, object)
}
