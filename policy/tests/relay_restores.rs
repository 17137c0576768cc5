//! The lease on giving orders where the store comes back from older copies, again and again.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lease::{Bid, Grant, Lease, LeaseStep};
use jacinthweir_policy::relay::revision::Revision;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP_MS: u64 = 50;
const LENGTH_MS: u64 = 60_000;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Age of a copy at the most, in steps of the replay.
const COPY_AGE: usize = 100;

/// The store's object, and what it was at each step.
struct Store {
    era: u64,
    number: u64,
    grant: Option<Grant>,
    history: Vec<(u64, Option<Grant>)>,
}

struct Replay {
    rng: ChaCha8Rng,
    store: Store,
    leases: Vec<Lease>,
    /// Era that each instance has seen.
    eras: Vec<u64>,
    knows_eras: bool,
    /// Who acted on each term.
    holders: BTreeMap<u64, Name>,
    /// Steps in which somebody held the lease.
    held: usize,
}

impl Replay {
    fn of(seed: u64, knows_eras: bool) -> Replay {
        Replay {
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: Store {
                era: 0,
                number: 1,
                grant: None,
                history: Vec::new(),
            },
            leases: NAMES.map(|n| Lease::new(n.into(), 1_800)).into(),
            eras: vec![0; NAMES.len()],
            knows_eras,
            holders: BTreeMap::new(),
            held: 0,
        }
    }

    /// What was wrong at first, if anything.
    fn play(&mut self) -> std::result::Result<(), String> {
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            if self.rng.random_bool(0.01) {
                self.restore();
            }
            for i in 0..NAMES.len() {
                self.act(i, now);
            }
            self.check(now)?;
            let copy = (self.store.number, self.store.grant.clone());
            self.store.history.push(copy);
        }
        Ok(())
    }

    fn restore(&mut self) {
        let age = self.rng.random_range(0..COPY_AGE);
        let at = self.store.history.len().saturating_sub(age + 1);
        let Some((number, grant)) = self.store.history.get(at).cloned() else {
            return;
        };
        self.store.era += u64::from(self.knows_eras);
        self.store.number = number;
        self.store.grant = grant.map(|g| Grant {
            revision: self.revision(g.revision.number),
            ..g
        });
    }

    fn revision(&self, number: u64) -> Revision {
        Revision {
            era: self.store.era,
            number,
        }
    }

    fn act(&mut self, i: usize, now: u64) {
        // An instance may hear of the era by any other call, or not.
        let hears = self.rng.random_bool(0.1);
        if hears {
            self.see_era(i);
        }
        let bid =
            [Bid::Acquire, Bid::Acquire, Bid::Retain, Bid::Abstain][self.rng.random_range(0..4)];
        let step = self.leases[i].step(now, bid);
        let is_lost = self.rng.random_bool(0.1);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read if is_lost => {}
            LeaseStep::Read => {
                self.see_era(i);
                self.leases[i].observe(now, self.store.grant.clone());
            }
            LeaseStep::Create { term } => self.write(i, now, term, None, is_lost),
            LeaseStep::Replace { term, revision } => {
                self.write(i, now, term, Some(revision), is_lost);
            }
        }
    }

    fn see_era(&mut self, i: usize) -> bool {
        let is_new = self.eras[i] != self.store.era;
        if is_new {
            self.eras[i] = self.store.era;
            self.leases[i].begin_era(self.store.era);
        }
        is_new
    }

    fn write(&mut self, i: usize, now: u64, term: u64, expected: Option<Revision>, is_lost: bool) {
        let standing = self.store.grant.as_ref().map(|g| g.revision.number);
        if standing != expected.map(|r| r.number) {
            self.see_era(i);
            return self.leases[i].write_failed(now);
        }
        self.store.number += 1;
        let grant = Grant {
            holder: NAMES[i].into(),
            term,
            revision: self.revision(self.store.number),
        };
        self.store.grant = Some(grant.clone());
        // The answer shows another era than the one that the write was made for.
        if self.see_era(i) || is_lost {
            self.leases[i].write_failed(now);
        } else {
            self.leases[i].write_accepted(now, grant);
        }
    }

    fn check(&mut self, now: u64) -> std::result::Result<(), String> {
        let holding = self.leases.iter().zip(NAMES);
        let holding: Vec<(u64, &str)> = holding
            .filter_map(|(l, name)| Some((l.held(now)?, name)))
            .collect();
        if holding.len() > 1 {
            return Err(format!("{holding:?} hold it at {now}"));
        }
        self.held += holding.len();
        for (term, name) in holding {
            let first = self.holders.entry(term).or_insert_with(|| name.into());
            if **first != *name {
                return Err(format!(
                    "{name} acts on the term {term} of {first} at {now}"
                ));
            }
        }
        Ok(())
    }
}

/// A grant is lost while its holder lives, and its term and revision are given to another.
#[gtest]
fn no_restore_gives_two_holders_or_one_term_to_two() {
    for seed in 0..300 {
        let mut replay = Replay::of(seed, true);
        let ended = replay.play();
        expect_that!(ended, ok(()), "seed {seed}");
        expect_that!(replay.held, gt(200), "seed {seed}: hardly ever held");
    }
}

/// The check above can fail: where nobody knows of eras, it does.
#[gtest]
fn restores_that_nobody_knows_of_give_a_term_to_two() {
    let broken = (0..50).filter(|seed| Replay::of(*seed, false).play().is_err());
    expect_that!(broken.count(), gt(25));
}
