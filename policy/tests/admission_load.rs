//! Load simulation of admission control in virtual time: a pipeline whose engines share a fixed
//! token rate among the requests in flight, organisations with seeded random arrivals, and callers
//! with deadlines.

use cranelift_entity::EntityRef;
use googletest::prelude::*;
use jacinthweir_policy::admission::*;
use jacinthweir_policy::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;

/// Throughput of the whole pipeline.
const TOKENS_PER_S: f64 = 2_000.0;
/// Maximum throughput of one request; 40 requests saturate the engines.
const REQUEST_TOKENS_PER_S: f64 = 50.0;
const IN_FLIGHT: u32 = 40;
/// Tokens of an answer, uniformly distributed: the longest takes 2 s without contention.
const TOKENS: std::ops::RangeInclusive<u32> = 20..=100;
const MEAN_TOKENS: f64 = 60.0;
const DEADLINE_MS: u64 = 4_000;
const RUN_MS: u64 = 60_000;
/// Time before which nothing is counted.
const WARM_UP_MS: u64 = 10_000;

/// Whether admission control is used.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Control {
    Admission,
    /// Every request starts at once.
    None,
}

struct Request {
    org: usize,
    tokens: f64,
    left: f64,
    arrived: Millis,
    started: Millis,
    deadline: Millis,
}

struct Sim {
    control: Control,
    admission: Admission,
    rng: ChaCha8Rng,
    /// Offered load of each organisation, in tokens per second.
    offered: Vec<f64>,
    next_arrival: Vec<f64>,
    next_slot: u64,
    waiting: BTreeMap<Slot, Request>,
    running: BTreeMap<Slot, Request>,
    good_tokens: f64,
    refused: u64,
    cut: u64,
    /// Times from arrival to start of each organisation's requests, in milliseconds.
    waits: Vec<Vec<Millis>>,
}

impl Sim {
    fn new(control: Control, offered: &[f64], seed: u64) -> Self {
        let mut admission = Admission::new(AdmissionConfig::default());
        admission.set_capacity(0, PipelineId::new(0), TOKENS_PER_S, IN_FLIGHT);
        Self {
            control,
            admission,
            rng: ChaCha8Rng::seed_from_u64(seed),
            offered: offered.to_vec(),
            next_arrival: vec![0.0; offered.len()],
            next_slot: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            good_tokens: 0.0,
            refused: 0,
            cut: 0,
            waits: vec![Vec::new(); offered.len()],
        }
    }

    fn run(mut self) -> Self {
        for now in 0..RUN_MS {
            self.arrivals(now);
            self.generate(now);
            self.poll(now);
        }
        self
    }

    /// Returns the share of the pipeline's throughput spent on answers within the deadline.
    fn goodput(&self) -> f64 {
        let seconds = (RUN_MS - WARM_UP_MS) as f64 / 1_000.0;
        self.good_tokens / seconds / TOKENS_PER_S
    }

