//! Synthetic fleets of model runners, generated from a seed.
//!
//! Runners have several accelerator kinds that differ in speed and memory; each holds a range of
//! layers of one model, ranges overlap partially, and every layer has holders. The links between
//! domains differ: the first two domains are linked with a hundredth of the bandwidth and ten times
//! the latency of the others.

use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::route::{HeldRange, LinkEnds, LinkObservation, ModelSpec, RunnerReport};
use rand::{Rng, RngExt};

/// Speed and memory of an accelerator kind.
#[derive(Clone, Copy, Debug)]
struct Kind {
    name: &'static str,
    /// Speed relative to the reference kind, in percent.
    speed_percent: u32,
    /// Layers that fit in memory, in percent of the model's layers.
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

/// Throughput of the reference kind, in token-layers per second.
const REFERENCE_SPEED: f64 = 40_000.0;
/// Size of one token's activations, in bytes.
const ACTIVATION_BYTES: u64 = 16_384;

/// Latency in microseconds and bandwidth in bytes per second of a fast link between domains.
const FAST_LINK: (u64, f64) = (300, 1.25e9);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of model runners.
    pub runners: usize,
    /// Number of models; runners are assigned to them in rotation.
    pub models: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of accelerator kinds, at most 8.
    pub kinds: usize,
    /// Number of layers of each model.
    pub layers: u32,
}

impl FleetSize {
    /// Current size of one deployment.
    pub const CURRENT: Self = Self {
        runners: 40,
        models: 1,
        domains: 3,
        kinds: 4,
        layers: 48,
    };
    /// Target size.
    pub const TARGET: Self = Self {
        runners: 1_200,
        models: 18,
        domains: 23,
        kinds: 8,
        layers: 80,
    };
}

/// Synthetic fleet.
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
    /// Generates a fleet.
    pub fn generate(size: FleetSize, rng: &mut impl Rng) -> Self {
        let model = |i| ModelSpec {
            name: format!("model{i}").into(),
            layers: size.layers,
            nanos_per_layer: (1e9 / REFERENCE_SPEED) as u64,
            activation_bytes: ACTIVATION_BYTES,
        };
        let models: Vec<ModelSpec> = (0..size.models).map(model).collect();
        let mut covered_to = vec![0; size.models];
        let mut runners = Vec::new();
        for i in 0..size.runners {
            let kind = KINDS[rng.random_range(0..size.kinds)];
            let model = i % size.models;
            let layers = next_range(kind, size.layers, &mut covered_to[model], rng);
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

    /// Makes all slow links between domains as fast as the others.
    pub fn equalize_links(&mut self) {
        for link in &mut self.links {
            if link.latency_us > FAST_LINK.0 {
                (link.latency_us, link.bytes_per_s) = FAST_LINK;
            }
        }
    }
}

/// Returns the next range of a model.
///
/// Ranges cycle through the model: each starts where the previous one ended, moved back by a random
/// overlap, so all layers have about the same number of holders.
fn next_range(kind: Kind, layers: u32, covered_to: &mut u32, rng: &mut impl Rng) -> LayerRange {
    let count = (layers * kind.layers_percent / 100).max(1);
    let overlap = rng.random_range(0..=count / 3);
    let start = if *covered_to >= layers {
        0
    } else {
        covered_to.saturating_sub(overlap)
    };
    let end = (start + count).min(layers);
    *covered_to = end;
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
                _ => FAST_LINK,
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
