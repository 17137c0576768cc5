//! From where an instance that starts gets the runners, and how long it waits for each source.
//!
//! The sources, in their order:
//!
//! 1. The seeds, all at once, for [`SEED_HEAD_START_MS`].
//! 2. Other instances, one after the other, until the end. One that has the runners may be busy with a
//!    copy for somebody else: it is asked again, after a delay that doubles. If there is such an
//!    instance, the store is left alone for [`BUSY_WAIT_MS`].
//! 3. The first page of the store's list, which is all of it if there are few runners. In a large fleet
//!    with a busy source, only instances that read for their failure domain read it.
//! 4. The whole list, at once by an instance that reads for its failure domain, and by any other one after
//!    [`WHOLE_LIST_MS`] to [`WHOLE_LIST_MS`] + [`WHOLE_LIST_JITTER_MS`].
//!
//! Invariants: no instance waits only for others that start, since it also asks those that were found to
//! have the runners, and others at random; and each wait for a source ends by itself, whatever the source
//! does.
//! So an instance of a small fleet reads the first page after [`BUSY_WAIT_MS`] at the latest, and any
//! instance reads the whole list after eight seconds at the latest.

use std::net::SocketAddr;

use crate::prelude::*;

/// Time after the start for which the seeds are asked alone, in milliseconds: a copy of 3,000 runners
/// takes as long on a link of 20 Mbit/s.
pub const SEED_HEAD_START_MS: Millis = 150;

/// Time after the start for which the store is left alone while another instance has the runners, in
/// milliseconds. That instance sends ten copies in this time.
pub const BUSY_WAIT_MS: Millis = 1_000;

/// Time after the start from which any instance reads the whole list, in milliseconds.
pub const WHOLE_LIST_MS: Millis = 5_000;

/// Maximum jitter of [`WHOLE_LIST_MS`], in milliseconds.
pub const WHOLE_LIST_JITTER_MS: Millis = 3_000;

/// Interval between an answer and the next request for a copy, and its maximum jitter, in milliseconds.
const ASK_MS: Millis = 150;
const ASK_JITTER_MS: Millis = 150;

/// Time after which another instance is asked while a request is unanswered, in milliseconds. It may be
/// sending a large copy.
const ANSWER_PATIENCE_MS: Millis = 750;

/// Maximum delay before a busy instance is asked again, in milliseconds.
const MAX_BUSY_DELAY_MS: Millis = 1_200;

/// Time after which an instance of a small fleet reads a page again that the store did not give, in
/// milliseconds.
const PAGE_RETRY_MS: Millis = 600;

/// What an instance that starts knows about the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetRole {
    /// Whether the fleet is large, so that the store must not be read by all instances.
    pub is_large: bool,
    /// Whether the instance reads the list for its failure domain.
    pub reads_for_domain: bool,
}

/// A read of the store's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// The first page. Whether it is all of the list shows with it.
    FirstPage,
    /// The whole list, until it succeeds.
    WholeList,
}

/// Why a read of the first page did not give the runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageMiss {
    /// The list is longer.
    Longer,
    /// The store did not answer.
    Failed,
}

/// An instance to ask for a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The instance at an address, which has the runners.
    Again(SocketAddr),
    /// One of the strongest instances of the same failure domain.
    StrongNeighbour,
    /// Any instance of the same failure domain.
    Neighbour,
    /// A seed, or any instance of another failure domain.
    Elsewhere,
}

/// Order in which instances are asked that are not known to have the runners. Copies from other failure
/// domains cost their links more, but a domain may start as a whole.
const ORDER: [Ask; 4] = [
    Ask::StrongNeighbour,
    Ask::Neighbour,
    Ask::StrongNeighbour,
    Ask::Elsewhere,
];

/// Answer without a copy that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoCopy {
    /// The instance has the runners, and sent a copy just now.
    Busy,
    /// The instance does not have them, gave no answer, or sent a copy that cannot be used.
    Nothing,
}

/// An instance that has the runners.
#[derive(Debug)]
struct BusyInstance {
    address: SocketAddr,
    /// When it is asked again.
    ask_ms: Millis,
    /// Delay between its last answer and that.
    delay_ms: Millis,
}

#[derive(Debug, PartialEq, Eq)]
enum Page {
    /// Not read yet.
    Unread,
    /// Being read.
    Open,
    /// Not answered by the store; may be read again from a time on.
    Failed { again_ms: Millis },
    /// The list is longer.
    Longer,
}

/// Sources of the runners at the start of an instance.
#[derive(Debug)]
pub struct StartSources {
    started_ms: Millis,
    /// Seeds that have not answered yet.
    silent_seeds: Vec<SocketAddr>,
    busy: Vec<BusyInstance>,
    next_ask_ms: Millis,
    /// Requests to instances that are not known to have the runners, without those to the seeds.
    requests: usize,
    page: Page,
    whole_list_ms: Millis,
}

