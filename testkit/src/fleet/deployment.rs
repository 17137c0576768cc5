//! The two deployments: their names, samples, and what runs in them.

use std::path::PathBuf;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::{HeldLayers, LayerRange};
use serde::{Deserialize, Serialize};

use crate::RunnerCfg;

/// Token-layers a second of the accelerator that the samples' models are measured on: one layer
/// takes 20 microseconds.
const REFERENCE_TOKEN_LAYERS_PER_S: f64 = 50_000.0;

/// Layers of the samples' models.
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
    /// Both.
    pub const ALL: [Self; 2] = [Self::Associacao, Self::Tallinna];

    /// Its failure domains.
    #[must_use]
    pub fn domains(self) -> [&'static str; 3] {
        match self {
            Self::Associacao => ["recife", "joao-pessoa", "fortaleza"],
            Self::Tallinna => ["kesklinn", "lasnamae", "mustamae"],
        }
    }

    /// Failure domain of the `i`-th of a kind: dealt out in turn.
    #[must_use]
    pub fn domain(self, i: usize) -> Name {
        let domains = self.domains();
        domains[i % domains.len()].into()
    }

    /// Model of its sample schema.
    #[must_use]
    pub fn model(self) -> &'static str {
        match self {
            Self::Associacao => "tonewood-32b",
            Self::Tallinna => "dispatch-32b",
        }
    }

    /// Pipeline with the shortest answers.
    #[must_use]
    pub fn pipeline(self) -> &'static str {
        match self {
            Self::Associacao => "advice",
            Self::Tallinna => "swap",
        }
    }

    /// Plain service, which is also the name of its group.
    #[must_use]
    pub fn service(self) -> &'static str {
        match self {
            Self::Associacao => "orders",
            Self::Tallinna => "bookings",
        }
    }

    /// A call that is not idempotent.
    #[must_use]
    pub fn non_idempotent_call(self) -> &'static str {
        match self {
            Self::Associacao => "reserve",
            Self::Tallinna => "confirm",
        }
    }

    /// A call that is idempotent.
    #[must_use]
    pub fn idempotent_call(self) -> &'static str {
        match self {
            Self::Associacao => "stock",
            Self::Tallinna => "availability",
        }
    }

    /// Organisations of its sample schema, large ones first.
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

    /// Key of an organisation of the sample schema.
    #[must_use]
    pub fn key(organisation: &str) -> String {
        format!("{organisation}-sample-key")
    }

    /// Its sample schema.
    #[must_use]
    pub fn schema(self) -> PathBuf {
        let samples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../samples");
        samples.join(format!("{self}.jsonc"))
    }

    /// Settings of its `i`-th runner, but for the address.
    #[must_use]
    pub fn runner(self, i: usize) -> RunnerSlot {
        let (kind, start, end) = SLOTS[i % SLOTS.len()];
        let cfg = RunnerCfg {
            name: format!("runner-{}-{i:02}", kind.name()).into(),
            accelerator: kind.name().into(),
            token_layers_per_s: REFERENCE_TOKEN_LAYERS_PER_S * kind.speed(),
            checks_fencing: kind != Kind::Small,
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

/// Where a runner stands.
#[derive(Clone, Debug)]
pub struct RunnerSlot {
    /// Upstream group.
    pub group: Name,
    /// Failure domain.
    pub domain: Name,
    /// Settings.
    pub cfg: RunnerCfg,
}

/// Kinds of accelerator of the samples.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Fast,
    Medium,
    Small,
}

impl Kind {
    fn name(self) -> &'static str {
        match self {
            Self::Fast => "fast",
            Self::Medium => "medium",
            Self::Small => "small",
        }
    }

    /// Against the reference, as the samples declare it.
    fn speed(self) -> f64 {
        match self {
            Self::Fast => 2.0,
            Self::Medium => 1.0,
            Self::Small => 0.4,
        }
    }

    /// Layers that fit the memory, with room for the cache.
    fn max_layers(self) -> u32 {
        match self {
            Self::Fast => 18,
            Self::Medium => 12,
            Self::Small => 9,
        }
    }
}

/// Layer ranges of the runners, dealt out in turn. They overlap in part, and each layer is held
/// by at least two of the first eight.
const SLOTS: [(Kind, u32, u32); 14] = [
    (Kind::Fast, 0, 12),
    (Kind::Medium, 0, 8),
    (Kind::Fast, 10, 22),
    (Kind::Medium, 8, 16),
    (Kind::Fast, 20, 32),
    (Kind::Medium, 16, 24),
    (Kind::Medium, 24, 32),
    (Kind::Fast, 10, 22),
    (Kind::Small, 0, 6),
    (Kind::Small, 5, 11),
    (Kind::Small, 10, 16),
    (Kind::Small, 15, 21),
    (Kind::Small, 20, 26),
    (Kind::Small, 26, 32),
];
