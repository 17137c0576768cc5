//! Lease on giving orders: at most one holder at a time, and terms that only grow.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lease::{Bid, Grant, Lease, LeaseStep};
use jacinthweir_policy::relay::revision::Revision;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn at(number: u64) -> Revision {
    Revision { era: 0, number }
}

fn grant(holder: &str, term: u64, revision: u64) -> Grant {
    Grant {
        holder: Name::from(holder),
        term,
        revision: at(revision),
    }
}

#[gtest]
fn an_absent_lease_is_created_and_renewed() {
    let mut lease = Lease::new(Name::from("a"), 2_400);
    expect_that!(lease.step(0, Bid::Abstain), eq(&LeaseStep::Wait));
    expect_that!(lease.step(0, Bid::Acquire), eq(&LeaseStep::Read));
    lease.observe(5, None);
    expect_that!(
        lease.step(800, Bid::Acquire),
        eq(&LeaseStep::Create { term: 1 })
    );
    lease.write_accepted(800, grant("a", 1, 10));
    expect_that!(lease.held(900), some(eq(1)));
    let renewal = LeaseStep::Replace {
        term: 1,
        revision: at(10),
    };
    expect_that!(lease.step(1_600, Bid::Acquire), eq(&renewal));
}

/// Two instances that give orders at once would make runners load what the other has them give up.
/// An instance must take over only a lease that it saw unchanged for the whole TTL by its own
/// clock, and the old holder must stop by its own clock before that.
#[gtest]
fn a_lease_is_taken_over_only_after_it_expired() {
    let mut holder = Lease::new(Name::from("a"), 2_400);
    holder.write_accepted(0, grant("a", 1, 10));
    let mut other = Lease::new(Name::from("b"), 2_400);
    other.observe(100, Some(grant("a", 1, 10)));
    let mut acquired_at = None;
    for now in (100..6_000).step_by(50) {
        match other.step(now, Bid::Acquire) {
            LeaseStep::Read => other.observe(now, Some(grant("a", 1, 10))),
            LeaseStep::Replace { term, revision } => {
                expect_that!((term, revision), eq((2, at(10))));
                acquired_at = Some(now);
                break;
            }
            LeaseStep::Wait => {}
            step @ LeaseStep::Create { .. } => panic!("{step:?}"),
        }
        expect_true!(other.held(now).is_none());
    }
    let acquired_at = acquired_at.expect("the lease is taken over");
    expect_that!(holder.held(acquired_at), none());
    expect_that!(holder.held(1_500), some(eq(1)));
}

#[gtest]
fn a_renewed_lease_is_not_taken_over() {
    let mut other = Lease::new(Name::from("b"), 2_400);
    let mut revision = 10;
    for now in (0..10_000).step_by(100) {
        if now % 800 == 0 {
            revision += 1;
        }
        match other.step(now, Bid::Acquire) {
            LeaseStep::Read => other.observe(now, Some(grant("a", 1, revision))),
            step => expect_that!(step, eq(&LeaseStep::Wait)),
        }
    }
}

#[gtest]
fn a_failed_write_is_followed_by_a_read() {
    let mut lease = Lease::new(Name::from("a"), 2_400);
    lease.observe(0, None);
    let _ = lease.step(0, Bid::Acquire);
    lease.write_failed(1_000);
    // Only after a pause, so that a store that refuses this instance is not called ten times a
    // second.
    expect_that!(lease.step(1_050, Bid::Acquire), eq(&LeaseStep::Wait));
    expect_that!(lease.step(1_400, Bid::Acquire), eq(&LeaseStep::Read));
}

/// Guards against an object of another writer that is taken for a missing one, so that nobody ever holds the
/// lease, and against a term that runners refuse as lower than one that they have seen.
#[gtest]
fn an_unreadable_lease_is_taken_over_with_a_greater_term() {
    let mut lease = Lease::new(Name::from("a"), 2_400);
    lease.write_accepted(0, grant("a", 7, 10));
    lease.write_failed(800);
    let mut steps = (800..8_000).step_by(100).filter_map(|now| {
        let step = lease.step(now, Bid::Acquire);
        if step == LeaseStep::Read {
            lease.observe(now, Some(Grant::unreadable(at(11))));
            expect_that!(lease.held(now), none());
        }
        matches!(step, LeaseStep::Create { .. } | LeaseStep::Replace { .. }).then_some((now, step))
    });
    let (now, step) = steps.next().expect("a write");
    // The object may have been replaced beside a holder that still renews it.
    expect_that!(now, ge(800 + 2_400));
    let taken = LeaseStep::Replace {
        term: 12,
        revision: at(11),
    };
    expect_that!(step, eq(&taken));
    let restored = Revision { era: 2, number: 5 };
    expect_that!(Grant::unreadable(restored).term, eq((2 << 32) + 5));
}

