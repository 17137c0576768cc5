//! Convergence of one instance: single faults by hand, and random interleavings of them.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock};

use googletest::prelude::*;
use jacinthweir_policy::config::check::{
    AcceptedRecord, ApplyRecord, InForceRecord, Told, Violation, in_force_within, never_reverts,
    told_truly,
};
use jacinthweir_policy::config::commit::{Decision, Proposal, decide};
use jacinthweir_policy::config::converge::{
    Action, Alarm, Convergence, ConvergenceConfig, Event, PeerView, Source,
};
use jacinthweir_policy::config::parts::{PartText, split};
use jacinthweir_policy::head::Head;
use jacinthweir_policy::schema::{OrgDecl, Schema};
use jacinthweir_policy::time::{Millis, Name};
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// The most changes of a run.
const MAX_CHANGES: u32 = 90;
const GRACE_MS: Millis = 1_500;
const UNCONFIRMED_MS: Millis = 15_000;
const WENT_BACK_MS: Millis = 2_000;

fn cfg() -> ConvergenceConfig {
    ConvergenceConfig {
        own: "recife-1".into(),
        expects_peers: true,
        join_grace_ms: GRACE_MS,
        unconfirmed_ms: UNCONFIRMED_MS,
        went_back_ms: WENT_BACK_MS,
    }
}

/// Parts of the schema that change number `n` declares.
fn parts(n: u32) -> Vec<PartText> {
    let organisations = vec![OrgDecl {
        name: "atelier".into(),
        priority: 0,
        weight: n + 1,
        key_sha256: vec![],
        max_in_flight: None,
    }];
    split(&Schema {
        organisations,
        ..Schema::default()
    })
    .unwrap()
}

/// Texts of the parts of every change, by hash.
static TEXTS: LazyLock<BTreeMap<Name, Name>> = LazyLock::new(|| {
    let all = (0..MAX_CHANGES).flat_map(parts);
    all.map(|part| (part.part.hash, part.text)).collect()
});

/// The head that change number `n` makes over `standing`.
fn commit(standing: Option<&Arc<Head>>, n: u32) -> Arc<Head> {
    let proposal = Proposal {
        base: standing.map_or(0, |head| head.revision),
        change: format!("c{n}").into(),
        operator: "ana".into(),
        at_ms: 0,
        parts: parts(n).into_iter().map(|p| p.part).collect(),
        summary: vec![],
    };
    match decide(standing.map(|head| &**head), &proposal) {
        Decision::Commit(head) => Arc::new(head),
        other => panic!("{other:?}"),
    }
}

fn lineage(len: u32) -> Vec<Arc<Head>> {
    let mut heads: Vec<Arc<Head>> = vec![];
    for n in 0..len {
        heads.push(commit(heads.last(), n));
    }
    heads
}

/// How sources answer fetches.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fetching {
    Good,
    Altered,
    Fails,
}

/// One instance with its clock, its open fetches and the record of what it put in force.
struct Instance {
    now: Millis,
    started: u64,
    machine: Convergence,
    fetches: Vec<(Name, Source)>,
    records: Vec<InForceRecord>,
    alarms: Vec<Alarm>,
    republish: Option<(Arc<Head>, u64)>,
}

impl Instance {
    fn start() -> Self {
        let machine = Convergence::new(0, cfg());
        let (fetches, records, alarms) = (vec![], vec![], vec![]);
        Self {
            now: 0,
            started: 0,
            machine,
            fetches,
            records,
            alarms,
            republish: None,
        }
    }

    fn restart(&mut self) {
        self.started += 1;
        self.machine = Convergence::new(self.now, cfg());
        self.fetches.clear();
        self.republish = None;
    }

    fn event(&mut self, event: Event) {
        for action in self.machine.handle(self.now, event) {
            match action {
                Action::Fetch { part, from } => self.fetches.push((part.hash, from)),
                Action::PutInForce(applied) => self.records.push(InForceRecord {
                    instance: "recife-1".into(),
                    incarnation: self.started,
                    at_ms: self.now,
                    revision: applied.head.revision,
                    content: applied.head.history[0].content.clone(),
                }),
                Action::Republish { head, over } => self.republish = Some((head, over)),
                Action::Raise(alarm) => self.alarms.push(alarm),
            }
        }
    }

    fn platform(&mut self, head: Option<&Arc<Head>>, version: u64) {
        let head = head.cloned();
        self.event(Event::PlatformHead {
            head,
            version,
            asked_at: self.now,
        });
    }

