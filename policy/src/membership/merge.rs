//! The merge rule of two records of the same instance.
//!
//! A higher incarnation wins. Within an incarnation the greatest heartbeat wins; the phase is the
//! furthest of the two, since phases only move forward, and [`crate::member::Phase::Gone`] is final. The rule is
//! commutative, associative and idempotent, so that records may arrive in any order, twice or
//! crossed, and all instances end with the same one.

use crate::member::MemberState;
use crate::membership::message::MemberRecord;
use std::cmp::Ordering;
use std::net::SocketAddr;

/// The newer of two records of the same name.
#[must_use]
pub fn merged(a: &MemberRecord, b: &MemberRecord) -> MemberRecord {
    match a.state.incarnation.cmp(&b.state.incarnation) {
        Ordering::Less => b.clone(),
        Ordering::Greater => a.clone(),
        Ordering::Equal => same_incarnation(a, b),
    }
}

fn same_incarnation(a: &MemberRecord, b: &MemberRecord) -> MemberRecord {
    let newer = if order(&a.state) < order(&b.state) {
        b
    } else {
        a
    };
    let mut record = newer.clone();
    record.state.phase = a.state.phase.max(b.state.phase);
    record.changed = a.changed.max(b.changed);
    record
}

/// Total order of everything but phase and time of change, which are joined on their own. An
/// honest instance never gives two records with the same heartbeat; the further fields keep the
/// rule commutative and associative if one does.
fn order(s: &MemberState) -> (Numbers, Addresses<'_>) {
    let numbers = (s.heartbeat, s.revision, s.revision_since_ms, s.in_flight);
    let addresses = (s.callers, s.peers, s.operators, &*s.domain);
    (numbers, addresses)
}

type Numbers = (u64, u64, u64, u32);
type Addresses<'a> = (SocketAddr, SocketAddr, SocketAddr, &'a str);
