//! Simulated instances that share a retry budget, are killed and start again, with the real budget and the
//! real exchange of counts.

use std::collections::BTreeSet;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::loads::{Load, LoadTable, ServiceCounts};
use jacinthweir_policy::relay::shared_retry_budget::{SharedRetryBudget, SharedRetryBudgetConfig};
use jacinthweir_policy::retry_priority::RetryPriority;
use rand::RngExt;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "pool";

/// Interval between the exchanges of an instance, in milliseconds.
const ROUND_MS: Millis = 300;

/// Peers that an instance exchanges with in a round.
const FANOUT: usize = 2;

/// Share of the exchanges that are lost, unless a test says otherwise.
const LOST_EXCHANGES: f64 = 0.1;

/// One instance.
struct Instance {
    name: Name,
    domain: Name,
    started_ms: Millis,
    budget: SharedRetryBudget,
    loads: LoadTable,
    /// Names of all instances that it has heard of.
    heard: BTreeSet<Name>,
    /// When it starts again, if it is down.
    down_until: Option<Millis>,
    /// Whether callers send requests to it.
    has_callers: bool,
}

impl Instance {
    fn start(name: Name, domain: Name, now: Millis, cfg: &SharedRetryBudgetConfig) -> Self {
        let loads = LoadTable::new(name.clone(), domain.clone());
        Instance {
            heard: BTreeSet::from([name.clone()]),
            budget: SharedRetryBudget::started(now),
            loads: loads.with_retry_window(now, cfg.window_ms),
            started_ms: now,
            down_until: None,
            has_callers: true,
            name,
            domain,
        }
    }

    fn write_load(&mut self, now: Millis, cfg: &SharedRetryBudgetConfig) {
        let counts = self.budget.counts(now, cfg);
        let load = Load {
            written_ms: now,
            started_ms: self.started_ms,
            hears_store: true,
            serves: true,
            spent: vec![ServiceCounts {
                service: SERVICE.into(),
                counts,
            }],
            ..Load::default()
        };
        self.loads.set_own(load, now);
    }

    fn update_loan(&mut self, now: Millis, cfg: &SharedRetryBudgetConfig) {
        let others = self.loads.retry_counts(SERVICE, now);
        let instances = self.heard.len();
        self.budget.update_loan(now, cfg, others, instances);
    }
}

/// Instances, and all arrivals at one service that all of them send to.
pub struct Fleet {
    instances: Vec<Instance>,
    requests: Vec<Millis>,
    retries: Vec<Millis>,
    cfg: SharedRetryBudgetConfig,
    rng: ChaCha8Rng,
    renamed: usize,
    lost_exchanges: f64,
}

impl Fleet {
    /// Starts a fleet with as many instances in each failure domain as `sizes` says.
    pub fn start(sizes: &[usize], cfg: SharedRetryBudgetConfig, rng: ChaCha8Rng) -> Self {
        let mut instances = Vec::new();
        for (d, size) in sizes.iter().enumerate() {
            for i in 0..*size {
                let domain = format!("domain-{d}").into();
                let name = format!("front-{d}-{i}").into();
                instances.push(Instance::start(name, domain, 0, &cfg));
            }
        }
        Fleet {
            instances,
            requests: Vec::new(),
            retries: Vec::new(),
            cfg,
            rng,
            renamed: 0,
            lost_exchanges: LOST_EXCHANGES,
        }
    }

    /// Loses a share of the exchanges, as between instances that get little processor time.
    pub fn lose_exchanges(&mut self, share: f64) {
        self.lost_exchanges = share;
    }

    /// Kills a share of the instances at `now`.
    pub fn kill_share(&mut self, share: f64, now: Millis) {
        let count = (share * self.instances.len() as f64).round() as usize;
        let killed = (0..self.instances.len()).sample(&mut self.rng, count);
        killed.into_iter().for_each(|i| self.kill(i, now));
    }

    /// Kills all instances of a failure domain at `now`.
    pub fn kill_domain(&mut self, now: Millis) {
        let one = self.rng.random_range(0..self.instances.len());
        let domain = self.instances[one].domain.clone();
        for i in 0..self.instances.len() {
            if self.instances[i].domain == domain {
                self.kill(i, now);
            }
        }
    }

    /// Kills an instance at `now`. It starts again within a second and a half, one in four under a new name.
    pub fn kill(&mut self, i: usize, now: Millis) {
        let down_ms = self.rng.random_range(200..1_500);
        self.instances[i].down_until = Some(now + down_ms);
    }

    /// Has the callers of a share of the instances send their requests to the others.
    pub fn move_callers(&mut self, share: f64) {
        let count = (share * self.instances.len() as f64).round() as usize;
        let left = (0..self.instances.len()).sample(&mut self.rng, count);
        left.into_iter()
            .for_each(|i| self.instances[i].has_callers = false);
    }

