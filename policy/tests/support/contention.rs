//! A fleet whose instances decide by figures of each other that are mostly 0.3 to 1.5 s old, and chains
//! that slow down as they fill. Requests arrive at random; everything else follows from the seed.

use std::ops::Range;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection::{
    ChainCandidate, MAX_FILL, MAX_PLANNED_FILL, MAX_PLANNED_FILL_RESUMED, draw_weight,
    select_planned, select_sampled, speed_exponent,
};
use jacinthweir_policy::relay::contention::flow_meter::FlowMeter;
use jacinthweir_policy::relay::contention::{
    ChainLoad, ContentionConfig, Decision, ServiceControl,
};
use jacinthweir_policy::relay::loads::{HeadUse, Load, LoadTable};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "pool";
pub const DOMAINS: usize = 3;

/// Duration of the streams of each chain while it is full, in milliseconds.
const DURATIONS_MS: [f64; 10] = [
    1_500.0, 2_000.0, 3_500.0, 6_000.0, 1_800.0, 2_500.0, 5_000.0, 1_500.0, 3_000.0, 4_000.0,
];
pub const CHAINS: usize = DURATIONS_MS.len();

/// Returns the failure domain of a chain; those of a domain are listed from fast to slow.
pub fn domain_of(chain: usize) -> usize {
    chain * DOMAINS / CHAINS
}

/// Room of a chain and size of a request, in tokens.
const ROOM: f64 = 107_000.0;
const TOKENS: f64 = 970.0;

/// Events of a stream, and the smallest gap objective in milliseconds.
const EVENTS: f64 = 46.0;
const MAX_GAP_MS: Millis = 300;

/// Interval at which an instance exchanges loads, in milliseconds, and with how many random others.
const ROUND_MS: Millis = 300;
const FANOUT: usize = 2;
const STEP_MS: Millis = 10;

/// Callers of one priority and organisation at the instances `at`, with a rate per second.
pub struct Callers {
    pub priority: u32,
    pub organisation: Name,
    pub at: Range<usize>,
    pub rate: Box<dyn Fn(Millis) -> f64>,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests that arrived and that were admitted, by callers. Those that return count again.
    pub requests: Vec<(u32, u32)>,
    pub returned: u32,
    pub refused_twice: u32,
    /// Requests sent to each chain, and to chains in the failure domain of the instance.
    pub taken: [u32; CHAINS],
    pub taken_near: u32,
    /// Lowest and highest fill of each chain.
    pub fill: [Option<(f64, f64)>; CHAINS],
    /// Delays of refused callers, in milliseconds.
    pub delays: Vec<Millis>,
}

impl Counts {
    /// Returns the share of all requests that were admitted.
    pub fn all(&self) -> f64 {
        self.share(0..self.requests.len())
    }

    /// Returns the share of the requests of some callers that were admitted.
    pub fn share(&self, callers: Range<usize>) -> f64 {
        let sum =
            |get: fn(&(u32, u32)) -> u32| self.requests[callers.clone()].iter().map(get).sum();
        let (arrived, admitted): (u32, u32) = (sum(|r| r.0), sum(|r| r.1));
        f64::from(admitted) / f64::from(arrived.max(1))
    }
}

struct Instance {
    domain: usize,
    loads: LoadTable,
    meter: FlowMeter,
    control: ServiceControl,
    used: [f64; CHAINS],
}

impl Instance {
    fn new(i: usize, domain: usize) -> Instance {
        Instance {
            domain,
            loads: LoadTable::new(format!("front-{i:03}").into(), domain_name(domain)),
            meter: FlowMeter::default(),
            control: ServiceControl::default(),
            used: [0.0; CHAINS],
        }
    }
}

struct Stream {
    ends: Millis,
    chain: usize,
    instance: usize,
    gap_ms: Millis,
}

pub struct Fleet {
    /// Whether contention control applies; otherwise chains are selected by free room.
    pub controlled: bool,
    /// Whether refused callers return once.
    pub callers_return: bool,
    /// Difference between the lowest and the highest room that instances assume, as a share of it.
    pub disagreement: f64,
    /// What happened in the last run.
    pub counts: Counts,
    rng: ChaCha8Rng,
    now: Millis,
    lost_domain: Option<usize>,
    used: [f64; CHAINS],
    callers: Vec<Callers>,
    instances: Vec<Instance>,
    streams: Vec<Stream>,
    /// Time of return, callers and instance.
    returning: Vec<(Millis, usize, usize)>,
}

fn domain_name(domain: usize) -> Name {
    format!("domain-{domain}").into()
}

fn head(chain: usize) -> Name {
    format!("i-{chain:08x}").into()
}

/// Returns the mean duration of a stream at a fill, in milliseconds.
fn duration_ms(chain: usize, fill: f64) -> f64 {
    DURATIONS_MS[chain] * (0.5 + 0.5 * fill)
}