/// The store is restored from an older copy that lacks the last holder's grant. Its term must not
/// be issued again, since the orders of both holders would look like those of one.
#[gtest]
fn a_term_lost_by_a_restore_is_not_issued_again() {
    let lost = grant("a", 5, 50);
    let mut holder = Lease::new(Name::from("a"), 2_400);
    holder.write_accepted(0, lost.clone());
    expect_that!(holder.held(100), some(eq(5)));
    holder.begin_era(1);
    expect_that!(holder.held(100), none());
    expect_that!(holder.step(100, Bid::Acquire), eq(&LeaseStep::Read));

    let mut other = Lease::new(Name::from("b"), 2_400);
    other.begin_era(1);
    let older = Grant {
        revision: Revision { era: 1, number: 40 },
        ..grant("c", 4, 0)
    };
    other.observe(0, Some(older));
    let acquired = (0..4_000)
        .step_by(50)
        .find_map(|now| match other.step(now, Bid::Acquire) {
            LeaseStep::Replace { term, .. } => Some(term),
            _ => None,
        });
    expect_that!(acquired, some(gt(lost.term)));

    let mut first = Lease::new(Name::from("d"), 2_400);
    first.begin_era(1);
    let created = (0..4_000)
        .step_by(50)
        .find_map(|now| match first.step(now, Bid::Acquire) {
            LeaseStep::Create { term } => Some((term, now)),
            LeaseStep::Read => {
                first.observe(now, None);
                None
            }
            _ => None,
        });
    let (term, at_ms) = created.expect("the lease is created");
    expect_that!(term, gt(lost.term));
    // The holder of the lost grant may be alive for a TTL.
    expect_that!(at_ms, ge(2_400));
}

/// A holder cannot reach the store for a while, and another instance takes over with a greater
/// term. When the old holder reaches the store again it must not overwrite the new grant: orders of
/// both would be given, and the term would decrease.
#[gtest]
fn a_returning_holder_reads_before_it_writes() {
    let mut lease = Lease::new(Name::from("a"), 2_400);
    lease.write_accepted(0, grant("a", 1, 10));
    lease.write_failed(1_000);
    expect_that!(lease.step(9_000, Bid::Acquire), eq(&LeaseStep::Read));
    lease.observe(9_000, Some(grant("b", 2, 20)));
    expect_that!(lease.held(9_000), none());
    expect_that!(lease.step(9_900, Bid::Acquire), eq(&LeaseStep::Read));
}

fn bid(rng: &mut ChaCha8Rng) -> Bid {
    match rng.random_range(0..10) {
        0..8 => Bid::Acquire,
        8 => Bid::Retain,
        _ => Bid::Abstain,
    }
}

/// Guards against a holder that learns of a preferred instance after an outage releasing the lease,
/// so that no instance gives orders for a whole TTL.
#[gtest]
fn a_holder_renews_though_another_is_preferred() {
    let mut holder = Lease::new(Name::from("b"), 1_800);
    holder.write_accepted(0, grant("b", 2, 10));
    let renewal = LeaseStep::Replace {
        term: 2,
        revision: at(10),
    };
    expect_that!(holder.step(600, Bid::Retain), eq(&renewal));
    expect_that!(holder.step(1_200, Bid::Abstain), eq(&LeaseStep::Wait));
    // It does not acquire a lease that it no longer holds.
    expect_that!(holder.step(5_000, Bid::Retain), eq(&LeaseStep::Wait));
    expect_that!(holder.step(5_000, Bid::Acquire), not(eq(&LeaseStep::Wait)));
}

/// Simulates the lease object of the store, with writes whose answers are lost and reads that fail.
/// In any order, each write must name the revision that it replaces, the term must never decrease,
/// and no two instances may hold the lease at the same time.
#[gtest]
fn no_interleaving_gives_two_holders_or_a_smaller_term() {
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut register: Option<Grant> = None;
        let mut revision = 1;
        let names = ["a", "b", "c"];
        let mut leases = names.map(|n| Lease::new(Name::from(n), 1_800));
        let mut holders = 0;
        for now in (0..60_000).step_by(50) {
            for (i, lease) in leases.iter_mut().enumerate() {
                let call_fails = rng.random_bool(0.1);
                let step = lease.step(now, bid(&mut rng));
                let (term, expected) = match step {
                    LeaseStep::Wait => continue,
                    LeaseStep::Read if call_fails => continue,
                    LeaseStep::Read => {
                        lease.observe(now, register.clone());
                        continue;
                    }
                    LeaseStep::Create { term } => (term, None),
                    LeaseStep::Replace { term, revision } => (term, Some(revision)),
                };
                let current = register.as_ref().map(|g| g.revision);
                if call_fails && rng.random_bool(0.5) || current != expected {
                    lease.write_failed(now);
                    continue;
                }
                let before = register.as_ref().map_or(0, |g| g.term);
                assert!(term >= before, "seed {seed}: term {term} after {before}");
                revision += 1;
                let written = grant(names[i], term, revision);
                register = Some(written.clone());
                if call_fails {
                    lease.write_failed(now);
                } else {
                    lease.write_accepted(now, written);
                }
            }
            let held = leases.iter().filter(|l| l.held(now).is_some()).count();
            assert!(held <= 1, "seed {seed}: {held} holders at {now}");
            holders += held;
        }
        assert!(holders > 600, "seed {seed}: the lease is hardly ever held");
    }
}