    /// Starts the instances that are due at `now`, and exchanges between those whose round it is.
    pub fn tick(&mut self, now: Millis) {
        for i in 0..self.instances.len() {
            if self.instances[i].down_until.is_some_and(|at| now >= at) {
                self.restart(i, now);
            }
            let is_due = (now + 37 * i as Millis) % ROUND_MS < 10;
            if is_due && self.instances[i].down_until.is_none() {
                self.exchange_round(i, now);
            }
        }
    }

    fn restart(&mut self, i: usize, now: Millis) {
        let old = &self.instances[i];
        let (mut name, domain) = (old.name.clone(), old.domain.clone());
        if self.rng.random_bool(0.25) {
            self.renamed += 1;
            name = format!("{name}-new-{}", self.renamed).into();
        }
        self.instances[i] = Instance::start(name, domain, now, &self.cfg);
    }

    fn exchange_round(&mut self, from: usize, now: Millis) {
        let others = (0..self.instances.len()).filter(|to| *to != from);
        let peers = others.sample(&mut self.rng, FANOUT);
        for to in peers {
            let is_up = self.instances[to].down_until.is_none();
            if is_up && !self.rng.random_bool(self.lost_exchanges) {
                self.exchange(from, to, now);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, now: Millis) {
        let near = self.instances[from].domain == self.instances[to].domain;
        for i in [from, to] {
            self.instances[i].write_load(now, &self.cfg);
        }
        let domains = [from, to].map(|i| self.instances[i].domain.clone());
        let name = self.instances[from].name.clone();
        let neighbours = [from, to].map(|i| self.neighbours(i));
        let sender = &self.instances[from].loads;
        let digest = sender.digest(near, now);
        let pushed = sender.push_update(near, neighbours[0], now);
        let receiver = &mut self.instances[to];
        receiver.loads.apply(&domains[0], pushed, now);
        receiver.update_loan(now, &self.cfg);
        let reply = receiver.loads.update_for(&digest, near, neighbours[1], now);
        let heard = receiver.heard.clone();
        let former = receiver.loads.former_counts(&name, now);
        let sender = &mut self.instances[from];
        sender.loads.apply(&domains[1], reply, now);
        sender.heard.extend(heard);
        if let Some(former) = former.filter(|_| near) {
            let retries = former.first().map_or(0, |s| s.counts.repeats);
            sender.budget.record_former(retries);
        }
        sender.update_loan(now, &self.cfg);
        let heard = sender.heard.clone();
        self.instances[to].heard.extend(heard);
    }

    fn neighbours(&self, i: usize) -> usize {
        let domain = &self.instances[i].domain;
        let others = self.instances.iter().filter(|o| o.domain == *domain);
        let up = others.filter(|o| o.down_until.is_none()).count();
        up.saturating_sub(1)
    }

    /// Sends a request to a random instance; each of its attempts fails with `failure_rate`.
    pub fn request(&mut self, failure_rate: f64, now: Millis) {
        let serves = |i: &Instance| i.down_until.is_none() && i.has_callers;
        let serving = (0..self.instances.len()).filter(|i| serves(&self.instances[*i]));
        self.requests.push(now);
        let Some(i) = serving.choose(&mut self.rng) else {
            return;
        };
        self.instances[i].budget.record_request(now, &self.cfg);
        for _ in 1..3 {
            if !self.rng.random_bool(failure_rate) || !self.retry(i, now) {
                return;
            }
        }
    }

    /// Each instance that is up retries up to `most` streams at once, since a runner of theirs ended.
    pub fn retry_streams(&mut self, most: usize, now: Millis) {
        for i in 0..self.instances.len() {
            let streams = self.rng.random_range(0..=most);
            for _ in 0..streams {
                if self.instances[i].down_until.is_none() {
                    self.retry(i, now);
                }
            }
        }
    }

    fn retry(&mut self, i: usize, now: Millis) -> bool {
        let instance = &mut self.instances[i];
        let known = instance.heard.len();
        let budget = &mut instance.budget;
        let taken = budget.take_retry(now, &self.cfg, known, RetryPriority::Committed);
        if taken {
            self.retries.push(now);
        }
        taken
    }

    /// Returns the largest excess of retries over their bound in any window, with the start of the window.
    pub fn worst_excess(&self) -> (f64, Millis) {
        let window = self.cfg.window_ms;
        let count = |times: &[Millis], from: Millis| {
            let before = |t: Millis| times.partition_point(|at| *at < t);
            (before(from + window) - before(from)) as f64
        };
        let end = self.requests.last().copied().unwrap_or(0);
        let excess = |from: Millis| {
            let starts = [
                from,
                from.saturating_sub(window / 2),
                from.saturating_sub(window),
            ];
            let requests = starts.map(|s| count(&self.requests, s));
            let most = requests.into_iter().fold(0.0, f64::max);
            let bound = self.cfg.ratio * most + self.cfg.slack;
            (count(&self.retries, from) - bound, from)
        };
        let all = (0..end).step_by(20).map(excess);
        all.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0))
    }
}
