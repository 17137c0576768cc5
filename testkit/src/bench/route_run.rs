//! Discrete-event model of one run of a route policy against queues.
//!
//! Each runner serves its queue sequentially, at its speed in token-layers per second; each link
//! between two domains is a queue of the same kind. A request is prefilled through its
//! route and then generates its tokens sequentially, each through the whole route. Runners report
//! their number of requests periodically, and the reports are delayed. Requests arrive in an open
//! loop at a fraction of the throughput bound; each instance refuses requests beyond its share of a
//! fixed limit of requests in flight, so that delays stay finite above the bound.

use super::baseline::{self, RoutePolicy};
use super::fleet::Fleet;
use hdrhistogram::Histogram;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{Route, RouteRequest, Router, RouterConfig, RunnerReport};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Cost of a prompt token relative to a generated one.
pub const PREFILL_WEIGHT: f64 = 0.1;
const NANOS_PER_S: f64 = 1e9;
const NANOS_PER_MS: u64 = 1_000_000;

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    /// Route policy.
    pub policy: RoutePolicy,
    /// Number of entry instances.
    pub instances: usize,
    /// Offered load as a fraction of the throughput bound.
    pub load: f64,
    /// Seed of arrivals, request sizes and choices.
    pub seed: u64,
    /// Simulated time, in milliseconds.
    pub run_ms: u64,
    /// Warm-up at the start that is not measured, in milliseconds.
    pub warmup_ms: u64,
    /// Interval of load reports, in milliseconds.
    pub report_every_ms: u64,
    /// Maximum delay of a report, in milliseconds; the minimum is a quarter of it.
    pub report_delay_ms: u64,
    /// Limit of requests in flight over all instances, expressed as the inter-token gap at which
    /// that many requests reach the bound, in milliseconds.
    pub window_ms: f64,
    /// Fraction of the runners that work at half the speed that they report.
    pub slowed: f64,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Work done as a fraction of the bound.
    pub throughput: f64,
    /// Work actually offered as a fraction of the bound.
    pub offered: f64,
    /// Fraction of the offered requests that were refused.
    pub refused: f64,
    /// Time-to-first-token, in microseconds.
    pub first_us: Histogram<u64>,
    /// Inter-token gap, in microseconds.
    pub inter_token_us: Histogram<u64>,
    /// Number of simulated events.
    pub events: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A server finished the work at the head of its queue.
    Served(u32),
    /// A request arrives at the next server of its path.
    Enqueue(u32),
    /// All runners sample their load.
    SampleLoad,
    /// A load report reaches an instance.
    Report {
        instance: u32,
        runner: u32,
        requests: u32,
        taken_ms: u64,
    },
}

struct Server {
    /// Requests waiting for or in service here.
    queue: VecDeque<u32>,
}

/// Request in flight.
struct InFlight {
    instance: u32,
    route: Route,
    /// Servers of the path, runners and links alternating, with the service time per token, in ns.
    path: Vec<(u32, f64)>,
    /// Latency before each server, in ns.
    delay: Vec<u64>,
    position: usize,
    /// Tokens still to generate, after the prefill.
    tokens_left: u32,
    /// Cost of the current pass, in token equivalents.
    pass: f64,
    arrived: u64,
    last_token: u64,
    prefilled: bool,
}

/// State of a run.
struct Run<'a> {
    cfg: RunConfig,
    fleet: &'a Fleet,
    now: u64,
    seq: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    servers: Vec<Server>,
    flights: Vec<Option<InFlight>>,
    free_slots: Vec<u32>,
    routers: Vec<Router>,
    turns: Vec<usize>,
    in_flight: Vec<usize>,
    limit: usize,
    runner_requests: Vec<u32>,
    rng: ChaCha8Rng,
    interarrival_ns: f64,
    bound: f64,
    work: f64,
    offered_work: f64,
    offered: u64,
    refused: u64,
    out: RunResult,
}

