//! Model checking of claims: explores all interleavings of several submissions of one key.
//!
//! The scenario is a call that the caller repeats on another instance after a time-out. In the
//! model, any instance may pause at any step for any time, or for ever like a killed process (it is
//! not scheduled again); writes may take effect with their response lost, or be delayed; live
//! claimants may be suspected; time may pass the deadlines and the retention; and sweeps may run.
//! The call may run at most once, and "not run" may be answered only to a submission that never
//! runs. Each mutant lacks one safeguard, and the exploration has to find the violation.

use googletest::prelude::*;
use jacinthweir_policy::claim::*;
use jacinthweir_policy::prelude::*;
use std::collections::{BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// The safeguard that a mutant lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    Nothing,
    /// A lost response to a create is treated as success.
    ReadBack,
    /// An open claim of another submission is treated as released.
    NoTakeover,
    /// A write that takes effect after "not run" was answered leads to a dispatch.
    Fence,
    /// The clocks are not checked right before the dispatch.
    ClockCheck,
    /// Claims are deleted before their keys expire.
    Retention,
    /// Updates are written regardless of the current version.
    VersionCondition,
}

/// Times of the model's clock, which all instances share.
const TIMES: &[Millis] = &[KEY_TIME, KEY_TIME + 30, KEY_TIME + 300, KEY_TIME + 100_000];
/// [`TIMES`] without the one between the platform time-out and the deadline.
const REDUCED_TIMES: &[Millis] = &[KEY_TIME, KEY_TIME + 300, KEY_TIME + 100_000];
const KEY_TIME: Millis = 1_700_000_000_000;
const CFG: ClaimConfig = ClaimConfig {
    retention_ms: 10_000,
    margin_ms: 10_000,
    platform_timeout_ms: 20,
    record_timeout_ms: 1_000,
    initial_backoff_ms: 1,
    max_backoff_ms: 1,
    grace_ms: 1_000,
};
const DEADLINE_MS: u64 = 200;

#[derive(Clone, Debug, Hash)]
enum Write {
    Create(ClaimRecord),
    Update(ClaimRecord, u64),
}

/// One submission on one instance.
#[derive(Clone, Debug, Hash, Default)]
struct Slot {
    claim: Option<Claim>,
    todo: Vec<Action>,
    opened: bool,
    granted: bool,
    answered_not_run: bool,
    ran: u32,
}

#[derive(Clone, Debug, Hash)]
struct World {
    object: Option<(u64, ClaimRecord)>,
    next_version: u64,
    delayed_writes: Vec<(usize, Write)>,
    slots: Vec<Slot>,
    time: usize,
    losses_left: u32,
}

struct Model {
    missing: Missing,
    mono_is_frozen: bool,
    times: &'static [Millis],
    key: ClaimKey,
}

#[derive(Default)]
struct Report {
    states: usize,
    answers: BTreeSet<&'static str>,
    violation: Option<String>,
}

fn answer_name(answer: &Answer) -> &'static str {
    match answer {
        Answer::NotRun(_) => "not run",
        Answer::Recorded(_) => "recorded",
        Answer::KeyConflict => "key conflict",
        Answer::StillRunning => "still running",
        Answer::Unknown(_) => "unknown",
    }
}

fn finished(outcome: Outcome) -> DispatchEnd {
    DispatchEnd::Ran(Finished::without_answer(outcome, "u".into(), 0))
}

impl World {
    fn new(submissions: usize, losses: u32) -> Self {
        Self {
            object: None,
            next_version: 1,
            delayed_writes: Vec::new(),
            slots: vec![Slot::default(); submissions],
            time: 0,
            losses_left: losses,
        }
    }

    fn apply(&mut self, write: Write, missing: Missing) -> WriteAnswer {
        let current_version = self.object.as_ref().map(|(version, _)| *version);
        let (record, condition_holds) = match write {
            Write::Create(record) => (record, current_version.is_none()),
            Write::Update(record, version) => {
                let unconditional =
                    missing == Missing::VersionCondition && current_version.is_some();
                (record, current_version == Some(version) || unconditional)
            }
        };
        if !condition_holds {
            return WriteAnswer::Stale;
        }
        let version = self.next_version;
        self.next_version += 1;
        self.object = Some((version, record));
        WriteAnswer::Written(version)
    }

