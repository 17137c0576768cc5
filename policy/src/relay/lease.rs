//! Which instance gives orders to runners.
//!
//! One object in the store names the holder. Every grant carries a greater term. The holder renews
//! it well within its time; another instance takes over only when it has watched the object stand
//! unchanged for the whole time to live on its own clock. Two orders that overlap all the same are
//! told apart by the runners: each order names the state that it expects.

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
    absent: bool,
    /// A write's result is not known: its revision must not be built on.
    unread: bool,
    held_ms: Option<Millis>,
    next_ms: Millis,
}

/// Renewals within a time to live.
const RENEWALS: u64 = 3;

impl Lease {
    /// An instance named `own` that knows nothing of the lease yet.
    #[must_use]
    pub fn new(own: Name, ttl_ms: Millis) -> Lease {
        Lease {
            own,
            ttl_ms,
            seen: None,
            absent: false,
            unread: false,
            held_ms: None,
            next_ms: 0,
        }
    }

    /// Term, while this instance holds the lease at `now` with time to spare for an order.
    #[must_use]
    pub fn held(&self, now: Millis) -> Option<u64> {
        let sent = self.held_ms?;
        let spare = self.ttl_ms / RENEWALS;
        let (grant, _) = self.seen.as_ref()?;
        (now + spare < sent + self.ttl_ms).then_some(grant.term)
    }

    /// What to do at `now`; `candidate`: this instance is the one that should hold it.
    pub fn step(&mut self, now: Millis, candidate: bool) -> LeaseStep {
        if !candidate || now < self.next_ms {
            return LeaseStep::Wait;
        }
        self.next_ms = now + self.ttl_ms / RENEWALS;
        if self.unread {
            return LeaseStep::Read;
        }
        match &self.seen {
            None if self.absent => LeaseStep::Create { term: 1 },
            None => LeaseStep::Read,
            Some((grant, _)) if grant.holder == self.own && self.held_ms.is_some() => {
                LeaseStep::Replace {
                    term: grant.term,
                    revision: grant.revision,
                }
            }
            Some((grant, since)) if now >= since + self.ttl_ms => LeaseStep::Replace {
                term: grant.term + 1,
                revision: grant.revision,
            },
            Some(_) => LeaseStep::Read,
        }
    }

    /// A read showed `grant`, or that the object is absent.
    pub fn read(&mut self, now: Millis, grant: Option<Grant>) {
        self.absent = grant.is_none();
        self.unread = false;
        let Some(grant) = grant else {
            self.seen = None;
            self.held_ms = None;
            return;
        };
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
    pub fn granted(&mut self, sent_ms: Millis, grant: Grant) {
        self.absent = false;
        self.unread = false;
        self.seen = Some((grant, sent_ms));
        self.held_ms = Some(sent_ms);
    }

    /// A write met another state, or its answer was lost: what stands now is read before anything
    /// else is written.
    pub fn lost(&mut self, now: Millis) {
        self.absent = false;
        self.unread = true;
        self.next_ms = now + self.ttl_ms / (2 * RENEWALS);
    }
}
