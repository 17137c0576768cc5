//! Simulation of a fleet in which some requests, or all with one part of their prompts, crash the
//! runners that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use jacinthweir_policy::fingerprint::Fingerprint;
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prompt_part::PromptPart;
use jacinthweir_policy::quarantine::{
    BrokenRun, CrashReport, LifetimeState, Quarantine, RunSubject, SURVIVED_MS, Verdict,
};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step and length of a simulation, in milliseconds.
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 15_000;

/// Time from the sending of a request to the start of its run, in milliseconds.
const START_MS: (u64, u64) = (60, 340);

/// Time from the start of a lethal run to the crash of its runner, in milliseconds.
const CRASH_MS: (u64, u64) = (20, 120);

/// Time from a crash to its detection by an instance, in milliseconds.
const DETECTION_MS: (u64, u64) = (10, 400);

/// Time until a chain is complete again, in milliseconds.
const REPAIR_MS: (u64, u64) = (300, 1_500);

/// Message delay between instances, in milliseconds.
const MESSAGE_MS: (u64, u64) = (10, 600);

/// Maximum number of sends of one attempt.
const MAX_SENDS: usize = 4;

/// Maximum number of attempts of one caller.
const MAX_ATTEMPTS: usize = 2;

pub fn fingerprint(n: u64) -> Fingerprint {
    Fingerprint::of(None, "host", "/path", &n.to_be_bytes())
}

/// Returns a request with parts of its prompt.
pub fn subject(n: u64, parts: &[&str]) -> RunSubject {
    let parts = parts.iter().map(|id| PromptPart::named(id));
    RunSubject {
        request: fingerprint(n),
        parts: parts.collect(),
    }
}

/// What crashes runners in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lethal {
    /// One to three requests, which are repeated.
    Requests,
    /// All requests with one part, no two alike.
    Part,
}

/// What happens to instances, messages and runners beside lethal requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Conditions {
    /// Share of the messages between instances that are lost.
    loss: f64,
    /// Share of the messages that are late.
    late: f64,
    /// Share of steps in which an instance is replaced by a new one, which knows what is stored.
    replacement: f64,
    /// Share of steps in which a runner crashes by itself.
    crash: f64,
}

impl Conditions {
    /// Draws conditions of a bad day.
    pub fn draw(rng: &mut impl Rng) -> Conditions {
        Conditions {
            loss: *[0.0, 0.1, 0.5].choose(rng).expect("some"),
            late: *[0.0, 0.1, 0.3].choose(rng).expect("some"),
            replacement: *[0.0, 0.002, 0.01].choose(rng).expect("some"),
            crash: *[0.0, 0.002, 0.005].choose(rng).expect("some"),
        }
    }
}

/// Delay of a late message, in milliseconds.
const LATE_MS: (u64, u64) = (600, 3_000);

/// Interval at which an instance exchanges what it knows with another one, in milliseconds.
const ROUND_MS: u64 = 300;

/// Time from its start after which an instance has to follow what others know, in milliseconds.
const STABLE_MS: u64 = 3_000;

/// Part of the prompts of all requests.
const COMMON_PART: &str = "5c1e07a2";

/// The lethal part.
const LETHAL_PART: &str = "deadbeef";

/// Number of documents, of which each prompt contains one.
const DOCUMENTS: u64 = 40;

/// First number of the requests with the lethal part.
const FIRST_WITH_PART: u64 = 1 << 32;

struct Chain {
    /// Start of the current lifetime of its runner.
    born_ms: u64,
    up_from_ms: u64,
    crash_ms: Option<u64>,
}

struct Run {
    request: u64,
    instance: usize,
    chain: usize,
    lifetime: Lifetime,
    sent_ms: u64,
    starts_ms: u64,
    ends_ms: u64,
    sends: usize,
    attempts: usize,
}

struct Instance {
    quarantine: Quarantine,
    /// Lifetimes that ended, and when this instance detects that.
    ended: BTreeMap<Lifetime, u64>,
    /// Messages under way to this instance, with their arrival times.
    inbox: Vec<(u64, Rc<[CrashReport]>)>,
    in_touch_from_ms: u64,
}

impl Instance {
    fn new(in_touch_from_ms: u64) -> Instance {
        Instance {
            quarantine: Quarantine::default(),
            ended: BTreeMap::new(),
            inbox: Vec::new(),
            in_touch_from_ms,
        }
    }
}