    fn violation(&self) -> Option<String> {
        let runs: u32 = self.slots.iter().map(|s| s.ran).sum();
        if runs > 1 {
            return Some(format!("ran {runs} times"));
        }
        let answered_wrongly = self
            .slots
            .iter()
            .position(|s| s.answered_not_run && s.ran > 0);
        if let Some(slot) = answered_wrongly {
            return Some(format!(
                "submission {slot} was answered \"not run\" and ran"
            ));
        }
        let stuck = self.slots.iter().position(|s| {
            let alive = s.claim.as_ref().is_some_and(|c| !c.is_over());
            alive && s.todo.is_empty() && !s.granted
        });
        stuck.map(|slot| format!("submission {slot} has nothing to do and is not over"))
    }
}

impl Model {
    fn now(&self, world: &World) -> Now {
        let mono = if self.mono_is_frozen {
            0
        } else {
            self.times[world.time] - KEY_TIME
        };
        Now {
            mono_ms: mono,
            unix_ms: self.times[world.time],
        }
    }

    /// Returns every successor state, with the name of the step that leads to it.
    fn next(&self, world: &World, report: &mut Report) -> Vec<(String, World)> {
        let mut all = Vec::new();
        // A step that affects only its own submission commutes with all others (partial order
        // reduction).
        let local =
            |slot: &Slot| matches!(slot.todo.first(), Some(Action::Answer(_) | Action::Over));
        if let Some(at) = world.slots.iter().position(local) {
            self.slot_steps(world, at, report, &mut all);
            return all;
        }
        if world.time + 1 < self.times.len() {
            let mut next = world.clone();
            next.time += 1;
            all.push(("time passes".to_owned(), next));
        }
        self.sweep(world, &mut all);
        for at in 0..world.delayed_writes.len() {
            self.deliver_delayed(world, at, &mut all);
        }
        for at in 0..world.slots.len() {
            self.slot_steps(world, at, report, &mut all);
        }
        all
    }

    fn sweep(&self, world: &World, all: &mut Vec<(String, World)>) {
        let now = self.now(world).unix_ms;
        let early = self.missing == Missing::Retention;
        if world.object.is_some() && (early || self.key.is_deletable(now, &CFG)) {
            let mut next = world.clone();
            next.object = None;
            all.push(("the claim is deleted".to_owned(), next));
        }
    }

    fn deliver_delayed(&self, world: &World, at: usize, all: &mut Vec<(String, World)>) {
        let mut next = world.clone();
        let (slot, write) = next.delayed_writes.remove(at);
        let answer = next.apply(write, self.missing);
        let took_effect = matches!(answer, WriteAnswer::Written(_));
        if self.missing == Missing::Fence && took_effect && next.slots[slot].answered_not_run {
            next.slots[slot].granted = true;
        }
        all.push((format!("delayed write of {slot} arrives: {answer:?}"), next));
    }

    fn slot_steps(
        &self,
        world: &World,
        at: usize,
        report: &mut Report,
        all: &mut Vec<(String, World)>,
    ) {
        let slot = &world.slots[at];
        if !slot.opened {
            // The submissions are interchangeable, so they open in order (symmetry reduction).
            if at == 0 || world.slots[at - 1].opened {
                all.push((format!("{at} opens"), self.open(world, at)));
            }
            return;
        }
        if slot.granted {
            self.send(world, at, all);
        }
        let Some(action) = slot.todo.first().cloned() else {
            return;
        };
        let mut world = world.clone();
        world.slots[at].todo.remove(0);
        self.act(&world, at, &action, report, all);
    }