/// Mean prompt length, in tokens; lengths are uniform from 16 to 240.
const MEAN_PROMPT: f64 = 128.0;
/// Mean number of generated tokens.
const MEAN_TOKENS: f64 = 64.0;

/// Simulates requests for the fleet's first model.
pub fn run(fleet: &Fleet, cfg: RunConfig) -> RunResult {
    let mut run = Run::new(fleet, cfg);
    run.schedule(0, Event::Arrive);
    run.schedule(cfg.report_every_ms * NANOS_PER_MS, Event::SampleLoad);
    let end = cfg.run_ms * NANOS_PER_MS;
    while let Some(Reverse((at, _, event))) = run.heap.pop() {
        if at >= end {
            break;
        }
        run.now = at;
        run.out.events += 1;
        run.step(event);
    }
    let measured_s = (cfg.run_ms - cfg.warmup_ms) as f64 / 1e3;
    run.out.throughput = run.work / measured_s / run.bound;
    run.out.offered = run.offered_work / measured_s / run.bound;
    run.out.refused = run.refused as f64 / run.offered.max(1) as f64;
    run.out
}

/// Returns a router that has observed the fleet and computed its plans.
pub fn router(fleet: &Fleet, cfg: RouterConfig) -> Router {
    let mut router = Router::new(cfg);
    router.set_models(&fleet.models);
    for seen in &fleet.runners {
        router.observe(0, seen);
    }
    for seen in &fleet.links {
        router.observe_link(0, seen);
    }
    while router.is_dirty() {
        router.replan(0);
    }
    router
}

impl<'a> Run<'a> {
    fn new(fleet: &'a Fleet, cfg: RunConfig) -> Self {
        let mut config = RouterConfig {
            instances: cfg.instances as u32,
            ..Default::default()
        };
        match cfg.policy {
            RoutePolicy::Flow(draws) => config.draws = draws,
            RoutePolicy::FlowUnscaled(draws) => {
                config.draws = draws;
                config.instances = 1;
            }
            _ => {}
        }
        let first = router(fleet, config);
        let bound = first.bound(ModelId::from_u32(0));
        let work = MEAN_PROMPT * PREFILL_WEIGHT + MEAN_TOKENS;
        let domains = first.fleet().domains.len();
        let servers = fleet.runners.len() + domains * domains;
        let histogram = || Histogram::new_with_max(60_000_000, 3).expect("valid bounds");
        Self {
            cfg,
            fleet,
            now: 0,
            seq: 0,
            heap: BinaryHeap::new(),
            servers: (0..servers)
                .map(|_| Server {
                    queue: VecDeque::new(),
                })
                .collect(),
            flights: Vec::new(),
            free_slots: Vec::new(),
            routers: vec![first; cfg.instances],
            turns: vec![0; cfg.instances],
            in_flight: vec![0; cfg.instances],
            limit: (bound * cfg.window_ms / 1e3 / cfg.instances as f64).ceil() as usize,
            runner_requests: vec![0; fleet.runners.len()],
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            interarrival_ns: work / (bound * cfg.load) * NANOS_PER_S,
            bound,
            work: 0.0,
            offered_work: 0.0,
            offered: 0,
            refused: 0,
            out: RunResult {
                throughput: 0.0,
                offered: 0.0,
                refused: 0.0,
                first_us: histogram(),
                inter_token_us: histogram(),
                events: 0,
            },
        }
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.seq += 1;
        self.heap.push(Reverse((self.now + after, self.seq, event)));
    }

    fn now_ms(&self) -> Millis {
        self.now / NANOS_PER_MS
    }