    fn peer(&mut self, head: &Arc<Head>) {
        self.event(Event::PeerHead {
            peer: "patos-1".into(),
            head: head.clone(),
        });
    }

    /// Two other instances, heard now, with this revision in force.
    fn members(&mut self, revision: u64) {
        let heard_at = Some(self.now);
        let view = |name: &str| PeerView {
            name: name.into(),
            revision,
            heard_at,
        };
        self.event(Event::Members(vec![view("patos-1"), view("olinda-1")]));
    }

    fn fetch(&mut self, how: Fetching) {
        for (hash, from) in std::mem::take(&mut self.fetches) {
            let text = TEXTS[&hash].clone();
            self.event(match how {
                Fetching::Good => Event::PartArrived { hash, text, from },
                Fetching::Altered => Event::PartArrived {
                    hash,
                    text: "{}".into(),
                    from,
                },
                Fetching::Fails => Event::FetchFailed { hash, from },
            });
        }
    }

    fn advance(&mut self, ms: Millis) {
        self.now += ms;
        self.event(Event::Tick);
    }

    fn revision(&self) -> u64 {
        self.machine
            .in_force()
            .map_or(0, |applied| applied.head.revision)
    }

    fn serves(&self) -> bool {
        self.now < self.machine.serve_until()
    }

    /// An instance with the last of `heads` in force.
    fn serving(heads: &[Arc<Head>]) -> Self {
        let mut instance = Self::start();
        let newest = heads.last().unwrap();
        instance.members(newest.revision);
        instance.peer(newest);
        instance.fetch(Fetching::Good);
        assert_eq!(instance.revision(), newest.revision);
        instance
    }
}

#[gtest]
fn a_joining_instance_serves_nothing_before_it_has_a_head() {
    // A caller asks an instance that has just started while the platform is out: refused, not
    // run. Its peers then name their head, and once the parts are there it serves by that.
    let heads = lineage(3);
    let mut instance = Instance::start();
    instance.event(Event::PlatformFailed);
    instance.advance(60_000);
    expect_that!(instance.serves(), eq(false));
    instance.members(3);
    instance.peer(&heads[2]);
    expect_that!(instance.serves(), eq(false));
    instance.fetch(Fetching::Good);
    expect_that!(instance.serves(), eq(true));
    expect_that!(instance.revision(), eq(3));
}

#[gtest]
fn joining_after_the_platform_went_back_does_not_start_from_the_older_copy() {
    // The platform was restored to revision 1 while peers have 3 in force. An instance starts
    // and reads the platform first. Serving by 1 would revert what operators were told is in
    // force, for the callers of this instance.
    let heads = lineage(3);
    let mut instance = Instance::start();
    instance.members(3);
    instance.platform(Some(&heads[0]), 9);
    instance.fetch(Fetching::Good);
    instance.advance(GRACE_MS);
    expect_that!(instance.revision(), eq(0));
    instance.peer(&heads[2]);
    instance.fetch(Fetching::Good);
    expect_that!(
        instance
            .records
            .iter()
            .map(|r| r.revision)
            .collect::<Vec<_>>(),
        eq(&vec![3])
    );
}

#[gtest]
fn stale_heads_and_late_watch_events_are_ignored_and_counted() {
    let heads = lineage(3);
    let mut instance = Instance::serving(&heads);
    instance.platform(Some(&heads[1]), 2);
    instance.peer(&heads[0]);
    instance.fetch(Fetching::Good);
    expect_that!(instance.revision(), eq(3));
    expect_that!(instance.machine.counters().heads_stale, eq(2));
    expect_that!(instance.alarms, is_empty());
}

#[gtest]
fn a_platform_restored_from_an_older_copy_gets_the_accepted_head_back() {
    // The platform's owners restore a backup: the head shows revision 1 again. Instances go on
    // serving by 3, tell the operators once, and write 3 back over exactly that version.
    let heads = lineage(3);
    let mut instance = Instance::serving(&heads);
    for _ in 0..3 {
        instance.platform(Some(&heads[0]), 20);
        instance.advance(WENT_BACK_MS);
    }
    expect_that!(instance.revision(), eq(3));
    expect_that!(
        instance.alarms,
        eq(&vec![Alarm::HeadWentBack { in_force: 3 }])
    );
    let (head, over) = instance.republish.clone().unwrap();
    expect_that!((head.revision, over), eq((3, 20)));
    for part in &head.parts {
        expect_that!(instance.machine.part_text(&part.hash), some(anything()));
    }
}

