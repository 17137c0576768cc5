//! Lease that decides which instance gives orders to runners.
//!
//! One object in the store names the holder. The term of the grant, a fencing token, grows with
//! each holder. The holder renews the lease well within its time to live (TTL). Another instance
//! takes it over only after it has seen the object unchanged for the whole TTL on its own clock. If
//! two holders overlap all the same, the runners tell their orders apart: each order names the
//! state that it expects.
//!
//! When the store is restored from an older copy, later grants are lost and their terms would be
//! issued again. Therefore no instance holds the lease in a new era before it has read it there,
//! and the terms of an era start above those of all earlier eras.

use crate::prelude::*;
use crate::relay::revision::Revision;

/// Grant of the lease as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Holder.
    pub holder: Name,
    /// Fencing token; grows with each holder.
    pub term: u64,
    /// Revision of the object in the store.
    pub revision: Revision,
}

impl Grant {
    /// Returns what stands for an object that another writer made unreadable: a grant to nobody, which is taken
    /// over as any other one that is not renewed.
    ///
    /// Its term is no lower than any that was granted in the era of the store, since each grant was a change
    /// of its own, and the terms of an era count its grants.
    #[must_use]
    pub fn unreadable(revision: Revision) -> Grant {
        let count = revision.number.min(u64::from(u32::MAX));
        Grant {
            holder: Name::default(),
            term: (revision.era << TERM_BITS) | count,
            revision,
        }
    }
}

/// Whether an instance is a candidate for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bid {
    /// It is the preferred holder.
    Acquire,
    /// Another instance is preferred: it renews a lease that it holds and acquires none.
    Retain,
    /// It must not hold the lease.
    Abstain,
}

/// Next step towards holding the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing for now.
    Wait,
    /// Read the object.
    Read,
    /// Create the object, which does not exist.
    Create {
        /// Term of the grant.
        term: u64,
    },
    /// Replace the object at the given revision.
    Replace {
        /// Term of the grant.
        term: u64,
        /// Revision that the object must still have.
        revision: Revision,
    },
}

/// One instance's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: Name,
    ttl_ms: Millis,
    seen: Option<(Grant, Millis)>,
    /// Since when the object is known not to exist, in milliseconds.
    absent_ms: Option<Millis>,
    /// Whether the object must be read before it is written, because the result of a write is
    /// unknown or the era is new.
    must_read: bool,
    /// Era of the store.
    era: u64,
    /// When the last accepted write was sent, in milliseconds; `None` unless this instance is the
    /// holder.
    renewed_ms: Option<Millis>,
    /// Time of the next step, in milliseconds.
    next_ms: Millis,
}

/// Renewals per TTL.
const RENEWALS_PER_TTL: u64 = 3;

/// Low bits of a term, which count within an era. Orders carry terms as numbers of 53 bits.
const TERM_BITS: u32 = 32;

/// Largest term. An object with a larger one is of another writer.
pub const MAX_TERM: u64 = (1 << 53) - 1;

impl Lease {
    /// Returns the view of instance `own`, which has not read the lease yet.
    #[must_use]
    pub fn new(own: Name, ttl_ms: Millis) -> Lease {
        Lease {
            own,
            ttl_ms,
            seen: None,
            absent_ms: None,
            must_read: false,
            era: 0,
            renewed_ms: None,
            next_ms: 0,
        }
    }

    /// Starts a new era of the store, in which earlier grants may not exist.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
        self.seen = None;
        self.renewed_ms = None;
        self.absent_ms = None;
        self.must_read = true;
        self.next_ms = 0;
    }

    /// Returns whether a missing object means that the lease was never granted. In a store that was
    /// restored from an older copy the object may have been lost while its holder is alive.
    fn is_never_granted(&self) -> bool {
        self.era == 0
    }

    /// Returns the term after `last`.
    fn next_term(&self, last: u64) -> u64 {
        last.max(self.era << TERM_BITS) + 1
    }

    /// Returns the term if this instance holds the lease at `now` with enough time left for an
    /// order.
    #[must_use]
    pub fn held(&self, now: Millis) -> Option<u64> {
        let renewed = self.renewed_ms?;
        let margin = self.ttl_ms / RENEWALS_PER_TTL;
        let (grant, _) = self.seen.as_ref()?;
        (now + margin < renewed + self.ttl_ms).then_some(grant.term)
    }

    /// Returns the step to take at `now`.
    ///
    /// Load pattern: the store is back after an outage, and each instance reaches it before it
    /// learns of the other instances. One acquires the lease and then learns that another is
    /// preferred. If it released the lease, no instance would give orders for a whole TTL, just
    /// when most orders are due.
    pub fn step(&mut self, now: Millis, bid: Bid) -> LeaseStep {
        let is_candidate = match bid {
            Bid::Acquire => true,
            Bid::Retain => self.held(now).is_some(),
            Bid::Abstain => false,
        };
        if !is_candidate || now < self.next_ms {
            return LeaseStep::Wait;
        }
        self.next_ms = now + self.ttl_ms / RENEWALS_PER_TTL;
        if self.must_read {
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
            Some((grant, _)) if grant.holder == self.own && self.renewed_ms.is_some() => {
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

    /// Records the result of a read: `grant`, or `None` if the object does not exist.
    pub fn observe(&mut self, now: Millis, grant: Option<Grant>) {
        self.must_read = false;
        let Some(grant) = grant else {
            self.absent_ms.get_or_insert(now);
            self.seen = None;
            self.renewed_ms = None;
            return;
        };
        self.absent_ms = None;
        let own_term = self.seen.as_ref().map(|(seen, _)| seen.term);
        if grant.holder != self.own || own_term != Some(grant.term) {
            self.renewed_ms = None;
        }
        match &self.seen {
            Some((seen, _)) if seen.revision == grant.revision => {}
            _ => self.seen = Some((grant, now)),
        }
    }

    /// Records that a write sent at `sent_ms` was accepted.
    pub fn write_accepted(&mut self, sent_ms: Millis, grant: Grant) {
        self.absent_ms = None;
        self.must_read = false;
        self.seen = Some((grant, sent_ms));
        self.renewed_ms = Some(sent_ms);
    }

    /// Records that a write was refused or its answer lost. The object is read before the next
    /// write.
    pub fn write_failed(&mut self, now: Millis) {
        self.absent_ms = None;
        self.must_read = true;
        self.next_ms = now + self.ttl_ms / (2 * RENEWALS_PER_TTL);
    }
}
