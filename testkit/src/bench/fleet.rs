//! Made-up fleets of model runners, by seed.
//!
//! Runners are of several accelerator kinds that differ in speed and memory; each holds a range of
//! layers of one model, ranges overlap in part, and every layer has holders. The links between
//! domains differ: the pair of the first two domains is a hundred times slower than the rest.

use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{HeldRange, LinkEnds, LinkObservation, ModelSpec, RunnerReport};
use rand::{Rng, RngExt};

/// Speed and memory of an accelerator kind.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    /// Against the reference kind, in percent.
    speed_percent: u32,
    /// Layers that fit, in percent of the model's.
    layers_percent: u32,
}

const KINDS: [Kind; 8] = [
    Kind {
        name: "a100",
        speed_percent: 100,
        layers_percent: 40,
    },
    Kind {
        name: "l4",
        speed_percent: 30,
        layers_percent: 20,
    },
    Kind {
        name: "h100",
        speed_percent: 200,
        layers_percent: 50,
    },
    Kind {
        name: "t4",
        speed_percent: 20,
        layers_percent: 15,
    },
    Kind {
        name: "a10",
        speed_percent: 45,
        layers_percent: 25,
    },
    Kind {
        name: "v100",
        speed_percent: 60,
        layers_percent: 30,
    },
    Kind {
        name: "l40",
        speed_percent: 80,
        layers_percent: 40,
    },
    Kind {
        name: "mi210",
        speed_percent: 90,
        layers_percent: 45,
    },
];

/// Token-layers a second of the reference kind.
const REFERENCE_SPEED: f64 = 40_000.0;
/// Size of one token's activations, in bytes.
const ACTIVATION_BYTES: u64 = 16_384;

/// Latency in microseconds and bytes a second of the faster links between domains.
const FAST: (u64, f64) = (300, 1.25e9);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Model runners.
    pub runners: usize,
    /// Models; runners are dealt out to them in turn.
    pub models: usize,
    /// Failure domains.
    pub domains: usize,
    /// Accelerator kinds, 8 at most.
    pub kinds: usize,
    /// Layers of each model.
    pub layers: u32,
}

impl FleetSize {
    /// Today's size of one deployment.
    pub const TODAY: Self = Self {
        runners: 40,
        models: 1,
        domains: 3,
        kinds: 4,
        layers: 48,
    };
    /// The size of the target.
    pub const TARGET: Self = Self {
        runners: 1_200,
        models: 18,
        domains: 23,
        kinds: 8,
        layers: 80,
    };
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Models.
    pub models: Vec<ModelSpec>,
    /// First report of each runner.
    pub runners: Vec<RunnerReport>,
    /// Links between domains.
    pub links: Vec<LinkObservation>,
}

impl Fleet {
    /// Makes a fleet.
    pub fn generate(size: FleetSize, rng: &mut impl Rng) -> Self {
        let model = |i| ModelSpec {
            name: format!("model{i}").into(),
            layers: size.layers,
            nanos_per_layer: (1e9 / REFERENCE_SPEED) as u64,
            activation_bytes: ACTIVATION_BYTES,
        };
        let models: Vec<ModelSpec> = (0..size.models).map(model).collect();
        let mut reach = vec![0; size.models];
        let mut runners = Vec::new();
        for i in 0..size.runners {
            let kind = KINDS[rng.random_range(0..size.kinds)];
            let model = i % size.models;
            let layers = next_range(kind, size.layers, &mut reach[model], rng);
            let domain = rng.random_range(0..size.domains);
            let held = HeldRange {
                model: models[model].name.clone(),
                layers,
            };
            runners.push(runner(i, kind, domain, held));
        }
        Self {
            models,
            runners,
            links: links(size.domains),
        }
    }

    /// Makes all links between domains as the faster ones.
    pub fn even_links(&mut self) {
        for link in &mut self.links {
            if link.latency_us > FAST.0 {
                (link.latency_us, link.bytes_per_s) = FAST;
            }
        }
    }
}

/// Ranges go round the model, each from where the one before it ended, moved back by a random
/// overlap; so each layer has about as many holders as any other.
fn next_range(kind: Kind, layers: u32, reach: &mut u32, rng: &mut impl Rng) -> LayerRange {
    let count = (layers * kind.layers_percent / 100).max(1);
    let back = rng.random_range(0..=count / 3);
    let start = if *reach >= layers {
        0
    } else {
        reach.saturating_sub(back)
    };
    let end = (start + count).min(layers);
    *reach = end;
    LayerRange::new(start, end)
}

fn runner(i: usize, kind: Kind, domain: usize, held: HeldRange) -> RunnerReport {
    RunnerReport {
        name: format!("r{i:04}").into(),
        incarnation: 1,
        number: 1,
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 20_000 + i as u16)),
        domain: domain_name(domain),
        accelerator: kind.name.into(),
        holds: vec![held],
        token_layers_per_s: REFERENCE_SPEED * f64::from(kind.speed_percent) / 100.0,
        running: 0,
        queued: 0,
        leaving: false,
        age_ms: 0,
    }
}

fn domain_name(domain: usize) -> Name {
    format!("domain{domain}").into()
}

fn links(domains: usize) -> Vec<LinkObservation> {
    let mut links = Vec::new();
    for a in 0..domains {
        for b in a..domains {
            let (latency_us, bytes_per_s) = match (a, b) {
                (a, b) if a == b => (100, 1.25e9),
                (0, 1) => (3_000, 1.25e7),
                _ => FAST,
            };
            let ends = LinkEnds::Domains(domain_name(a), domain_name(b));
            links.push(LinkObservation {
                ends,
                latency_us,
                bytes_per_s,
            });
        }
    }
    links
}