#[gtest]
fn a_head_of_the_same_revision_with_other_content_is_refused() {
    // After a restore to revision 1, somebody commits another revision 2 and 3. The number fits,
    // the history does not: taking it would revert revision 2 silently.
    let heads = lineage(2);
    let mut instance = Instance::serving(&heads);
    let fork = commit(Some(&heads[0]), 7);
    let fork_on = commit(Some(&fork), 8);
    for head in [&fork, &fork_on, &fork_on] {
        instance.platform(Some(head), 30);
        instance.fetch(Fetching::Good);
    }
    expect_that!(instance.revision(), eq(2));
    expect_that!(instance.machine.counters().heads_foreign, eq(3));
    expect_that!(instance.alarms, len(eq(2)));
    expect_that!(instance.republish, none());
}

#[gtest]
fn an_instance_that_lags_does_not_take_a_fork_from_the_platform() {
    // Peers have revision 2 in force, this instance still has 1. The platform was restored to 1
    // and then given another revision 2, which descends from what this instance knows. Taking it
    // would leave two contents in force under one number.
    let heads = lineage(2);
    let mut instance = Instance::serving(&heads[..1]);
    instance.members(2);
    instance.platform(Some(&commit(Some(&heads[0]), 7)), 30);
    instance.fetch(Fetching::Good);
    expect_that!(instance.revision(), eq(1));
    instance.peer(&heads[1]);
    instance.fetch(Fetching::Good);
    expect_that!(instance.machine.in_force().unwrap().head, eq(&heads[1]));
}

#[gtest]
fn an_instance_cut_off_stops_serving_and_resumes_when_confirmed() {
    // One instance is cut off from the platform and from its peers. Callers that still reach it
    // are refused, not run, after the set time: a newer revision may be in force elsewhere.
    let heads = lineage(1);
    let mut instance = Instance::serving(&heads);
    instance.event(Event::PlatformFailed);
    instance.advance(UNCONFIRMED_MS - 1);
    expect_that!(instance.serves(), eq(true));
    instance.advance(1);
    expect_that!(instance.serves(), eq(false));
    instance.members(1);
    expect_that!(instance.serves(), eq(true));
}

#[gtest]
fn a_minority_of_peers_or_an_old_answer_confirms_nothing() {
    let heads = lineage(1);
    let mut instance = Instance::serving(&heads);
    let started = instance.now;
    instance.advance(UNCONFIRMED_MS);
    let view = |name: &str, heard_at| PeerView {
        name: name.into(),
        revision: 1,
        heard_at,
    };
    let one = vec![
        view("a", Some(instance.now)),
        view("b", None),
        view("c", None),
    ];
    let ahead = PeerView {
        revision: 2,
        ..view("d", Some(instance.now))
    };
    instance.event(Event::Members([one, vec![ahead]].concat()));
    expect_that!(instance.serves(), eq(false));
    // The instance was frozen between asking and reading the answer.
    let head = Some(heads[0].clone());
    instance.event(Event::PlatformHead {
        head,
        version: 1,
        asked_at: started,
    });
    expect_that!(instance.serves(), eq(false));
}

#[gtest]
fn altered_parts_are_refused_and_fetched_elsewhere() {
    let heads = lineage(1);
    let mut instance = Instance::start();
    instance.members(1);
    instance.peer(&heads[0]);
    let first = instance.fetches[0].1.clone();
    instance.fetch(Fetching::Altered);
    let second = instance.fetches[0].1.clone();
    instance.fetch(Fetching::Fails);
    expect_that!(first, eq(&Source::Peer("patos-1".into())));
    expect_that!(second, eq(&Source::Peer("olinda-1".into())));
    expect_that!(instance.fetches[0].1, eq(&Source::Platform));
    expect_that!(instance.machine.counters().parts_refused, eq(2));
    instance.fetch(Fetching::Good);
    expect_that!(instance.revision(), eq(1));
}

