//! Verdicts on runners that do not answer, and the reach of services, over many random cuts.

use std::collections::BTreeSet;

use googletest::prelude::*;
use jacinthweir_policy::relay::reachability::{PeerFinding, Reach, UnreachableRunners, Verdict};
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 200;
const INSTANCES: usize = 6;
const RUNNERS: usize = 12;
const ASKED: usize = INSTANCES - 1;
const WITNESSES: usize = 5;
const QUORUM: usize = 2;

/// A fleet in which some instances are cut off from some runners, and some runners are dead.
struct Fleet {
    rng: StdRng,
    dead: BTreeSet<usize>,
    /// Pairs of instance and runner without a path.
    lost: BTreeSet<(usize, usize)>,
}

impl Fleet {
    /// Cuts `cut` instances off from all runners, or from a random part of them.
    fn draw(seed: u64, cut: usize, from_all: bool) -> Fleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let dead = (0..RUNNERS).sample(&mut rng, 2).into_iter().collect();
        let mut lost = BTreeSet::new();
        for instance in (0..INSTANCES).sample(&mut rng, cut) {
            let runners = (0..RUNNERS).filter(|_| from_all || rng.random_bool(0.8));
            lost.extend(
                runners
                    .collect::<Vec<_>>()
                    .into_iter()
                    .map(|r| (instance, r)),
            );
        }
        Fleet { rng, dead, lost }
    }

    fn reaches(&self, instance: usize, runner: usize) -> bool {
        !self.dead.contains(&runner) && !self.lost.contains(&(instance, runner))
    }

    fn is_cut(&self, instance: usize) -> bool {
        self.lost.iter().any(|(i, _)| *i == instance)
    }

    /// Returns an instance's verdict on a runner that does not answer it.
    fn verdict(&mut self, instance: usize, runner: usize) -> Verdict {
        let others = (0..RUNNERS).filter(|r| *r != runner);
        let witnesses = others.sample(&mut self.rng, WITNESSES);
        let answered = witnesses
            .iter()
            .filter(|w| self.reaches(instance, **w))
            .count();
        let peers = (0..INSTANCES).filter(|i| *i != instance);
        let asked = peers.sample(&mut self.rng, ASKED);
        let mut findings = Vec::new();
        for peer in asked {
            findings.push(match self.reaches(peer, runner) {
                true => PeerFinding::Reached,
                false => PeerFinding::NotReached,
            });
            if Verdict::is_settled(&findings) {
                break;
            }
        }
        Verdict::of(answered >= QUORUM, &findings)
    }
}

/// Guards against living runners that count as dead at an instance without paths, whether the cut
/// affects one instance, half of them, or all.
#[gtest]
fn an_instance_without_paths_finds_no_living_runner_dead() {
    for seed in 0..SEEDS {
        for cut in [1, 3, INSTANCES] {
            let mut fleet = Fleet::draw(seed, cut, true);
            for instance in (0..INSTANCES)
                .filter(|i| fleet.is_cut(*i))
                .collect::<Vec<_>>()
            {
                for runner in 0..RUNNERS {
                    let verdict = fleet.verdict(instance, runner);
                    let is_dead = fleet.dead.contains(&runner);
                    expect_true!(
                        is_dead || verdict != Verdict::Dead,
                        "seed {seed}, cut {cut}"
                    );
                }
            }
        }
    }
}

/// Guards against living runners that count as dead because instances lost their paths to many of
/// them, while they reach others that serve as witnesses. All but one instance may be affected.
#[gtest]
fn a_runner_that_another_instance_reaches_is_not_dead() {
    for seed in 0..SEEDS {
        for cut in 1..INSTANCES {
            let mut fleet = Fleet::draw(seed, cut, false);
            let living: Vec<usize> = (0..RUNNERS).filter(|r| !fleet.dead.contains(r)).collect();
            for runner in living {
                for instance in 0..INSTANCES {
                    if !fleet.reaches(instance, runner) {
                        let verdict = fleet.verdict(instance, runner);
                        expect_that!(verdict, eq(Verdict::Unreachable), "seed {seed}, cut {cut}");
                    }
                }
            }
        }
    }
}

/// Guards against dead runners that are never found: with working paths the verdict is final.
#[gtest]
fn a_dead_runner_is_found_by_an_instance_with_paths() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::draw(seed, 2, true);
        for runner in fleet.dead.clone() {
            for instance in (0..INSTANCES)
                .filter(|i| !fleet.is_cut(*i))
                .collect::<Vec<_>>()
            {
                expect_that!(
                    fleet.verdict(instance, runner),
                    eq(Verdict::Dead),
                    "seed {seed}"
                );
            }
        }
    }
}

