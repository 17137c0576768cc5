//! A replay of a fleet whose runners end under some requests.

use std::collections::{BTreeMap, BTreeSet};

use jacinthweir_policy::relay::fingerprint::Fingerprint;
use jacinthweir_policy::relay::lifetime::Lifetime;
use jacinthweir_policy::relay::quarantine::{
    BrokenRun, CrashRecord, LifetimeState, Quarantine, SURVIVED_MS, Verdict,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step, length of a replay, and time after which no new request comes, in milliseconds.
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 15_000;

/// Time from a send to the beginning of a run, from there to the runner's end, and the longest until that
/// is known at an instance, in milliseconds.
const BEGIN_MS: (u64, u64) = (60, 340);
const DYING_MS: (u64, u64) = (20, 120);
const NAMED_MS: (u64, u64) = (10, 400);

/// Time until a chain is whole again, and that a word takes, in milliseconds.
const REPAIR_MS: (u64, u64) = (300, 1_500);
const WORD_MS: (u64, u64) = (10, 600);

/// Sends of one attempt at the most, and attempts of one caller.
const SENDS: usize = 4;
const ATTEMPTS: usize = 2;

pub fn fingerprint(n: u64) -> Fingerprint {
    Fingerprint::of(None, "host", "/path", &n.to_be_bytes())
}

struct Chain {
    /// Its first runner's lifetime; the runner lives.
    born_ms: u64,
    up_from_ms: u64,
    ends_ms: Option<u64>,
}

struct Run {
    request: u64,
    instance: usize,
    chain: usize,
    lifetime: Lifetime,
    sent_ms: u64,
    begins_ms: u64,
    ends_ms: u64,
    sends: usize,
    attempts: usize,
}

struct Instance {
    quarantine: Quarantine,
    /// Lifetimes that are over, and from when this instance knows it.
    over: BTreeMap<Lifetime, u64>,
    heard: Vec<(u64, Vec<CrashRecord>)>,
}

/// What a replay showed.
pub struct Outcome {
    /// When runners ended under each lethal request, and when it was sent to one.
    lethal: BTreeMap<u64, (Vec<u64>, Vec<u64>)>,
    /// Number of other requests, and those of them that were held.
    pub others: usize,
    pub others_held: BTreeSet<u64>,
}

impl Outcome {
    /// Sends of each lethal request later than `later_ms` after the end of its third runner.
    pub fn sends_after(&self, later_ms: u64) -> impl Iterator<Item = usize> {
        self.lethal.values().filter_map(move |(ends, sends)| {
            let third = ends.get(2)?;
            let later = sends.iter().filter(|at| **at > third + later_ms);
            Some(later.count())
        })
    }
}

pub struct Replay {
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    chains: Vec<Chain>,
    runs: Vec<Run>,
    /// Requests that wait for their verdict: instance, sends, attempts.
    waiting: Vec<(u64, usize, usize, usize)>,
    lethal: u64,
    pause_ms: u64,
    load: f64,
    keeps_account: bool,
    out: Outcome,
}

impl Replay {
    pub fn of(seed: u64) -> Replay {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instances = rng.random_range(1..=12);
        let chains = rng.random_range(2..=8);
        let instance = || Instance {
            quarantine: Quarantine::default(),
            over: BTreeMap::new(),
            heard: Vec::new(),
        };
        let chain = |i| Chain {
            born_ms: i,
            up_from_ms: 0,
            ends_ms: None,
        };
        Replay {
            instances: (0..instances).map(|_| instance()).collect(),
            chains: (0..chains).map(chain).collect(),
            runs: Vec::new(),
            waiting: Vec::new(),
            lethal: rng.random_range(1..=3),
            pause_ms: rng.random_range(100..2_000),
            load: rng.random_range(0.05..0.5),
            keeps_account: true,
            out: Outcome {
                lethal: BTreeMap::new(),
                others: 0,
                others_held: BTreeSet::new(),
            },
            rng,
        }
    }

    pub fn play(mut self, keeps_account: bool) -> Outcome {
        self.keeps_account = keeps_account;
        let mut next_ms: Vec<u64> = (0..self.lethal).map(|n| n * 400 + 1_000).collect();
        let mut other = self.lethal;
        for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
            for lethal in 0..self.lethal {
                if now >= next_ms[lethal as usize] {
                    next_ms[lethal as usize] =
                        now + self.draw((self.pause_ms / 2, self.pause_ms * 2));
                    self.arrive(lethal, 1, now);
                }
            }
            if self.rng.random_bool(self.load) {
                self.out.others += 1;
                self.arrive(other, 1, now);
                other += 1;
            }
            self.end_runners(now);
            self.end_runs(now);
            self.tell(now);
            for (request, instance, sends, attempts) in std::mem::take(&mut self.waiting) {
                self.send(request, instance, sends, attempts, now);
            }
        }
        self.out
    }

    fn draw(&mut self, (from, to): (u64, u64)) -> u64 {
        self.rng.random_range(from..to)
    }

    fn arrive(&mut self, request: u64, attempts: usize, now: u64) {
        let instance = self.rng.random_range(0..self.instances.len());
        self.send(request, instance, 1, attempts, now);
    }

    fn send(&mut self, request: u64, instance: usize, sends: usize, attempts: usize, now: u64) {
        let verdict = self.instances[instance]
            .quarantine
            .verdict(fingerprint(request), now);
        match verdict {
            Verdict::Quarantined(_) if self.keeps_account => {
                if request >= self.lethal {
                    self.out.others_held.insert(request);
                }
                return;
            }
            Verdict::Undecided if self.keeps_account => {
                self.waiting.push((request, instance, sends, attempts));
                return;
            }
            Verdict::Allowed | Verdict::Undecided | Verdict::Quarantined(_) => {}
        }
        let up: Vec<usize> = (0..self.chains.len())
            .filter(|c| self.chains[*c].up_from_ms <= now)
            .collect();
        if up.is_empty() || sends > SENDS {
            return self.come_again(request, attempts, now);
        }
        let chain = up[self.rng.random_range(0..up.len())];
        let begins_ms = now + self.draw(BEGIN_MS);
        let is_lethal = request < self.lethal;
        if is_lethal {
            self.out.lethal.entry(request).or_default().1.push(now);
            let ends_ms = begins_ms + self.draw(DYING_MS);
            let chain = &mut self.chains[chain];
            chain.ends_ms = Some(chain.ends_ms.map_or(ends_ms, |e| e.min(ends_ms)));
        }
        let lasts_ms = self.draw((200, 4_000));
        self.runs.push(Run {
            request,
            instance,
            chain,
            lifetime: Lifetime {
                runner: format!("i-{chain}").into(),
                born_ms: self.chains[chain].born_ms,
            },
            sent_ms: now,
            begins_ms,
            ends_ms: if is_lethal {
                u64::MAX
            } else {
                begins_ms + lasts_ms
            },
            sends,
            attempts,
        });
    }

    fn come_again(&mut self, request: u64, attempts: usize, now: u64) {
        if attempts < ATTEMPTS && request >= self.lethal {
            self.arrive(request, attempts + 1, now);
        }
    }

    fn end_runners(&mut self, now: u64) {
        for c in 0..self.chains.len() {
            if self.chains[c].ends_ms.is_none_or(|at| at > now) {
                continue;
            }
            let lifetime = Lifetime {
                runner: format!("i-{c}").into(),
                born_ms: self.chains[c].born_ms,
            };
            let (broken, on): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|r| r.chain == c);
            self.runs = on;
            self.chains[c] = Chain {
                born_ms: now,
                up_from_ms: now + self.draw(REPAIR_MS),
                ends_ms: None,
            };
            for i in 0..self.instances.len() {
                let known_ms = now + self.draw(NAMED_MS);
                self.instances[i].over.insert(lifetime.clone(), known_ms);
            }
            for run in broken {
                self.broke(&run, now);
            }
        }
    }

    fn broke(&mut self, run: &Run, now: u64) {
        if run.request < self.lethal && run.begins_ms <= now {
            self.out.lethal.entry(run.request).or_default().0.push(now);
        }
        let quarantine = &mut self.instances[run.instance].quarantine;
        match now >= run.begins_ms + SURVIVED_MS {
            true => {
                quarantine.record_survival(fingerprint(run.request), now);
            }
            false => quarantine.record_broken_run(BrokenRun {
                request: fingerprint(run.request),
                through: vec![run.lifetime.clone()],
                seen_by: format!("front-{}", run.instance).into(),
                sent_ms: run.sent_ms,
                begun: now >= run.begins_ms,
                at_ms: now,
            }),
        }
        self.send(run.request, run.instance, run.sends + 1, run.attempts, now);
    }

    fn end_runs(&mut self, now: u64) {
        let (over, on): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|r| r.ends_ms <= now);
        self.runs = on;
        for run in over {
            self.instances[run.instance]
                .quarantine
                .record_survival(fingerprint(run.request), now);
        }
    }

    /// Each instance settles what broke, and each that learnt something tells all others.
    fn tell(&mut self, now: u64) {
        for i in 0..self.instances.len() {
            let one = &mut self.instances[i];
            let due = one.heard.extract_if(.., |(at, _)| *at <= now);
            let heard: Vec<CrashRecord> = due.flat_map(|(_, cases)| cases).collect();
            let mut is_news = false;
            for case in &heard {
                is_news |= one.quarantine.merge(case, now);
            }
            let over = &one.over;
            let settled = one.quarantine.evaluate(now, |l| match over.get(l) {
                Some(known_ms) if *known_ms <= now => LifetimeState::Ended,
                _ => LifetimeState::Running,
            });
            if !is_news && !settled.is_news() {
                continue;
            }
            let told: Vec<CrashRecord> = one.quarantine.updates(400, false, now).collect();
            for other in 0..self.instances.len() {
                let at = now + self.draw(WORD_MS);
                self.instances[other].heard.push((at, told.clone()));
            }
        }
    }
}
