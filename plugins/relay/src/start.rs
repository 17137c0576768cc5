//! The runners at the start of an instance, taken over from another instance.
//!
//! Load pattern: a thousand instances start at once, or are replaced one after the other, before
//! thousands of runners. The list of the runners takes several calls and a megabyte; if each instance
//! read it, the store's link would be occupied for ten seconds, the calls would time out and be made
//! again. So an instance first asks others. If none has the runners, it reads the first page of the
//! list, which is all of it in a small fleet. In a larger one the strongest instances of each failure
//! domain read the list, and the others ask on until one has it. [`StartSources`] decides what is asked
//! or read, and when.
//!
//! Bounds of the time from the start until an instance has the runners:
//!
//! - while others have them: one of these is asked again every two seconds at the latest, until it sends a
//!   copy;
//! - while the store answers: a second and one call in a small fleet whose list has one page, otherwise
//!   eight seconds and the calls for the list.
//!
//! Requests to others go on while the store is read, so a store that does not answer keeps an instance
//! from nothing that another one has. An instance is ready once it has read the configuration as well,
//! which only the store gives to one that starts.
//!
//! A copy that was taken over is as old as its revision tells: changes since then follow as batches, or
//! are read from the store. A copy of an earlier era of the store is not used.

use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{Fuse, FusedFuture, LocalBoxFuture};
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_platform::runner;
use jacinthweir_policy::member::MemberState;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::rendezvous::Candidate;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::runners::RunnerEntry;
use jacinthweir_policy::relay::start_sources::{
    Ask, FleetRole, NoCopy, PageMiss, Read, StartSources,
};
use jacinthweir_policy::relay::store_watch::ConfirmScope;
use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::duties;
use crate::messages::{self, Message, Reply};
use crate::node::{MAX_BEATS, Node};
use crate::runner_changes;
use crate::watch::{self, Gaps};

/// Maximum size of a copy in bytes, enough for some 60,000 runners.
const MAX_COPY_BYTES: usize = 4 << 20;

/// Timeout of a request for a copy. Some hundred kilobytes take a small instance's link a tenth of a
/// second, and several instances may ask at once.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum interval between two copies that an instance sends, in milliseconds. Copies would delay its
/// callers' streams on a small link.
const COPY_INTERVAL_MS: Millis = 100;

/// Strongest instances of a failure domain, of which one is asked in every second request that goes to no
/// instance known to have the runners.
const STRONGEST: usize = 8;

/// Seeds that are asked at the start.
const MAX_SEEDS: usize = 3;

/// Interval between checks which source is due.
const SOURCE_POLL: Duration = Duration::from_millis(50);

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
    if !node.runners_listed.get() || node.runners_partial.get() {
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

/// The search of an instance that starts for the runners.
pub(crate) struct RunnersSearch<'a> {
    node: &'a Node,
    sources: StartSources,
    /// Open requests for a copy.
    asked: FuturesUnordered<LocalBoxFuture<'static, (SocketAddr, CopyOutcome)>>,
}

