//! The runners at the start of an instance, taken over from another instance.
//!
//! Load pattern: a thousand instances start at once, or are replaced one after the other, before
//! thousands of runners. The list of the runners takes several calls and a megabyte; if each instance
//! read it, the store's link would be occupied for ten seconds, the calls would time out and be made
//! again. So an instance first asks others. If none has the runners, it reads the first page of the
//! list, which is all of it in a small fleet. In a larger one the strongest instances of each failure
//! domain read the list, and the others ask on until one has it.
//!
//! A copy that was taken over is as old as its revision tells: changes since then follow as batches, or
//! are read from the store. A copy of an earlier era of the store is not used.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_platform::runner;
use jacinthweir_policy::member::MemberState;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::rendezvous::Candidate;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::RunnerEntry;
use jacinthweir_policy::relay::store_watch::ConfirmScope;
use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::duties;
use crate::messages::{self, Message, Reply};
use crate::node::Node;
use crate::watch;

/// Maximum size of a copy in bytes, enough for some 60,000 runners.
const MAX_COPY_BYTES: usize = 4 << 20;

/// Timeout of a request for a copy. Some hundred kilobytes take a small instance's link a tenth of a
/// second, and several instances may ask at once.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum interval between two copies that an instance sends, in milliseconds. Copies would delay its
/// callers' streams on a small link.
const COPY_INTERVAL_MS: Millis = 100;

/// Interval between two requests for a copy, and its maximum jitter, in milliseconds.
const RETRY_MS: Millis = 150;
const RETRY_JITTER_MS: f64 = 150.0;

/// Time after the start from which an instance reads the whole list itself, and its maximum jitter, in
/// milliseconds.
const READ_AFTER_MS: Millis = 5_000;
const READ_JITTER_MS: f64 = 3_000.0;

/// Strongest instances of a failure domain, of which one is asked in every second request.
const STRONGEST: usize = 8;

/// Time within which a seed has to answer before the store is asked as well: a copy of 3,000 runners
/// takes as long on a link of 20 Mbit/s.
const SEED_HEAD_START: Duration = Duration::from_millis(150);

/// Seeds that are asked at the start.
const MAX_SEEDS: usize = 3;

/// The runners that an instance knows from the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RunnersCopy {
    entries: Vec<RunnerEntry>,
    /// Revision of the store up to which all changes are included.
    as_of: Revision,
    /// Newest revision of an entry.
    newest: Revision,
}

/// When an instance last sent a copy, in milliseconds.
#[derive(Default)]
pub(crate) struct LastCopy(Cell<Option<Millis>>);

impl LastCopy {
    /// Returns whether a copy may be sent at `now`, and records it if so.
    fn take_turn(&self, now: Millis) -> bool {
        let recent = self.0.get().is_some_and(|at| now < at + COPY_INTERVAL_MS);
        if !recent {
            self.0.set(Some(now));
        }
        !recent
    }
}

/// Result of a request for a copy.
#[derive(Debug)]
pub(crate) enum CopyOutcome {
    /// The runners.
    Copy(Box<RunnersCopy>),
    /// The instance has them, and sent a copy just now.
    Busy,
    /// The instance does not have them, or does not answer.
    None,
}

/// Returns the runners for an instance that starts.
pub(crate) fn copy_runners(node: &Node) -> CopyOutcome {
    if !node.runners_listed.get() {
        return CopyOutcome::None;
    }
    if !node.last_copy.take_turn(node.now()) {
        return CopyOutcome::Busy;
    }
    let runners = node.runners.borrow();
    CopyOutcome::Copy(Box::new(RunnersCopy {
        entries: runners.entries_in_store().cloned().collect(),
        as_of: node.runners_progress.get().as_of(),
        newest: node.runners_revision.get(),
    }))
}

/// Takes the runners over from another instance, or from the first page of the store's list if that is
/// all of it. Returns the revision from which changes have to follow, or `None` if this instance has to
/// read the whole list.
pub(crate) async fn take_over_runners(node: &Node) -> Option<Revision> {
    let has_source = match first_answer(node).await {
        FirstAnswer::Taken(revision) => return Some(revision),
        FirstAnswer::Busy => true,
        FirstAnswer::Nothing => false,
    };
    let read_at = READ_AFTER_MS + (node.random_f64() * READ_JITTER_MS) as Millis;
    while node.now() < read_at && (has_source || !reads_for_domain(node)) {
        let seed = || seeds(node).first().copied();
        if let Some(address) = some_neighbour(node).or_else(seed)
            && let CopyOutcome::Copy(copy) = ask(address).await
            && let Some(revision) = take_over(node, *copy)
        {
            return Some(revision);
        }
        let jitter_ms = (node.random_f64() * RETRY_JITTER_MS) as Millis;
        sleep(Duration::from_millis(RETRY_MS + jitter_ms)).await;
    }
    None
}