    fn p95_wait(&self, orgs: Range<usize>) -> Millis {
        let mut waits = self.waits[orgs].concat();
        waits.sort_unstable();
        waits.get(waits.len() * 95 / 100).copied().unwrap_or(0)
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn arrivals(&mut self, now: Millis) {
        for org in 0..self.offered.len() {
            while self.offered[org] > 0.0 && self.next_arrival[org] <= now as f64 {
                let gap_ms = MEAN_TOKENS * 1_000.0 / self.offered[org];
                self.next_arrival[org] += self.exponential(gap_ms);
                self.arrive(now, org);
            }
        }
    }

    fn arrive(&mut self, now: Millis, org: usize) {
        let tokens = f64::from(self.rng.random_range(TOKENS));
        let deadline = now + DEADLINE_MS;
        let request = Request {
            org,
            tokens,
            left: tokens,
            arrived: now,
            started: now,
            deadline,
        };
        let slot = Slot(self.next_slot);
        self.next_slot += 1;
        let ticket = Ticket {
            slot,
            org: OrgId::new(org),
            weight: 1,
            pipeline: PipelineId::new(0),
            priority: 3,
            cost_tokens: 4_096,
            deadline,
            work: Work::New,
        };
        let decision = match self.control {
            Control::Admission => self.admission.offer(now, ticket, &mut self.rng),
            Control::None => Decision::Admit,
        };
        match decision {
            Decision::Admit => self.start(now, slot, request),
            Decision::Queue => drop(self.waiting.insert(slot, request)),
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    fn start(&mut self, now: Millis, slot: Slot, mut request: Request) {
        request.started = now;
        if now >= WARM_UP_MS {
            self.waits[request.org].push(now - request.arrived);
        }
        self.running.insert(slot, request);
    }

    fn generate(&mut self, now: Millis) {
        let share = TOKENS_PER_S / self.running.len().max(1) as f64;
        let tokens = share.min(REQUEST_TOKENS_PER_S) / 1_000.0;
        let mut over = Vec::new();
        for (slot, request) in &mut self.running {
            request.left -= tokens;
            if request.left <= 0.0 || now >= request.deadline {
                over.push(*slot);
            }
        }
        for slot in over {
            let request = self.running.remove(&slot).unwrap();
            self.end(now, slot, &request);
        }
    }

    fn end(&mut self, now: Millis, slot: Slot, request: &Request) {
        let answered = request.left <= 0.0;
        if answered && now >= WARM_UP_MS {
            self.good_tokens += request.tokens;
        }
        self.cut += u64::from(!answered);
        let measurement = Measurement {
            latency_ms: now - request.started,
            tokens: if answered { request.tokens as u32 } else { 0 },
        };
        self.admission.release(now, slot, measurement);
    }

    fn poll(&mut self, now: Millis) {
        for action in self.admission.poll(now, &mut self.rng) {
            match action {
                Action::Admit(slot) => {
                    let request = self.waiting.remove(&slot).unwrap();
                    self.start(now, slot, request);
                }
                Action::Refuse { slot, .. } => {
                    self.waiting.remove(&slot).unwrap();
                    self.refused += 1;
                }
            }
        }
    }
}

/// Ten organisations with equal load that together offer `load` times the bound.
fn even(load: f64) -> Vec<f64> {
    vec![load * TOKENS_PER_S / 10.0; 10]
}

/// Under overload, requests are refused at once or answered in time, so that the goodput at twice
/// the bound is no lower than near saturation. Without admission control all requests share the
/// engines, miss their deadlines, and the goodput collapses.
#[gtest]
fn goodput_does_not_collapse_under_overload() {
    for seed in 1..=3 {
        let goodput = |control, load: f64| {
            let sim = Sim::new(control, &even(load), seed).run();
            let (good, refused, cut) = (sim.goodput(), sim.refused, sim.cut);
            println!("seed {seed}, load {load}: goodput {good:.3}, refused {refused}, cut {cut}");
            good
        };
        let controlled = [0.5, 0.9, 1.2, 2.0].map(|load| goodput(Control::Admission, load));
        expect_that!(controlled[0], near(0.5, 0.05));
        expect_that!(controlled[1], near(0.88, 0.07));
        expect_that!(controlled[2], ge(0.95 * controlled[1]));
        expect_that!(controlled[3], ge(0.95 * controlled[2]));
        expect_that!(goodput(Control::None, 2.0), lt(0.8 * controlled[3]));
    }
}

/// One organisation floods with three times the bound. The others, which together offer a quarter
/// of it, wait no longer than without the flood, plus the time until one request ends.
#[gtest]
fn a_flood_of_one_organisation_does_not_delay_the_others() {
    let small = TOKENS_PER_S / 4.0 / 9.0;
    for seed in 1..=3 {
        let with = |flood: f64| {
            let mut offered = vec![small; 10];
            offered[0] = flood * TOKENS_PER_S;
            Sim::new(Control::Admission, &offered, seed).run()
        };
        let (baseline, flooded) = (with(0.0), with(3.0));
        let (before, after) = (baseline.p95_wait(1..10), flooded.p95_wait(1..10));
        println!(
            "seed {seed}: p95 wait {before} ms, with the flood {after} ms; the flood's own {} ms",
            flooded.p95_wait(0..1)
        );
        // A request ends every 30 ms: the time of one request divided by the number in flight.
        expect_that!(after, le(before + 50));
        expect_that!(flooded.goodput(), ge(0.9));
    }
}