#[gtest]
fn broken_histories_are_rejected_by_the_check() {
    let record = |revision, content: &str, at_ms| InForceRecord {
        instance: "a".into(),
        incarnation: 1,
        at_ms,
        revision,
        content: content.into(),
    };
    let accepted = [AcceptedRecord {
        at_ms: 10,
        revision: 2,
        content: "y".into(),
    }];
    let good = [record(1, "x", 5), record(2, "y", 20)];
    expect_that!(never_reverts(&accepted, &good), ok(eq(&())));
    let back = [record(2, "y", 5), record(1, "x", 20)];
    let wanted = Violation::WentBack {
        instance: "a".into(),
        before: 2,
        after: 1,
    };
    expect_that!(never_reverts(&accepted, &back), err(eq(&wanted)));
    let other = [record(2, "z", 5)];
    let wanted = Violation::TwoContents {
        instance: "a".into(),
        revision: 2,
    };
    expect_that!(never_reverts(&accepted, &other), err(eq(&wanted)));
    let names = ["a".into()];
    expect_that!(in_force_within(&names, &accepted, &good, 10), ok(eq(&())));
    expect_that!(
        in_force_within(&names, &accepted, &good, 9),
        err(anything())
    );
}

#[gtest]
fn untrue_answers_to_operators_are_rejected_by_the_check() {
    let heads = lineage(2);
    let commits = &heads[1].history;
    let record = |change: &str, told| ApplyRecord {
        change: change.into(),
        told,
    };
    let good = [record("c0", Told::Committed(1)), record("x", Told::Refused)];
    expect_that!(told_truly(&good, commits), ok(eq(&())));
    let lost = [record("x", Told::Committed(2))];
    let wanted = Violation::LostCommit {
        change: "x".into(),
        revision: 2,
    };
    expect_that!(told_truly(&lost, commits), err(eq(&wanted)));
    let refused = [record("c1", Told::Refused)];
    let wanted = Violation::RefusedButCommitted {
        change: "c1".into(),
        revision: 2,
    };
    expect_that!(told_truly(&refused, commits), err(eq(&wanted)));
    let twice = [commits.clone(), commits.clone()].concat();
    expect_that!(
        told_truly(&[], &twice),
        err(eq(&Violation::Twice {
            change: "c1".into()
        }))
    );
}

/// What the platform and the fleet hold, beside the instance under test.
#[derive(Clone, Debug)]
struct World {
    accepted: Vec<Arc<Head>>,
    /// Every state that the platform's head ever had, for stale reads; the last stands.
    platform: Vec<Option<Arc<Head>>>,
    changes: u32,
    connected: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Commit,
    Restore(usize),
    ForeignWrite,
    Republished,
    Read,
    StaleRead(usize),
    StalePeer(usize),
    Fetch(Fetching),
    Advance(Millis),
    Connect(bool),
    Restart { platform_first: bool },
}

impl World {
    fn standing(&self) -> Option<&Arc<Head>> {
        self.platform.last().unwrap().as_ref()
    }

    fn newest(&self) -> Option<&Arc<Head>> {
        self.accepted.last()
    }

    fn is_forked(&self) -> bool {
        self.standing()
            .is_some_and(|head| !self.accepted.contains(head))
    }

    fn read(&self, state: usize) -> (Option<&Arc<Head>>, u64) {
        (self.platform[state].as_ref(), state as u64)
    }
}

impl ReferenceStateMachine for World {
    type State = World;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<World> {
        let (accepted, platform) = (vec![], vec![None]);
        Just(World {
            accepted,
            platform,
            changes: 0,
            connected: true,
        })
        .boxed()
    }

    fn transitions(_: &World) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => Just(Step::Commit),
            1 => (0usize..8).prop_map(Step::Restore),
            1 => Just(Step::ForeignWrite),
            2 => Just(Step::Republished),
            5 => Just(Step::Read),
            2 => (0usize..64).prop_map(Step::StaleRead),
            2 => (0usize..64).prop_map(Step::StalePeer),
            6 => prop_oneof![
                4 => Just(Fetching::Good),
                1 => Just(Fetching::Altered),
                1 => Just(Fetching::Fails)
            ].prop_map(Step::Fetch),
            5 => (0u64..4_000).prop_map(Step::Advance),
            2 => any::<bool>().prop_map(Step::Connect),
            1 => any::<bool>().prop_map(|platform_first| Step::Restart { platform_first }),
        ]
        .boxed()
    }

    fn apply(mut world: World, step: &Step) -> World {
        match step {
            // Only an instance whose head is the platform's commits over it.
            Step::Commit if world.standing() == world.newest() && world.changes < MAX_CHANGES => {
                let head = commit(world.newest(), world.changes);
                world.changes += 1;
                world.accepted.push(head.clone());
                world.platform.push(Some(head));
            }
            Step::Restore(back) if !world.accepted.is_empty() => {
                let at = world.accepted.len().saturating_sub(back + 1);
                world.platform.push(Some(world.accepted[at].clone()));
            }
            Step::ForeignWrite
                if world.standing() != world.newest()
                    && world.connected
                    && world.changes < MAX_CHANGES =>
            {
                let head = commit(world.standing(), world.changes);
                world.changes += 1;
                world.platform.push(Some(head));
            }
            Step::Connect(connected) => world.connected = *connected,
            _ => {}
        }
        world
    }
}