#[gtest]
fn a_death_needs_the_word_of_another_instance_without_witnesses() {
    let verdict = |findings: &[PeerFinding]| Verdict::of(false, findings);
    expect_that!(verdict(&[]), eq(Verdict::Undecided));
    expect_that!(
        verdict(&[PeerFinding::NotReached; 3]),
        eq(Verdict::Undecided)
    );
    expect_that!(
        verdict(&[PeerFinding::NotReached, PeerFinding::Dead]),
        eq(Verdict::Dead)
    );
    expect_that!(
        verdict(&[PeerFinding::Dead, PeerFinding::Reached]),
        eq(Verdict::Unreachable)
    );
}

/// Guards against an instance that calls itself cut off because one service has no runners, or
/// because it reaches only one of two services.
#[gtest]
fn an_instance_is_cut_off_if_it_reaches_no_service() {
    expect_that!(Reach::of([]), eq(Reach::Nothing));
    expect_that!(Reach::of([true, true]), eq(Reach::All));
    expect_that!(Reach::of([false, true, false]), eq(Reach::Some));
    expect_that!(Reach::of([true, false, true]), eq(Reach::Some));
    expect_that!(Reach::of([false, false]), eq(Reach::Lost));
    expect_false!(Reach::is_cut_off([Reach::Nothing]));
    expect_false!(Reach::is_cut_off([Reach::Lost, Reach::Some]));
    expect_true!(Reach::is_cut_off([Reach::Lost, Reach::Nothing]));
}

/// Guards against paths that are used again only seconds after they are back: the first answer makes
/// all other probes due.
#[gtest]
fn one_restored_path_makes_all_others_due() {
    let mut unreachable = UnreachableRunners::default();
    for id in ["a", "b", "c"] {
        expect_true!(unreachable.insert(&id.into(), 1, 1_000));
        expect_false!(unreachable.insert(&id.into(), 1, 1_000));
    }
    let due = |u: &mut UnreachableRunners, now| u.due(now, 2, |_, _| true).len();
    expect_that!(due(&mut unreachable, 1_100), eq(0));
    expect_that!(due(&mut unreachable, 2_000), eq(2));
    expect_that!(due(&mut unreachable, 2_000), eq(1));
    expect_that!(due(&mut unreachable, 2_000), eq(0));
    expect_true!(unreachable.remove("a"));
    expect_false!(unreachable.remove("a"));
    expect_that!(due(&mut unreachable, 2_001), eq(2));
    expect_false!(unreachable.contains("b", 2));
    expect_that!(unreachable.due(9_000, 2, |id, _| **id != *"b"), len(eq(1)));
}

/// Guards against runners that are avoided for seconds after their path is back: the time between two
/// probes does not grow with the length of a cut.
#[gtest]
fn an_unreachable_runner_is_probed_every_700_ms_however_long_a_cut_lasts() {
    let mut unreachable = UnreachableRunners::default();
    unreachable.insert(&"a".into(), 1, 0);
    let mut probes = Vec::new();
    for now in (0..60_000).step_by(10) {
        if !unreachable.due(now, 1, |_, _| true).is_empty() {
            probes.push(now);
        }
    }
    expect_that!(probes.len(), ge(80));
    for pair in probes.windows(2) {
        expect_that!(pair[1] - pair[0], le(700));
    }
}

/// Guards against instances that forward requests to each other while all chains are full, and against
/// an instance without any path that refuses requests in overload although others could serve them.
#[gtest]
fn requests_are_forwarded_in_overload_only_if_no_chain_is_reached() {
    let (own, forwarded) = (false, true);
    let (usual, overload) = (false, true);
    expect_true!(Reach::Some.may_have_room_elsewhere(own, usual));
    expect_false!(Reach::Some.may_have_room_elsewhere(own, overload));
    expect_false!(Reach::Some.may_have_room_elsewhere(forwarded, usual));
    for is_overloaded in [usual, overload] {
        expect_true!(Reach::Lost.may_have_room_elsewhere(own, is_overloaded));
        expect_true!(Reach::Lost.may_have_room_elsewhere(forwarded, is_overloaded));
        expect_false!(Reach::All.may_have_room_elsewhere(own, is_overloaded));
        expect_false!(Reach::Nothing.may_have_room_elsewhere(own, is_overloaded));
    }
}