/// Result of a simulation.
pub struct Outcome {
    /// Times of the crashes under each lethal request, or under all with the lethal part, and of
    /// their sends.
    lethal: BTreeMap<u64, (Vec<u64>, Vec<u64>)>,
    /// Number of other requests.
    pub others: usize,
    /// Other requests that were quarantined.
    pub others_quarantined: BTreeSet<u64>,
    /// Times of the first attempts of other requests, and whether they were refused.
    first_attempts: Vec<(u64, bool)>,
}

impl Outcome {
    /// Returns the number of sends of each lethal request, or of all with the lethal part, later
    /// than `grace_ms` after a crash, given by its number.
    pub fn sends_after(&self, crash: usize, grace_ms: u64) -> impl Iterator<Item = usize> {
        self.lethal.values().filter_map(move |(crashes, sends)| {
            let at = crashes.get(crash - 1)?;
            let late = sends.iter().filter(|sent| **sent > at + grace_ms);
            Some(late.count())
        })
    }

    /// Returns the number of other requests whose first attempt came later than `grace_ms` after a crash, given
    /// by its number (the last, if there are fewer), and how many of them were refused.
    pub fn refused_after(&self, crash: usize, grace_ms: u64) -> (usize, usize) {
        let mut crashes = self.lethal.values().map(|(crashes, _)| crashes);
        let at = crashes.next().and_then(|c| c.get(crash - 1).or(c.last()));
        let Some(at) = at else {
            return (0, 0);
        };
        let attempts = self.first_attempts.iter();
        let attempts = attempts.filter(|(sent, _)| *sent > at + grace_ms);
        let refused = attempts.clone().filter(|(_, is_refused)| *is_refused);
        (attempts.count(), refused.count())
    }

    /// Returns the number of crashes under lethal requests.
    pub fn crashes(&self) -> usize {
        self.lethal.values().map(|(crashes, _)| crashes.len()).sum()
    }
}

pub struct Simulation {
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    chains: Vec<Chain>,
    runs: Vec<Run>,
    /// Requests with an undecided verdict: request, instance, sends, attempts.
    waiting: Vec<(u64, usize, usize, usize)>,
    lethal: Lethal,
    /// Number of lethal requests that are repeated, or of requests with the lethal part so far.
    lethal_count: u64,
    repeat_ms: u64,
    load: f64,
    has_quarantine: bool,
    conditions: Conditions,
    /// What the store has of the crashes for which something is quarantined.
    stored: Vec<CrashReport>,
    out: Outcome,
}