struct Random {
    instance: Instance,
    /// What an executed republish left on the platform, until the model restores over it.
    republished: Option<(Arc<Head>, usize)>,
}

impl Random {
    fn gossip(&mut self, world: &World) {
        if let (true, Some(newest)) = (world.connected, world.newest()) {
            self.instance.members(newest.revision);
            self.instance.peer(newest);
        }
    }

    fn read(&mut self, world: &World) {
        // A cut of everything: a lagging instance that sees a forked platform and no peer for
        // the whole grace is the residual risk stated in docs/CONFIGURATION.md.
        if !world.connected && world.is_forked() {
            return self.instance.event(Event::PlatformFailed);
        }
        let last = world.platform.len() - 1;
        match &self.republished {
            Some((head, state)) if *state == last => {
                let head = head.clone();
                self.instance.platform(Some(&head), 1000 + last as u64);
            }
            _ => {
                let (head, version) = world.read(last);
                self.instance.platform(head, version);
            }
        }
    }
}

impl StateMachineTest for Random {
    type SystemUnderTest = Random;
    type Reference = World;

    fn init_test(_: &World) -> Random {
        Random {
            instance: Instance::start(),
            republished: None,
        }
    }

    fn apply(mut state: Random, world: &World, step: Step) -> Random {
        match step {
            Step::Read => state.read(world),
            Step::StaleRead(at) => {
                let accepted = |i: &usize| {
                    world.platform[*i]
                        .as_ref()
                        .is_none_or(|head| world.accepted.contains(head))
                };
                if let Some(at) = (0..world.platform.len()).filter(accepted).nth(at) {
                    let (head, version) = world.read(at);
                    state.instance.platform(head, version);
                }
            }
            Step::StalePeer(at) => {
                if let Some(head) = world.accepted.get(at) {
                    state.instance.peer(head);
                }
            }
            Step::Republished => {
                let last = world.platform.len() - 1;
                if let Some((head, over)) = state.instance.republish.take()
                    && over == last as u64
                {
                    state.republished = Some((head, last));
                }
            }
            Step::Fetch(how) => state.instance.fetch(how),
            Step::Advance(ms) => {
                state.gossip(world);
                state.instance.advance(ms);
            }
            Step::ForeignWrite => state.gossip(world),
            Step::Restart { platform_first } if world.connected => {
                state.instance.restart();
                if platform_first {
                    state.read(world);
                }
                state.gossip(world);
            }
            Step::Restart { .. } | Step::Commit | Step::Restore(_) | Step::Connect(_) => {}
        }
        state
    }

    fn check_invariants(state: &Random, world: &World) {
        let accepted: Vec<AcceptedRecord> = world.accepted.iter().map(accepted).collect();
        never_reverts(&accepted, &state.instance.records).unwrap();
        let until = state.instance.machine.serve_until();
        assert!(
            until <= state.instance.now + UNCONFIRMED_MS,
            "serves on an unproven promise"
        );
    }

    /// Once faults end, the newest accepted revision comes into force.
    fn teardown(mut state: Random, mut world: World) {
        world.connected = true;
        for _ in 0..30 {
            state.gossip(&world);
            state.read(&world);
            state.instance.fetch(Fetching::Good);
            state.instance.advance(1_000);
        }
        let newest = world.newest().map_or(0, |head| head.revision);
        assert_eq!(state.instance.revision(), newest);
        Self::check_invariants(&state, &world);
    }
}

fn accepted(head: &Arc<Head>) -> AcceptedRecord {
    let content = head.history[0].content.clone();
    AcceptedRecord {
        at_ms: 0,
        revision: head.revision,
        content,
    }
}

fn deterministic() -> Config {
    Config {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(deterministic())]

    /// Commits, restores, foreign writes, stale reads, cuts, restarts and failing fetches in any
    /// order: what is in force never goes back, and the newest accepted revision wins in the end.
    #[test]
    fn an_accepted_configuration_never_reverts(sequential 1..60 => Random);
}