    fn measured(&self) -> bool {
        self.now >= self.cfg.warmup_ms * NANOS_PER_MS
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Served(server) => self.served(server),
            Event::Enqueue(flight) => self.enqueue(flight),
            Event::SampleLoad => self.sample_load(),
            Event::Report {
                instance,
                runner,
                requests,
                taken_ms,
            } => {
                self.report(instance as usize, runner as usize, requests, taken_ms);
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrive(&mut self) {
        let gap = self.exponential(self.interarrival_ns) as u64;
        self.schedule(gap, Event::Arrive);
        let instance = self.rng.random_range(0..self.cfg.instances);
        let prompt = f64::from(self.rng.random_range(16..=240_u32));
        let tokens = self.exponential(MEAN_TOKENS).ceil() as u32;
        if self.measured() {
            self.offered += 1;
            self.offered_work += prompt * PREFILL_WEIGHT + f64::from(tokens);
        }
        if self.in_flight[instance] >= self.limit {
            self.refused += u64::from(self.measured());
            return;
        }
        let route = self.choose_route(instance, prompt as u32, tokens);
        let now_ms = self.now_ms();
        self.routers[instance].record_sent(now_ms, &route);
        self.in_flight[instance] += 1;
        self.start(instance, route, prompt, tokens);
    }

    fn choose_route(&mut self, instance: usize, prompt_tokens: u32, max_tokens: u32) -> Route {
        let model = ModelId::from_u32(0);
        let router = &self.routers[instance];
        if let RoutePolicy::Flow(_) | RoutePolicy::FlowUnscaled(_) = self.cfg.policy {
            let pick = RouteRequest {
                model,
                prefix_hash: None,
                prompt_tokens,
                max_tokens,
                avoid: &[],
            };
            let route = router.pick(self.now / NANOS_PER_MS, &pick, &mut self.rng);
            return route.expect("the fleet covers the model");
        }
        let turn = &mut self.turns[instance];
        baseline::baseline_route(self.cfg.policy, router.fleet(), model, turn, &mut self.rng)
    }

    fn start(&mut self, instance: usize, route: Route, prompt: f64, tokens: u32) {
        let (path, delay) = self.path(&route);
        for stage in &route.stages {
            self.runner_requests[stage.runner.as_u32() as usize] += 1;
        }
        let flight = InFlight {
            instance: instance as u32,
            route,
            path,
            delay,
            position: 0,
            tokens_left: tokens,
            pass: prompt * PREFILL_WEIGHT,
            arrived: self.now,
            last_token: 0,
            prefilled: false,
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.flights[slot as usize] = Some(flight);
                slot
            }
            None => {
                self.flights.push(Some(flight));
                (self.flights.len() - 1) as u32
            }
        };
        self.schedule(0, Event::Enqueue(slot));
    }

    /// Returns the servers on a route's path, and the latency before each.
    fn path(&self, route: &Route) -> (Vec<(u32, f64)>, Vec<u64>) {
        let router = &self.routers[0];
        let fleet = router.fleet();
        let bytes = fleet.models[route.model].activation_bytes;
        let (mut path, mut delay) = (Vec::new(), Vec::new());
        let mut latency = 0;
        for (i, stage) in route.stages.iter().enumerate() {
            let runner = &fleet.runners[stage.runner];
            if i > 0 {
                let before = &fleet.runners[route.stages[i - 1].runner];
                let link = router.link(before.domain, runner.domain);
                latency = (link.latency_us * 1e3) as u64;
                if before.domain != runner.domain {
                    let (a, b) = (before.domain.as_u32(), runner.domain.as_u32());
                    let pair = a.min(b) * fleet.domains.len() as u32 + a.max(b);
                    let token_ns = bytes as f64 / link.bytes_per_s * NANOS_PER_S;
                    path.push((self.fleet.runners.len() as u32 + pair, token_ns));
                    delay.push(0);
                }
            }
            let token_ns = f64::from(stage.layers.count()) / runner.speed * NANOS_PER_S;
            path.push((stage.runner.as_u32(), token_ns));
            delay.push(latency);
        }
        (path, delay)
    }

    /// Enqueues a request at its current server.
    fn enqueue(&mut self, slot: u32) {
        let flight = self.flights[slot as usize].as_ref().expect("in flight");
        let (server, _) = flight.path[flight.position];
        let queue = &mut self.servers[server as usize].queue;
        queue.push_back(slot);
        if queue.len() == 1 {
            self.serve(server);
        }
    }

    /// Starts service of the request at the head of a server's queue.
    fn serve(&mut self, server: u32) {
        let slot = self.servers[server as usize].queue[0];
        let flight = self.flights[slot as usize].as_ref().expect("in flight");
        let (_, mut token_ns) = flight.path[flight.position];
        if (f64::from(server) / self.fleet.runners.len() as f64) < self.cfg.slowed {
            token_ns *= 2.0;
        }
        let time = (token_ns * flight.pass) as u64;
        self.schedule(time, Event::Served(server));
    }

    fn served(&mut self, server: u32) {
        let queue = &mut self.servers[server as usize].queue;
        let slot = queue.pop_front().expect("was serving");
        if !queue.is_empty() {
            self.serve(server);
        }
        let flight = self.flights[slot as usize].as_mut().expect("in flight");
        flight.position += 1;
        if flight.position < flight.path.len() {
            let delay = flight.delay[flight.position];
            self.schedule(delay, Event::Enqueue(slot));
        } else {
            self.complete_pass(slot);
        }
    }

    /// Completes a pass through the whole route: the prefill, or one token.
    fn complete_pass(&mut self, slot: u32) {
        let (now, measured) = (self.now, self.measured());
        let flight = self.flights[slot as usize].as_mut().expect("in flight");
        if measured {
            self.work += flight.pass;
        }
        flight.position = 0;
        flight.pass = 1.0;
        if !flight.prefilled {
            flight.prefilled = true;
            self.schedule(0, Event::Enqueue(slot));
            return;
        }
        let (since, histogram) = match flight.last_token {
            0 => (flight.arrived, &mut self.out.first_us),
            last => (last, &mut self.out.inter_token_us),
        };
        if measured {
            histogram.saturating_record((now - since) / 1_000);
        }
        flight.last_token = now;
        flight.tokens_left = flight.tokens_left.saturating_sub(1);
        if flight.tokens_left > 0 {
            self.schedule(0, Event::Enqueue(slot));
        } else {
            self.finish(slot);
        }
    }

    fn finish(&mut self, slot: u32) {
        let flight = self.flights[slot as usize].take().expect("in flight");
        self.free_slots.push(slot);
        for stage in &flight.route.stages {
            self.runner_requests[stage.runner.as_u32() as usize] -= 1;
        }
        let instance = flight.instance as usize;
        self.in_flight[instance] -= 1;
        let now_ms = self.now_ms();
        self.routers[instance].record_finished(now_ms, &flight.route);
    }

    /// Samples the load of each runner and sends it to each instance.
    fn sample_load(&mut self) {
        self.schedule(self.cfg.report_every_ms * NANOS_PER_MS, Event::SampleLoad);
        let max_delay = self.cfg.report_delay_ms;
        let taken_ms = self.now_ms();
        for runner in 0..self.runner_requests.len() as u32 {
            let requests = self.runner_requests[runner as usize];
            for instance in 0..self.cfg.instances as u32 {
                let delay = self.rng.random_range(max_delay / 4..=max_delay);
                let report = Event::Report {
                    instance,
                    runner,
                    requests,
                    taken_ms,
                };
                self.schedule(delay * NANOS_PER_MS, report);
            }
        }
    }

    fn report(&mut self, instance: usize, runner: usize, requests: u32, taken_ms: u64) {
        let now_ms = self.now_ms();
        let seen = RunnerReport {
            number: 1 + taken_ms / self.cfg.report_every_ms,
            running: requests,
            age_ms: now_ms - taken_ms,
            ..self.fleet.runners[runner].clone()
        };
        self.routers[instance].observe(now_ms, &seen);
    }
}