/// Returns the requests per second that the chains of `domains` serve at the target fill.
pub fn supply(domains: Range<usize>) -> f64 {
    let fill = ContentionConfig::default().target_fill;
    let chains = (0..CHAINS).filter(|c| domains.contains(&domain_of(*c)));
    chains
        .map(|c| fill * ROOM / TOKENS / duration_ms(c, fill) * 1e3)
        .sum()
}

impl Fleet {
    pub fn new(seed: u64, instances: usize, callers: Vec<Callers>) -> Fleet {
        Fleet {
            controlled: true,
            callers_return: false,
            disagreement: 0.0,
            counts: Counts::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            lost_domain: None,
            used: [0.0; CHAINS],
            callers,
            instances: (0..instances)
                .map(|i| Instance::new(i, i * DOMAINS / instances))
                .collect(),
            streams: Vec::new(),
            returning: Vec::new(),
        }
    }

    /// Simulates `ms` milliseconds, and counts anew.
    pub fn run(&mut self, ms: Millis) {
        self.counts = Counts {
            requests: vec![(0, 0); self.callers.len()],
            ..Counts::default()
        };
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.end_streams();
            self.exchange();
            self.arrivals();
            for (fill, used) in self.counts.fill.iter_mut().zip(&self.used) {
                let now = used / ROOM;
                let (least, most) = fill.unwrap_or((now, now));
                *fill = Some((now.min(least), now.max(most)));
            }
        }
    }

    /// Restarts every second instance with empty state; its streams end.
    pub fn restart_half(&mut self) {
        for i in (0..self.instances.len()).step_by(2) {
            self.instances[i] = Instance::new(i, self.instances[i].domain);
        }
        for s in self.streams.extract_if(.., |s| s.instance % 2 == 0) {
            self.used[s.chain] -= TOKENS;
        }
    }

    /// Loses the chains of a failure domain; their streams continue elsewhere.
    pub fn lose(&mut self, domain: usize) {
        self.lost_domain = Some(domain);
        let broken = |s: &mut Stream| domain_of(s.chain) == domain;
        let broken: Vec<Stream> = self.streams.extract_if(.., broken).collect();
        for s in broken {
            self.used[s.chain] -= TOKENS;
            let instance = &mut self.instances[s.instance];
            instance.used[s.chain] -= TOKENS;
            if let Some(chain) = self.choose(s.instance, MAX_PLANNED_FILL_RESUMED) {
                self.send(s.instance, chain);
            }
        }
    }

    fn end_streams(&mut self) {
        let now = self.now;
        for s in self.streams.extract_if(.., |s| s.ends <= now) {
            self.used[s.chain] -= TOKENS;
            let instance = &mut self.instances[s.instance];
            instance.used[s.chain] -= TOKENS;
            let (meter, head) = (&mut instance.meter, head(s.chain));
            meter.record_released(now, &head, TOKENS);
            (0..EVENTS as u32).for_each(|_| meter.record_event(now, &head, s.gap_ms));
        }
    }

    /// Lets the instances that are due exchange loads with random other ones.
    fn exchange(&mut self) {
        let (now, count) = (self.now, self.instances.len());
        let due = |i: &usize| (now + *i as Millis * 70).is_multiple_of(ROUND_MS);
        for i in (0..count).filter(due) {
            for _ in 0..FANOUT {
                let peer = (i + self.rng.random_range(1..count)) % count;
                self.write(i);
                self.write(peer);
                self.deliver(i, peer);
                self.deliver(peer, i);
            }
        }
    }

    fn write(&mut self, i: usize) {
        let (now, instance) = (self.now, &mut self.instances[i]);
        let head_use = |chain: usize| HeadUse {
            service: SERVICE.into(),
            head: head(chain),
            tokens: instance.used[chain] as u32,
        };
        let load = Load {
            written_ms: now,
            hears_store: true,
            serves: true,
            used: (0..CHAINS).map(head_use).collect(),
            flows: vec![instance.meter.flow(&SERVICE.into(), now)],
            ..Load::default()
        };
        instance.loads.set_own(load, now);
    }

    /// Sends what `to` lacks from `from`.
    fn deliver(&mut self, from: usize, to: usize) {
        let (sender, receiver) = (&self.instances[from], &self.instances[to]);
        let near = sender.domain == receiver.domain;
        let digest = receiver.loads.digest(near, self.now);
        let neighbours = self.neighbours(from);
        let update = sender.loads.update_for(&digest, near, neighbours, self.now);
        let domain = domain_name(sender.domain);
        self.instances[to].loads.apply(&domain, update, self.now);
    }

    fn neighbours(&self, i: usize) -> usize {
        let domain = self.instances[i].domain;
        let members = self.instances.iter().filter(|s| s.domain == domain);
        members.count() - 1
    }

    fn arrivals(&mut self) {
        let now = self.now;
        let due = self.returning.extract_if(.., |(at, ..)| *at <= now);
        for (_, caller, instance) in due.collect::<Vec<_>>() {
            self.request(caller, instance, true);
        }
        for caller in 0..self.callers.len() {
            // Exponential gaps between arrivals; their number in a step has a Poisson distribution.
            let mut left = (self.callers[caller].rate)(now) * STEP_MS as f64 / 1e3;
            loop {
                left += (1.0 - self.rng.random::<f64>()).ln();
                if left < 0.0 {
                    break;
                }
                let instance = self.rng.random_range(self.callers[caller].at.clone());
                self.request(caller, instance, false);
            }
        }
    }

    fn request(&mut self, caller: usize, i: usize, returned: bool) {
        let (priority, now) = (self.callers[caller].priority, self.now);
        let organisation = self.callers[caller].organisation.clone();
        self.counts.requests[caller].0 += 1;
        self.counts.returned += u32::from(returned);
        let meter = &mut self.instances[i].meter;
        meter.record_arrival(now, priority, Some(&organisation), TOKENS);
        self.refresh(i);
        let (draw, control) = (self.rng.random(), &self.instances[i].control);
        let decision = control.decide(priority, Some(&organisation), returned, draw);
        let admitted = !self.controlled || decision == Decision::Admitted;
        if let Some(chain) = admitted.then(|| self.choose(i, MAX_PLANNED_FILL)).flatten() {
            self.counts.requests[caller].1 += 1;
            self.send(i, chain);
            return;
        }
        self.counts.refused_twice += u32::from(returned);
        let (draw, live) = (self.rng.random(), self.instances.len());
        let control = &mut self.instances[i].control;
        let delay = control.refused(now, TOKENS, priority, live, draw);
        if let Some(delay) = delay.filter(|_| self.callers_return && !returned) {
            self.counts.delays.push(delay);
            self.returning.push((now + delay, caller, i));
        }
    }

    fn send(&mut self, i: usize, chain: usize) {
        self.counts.taken[chain] += 1;
        self.counts.taken_near += u32::from(domain_of(chain) == self.instances[i].domain);
        self.used[chain] += TOKENS;
        self.instances[i].used[chain] += TOKENS;
        let takes_ms =
            duration_ms(chain, self.used[chain] / ROOM) * self.rng.random_range(0.7..1.3);
        self.streams.push(Stream {
            ends: self.now + takes_ms as Millis,
            chain,
            instance: i,
            gap_ms: (takes_ms / EVENTS) as Millis,
        });
    }

    fn candidates(&self, i: usize) -> Vec<ChainCandidate> {
        let instance = &self.instances[i];
        let known = instance.loads.used_tokens_by_head(SERVICE);
        let place = (i * 7 % self.instances.len()) as f64 / self.instances.len() as f64;
        let candidate = |chain: usize| {
            let others = known.get(&head(chain)).copied().unwrap_or(0.0);
            let used_tokens = others + instance.used[chain];
            let gap_ms = duration_ms(chain, used_tokens / ROOM) / EVENTS;
            ChainCandidate {
                chain,
                near: domain_of(chain) == instance.domain,
                room_tokens: ROOM * (1.0 + self.disagreement * (place - 0.5)),
                used_tokens,
                silent_ms: 0,
                backing_off: false,
                gap_share: gap_ms / MAX_GAP_MS as f64,
                event_ms: gap_ms,
            }
        };
        let kept = |c: &usize| Some(domain_of(*c)) != self.lost_domain;
        (0..CHAINS).filter(kept).map(candidate).collect()
    }

    fn choose(&mut self, i: usize, fill: f64) -> Option<usize> {
        self.refresh(i);
        let candidates = self.candidates(i);
        let control = &self.instances[i].control;
        let weights = candidates.iter().map(|c| control.weight(&head(c.chain)));
        match weights.collect::<Option<Vec<f64>>>() {
            Some(weights) => {
                let control = &mut self.instances[i].control;
                let draw = control.choice_draw(self.rng.random());
                select_planned(&candidates, &weights, TOKENS, fill, draw)
            }
            None => {
                let (rng, deciders) = (&mut self.rng, self.instances.len());
                select_sampled(&candidates, TOKENS, MAX_FILL, deciders, || rng.random())
            }
        }
    }

    /// Computes plan and shares of an instance again if they are due.
    fn refresh(&mut self, i: usize) {
        if !self.controlled || !self.instances[i].control.is_due(self.now) {
            return;
        }
        let candidates = self.candidates(i);
        let exponent = speed_exponent(&candidates);
        let weight = |c: &ChainCandidate, near: bool| {
            draw_weight(&ChainCandidate { near, ..*c }, exponent, 0.0)
        };
        let chains = candidates.iter().map(|c| ChainLoad {
            head: head(c.chain),
            domain: Some(domain_name(domain_of(c.chain))),
            room_tokens: c.room_tokens,
            used_tokens: c.used_tokens,
            weights: (weight(c, true), weight(c, false)),
        });
        let neighbours = self.neighbours(i);
        let (now, instance) = (self.now, &mut self.instances[i]);
        let own = instance.meter.flow(&SERVICE.into(), now);
        let fleet = instance.loads.fleet_flow(own, neighbours, now);
        let (cfg, chains) = (ContentionConfig::default(), chains.collect());
        let control = &mut instance.control;
        control.compute(now, &cfg, chains, &fleet, MAX_GAP_MS);
    }
}
