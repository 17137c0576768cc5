//! Scaling of store traffic with the fleet, and what instances learn of the store from one another.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::rendezvous::Candidate;
use jacinthweir_policy::relay::revision::Revision;
use jacinthweir_policy::relay::store_watch::{
    ChangeBatch, ConfirmScope, MAX_WATCHERS, Outdated, PeerProgress, RelayTree, RelayedUntil,
    RunnerChange, RunnersProgress, Watchers, catch_up_ms, debounce_ms, runners_debounce_ms,
    scaled_interval_ms, should_confirm,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A fleet grows from six instances to some hundred. The rate of calls to the store must not grow
/// with it, and a watch must still end before the store cuts it.
#[gtest]
fn watch_timeouts_grow_with_the_number_of_instances() {
    expect_that!(scaled_interval_ms(2_000, 1), eq(2_000));
    expect_that!(scaled_interval_ms(2_000, 6), eq(2_000));
    expect_that!(scaled_interval_ms(2_000, 60), eq(20_000));
    expect_that!(scaled_interval_ms(2_000, 600), le(30_000));
}

/// Simulated failure domain in which each instance gossips with two others in each round.
struct Domain {
    names: Vec<Candidate>,
    /// Time of the newest read of the configuration that each instance knows of.
    confirmed_ms: Vec<u64>,
    rng: ChaCha8Rng,
}

const ROUND_MS: u64 = 300;
const CHECK_MS: u64 = 100;

impl Domain {
    fn new(count: usize) -> Domain {
        Domain {
            names: candidates(&["east"], count),
            confirmed_ms: vec![0; count],
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// Simulates a minute. Returns the number of reads and the maximum age of a confirmation.
    fn run_minute(&mut self) -> (usize, u64) {
        let (mut reads, mut oldest_ms) = (0, 0);
        for now in (0..60_000).step_by(CHECK_MS as usize) {
            for i in 0..self.names.len() {
                reads += usize::from(self.check(i, now));
                oldest_ms = oldest_ms.max(now - self.confirmed_ms[i]);
                if (now + CHECK_MS * i as u64).is_multiple_of(ROUND_MS) {
                    self.exchange(i);
                }
            }
        }
        (reads, oldest_ms)
    }

    fn check(&mut self, i: usize, now: u64) -> bool {
        let age = now - self.confirmed_ms[i];
        let scope = ConfirmScope::of(&self.names[i], self.names.iter());
        let reads = should_confirm(Some(age), self.rng.random(), 4, scope);
        if reads {
            self.confirmed_ms[i] = now;
        }
        reads
    }

    fn exchange(&mut self, i: usize) {
        for _ in 0..2 {
            let peer = self.rng.random_range(0..self.names.len());
            self.confirmed_ms[i] = self.confirmed_ms[i].max(self.confirmed_ms[peer]);
        }
    }
}

/// Guards against every instance reading the configuration although one read reaches all of them.
#[gtest]
fn two_instances_confirm_the_configuration_for_their_domain() {
    let (few, few_ms) = Domain::new(6).run_minute();
    let (many, many_ms) = Domain::new(60).run_minute();
    expect_that!(many, le(few * 10 / 2));
    expect_that!(few_ms, le(4_000));
    expect_that!(many_ms, le(4_000));
}

/// Guards against instances refusing their callers after the confirmers of their domain were lost.
#[gtest]
fn an_instance_without_confirmation_reads_by_itself() {
    let all = candidates(&["east"], 60);
    let for_all = |n: &&Candidate| ConfirmScope::of(n, all.iter()) == ConfirmScope::Domain;
    expect_that!(all.iter().filter(for_all).count(), eq(2));
    expect_that!(
        ConfirmScope::of(&all[0], all[..2].iter()),
        eq(ConfirmScope::Domain)
    );
    expect_false!(should_confirm(None, 0.0, 4, ConfirmScope::Domain));
    expect_false!(should_confirm(Some(1_000), 0.0, 4, ConfirmScope::Domain));
    expect_true!(should_confirm(Some(2_100), 0.9, 4, ConfirmScope::Domain));
    expect_false!(should_confirm(Some(2_100), 0.0, 4, ConfirmScope::Own));
    expect_true!(should_confirm(Some(3_300), 1.0, 4, ConfirmScope::Own));
}

fn candidates(domains: &[&str], each: usize) -> Vec<Candidate> {
    let of = |d: &&str| {
        let d = (*d).to_owned();
        (0..each).map(move |i| Candidate {
            name: format!("front-{d}-{i}").into(),
            capacity: 250,
        })
    };
    domains.iter().flat_map(of).collect()
}

/// Each change of a runner's entry ended the watches of all sixty instances, and each of them
/// called the store again. Only six instances must watch and notify the others. If these are lost
/// together, six others must take their place, and one of its two notifiers must suffice for an
/// instance.
#[gtest]
fn six_instances_watch_the_runners_for_all() {
    let all = candidates(&["east", "north", "west"], 20);
    let watchers = Watchers::of(all.iter());
    let watching: Vec<&Candidate> = all.iter().filter(|c| watchers.contains(&c.name)).collect();
    expect_that!(watching.len(), eq(6));
    for domain in ["east", "north", "west"] {
        let notifiers = all.iter().filter(|c| watchers.notifies(&c.name, domain));
        expect_that!(notifiers.count(), eq(2));
    }
    let left = all.iter().filter(|c| !watchers.contains(&c.name));
    let next = Watchers::of(left);
    expect_that!(all.iter().filter(|c| next.contains(&c.name)).count(), eq(6));
    expect_true!(watching.iter().all(|c| !next.contains(&c.name)));
    // In a small fleet every instance watches.
    let few = candidates(&["east", "west"], 3);
    let watchers = Watchers::of(few.iter());
    expect_true!(few.iter().all(|c| watchers.contains(&c.name)));
}

/// Watchers send batches independently, and messages may be lost. A batch that starts beyond the
/// known revision must not be applied, since the changes between would stay unknown. Nor must a
/// batch that is already known: a late one would bring back a runner that has left since.
#[gtest]
fn a_batch_is_applied_only_without_a_gap() {
    expect_true!(batch(0, (10, 14)).applies_to(at(0, 10)));
    expect_true!(batch(0, (10, 14)).applies_to(at(0, 12)));
    expect_false!(batch(0, (10, 14)).applies_to(at(0, 9)));
    expect_false!(batch(0, (10, 14)).applies_to(at(0, 14)));
}

fn at(era: u64, number: u64) -> Revision {
    Revision { era, number }
}

fn batch(era: u64, (since, until): (u64, u64)) -> ChangeBatch {
    ChangeBatch {
        since: at(era, since),
        until: at(era, until),
        newest: at(era, until),
        changes: Vec::new(),
    }
}

/// After the store was restored from an older copy, the same numbers name other changes.
#[gtest]
fn a_batch_is_applied_within_its_era_only() {
    expect_false!(batch(1, (10, 14)).applies_to(at(0, 12)));
    expect_false!(batch(0, (10, 14)).applies_to(at(1, 12)));
    expect_true!(batch(1, (10, 14)).applies_to(at(1, 12)));
}

/// After a restore, watchers see smaller revision numbers than all instances saw before it.
#[gtest]
fn a_later_era_is_ahead_whatever_the_number() {
    let mut progress = PeerProgress::default();
    progress.record_peer(at(0, 500));
    expect_false!(progress.is_behind(at(0, 500)));
    progress.record_peer(at(1, 480));
    expect_true!(progress.is_behind(at(0, 500)));
    progress.mark_checked();
    expect_false!(progress.is_behind(at(1, 470)));
    progress.record_peer(at(1, 490));
    expect_true!(progress.is_behind(at(1, 480)));
}

/// A watch fell silent and hides a change that another instance reports. The store must be read
/// once for it. What that read does not show belonged to a removed object, and must not be read for
/// again.
#[gtest]
fn an_instance_that_is_behind_reads_once() {
    let mut progress = PeerProgress::default();
    expect_false!(progress.is_behind(0));
    progress.record_peer(7);
    expect_true!(progress.is_behind(6));
    expect_false!(progress.is_behind(7));
    progress.mark_checked();
    expect_false!(progress.is_behind(6));
    progress.record_peer(8);
    expect_true!(progress.is_behind(6));
}

/// 71 instances read a configuration of 0.7 MB some eighteen times a second, nearly all of them on
/// links that it saturates for a third of a second. Instances with fast reads must read first;
/// without them, the others must read no later than the deadline.
#[gtest]
fn instances_with_slow_reads_leave_them_to_others() {
    let read_at = |draw: f64, read_ms: u64, scope: ConfirmScope| {
        let due = |age: &u64| should_confirm(Some(*age), draw, read_ms, scope);
        (0..10_000).find(due).expect("at some age")
    };
    let first_at = |read_ms: u64| read_at(0.0, read_ms, ConfirmScope::Domain);
    expect_that!(first_at(4), le(first_at(0) + 100));
    expect_that!(first_at(300), ge(first_at(4) + 1_000));
    for read_ms in [0, 4, 300, 900] {
        for scope in [ConfirmScope::Domain, ConfirmScope::Own] {
            expect_that!(read_at(1.0, read_ms, scope), le(3_200));
        }
    }
}

/// Guards against every instance reading every configuration of a quick succession.
#[gtest]
fn a_large_fleet_coalesces_configurations_in_quick_succession() {
    expect_that!(debounce_ms(6), le(20));
    let gap_ms = 330;
    expect_that!(debounce_ms(300), gt(gap_ms));
    expect_that!(debounce_ms(3_000), le(1_000));
}

/// Guards against every instance of a starting fleet reading the runners once for each that
/// registers.
#[gtest]
fn starting_instances_coalesce_the_registration_of_runners() {
    let (starting, later) = (300, 5_000);
    expect_that!(
        runners_debounce_ms(starting, false, 1),
        ge(5 * runners_debounce_ms(later, false, 1))
    );
    expect_that!(
        runners_debounce_ms(starting, true, 1),
        eq(runners_debounce_ms(later, false, 1))
    );
}

/// Guards against a watch being aborted while it delivers a large configuration.
#[gtest]
fn a_watch_may_finish_the_transfer_of_a_large_configuration() {
    expect_that!(catch_up_ms(6), le(150));
    expect_that!(catch_up_ms(300), ge(900));
    expect_that!(catch_up_ms(3_000), le(1_500));
}

/// The version that other instances have does not arrive, for instance because the store has lost
/// it.
#[gtest]
fn a_configuration_that_peers_replaced_becomes_outdated() {
    let mut outdated = Outdated::default();
    outdated.record_peer(7, 7, 0);
    expect_false!(outdated.is_outdated(10_000));
    outdated.record_peer(8, 7, 10_000);
    outdated.record_peer(9, 7, 10_400);
    expect_false!(outdated.is_outdated(10_500));
    expect_true!(outdated.is_outdated(11_900));
    // One of the missing versions, though not the newest, restarts the time limit.
    outdated.in_force(8, 12_000);
    expect_false!(outdated.is_outdated(12_100));
    expect_true!(outdated.is_outdated(13_900));
    outdated.in_force(9, 14_000);
    expect_false!(outdated.is_outdated(20_000));
}

/// Returns the hops after which each of `all` has a configuration that the confirmers among
/// `reaching` read, and how often each was sent it.
fn relayed(
    all: &[Candidate],
    reaching: &[Candidate],
) -> std::collections::BTreeMap<Name, (usize, usize)> {
    let mut received = std::collections::BTreeMap::new();
    let confirmers = reaching
        .iter()
        .filter(|n| ConfirmScope::of(n, reaching.iter()) == ConfirmScope::Domain);
    let mut frontier: Vec<Name> = confirmers.map(|c| c.name.clone()).collect();
    for root in &frontier {
        received.insert(root.clone(), (0, 0));
    }
    for hop in 1.. {
        let mut next = Vec::new();
        for sender in all.iter().filter(|c| frontier.contains(&c.name)) {
            let neighbours: Vec<Candidate> = all.iter().filter(|c| *c != sender).cloned().collect();
            let tree = RelayTree::of_configurations(sender, reaching, &neighbours);
            for child in tree.children(&sender.name) {
                let entry = received.entry((*child).clone()).or_insert((hop, 0));
                entry.1 += 1;
                next.push((*child).clone());
            }
        }
        if next.is_empty() {
            break;
        }
        frontier = next;
    }
    received
}

/// A configuration is relayed in a failure domain of some to hundreds of instances. An instance
/// left out would call the store for each, and one that is sent many copies delays its streams.
#[gtest]
fn a_relayed_configuration_reaches_every_instance_once() {
    for count in [1, 2, 3, 7, 30, 118] {
        let all = candidates(&["east"], count);
        let received = relayed(&all, &all);
        expect_that!(received.len(), eq(count), "{count} instances");
        for (name, (hops, copies)) in &received {
            expect_that!(*hops, le(4), "{name} of {count}");
            expect_that!(*copies, le(1), "{name} of {count}");
        }
    }
}

/// The store turns a third of the instances away and serves the others. Those would act on an old
/// configuration, or refuse their callers, if they had to read it themselves; none of the rest may
/// depend on one of them.
#[gtest]
fn a_relayed_configuration_reaches_instances_that_the_store_turns_away() {
    let all = candidates(&["east"], 30);
    let reaching: Vec<Candidate> = all.iter().skip(10).cloned().collect();
    let received = relayed(&all, &reaching);
    expect_that!(received.len(), eq(30));
    let deepest = |set: &[Candidate]| set.iter().map(|c| received[&c.name].0).max();
    expect_that!(deepest(&all[..10]), ge(deepest(&reaching)));
}

/// Guards against an instance that sends each change of a runner to a part of the whole fleet: it sends
/// four copies, and each instance gets one from each of two watchers.
#[gtest]
fn changes_of_runners_reach_a_domain_by_four_copies_an_instance() {
    for (count, hops) in [(60, 3), (600, 5)] {
        let all = candidates(&["east"], count);
        let watcher = &all[0].name;
        let tree = RelayTree::of_changes(watcher, all.iter());
        let mut received = std::collections::BTreeSet::new();
        let mut frontier = tree.roots().to_vec();
        let mut depth = 0;
        while !frontier.is_empty() {
            depth += 1;
            expect_true!(frontier.iter().all(|n| received.insert((*n).clone())));
            let children = frontier.iter().map(|n| tree.children(n));
            expect_true!(children.clone().all(|c| c.len() <= 4));
            frontier = children.flatten().copied().collect();
        }
        expect_that!(received.len(), eq(count - 1), "all but the watcher");
        expect_that!(depth, le(hops));
    }
}

/// Guards against a tenth of a core that watches the store for a thousand instances while whole cores
/// are idle.
#[gtest]
fn the_strongest_instances_do_what_is_done_for_all() {
    let mut all = candidates(&["east"], 60);
    for strong in &mut all[40..48] {
        strong.capacity = 1_000;
    }
    let watchers = Watchers::of(all.iter());
    let strong = |c: &Candidate| c.capacity == 1_000;
    expect_true!(all.iter().all(|c| !watchers.contains(&c.name) || strong(c)));
    let confirms = |c: &&Candidate| ConfirmScope::of(c, all.iter()) == ConfirmScope::Domain;
    expect_true!(all.iter().filter(confirms).all(strong));
    let tree = RelayTree::of_changes("elsewhere", all.iter());
    let roots = tree.roots().iter();
    expect_true!(
        roots
            .clone()
            .all(|n| all.iter().any(|c| c.name == **n && strong(c)))
    );
    expect_true!(all[40].precedes(&all[0]) && !all[0].precedes(&all[40]));
    // Without the strong ones, others take their place.
    let weak: Vec<Candidate> = all.iter().filter(|c| !strong(c)).cloned().collect();
    let watchers = Watchers::of(weak.iter());
    expect_that!(
        weak.iter().filter(|c| watchers.contains(&c.name)).count(),
        eq(6)
    );
}

/// Load pattern: thousands of runners load their layers at once. Guards against a batch for each few of
/// them to every instance; a single change must not wait for others.
#[gtest]
fn batches_of_changes_are_coalesced_when_many_come_at_once() {
    let calm = runners_debounce_ms(60_000, false, 1);
    let busy = runners_debounce_ms(60_000, false, 200);
    expect_that!(calm, le(60));
    expect_that!(busy, ge(4 * calm));
    expect_that!(busy, le(500));
    expect_that!(runners_debounce_ms(60_000, true, 200), eq(calm));
}

/// Guards against an instance that takes itself for cut off after each pause in the changes: other kinds
/// of objects advance the revision, and a watcher's watches end without changes meanwhile.
#[gtest]
fn a_batch_after_a_pause_applies_to_an_instance_that_knows_the_last_change() {
    let mut watcher = RunnersProgress::listed(at(0, 10));
    let mut follower = watcher;
    let changed = |watcher: &mut RunnersProgress, until: u64| {
        let mut batch = batch(0, (watcher.unchanged_since().number, until));
        batch.changes = vec![RunnerChange::Gone("a".into())];
        watcher.applied(&batch);
        batch
    };
    let first = changed(&mut watcher, 14);
    expect_true!(first.applies_to(follower.as_of()));
    follower.applied(&first);
    for until in [20, 31, 40] {
        let mut quiet = batch(0, (watcher.as_of().number, until));
        quiet.changes.clear();
        watcher.applied(&quiet);
    }
    expect_that!(watcher.as_of(), eq(at(0, 40)));
    let second = changed(&mut watcher, 44);
    expect_true!(second.applies_to(follower.as_of()));
    // One that missed the first batch has to ask the store.
    expect_false!(second.applies_to(at(0, 10)));
}

/// Two instances that do not know the same members each take the other for the receiver of a batch.
/// Guards against a batch that goes back and forth between them.
#[gtest]
fn a_batch_is_passed_on_once_for_each_watcher() {
    let mut relayed = RelayedUntil::default();
    let (one, two) = (Name::from("one"), Name::from("two"));
    expect_true!(relayed.take_turn(&one, at(0, 14)));
    expect_false!(relayed.take_turn(&one, at(0, 14)));
    expect_true!(relayed.take_turn(&two, at(0, 14)));
    expect_true!(relayed.take_turn(&one, at(0, 20)));
    expect_false!(relayed.take_turn(&one, at(0, 14)));
    // The revisions of a restored store begin below.
    expect_true!(relayed.take_turn(&one, at(1, 5)));
}

/// Guards against memory that grows with each instance that ever watched: a replaced instance has another name.
#[gtest]
fn watchers_that_stopped_long_ago_are_forgotten() {
    let mut relayed = RelayedUntil::default();
    let first = Name::from("first");
    expect_true!(relayed.take_turn(&first, at(0, 1)));
    for n in 0..MAX_WATCHERS {
        expect_true!(relayed.take_turn(&format!("later-{n}").into(), at(0, 2)));
    }
    expect_false!(relayed.take_turn(&"later-0".into(), at(0, 2)));
    expect_true!(relayed.take_turn(&first, at(0, 1)));
}