/// Result of the first requests of an instance that starts.
enum FirstAnswer {
    /// The runners were taken over or read; changes follow from the revision.
    Taken(Revision),
    /// A seed has the runners, and sends them later.
    Busy,
    /// No seed has the runners, and the store's list is long.
    Nothing,
}

/// Asks the seeds, and the store unless one of them answers soon that it has the runners. The seeds may be
/// lost: an instance that waited for them would refuse its callers meanwhile.
async fn first_answer(node: &Node) -> FirstAnswer {
    let mut asked: FuturesUnordered<_> = seeds(node).into_iter().map(ask).collect();
    let mut has_runners = false;
    let head_start = sleep(SEED_HEAD_START);
    tokio::pin!(head_start);
    loop {
        tokio::select! {
            answer = asked.next() => match answer {
                Some(CopyOutcome::Copy(copy)) => {
                    if let Some(revision) = take_over(node, *copy) {
                        return FirstAnswer::Taken(revision);
                    }
                }
                Some(CopyOutcome::Busy) => has_runners = true,
                Some(CopyOutcome::None) => {}
                None => break,
            },
            () = &mut head_start => break,
        }
    }
    if has_runners {
        return FirstAnswer::Busy;
    }
    let read = read_short_list(node).await;
    read.map_or(FirstAnswer::Nothing, FirstAnswer::Taken)
}

fn seeds(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.listen.peers;
    let others = node.settings.seeds.iter().copied().filter(|a| *a != own);
    node.with_rng(|rng| others.sample(rng, MAX_SEEDS))
}

/// Reads the list of the runners if it is short. A store that does not answer is left to the watch on
/// the runners, which asks again.
async fn read_short_list(node: &Node) -> Option<Revision> {
    watch::count_call("list");
    let listed = node.store.list_if_short(runner::ENTRIES).await;
    let listed = listed.ok()??;
    node.reaches_store.set(true);
    watch::apply_runners(node, &listed, true);
    Some(listed.revision)
}

/// Whether this instance is one of the strongest of its failure domain that are known, so that it reads
/// the whole list for the others.
fn reads_for_domain(node: &Node) -> bool {
    if duties::is_discovering(node) {
        return false;
    }
    let membership = node.membership.borrow();
    let own = duties::candidate(&membership.own().state);
    let domain = &node.settings.failure_domain;
    let neighbours: Vec<Candidate> = membership
        .peers()
        .filter(|m| m.domain == *domain)
        .map(duties::candidate)
        .collect();
    ConfirmScope::of(&own, neighbours.iter()) == ConfirmScope::Domain
}

/// Returns the address of an instance of the same failure domain, every second time one of the
/// strongest.
fn some_neighbour(node: &Node) -> Option<SocketAddr> {
    let membership = node.membership.borrow();
    let domain = &node.settings.failure_domain;
    let mut neighbours: Vec<&MemberState> =
        membership.peers().filter(|m| m.domain == *domain).collect();
    if node.random_u32().is_multiple_of(2) {
        neighbours.sort_by_key(|m| std::cmp::Reverse(m.capacity));
        neighbours.truncate(STRONGEST);
    }
    node.with_rng(|rng| neighbours.choose(rng).map(|m| m.peers))
}

/// Asks an instance for the runners.
async fn ask(address: SocketAddr) -> CopyOutcome {
    let asked =
        messages::post_for_long_reply(address, &Message::Runners, COPY_TIMEOUT, MAX_COPY_BYTES);
    match asked.await {
        Ok(Reply::Runners(copy)) => CopyOutcome::Copy(copy),
        Ok(Reply::Busy) => CopyOutcome::Busy,
        Ok(_) => CopyOutcome::None,
        Err(cause) => {
            log::debug!(address:% = address, cause; "no runners from an instance");
            CopyOutcome::None
        }
    }
}

/// Applies a copy, unless it is of another era of the store than this instance knows. Returns the
/// revision from which changes have to follow.
fn take_over(node: &Node, copy: RunnersCopy) -> Option<Revision> {
    let RunnersCopy {
        entries,
        as_of,
        newest,
    } = copy;
    if node.store.era().is_some_and(|era| era != as_of.era) {
        log::info!(as_of:% = as_of; "runners of an earlier era not used");
        return None;
    }
    log::info!(runners = entries.len(), as_of:% = as_of; "runners taken over");
    watch::replace_runners(node, entries, as_of, newest, true);
    Some(as_of)
}