impl StartSources {
    /// Begins at `now`, when the `seeds` are asked. `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn new(now: Millis, seeds: Vec<SocketAddr>, draw: f64) -> StartSources {
        StartSources {
            started_ms: now,
            silent_seeds: seeds,
            busy: Vec::new(),
            next_ask_ms: now + ASK_MS + jitter_ms(draw, ASK_JITTER_MS),
            requests: 0,
            page: Page::Unread,
            whole_list_ms: now + WHOLE_LIST_MS + jitter_ms(draw, WHOLE_LIST_JITTER_MS),
        }
    }

    /// Returns the instance to ask at `now`, if any, and records that it is asked.
    pub fn next_ask(&mut self, now: Millis) -> Option<Ask> {
        if now < self.next_ask_ms {
            return None;
        }
        self.next_ask_ms = now + ANSWER_PATIENCE_MS;
        // One that is due a moment later is worth more than one that may have nothing.
        let due = self.busy.iter_mut().filter(|b| b.ask_ms <= now + ASK_MS);
        if let Some(busy) = due.min_by_key(|b| b.ask_ms) {
            busy.ask_ms = now + 2 * ANSWER_PATIENCE_MS;
            return Some(Ask::Again(busy.address));
        }
        let ask = ORDER[self.requests % ORDER.len()];
        self.requests += 1;
        Some(ask)
    }

    /// Records that no instance is known that could be asked as [`next_ask`](Self::next_ask) said.
    pub fn record_no_candidate(&mut self, now: Millis) {
        self.next_ask_ms = now + ASK_MS;
    }

    /// Returns the read of the store that is due at `now`, if any, and records that it is made. Must not be
    /// called during a read.
    pub fn next_read(&mut self, now: Millis, role: FleetRole) -> Option<Read> {
        let is_page_useless = matches!(self.page, Page::Longer | Page::Failed { .. });
        let reads_for_domain = is_page_useless && role.reads_for_domain;
        if reads_for_domain || now >= self.whole_list_ms {
            return Some(Read::WholeList);
        }
        if now < self.first_page_ms(role)? {
            return None;
        }
        self.page = Page::Open;
        Some(Read::FirstPage)
    }

    /// Returns from when on the first page is read, or `None` if it is not.
    fn first_page_ms(&self, role: FleetRole) -> Option<Millis> {
        let reads = role.reads_for_domain || !role.is_large;
        match self.page {
            Page::Open | Page::Longer => None,
            Page::Failed { again_ms } => reads.then_some(again_ms),
            Page::Unread if !self.busy.is_empty() => {
                reads.then_some(self.started_ms + BUSY_WAIT_MS)
            }
            Page::Unread if !self.silent_seeds.is_empty() => {
                Some(self.started_ms + SEED_HEAD_START_MS)
            }
            Page::Unread => Some(self.started_ms),
        }
    }

    /// Records that the first page did not give the runners.
    pub fn record_page_miss(&mut self, now: Millis, miss: PageMiss) {
        self.page = match miss {
            PageMiss::Longer => Page::Longer,
            PageMiss::Failed => Page::Failed {
                again_ms: now + PAGE_RETRY_MS,
            },
        };
    }

    /// Records that the instance at `address` gave no copy. `draw` is a random number from 0 to 1.
    pub fn record_no_copy(&mut self, now: Millis, address: SocketAddr, got: NoCopy, draw: f64) {
        self.silent_seeds.retain(|seed| *seed != address);
        let jitter_ms = jitter_ms(draw, ASK_JITTER_MS);
        self.next_ask_ms = self.next_ask_ms.min(now + ASK_MS + jitter_ms);
        let known = self.busy.iter().position(|b| b.address == address);
        let known = known.map(|index| self.busy.swap_remove(index));
        if got == NoCopy::Nothing {
            return;
        }
        let delay_ms = known.map_or(ASK_MS, |b| (2 * b.delay_ms).min(MAX_BUSY_DELAY_MS));
        self.busy.push(BusyInstance {
            address,
            ask_ms: now + delay_ms + jitter_ms,
            delay_ms,
        });
    }

    /// Whether the instance at `address` has the runners. It is only asked as [`Ask::Again`].
    #[must_use]
    pub fn has_runners(&self, address: SocketAddr) -> bool {
        self.busy.iter().any(|b| b.address == address)
    }
}

fn jitter_ms(draw: f64, max_ms: Millis) -> Millis {
    (draw * max_ms as f64) as Millis
}