impl Simulation {
    pub fn new(seed: u64, lethal: Lethal) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = rng.random_range(1..=12);
        let chains = rng.random_range(2..=8);
        let chain = |i| Chain {
            born_ms: i,
            up_from_ms: 0,
            crash_ms: None,
        };
        Simulation {
            instances: (0..instances).map(|_| Instance::new(0)).collect(),
            chains: (0..chains).map(chain).collect(),
            runs: Vec::new(),
            waiting: Vec::new(),
            lethal,
            lethal_count: rng.random_range(1..=3),
            repeat_ms: rng.random_range(100..2_000),
            load: rng.random_range(0.05..0.5),
            has_quarantine: true,
            out: Outcome {
                lethal: BTreeMap::new(),
                others: 0,
                others_quarantined: BTreeSet::new(),
                first_attempts: Vec::new(),
            },
            conditions: Conditions::default(),
            stored: Vec::new(),
            rng,
        }
    }

    /// The same on a bad day.
    pub fn on_a_bad_day(seed: u64, lethal: Lethal) -> Simulation {
        let mut simulation = Simulation::new(seed, lethal);
        simulation.conditions = Conditions::draw(&mut simulation.rng);
        simulation
    }

    pub fn run(mut self, has_quarantine: bool) -> Outcome {
        self.has_quarantine = has_quarantine;
        let sources = match self.lethal {
            Lethal::Requests => self.lethal_count,
            Lethal::Part => 1,
        };
        let mut next_ms: Vec<u64> = (0..sources).map(|n| n * 400 + 1_000).collect();
        let mut other = self.lethal_count;
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            for source in 0..sources {
                if now >= next_ms[source as usize] {
                    next_ms[source as usize] =
                        now + self.draw((self.repeat_ms / 2, self.repeat_ms * 2));
                    let request = self.next_lethal(source);
                    self.arrive(request, 1, now);
                }
            }
            if self.rng.random_bool(self.load) {
                self.out.others += 1;
                self.arrive(other, 1, now);
                other += 1;
            }
            self.disturb(now);
            self.crash_runners(now);
            self.complete_runs(now);
            self.exchange(now);
            for (request, instance, sends, attempts) in std::mem::take(&mut self.waiting) {
                self.send(request, instance, sends, attempts, now);
            }
        }
        self.out
    }

    fn next_lethal(&mut self, source: u64) -> u64 {
        match self.lethal {
            Lethal::Requests => source,
            Lethal::Part => {
                self.lethal_count += 1;
                FIRST_WITH_PART + self.lethal_count
            }
        }
    }

    /// Returns the lethal request, or 0 for the lethal part, that a request belongs to.
    fn lethal_group(&self, request: u64) -> Option<u64> {
        match self.lethal {
            Lethal::Requests => Some(request).filter(|r| *r < self.lethal_count),
            Lethal::Part => Some(0).filter(|_| request >= FIRST_WITH_PART),
        }
    }

    fn subject(&self, request: u64) -> RunSubject {
        let document = format!("d0c{}", request % DOCUMENTS);
        match (self.lethal, request >= FIRST_WITH_PART) {
            (Lethal::Requests, _) => subject(request, &[]),
            (Lethal::Part, false) => subject(request, &[COMMON_PART, &document]),
            (Lethal::Part, true) => subject(request, &[COMMON_PART, &document, LETHAL_PART]),
        }
    }

    fn draw(&mut self, (from, to): (u64, u64)) -> u64 {
        self.rng.random_range(from..to)
    }

    fn arrive(&mut self, request: u64, attempts: usize, now: u64) {
        let instance = self.rng.random_range(0..self.instances.len());
        self.send(request, instance, 1, attempts, now);
    }

    fn send(&mut self, request: u64, instance: usize, sends: usize, attempts: usize, now: u64) {
        let subject = self.subject(request);
        let verdict = self.instances[instance].quarantine.verdict(&subject, now);
        if sends == 1 && attempts == 1 && self.lethal_group(request).is_none() {
            let is_refused = matches!(verdict, Verdict::Quarantined { .. });
            self.out.first_attempts.push((now, is_refused));
        }
        match verdict {
            Verdict::Quarantined { .. } if self.has_quarantine => {
                if self.lethal_group(request).is_none() {
                    self.out.others_quarantined.insert(request);
                }
                return;
            }
            Verdict::Undecided if self.has_quarantine => {
                self.waiting.push((request, instance, sends, attempts));
                return;
            }
            Verdict::Allowed | Verdict::Undecided | Verdict::Quarantined { .. } => {}
        }
        let up: Vec<usize> = (0..self.chains.len())
            .filter(|c| self.chains[*c].up_from_ms <= now)
            .collect();
        if up.is_empty() || sends > MAX_SENDS {
            return self.retry(request, attempts, now);
        }
        let chain = up[self.rng.random_range(0..up.len())];
        let starts_ms = now + self.draw(START_MS);
        let lethal_group = self.lethal_group(request);
        if let Some(group) = lethal_group {
            if now >= self.instances[instance].in_touch_from_ms {
                self.out.lethal.entry(group).or_default().1.push(now);
            }
            let crash_ms = starts_ms + self.draw(CRASH_MS);
            let chain = &mut self.chains[chain];
            chain.crash_ms = Some(chain.crash_ms.map_or(crash_ms, |at| at.min(crash_ms)));
        }
        let duration_ms = self.draw((200, 4_000));
        self.runs.push(Run {
            request,
            instance,
            chain,
            lifetime: Lifetime {
                runner: format!("i-{chain}").into(),
                born_ms: self.chains[chain].born_ms,
            },
            sent_ms: now,
            starts_ms,
            ends_ms: match lethal_group {
                Some(_) => u64::MAX,
                None => starts_ms + duration_ms,
            },
            sends,
            attempts,
        });
    }

    fn retry(&mut self, request: u64, attempts: usize, now: u64) {
        if attempts < MAX_ATTEMPTS && self.lethal_group(request).is_none() {
            self.arrive(request, attempts + 1, now);
        }
    }

    fn crash_runners(&mut self, now: u64) {
        for c in 0..self.chains.len() {
            if self.chains[c].crash_ms.is_none_or(|at| at > now) {
                continue;
            }
            let lifetime = Lifetime {
                runner: format!("i-{c}").into(),
                born_ms: self.chains[c].born_ms,
            };
            let (broken, remaining): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|r| r.chain == c);
            self.runs = remaining;
            self.chains[c] = Chain {
                born_ms: now,
                up_from_ms: now + self.draw(REPAIR_MS),
                crash_ms: None,
            };
            for i in 0..self.instances.len() {
                let detected_ms = now + self.draw(DETECTION_MS);
                self.instances[i]
                    .ended
                    .insert(lifetime.clone(), detected_ms);
            }
            for run in broken {
                self.fail_run(&run, now);
            }
        }
    }

    fn fail_run(&mut self, run: &Run, now: u64) {
        let lethal_group = self.lethal_group(run.request);
        if let Some(group) = lethal_group.filter(|_| run.starts_ms <= now) {
            self.out.lethal.entry(group).or_default().0.push(now);
        }
        let subject = self.subject(run.request);
        let quarantine = &mut self.instances[run.instance].quarantine;
        match now >= run.starts_ms + SURVIVED_MS {
            true => {
                quarantine.record_survival(&subject, now);
            }
            false => quarantine.record_broken_run(BrokenRun {
                subject,
                through: vec![run.lifetime.clone()],
                seen_by: format!("front-{}", run.instance).into(),
                sent_ms: run.sent_ms,
                ran_ms: now.checked_sub(run.starts_ms),
                at_ms: now,
            }),
        }
        self.send(run.request, run.instance, run.sends + 1, run.attempts, now);
    }

    fn complete_runs(&mut self, now: u64) {
        let (completed, remaining): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.ends_ms <= now);
        self.runs = remaining;
        for run in completed {
            let subject = self.subject(run.request);
            self.instances[run.instance]
                .quarantine
                .record_survival(&subject, now);
        }
    }

    /// Evaluates the broken runs of each instance. An instance that learned something notifies all
    /// others.
    fn exchange(&mut self, now: u64) {
        for i in 0..self.instances.len() {
            let one = &mut self.instances[i];
            let due = one.inbox.extract_if(.., |(at, _)| *at <= now);
            let received: Vec<Rc<[CrashReport]>> = due.map(|(_, reports)| reports).collect();
            let mut is_news = false;
            for report in received.iter().flat_map(|reports| reports.iter()) {
                is_news |= one.quarantine.merge(report, now);
            }
            let ended = &one.ended;
            let evaluation = one.quarantine.evaluate(now, |l| match ended.get(l) {
                Some(detected_ms) if *detected_ms <= now => LifetimeState::Ended,
                _ => LifetimeState::Running,
            });
            if !is_news && !evaluation.is_news() {
                continue;
            }
            let updates: Rc<[CrashReport]> = one.quarantine.updates(400, false, now).collect();
            for other in 0..self.instances.len() {
                self.deliver(other, &updates, now);
            }
        }
        if now.is_multiple_of(ROUND_MS) {
            self.exchange_rounds(now);
        }
    }

    /// Sends a message to an instance.
    fn deliver(&mut self, to: usize, reports: &Rc<[CrashReport]>, now: u64) {
        if self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let delay_ms = match self.rng.random_bool(self.conditions.late) {
            true => self.draw(LATE_MS),
            false => self.draw(MESSAGE_MS),
        };
        let message = (now + delay_ms, Rc::clone(reports));
        self.instances[to].inbox.push(message);
    }

    /// Has each instance exchange all it knows with another one, and store what is quarantined.
    fn exchange_rounds(&mut self, now: u64) {
        self.stored.clear();
        for i in 0..self.instances.len() {
            self.stored.extend(self.instances[i].quarantine.causes(now));
            let other = self.rng.random_range(0..self.instances.len());
            for (from, to) in [(i, other), (other, i)] {
                let updates = self.instances[from].quarantine.updates(3_000, true, now);
                let updates: Rc<[CrashReport]> = updates.collect();
                self.deliver(to, &updates, now);
            }
        }
    }

    /// Replaces an instance and crashes a runner, now and then.
    fn disturb(&mut self, now: u64) {
        if self.rng.random_bool(self.conditions.replacement) {
            let replaced = self.rng.random_range(0..self.instances.len());
            self.runs.retain(|run| run.instance != replaced);
            let mut instance = Instance::new(now + STABLE_MS);
            for report in &self.stored {
                instance.quarantine.merge(report, now);
            }
            self.instances[replaced] = instance;
        }
        if self.rng.random_bool(self.conditions.crash) {
            let chain = self.rng.random_range(0..self.chains.len());
            self.chains[chain].crash_ms = Some(now);
        }
    }
}