    fn open(&self, world: &World, at: usize) -> World {
        let mut next = world.clone();
        let now = self.now(world);
        let submission = Submission {
            key: self.key.clone(),
            claimant: format!("i{at}").into(),
            incarnation: 1,
            nonce: format!("n{at}").into(),
            request: format!("r{at}").into(),
            call: "bookings/confirm".into(),
            body_sha256: "b".into(),
            deadline: now.plus(DEADLINE_MS),
        };
        let (claim, todo) = Claim::open(CFG, submission, now);
        next.slots[at] = Slot {
            claim: Some(claim),
            todo,
            opened: true,
            ..Slot::default()
        };
        next
    }

    fn act(
        &self,
        world: &World,
        at: usize,
        action: &Action,
        report: &mut Report,
        all: &mut Vec<(String, World)>,
    ) {
        match action {
            Action::Create(record) => {
                self.write(world, at, &Write::Create((**record).clone()), all);
            }
            Action::Update { record, version } => {
                self.write(world, at, &Write::Update((**record).clone(), *version), all);
            }
            Action::Read => self.read(world, at, all),
            Action::Pause(_) => all.push(self.step(world, at, "pauses", Event::Timer)),
            Action::Dispatch => self.dispatch(world, at, all),
            Action::Answer(answer) => {
                report.answers.insert(answer_name(answer));
                let mut next = world.clone();
                next.slots[at].answered_not_run |= matches!(answer, Answer::NotRun(_));
                all.push((format!("{at} answers {answer:?}"), next));
            }
            Action::Over => {
                let mut next = world.clone();
                next.slots[at].claim = None;
                all.push((format!("{at} is over"), next));
            }
        }
    }

    fn step(&self, world: &World, at: usize, name: &str, event: Event) -> (String, World) {
        let mut next = world.clone();
        let now = self.now(world);
        let slot = &mut next.slots[at];
        if let Some(claim) = &mut slot.claim {
            slot.todo.extend(claim.step(now, event));
        }
        (format!("{at} {name}"), next)
    }

    fn write(&self, world: &World, at: usize, write: &Write, all: &mut Vec<(String, World)>) {
        let mut applied = world.clone();
        let answer = applied.apply(write.clone(), self.missing);
        all.push(self.step(
            &applied,
            at,
            &format!("writes: {answer:?}"),
            Event::Write(answer),
        ));
        let refused = Event::Write(WriteAnswer::NoEffect);
        all.push(self.step(world, at, "writes: refused", refused));
        if world.losses_left == 0 {
            return;
        }
        let mut delayed = world.clone();
        delayed.delayed_writes.push((at, write.clone()));
        for (name, mut lost) in [("took effect", applied), ("delayed", delayed)] {
            lost.losses_left -= 1;
            let name = format!("writes: response lost, {name}");
            all.push(self.step(&lost, at, &name, Event::Write(self.lost(&lost))));
        }
    }

    fn lost(&self, world: &World) -> WriteAnswer {
        match self.missing {
            Missing::ReadBack => WriteAnswer::Written(world.next_version),
            _ => WriteAnswer::Lost,
        }
    }

    fn read(&self, world: &World, at: usize, all: &mut Vec<(String, World)>) {
        all.push(self.step(
            world,
            at,
            "reads: no response",
            Event::Read(ReadAnswer::Failed),
        ));
        let Some((version, record)) = &world.object else {
            all.push(self.step(world, at, "reads: absent", Event::Read(ReadAnswer::Absent)));
            return;
        };
        for claimant_gone in [false, true] {
            let mut record = record.clone();
            if self.missing == Missing::NoTakeover && claimant_gone {
                record.state = ClaimState::Released;
            }
            let found = ReadAnswer::Found {
                record: Box::new(record),
                version: *version,
                claimant_gone,
            };
            let name = format!("reads: found, claimant gone: {claimant_gone}");
            all.push(self.step(world, at, &name, Event::Read(found)));
        }
    }

    fn dispatch(&self, world: &World, at: usize, all: &mut Vec<(String, World)>) {
        let mut next = world.clone();
        let now = match self.missing {
            Missing::ClockCheck => Now::default(),
            _ => self.now(world),
        };
        let slot = &mut next.slots[at];
        let Some(claim) = &mut slot.claim else {
            return;
        };
        let name = match claim.begin_dispatch(now) {
            Ok(()) => {
                slot.granted = true;
                "may dispatch"
            }
            Err(actions) => {
                slot.todo.extend(actions);
                "may not dispatch"
            }
        };
        all.push((format!("{at} {name}"), next));
    }

