//! The merge rule for two records of the same instance.
//!
//! The higher incarnation wins. Within an incarnation the greater heartbeat wins, and the phase is
//! the later of the two, since phases only move forward and [`crate::member::Phase::Gone`] is
//! final. The rule is commutative, associative and idempotent, so records may arrive out of order
//! or more than once and all instances still converge to the same record.

use crate::member::MemberState;
use crate::membership::message::MemberRecord;
use std::cmp::Ordering;
use std::net::SocketAddr;

/// Merges two records of the same name.
#[must_use]
pub fn merged(a: &MemberRecord, b: &MemberRecord) -> MemberRecord {
    match a.state.incarnation.cmp(&b.state.incarnation) {
        Ordering::Less => b.clone(),
        Ordering::Greater => a.clone(),
        Ordering::Equal => same_incarnation(a, b),
    }
}

fn same_incarnation(a: &MemberRecord, b: &MemberRecord) -> MemberRecord {
    let newer = if precedence(&a.state) < precedence(&b.state) {
        b
    } else {
        a
    };
    let mut record = newer.clone();
    record.state.phase = a.state.phase.max(b.state.phase);
    record.changed = a.changed.max(b.changed);
    record
}

/// Total order over all fields except phase and last change, which are merged separately. A correct
/// instance never sends two different records with the same heartbeat; the remaining fields keep
/// the rule commutative and associative if one does.
fn precedence(s: &MemberState) -> (Numbers, Addresses<'_>) {
    let numbers = (s.heartbeat, s.revision, s.revision_since_ms, s.in_flight);
    let addresses = (s.callers, s.peers, s.operators, &*s.domain);
    (numbers, addresses)
}

type Numbers = (u64, u64, u64, u32);
type Addresses<'a> = (SocketAddr, SocketAddr, SocketAddr, &'a str);
