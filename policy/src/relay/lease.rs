//! Which instance gives orders to runners.
//!
//! One object in the store names the holder. Every grant carries a greater term. The holder renews
//! it well within its time; another instance takes over only when it has watched the object stand
//! unchanged for the whole time to live on its own clock. Two orders that overlap all the same are
//! told apart by the runners: each order names the state that it expects.
//!
//! When the store comes back from an older copy, grants since then are lost and their terms would be given
//! out again. So nobody holds the lease in a new era before it has read it there, and terms of an era begin
//! above all of the eras before.

use crate::prelude::*;
use crate::relay::revision::Revision;

/// What the store says of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Holder.
    pub holder: Name,
    /// Grows with each holder.
    pub term: u64,
    /// Revision of the object in the store.
    pub revision: Revision,
}

/// Whether an instance should hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bid {
    /// It is the one that should.
    Acquire,
    /// Another one comes before it: it keeps what it holds and takes nothing.
    Retain,
    /// It must not.
    Abstain,
}

/// What to do about the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing for now.
    Wait,
    /// Read the object.
    Read,
    /// Create the object, which is absent.
    Create {
        /// Term of the grant.
        term: u64,
    },
    /// Replace the object at a revision.
    Replace {
        /// Term of the grant.
        term: u64,
        /// Revision that must still stand.
        revision: Revision,
    },
}

/// One instance's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Name,
    ttl_ms: Millis,
    seen: Option<(Grant, Millis)>,
    /// Since when the object is known to be absent, in milliseconds.
    absent_ms: Option<Millis>,
    /// A write's result is not known: its revision must not be built on.
    unread: bool,
    /// Era of the store.
    era: u64,
    held_ms: Option<Millis>,
    next_ms: Millis,
}

/// Renewals within a time to live.
const RENEWALS: u64 = 3;

/// Bits of a term that count within an era; orders carry terms as numbers of 53 bits.
const TERM_BITS: u32 = 32;

impl Lease {
    /// An instance named `own` that knows nothing of the lease yet.
    #[must_use]
    pub fn new(own: Name, ttl_ms: Millis) -> Lease {
        Lease {
            own,
            ttl_ms,
            seen: None,
            absent_ms: None,
            unread: false,
            era: 0,
            held_ms: None,
            next_ms: 0,
        }
    }

    /// The store is in an era that was not seen before: whatever was granted in an earlier one is not
    /// known to stand.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
        self.seen = None;
        self.held_ms = None;
        self.absent_ms = None;
        self.unread = true;
        self.next_ms = 0;
    }

    /// Whether an absent object was never there: in a store that came back from an older copy it may have
    /// been lost, and its holder lives.
    fn is_never_granted(&self) -> bool {
        self.era == 0
    }

    /// The term after `last`.
    fn next_term(&self, last: u64) -> u64 {
        last.max(self.era << TERM_BITS) + 1
    }

    /// Term, while this instance holds the lease at `now` with time to spare for an order.
    #[must_use]
    pub fn held(&self, now: Millis) -> Option<u64> {
        let sent = self.held_ms?;
        let spare = self.ttl_ms / RENEWALS;
        let (grant, _) = self.seen.as_ref()?;
        (now + spare < sent + self.ttl_ms).then_some(grant.term)
    }

    /// What to do at `now`.
    ///
    /// Load pattern: the store is back after an outage, and each instance hears it before it hears of the
    /// others. One takes the lease, and then learns that another comes before it. If it let go, nobody would
    /// give orders for a whole time to live, just when most are due.
    pub fn step(&mut self, now: Millis, bid: Bid) -> LeaseStep {
        let bids = match bid {
            Bid::Acquire => true,
            Bid::Retain => self.held(now).is_some(),
            Bid::Abstain => false,
        };
        if !bids || now < self.next_ms {
            return LeaseStep::Wait;
        }
        self.next_ms = now + self.ttl_ms / RENEWALS;
        if self.unread {
            return LeaseStep::Read;
        }
        match &self.seen {
            None => match self.absent_ms {
                Some(since) if self.is_never_granted() || now >= since + self.ttl_ms => {
                    LeaseStep::Create {
                        term: self.next_term(0),
                    }
                }
                _ => LeaseStep::Read,
            },
            Some((grant, _)) if grant.holder == self.own && self.held_ms.is_some() => {
                LeaseStep::Replace {
                    term: grant.term,
                    revision: grant.revision,
                }
            }
            Some((grant, since)) if now >= since + self.ttl_ms => LeaseStep::Replace {
                term: self.next_term(grant.term),
                revision: grant.revision,
            },
            Some(_) => LeaseStep::Read,
        }
    }

    /// A read showed `grant`, or that the object is absent.
    pub fn observe(&mut self, now: Millis, grant: Option<Grant>) {
        self.unread = false;
        let Some(grant) = grant else {
            self.absent_ms.get_or_insert(now);
            self.seen = None;
            self.held_ms = None;
            return;
        };
        self.absent_ms = None;
        let own_term = self.seen.as_ref().map(|(seen, _)| seen.term);
        if grant.holder != self.own || own_term != Some(grant.term) {
            self.held_ms = None;
        }
        match &self.seen {
            Some((seen, _)) if seen.revision == grant.revision => {}
            _ => self.seen = Some((grant, now)),
        }
    }

    /// A write that was sent at `sent_ms` was accepted.
    pub fn write_accepted(&mut self, sent_ms: Millis, grant: Grant) {
        self.absent_ms = None;
        self.unread = false;
        self.seen = Some((grant, sent_ms));
        self.held_ms = Some(sent_ms);
    }

    /// A write met another state, or its answer was lost: what stands now is read before anything
    /// else is written.
    pub fn write_failed(&mut self, now: Millis) {
        self.absent_ms = None;
        self.unread = true;
        self.next_ms = now + self.ttl_ms / (2 * RENEWALS);
    }
}