    /// Sends the first byte, some time after the dispatch was granted.
    fn send(&self, world: &World, at: usize, all: &mut Vec<(String, World)>) {
        let ends = [
            ("runs", 1, finished(Outcome::Answered)),
            ("runs, answer lost", 1, finished(Outcome::Unknown)),
            ("is lost before it runs", 0, finished(Outcome::Unknown)),
            ("is refused by the upstream", 0, DispatchEnd::NotRun),
        ];
        for (name, runs, end) in ends {
            let mut sent = world.clone();
            sent.slots[at].granted = false;
            sent.slots[at].ran += runs;
            all.push(self.step(&sent, at, name, Event::Dispatched(end)));
        }
    }

    fn explore(&self, start: World) -> Report {
        let mut report = Report::default();
        let mut seen = HashSet::new();
        let mut stack = vec![(start, usize::MAX)];
        let mut trace: Vec<(String, usize)> = Vec::new();
        while let Some((world, parent)) = stack.pop() {
            if let Some(violation) = world.violation() {
                report.violation = Some(format!("{violation}: {}", path(&trace, parent)));
                break;
            }
            for (name, next) in self.next(&world, &mut report) {
                let mut hasher = DefaultHasher::new();
                next.hash(&mut hasher);
                if seen.insert(hasher.finish()) {
                    trace.push((name, parent));
                    stack.push((next, trace.len() - 1));
                }
            }
        }
        report.states = seen.len();
        report
    }
}

fn path(trace: &[(String, usize)], mut at: usize) -> String {
    let mut names = Vec::new();
    while let Some((name, parent)) = trace.get(at) {
        names.push(name.as_str());
        at = *parent;
    }
    names.reverse();
    names.join("; ")
}

fn explore(missing: Missing, mono_is_frozen: bool, start: World) -> Report {
    let times = if start.slots.len() > 2 {
        REDUCED_TIMES
    } else {
        TIMES
    };
    // A UUIDv7 created at KEY_TIME.
    let digits = format!("{KEY_TIME:012x}");
    let key = format!("{}-{}-7000-8000-000000000000", &digits[..8], &digits[8..]);
    let key = ClaimKey::new("org".into(), &key).unwrap();
    let model = Model {
        missing,
        mono_is_frozen,
        times,
        key,
    };
    let report = model.explore(start);
    println!(
        "{missing:?}: {} states, {:?}",
        report.states, report.violation
    );
    report
}

#[gtest]
fn two_submissions_run_once_with_a_lost_response() {
    let report = explore(Missing::Nothing, false, World::new(2, 1));
    expect_that!(report.violation, none());
    let all = ["not run", "recorded", "still running", "unknown"];
    expect_that!(report.answers, eq(&BTreeSet::from(all)));
}

#[gtest]
fn two_submissions_run_once_with_a_frozen_monotonic_clock() {
    let report = explore(Missing::Nothing, true, World::new(2, 1));
    expect_that!(report.violation, none());
}

#[gtest]
fn three_submissions_run_once() {
    let report = explore(Missing::Nothing, false, World::new(3, 0));
    expect_that!(report.violation, none());
}

#[gtest]
fn each_missing_safeguard_is_detected() {
    let safeguards = [
        Missing::ReadBack,
        Missing::NoTakeover,
        Missing::Fence,
        Missing::ClockCheck,
        Missing::Retention,
    ];
    for missing in safeguards {
        let report = explore(missing, false, World::new(2, 1));
        expect_that!(report.violation, some(anything()), "{missing:?}");
    }
}

#[gtest]
fn a_delayed_unconditional_release_is_detected() {
    let report = explore(Missing::VersionCondition, false, World::new(3, 1));
    expect_that!(report.violation, some(anything()));
}
