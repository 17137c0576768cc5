//! The schema: the operators' declarations of models, services, upstreams and organisations.
//!
//! This module defines the declarations as written in the schema file. Unknown fields are errors,
//! and field names include their units. The submodules parse and verify a file, compute the
//! difference between two schemas, and compile a schema into the form that decisions use.

pub mod compiled;
pub mod diff;
pub mod key;
mod parse;
pub mod verify;

pub use compiled::CompiledSchema;
pub use diff::{Change, diff};
pub use key::KeyHash;
pub use parse::parse_schema;
pub use verify::{Finding, verify};

use serde::{Deserialize, Serialize};

use crate::time::Name;

/// Group name of the entry instances in the platform's list. Reserved: no upstream group may use
/// it.
pub const ENTRY_GROUP: &str = "jacinthweir";

/// The contents of a schema file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schema {
    /// Accelerator kinds with their speed and memory.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorDecl>,
    /// Models that can be served.
    #[serde(default)]
    pub models: Vec<ModelDecl>,
    /// Models under their public names.
    #[serde(default)]
    pub pipelines: Vec<PipelineDecl>,
    /// Plain services beside the models.
    #[serde(default)]
    pub services: Vec<ServiceDecl>,
    /// Groups of upstreams. The platform's list says which instances belong to a group.
    #[serde(default)]
    pub upstreams: Vec<UpstreamDecl>,
    /// Organisations with their keys, priorities and weights.
    #[serde(default)]
    pub organisations: Vec<OrgDecl>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorDecl {
    /// Name, as runners report it.
    pub kind: Name,
    /// Speed relative to the reference accelerator, in percent (100: equal speed).
    pub speed_percent: u32,
    /// Memory for weights and cache, in bytes.
    pub memory_bytes: u64,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelDecl {
    /// Name, as runners report it.
    pub name: Name,
    /// Number of layers. The stages of a pipeline cover `[0, layers)`.
    pub layers: u32,
    /// Size of one layer's weights, in bytes.
    pub bytes_per_layer: u64,
    /// Time to run one layer for one token on the reference accelerator, in nanoseconds.
    pub nanos_per_layer: u64,
    /// Size of the activations of one token between two stages, in bytes.
    pub activation_bytes: u64,
}

/// A model under a name that callers use in the `model` field of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineDecl {
    /// Public name.
    pub name: Name,
    /// Name of the model that it runs.
    pub model: Name,
    /// Maximum number of tokens that one request may generate.
    pub max_tokens: u32,
    /// Deadline of a request that does not specify one, in milliseconds.
    pub default_deadline_ms: u64,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDecl {
    /// Name, as in `/v1/services/{service}/{call}`.
    pub name: Name,
    /// Accepted calls; any other call is refused.
    pub calls: Vec<CallDecl>,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallDecl {
    /// Name, as in `/v1/services/{service}/{call}`.
    pub name: Name,
    /// Whether the call may be executed again. Has no default, so that operators must decide.
    pub idempotent: bool,
    /// Deadline of a call that does not specify one, in milliseconds.
    pub default_deadline_ms: u64,
}

/// A group of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDecl {
    /// Group name, as in the platform's list of instances.
    pub group: Name,
    /// What its instances serve.
    pub serves: Serves,
    /// Whether its instances refuse an order with an outdated fencing token.
    pub checks_fencing: bool,
}

/// What the instances of an upstream group serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Serves {
    /// Layer ranges of models, on accelerators of one kind.
    Layers {
        /// Accelerator kind.
        accelerator: Name,
    },
    /// The calls of a plain service.
    Service {
        /// Service name.
        service: Name,
    },
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrgDecl {
    /// Name.
    pub name: Name,
    /// Priority class: 0 is served first, [`OrgDecl::LOWEST_PRIORITY`] last.
    pub priority: u8,
    /// Weight for fair sharing among the organisations of the same priority.
    pub weight: u32,
    /// SHA-256 of each API key that its callers may use, as 64 hexadecimal digits.
    pub key_sha256: Vec<Name>,
    /// Maximum number of requests in flight over all instances; absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
}

impl OrgDecl {
    /// The lowest priority class, which is served last.
    pub const LOWEST_PRIORITY: u8 = 9;
}