impl<'a> RunnersSearch<'a> {
    /// Begins by asking the seeds.
    pub(crate) fn open(node: &'a Node) -> RunnersSearch<'a> {
        let seeds = seeds(node);
        let asked = seeds.iter().map(|seed| ask(*seed).boxed_local()).collect();
        RunnersSearch {
            node,
            sources: StartSources::new(node.now(), seeds, node.random_f64()),
            asked,
        }
    }

    /// Takes the runners over from another instance, or from the first page of the store's list if that
    /// is all of it. Returns the revision from which changes have to follow, or `None` if this instance
    /// has to read the whole list.
    pub(crate) async fn take_over(&mut self) -> Option<Revision> {
        let node = self.node;
        let mut page = pin!(Fuse::terminated());
        loop {
            if page.is_terminated() {
                match self.sources.next_read(node.now(), role(node)) {
                    Some(Read::FirstPage) => page.set(read_short_list(node).fuse()),
                    Some(Read::WholeList) => return None,
                    None => {}
                }
            }
            tokio::select! {
                copied = self.ask_once() => {
                    if copied.is_some() {
                        return copied;
                    }
                }
                read = &mut page => match read {
                    Ok(revision) => return Some(revision),
                    Err(miss) => self.sources.record_page_miss(node.now(), miss),
                },
            }
        }
    }

    /// Asks other instances until one gives the runners. Returns the revision from which changes have to
    /// follow.
    pub(crate) async fn ask_on(&mut self) -> Revision {
        loop {
            if let Some(revision) = self.ask_once().await {
                return revision;
            }
        }
    }

    /// Asks an instance if one is due, and waits a moment for an answer. Returns the revision from which
    /// changes have to follow if the answer is a copy that can be used.
    async fn ask_once(&mut self) -> Option<Revision> {
        let now = self.node.now();
        if let Some(due) = self.sources.next_ask(now) {
            match self.address(due) {
                Some(address) => self.asked.push(ask(address).boxed_local()),
                None => self.sources.record_no_candidate(now),
            }
        }
        let answer = async {
            match self.asked.next().await {
                Some(answer) => answer,
                None => pending().await,
            }
        };
        let (address, outcome) = timeout(SOURCE_POLL, answer).await.ok()?;
        let got = match outcome {
            CopyOutcome::Copy(copy) => match take_over(self.node, *copy) {
                Some(revision) => return Some(revision),
                None => NoCopy::Nothing,
            },
            CopyOutcome::Busy => NoCopy::Busy,
            CopyOutcome::None => NoCopy::Nothing,
        };
        let draw = self.node.random_f64();
        let now = self.node.now();
        self.sources.record_no_copy(now, address, got, draw);
        None
    }

    /// Returns the address of an instance to ask, if one is known.
    fn address(&self, ask: Ask) -> Option<SocketAddr> {
        let strongest = || self.neighbour(STRONGEST);
        let neighbour = || self.neighbour(usize::MAX);
        let elsewhere = || self.elsewhere();
        match ask {
            Ask::Again(address) => Some(address),
            Ask::StrongNeighbour => strongest().or_else(elsewhere),
            Ask::Neighbour => neighbour().or_else(elsewhere),
            Ask::Elsewhere => elsewhere().or_else(neighbour),
        }
    }

    /// Returns the address of one of the `most` strongest instances of the same failure domain that are
    /// not known to have the runners.
    fn neighbour(&self, most: usize) -> Option<SocketAddr> {
        let membership = self.node.membership.borrow();
        let peers = membership.peers().filter(|m| self.is_near(m));
        let mut neighbours: Vec<&MemberState> = peers
            .filter(|m| !self.sources.has_runners(m.peers))
            .collect();
        neighbours.sort_by_key(|m| std::cmp::Reverse(m.capacity));
        neighbours.truncate(most);
        let chosen = self.node.with_rng(|rng| neighbours.choose(rng).copied());
        chosen.map(|m| m.peers)
    }

    /// Returns the address of a seed, or of an instance of another failure domain, that is not known to
    /// have the runners.
    fn elsewhere(&self) -> Option<SocketAddr> {
        let membership = self.node.membership.borrow();
        let far = membership.peers().filter(|m| !self.is_near(m));
        let candidates = far.map(|m| m.peers).chain(seeds(self.node));
        let candidates = candidates.filter(|address| !self.sources.has_runners(*address));
        self.node.with_rng(|rng| candidates.choose(rng))
    }

    fn is_near(&self, m: &MemberState) -> bool {
        m.domain == self.node.settings.failure_domain
    }
}

fn role(node: &Node) -> FleetRole {
    FleetRole {
        is_large: node.membership.borrow().members().count() > MAX_BEATS,
        reads_for_domain: reads_for_domain(node),
    }
}

fn seeds(node: &Node) -> Vec<SocketAddr> {
    let own = node.settings.listen.peers;
    let others = node.settings.seeds.iter().copied().filter(|a| *a != own);
    node.with_rng(|rng| others.sample(rng, MAX_SEEDS))
}

/// Reads the list of the runners if it is short, and returns its revision.
async fn read_short_list(node: &Node) -> Result<Revision, PageMiss> {
    watch::count_call("list");
    let keep = |object| runner_changes::decode(node, &object);
    let listed = node.store.list_first_page(runner::ENTRIES, keep).await;
    let listed = listed.map_err(|_| PageMiss::Failed)?;
    node.reaches_store.set(true);
    if !listed.end.is_whole() {
        return Err(PageMiss::Longer);
    }
    let revision = listed.revision;
    let gaps = Gaps {
        may_lack_entries: true,
        history_is_gone: false,
    };
    watch::apply_runners(node, listed, gaps);
    Ok(revision)
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

/// Asks an instance for the runners. Returns its address with the result.
async fn ask(address: SocketAddr) -> (SocketAddr, CopyOutcome) {
    let asked =
        messages::post_for_long_reply(address, &Message::Runners, COPY_TIMEOUT, MAX_COPY_BYTES);
    let outcome = match asked.await {
        Ok(Reply::Runners(copy)) => CopyOutcome::Copy(copy),
        Ok(Reply::Busy) => CopyOutcome::Busy,
        Ok(_) => CopyOutcome::None,
        Err(cause) => {
            log::debug!(address:% = address, cause; "no runners from an instance");
            CopyOutcome::None
        }
    };
    (address, outcome)
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
