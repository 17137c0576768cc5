//! The two sample deployments: names, schemas and runner configurations.

use std::path::PathBuf;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{HeldLayers, LayerRange};
use serde::{Deserialize, Serialize};

use crate::RunnerCfg;

/// Speed of the reference accelerator of the samples' models, in token-layers per second: one
/// layer takes 20 microseconds.
const REFERENCE_TOKEN_LAYERS_PER_S: f64 = 50_000.0;

/// Number of layers of the samples' models.
pub const LAYERS: u32 = 32;

/// One of the two deployments.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Associação Madeira Sonora do Nordeste.
    #[display("associacao")]
    Associacao,
    /// Tallinna Linnaliikluse Teenused.
    #[display("tallinna")]
    Tallinna,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Associacao, Self::Tallinna];

    /// Returns the failure domains of the deployment.
    #[must_use]
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Associacao => ["recife", "joao-pessoa", "fortaleza"],
            Self::Tallinna => ["kesklinn", "lasnamae", "mustamae"],
        }
    }

    /// Returns the failure domain of the `i`-th process of a kind, assigned round-robin.
    #[must_use]
    pub fn domain(self, i: usize) -> Name {
        let domains = self.domains();
        domains[i % domains.len()].into()
    }

    /// Returns the model of the sample schema.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Associacao => "tonewood-32b",
            Self::Tallinna => "dispatch-32b",
        }
    }

    /// Returns the pipeline with the shortest answers.
    #[must_use]
    pub fn pipeline(self) -> &'static str {
        match self {
            Self::Associacao => "advice",
            Self::Tallinna => "swap",
        }
    }

    /// Returns the name of the plain service, which is also the name of its group.
    #[must_use]
    pub fn service(self) -> &'static str {
        match self {
            Self::Associacao => "orders",
            Self::Tallinna => "bookings",
        }
    }

    /// Returns a non-idempotent call of the plain service.
    #[must_use]
    pub fn non_idempotent_call(self) -> &'static str {
        match self {
            Self::Associacao => "reserve",
            Self::Tallinna => "confirm",
        }
    }

    /// Returns an idempotent call of the plain service.
    #[must_use]
    pub fn idempotent_call(self) -> &'static str {
        match self {
            Self::Associacao => "stock",
            Self::Tallinna => "availability",
        }
    }

    /// Returns the organisations of the sample schema, the large ones first.
    #[must_use]
    pub fn organisations(self) -> [&'static str; 10] {
        match self {
            Self::Associacao => [
                "drying-sheds",
                "association-office",
                "school-recife",
                "school-fortaleza",
                "workshop-olinda",
                "workshop-caruaru",
                "workshop-campina",
                "workshop-patos",
                "workshop-sobral",
                "archive",
            ],
            Self::Tallinna => [
                "dispatch-day",
                "dispatch-night",
                "shift-leads",
                "planning",
                "incident-desk",
                "signals",
                "barriers",
                "closures",
                "training",
                "statistics",
            ],
        }
    }

    /// Returns the API key of an organisation of the sample schema.
    #[must_use]
    pub fn key(organisation: &str) -> String {
        format!("{organisation}-sample-key")
    }

    /// Returns the path of the sample schema.
    #[must_use]
    pub fn schema(self) -> PathBuf {
        let samples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../samples");
        samples.join(format!("{self}.jsonc"))
    }

    /// Returns the configuration of the `i`-th runner, except for its address.
    #[must_use]
    pub fn runner(self, i: usize) -> RunnerSlot {
        let (kind, start, end) = RUNNER_SLOTS[i % RUNNER_SLOTS.len()];
        let cfg = RunnerCfg {
            name: format!("runner-{}-{i:02}", kind.name()).into(),
            accelerator: kind.name().into(),
            token_layers_per_s: REFERENCE_TOKEN_LAYERS_PER_S * kind.speed(),
            checks_fencing: kind != AcceleratorKind::Small,
            max_layers: kind.max_layers(),
            holds: vec![HeldLayers {
                model: self.model().into(),
                layers: LayerRange { start, end },
            }],
            seed: i as u64,
            ..RunnerCfg::default()
        };
        RunnerSlot {
            group: format!("runners-{}", kind.name()).into(),
            domain: self.domain(i),
            cfg,
        }
    }
}

/// Configuration of one runner of a deployment.
#[derive(Clone, Debug)]
pub struct RunnerSlot {
    /// Upstream group.
    pub group: Name,
    /// Failure domain.
    pub domain: Name,
    /// Settings.
    pub cfg: RunnerCfg,
}

/// Kinds of accelerator in the samples.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AcceleratorKind {
    Fast,
    Medium,
    Small,
}

impl AcceleratorKind {
    fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Medium => "medium",
            Self::Small => "small",
        }
    }

    /// Returns the speed relative to the reference accelerator, as the samples declare it.
    fn speed(self) -> f64 {
        match self {
            Self::Fast => 2.0,
            Self::Medium => 1.0,
            Self::Small => 0.4,
        }
    }

    /// Returns the number of layers that fit in memory with headroom for the KV cache.
    fn max_layers(self) -> u32 {
        match self {
            Self::Fast => 18,
            Self::Medium => 12,
            Self::Small => 9,
        }
    }
}

/// Accelerator kind and layer range of the runners, assigned round-robin.
///
/// The ranges overlap in part, and each layer is held by at least two of the first eight runners.
const RUNNER_SLOTS: [(AcceleratorKind, u32, u32); 14] = [
    (AcceleratorKind::Fast, 0, 12),
    (AcceleratorKind::Medium, 0, 8),
    (AcceleratorKind::Fast, 10, 22),
    (AcceleratorKind::Medium, 8, 16),
    (AcceleratorKind::Fast, 20, 32),
    (AcceleratorKind::Medium, 16, 24),
    (AcceleratorKind::Medium, 24, 32),
    (AcceleratorKind::Fast, 10, 22),
    (AcceleratorKind::Small, 0, 6),
    (AcceleratorKind::Small, 5, 11),
    (AcceleratorKind::Small, 10, 16),
    (AcceleratorKind::Small, 15, 21),
    (AcceleratorKind::Small, 20, 26),
    (AcceleratorKind::Small, 26, 32),
];
