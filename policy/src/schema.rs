//! The schema: what operators declare.
//!
//! This module has the declarations as written in the schema file. Unknown fields are errors.
//! Units stand in the field names. Below it: reading and verifying a file, the difference of two
//! schemas, and the compiled form that decisions use.

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

/// Group name of the entry instances in the platform's list; no upstream group may have it.
pub const ENTRY_GROUP: &str = "jacinthweir";

/// A whole schema file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schema {
    /// Kinds of accelerator and what they can do.
    #[serde(default)]
    pub accelerators: Vec<AcceleratorDecl>,
    /// Models that can be served.
    #[serde(default)]
    pub models: Vec<ModelDecl>,
    /// Models under the names that callers use.
    #[serde(default)]
    pub pipelines: Vec<PipelineDecl>,
    /// Plain services beside the models.
    #[serde(default)]
    pub services: Vec<ServiceDecl>,
    /// Groups of upstreams; which instances belong to a group comes from the platform's list.
    #[serde(default)]
    pub upstreams: Vec<UpstreamDecl>,
    /// Organisations with their keys, priorities and shares.
    #[serde(default)]
    pub organisations: Vec<OrgDecl>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceleratorDecl {
    /// Name, as runners report it.
    pub kind: Name,
    /// Speed against the reference kind, in percent (100: as fast as the reference).
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
    /// Number of layers; a pipeline's stages cover `[0, layers)`.
    pub layers: u32,
    /// Size of one layer's weights, in bytes.
    pub bytes_per_layer: u64,
    /// Time one layer takes for one token on the reference accelerator, in nanoseconds.
    pub nanos_per_layer: u64,
    /// Size of one token's activations between two stages, in bytes.
    pub activation_bytes: u64,
}

/// A model under a name that callers use in the `model` field of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PipelineDecl {
    /// Public name.
    pub name: Name,
    /// Name of the model behind it.
    pub model: Name,
    /// The most tokens one request may generate.
    pub max_tokens: u32,
    /// Deadline of a request that states none, in milliseconds.
    pub default_deadline_ms: u64,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDecl {
    /// Name, as in `/v1/services/{service}/{call}`.
    pub name: Name,
    /// Calls it takes; any other is refused.
    pub calls: Vec<CallDecl>,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallDecl {
    /// Name, as in `/v1/services/{service}/{call}`.
    pub name: Name,
    /// Whether it may be repeated. Has no default: operators must decide.
    pub idempotent: bool,
    /// Deadline of a call that states none, in milliseconds.
    pub default_deadline_ms: u64,
}

/// A group of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamDecl {
    /// Group name, as in the platform's list of instances.
    pub group: Name,
    /// What its instances do.
    pub serves: Serves,
    /// Whether its instances refuse an order that carries an old fencing number.
    pub checks_fencing: bool,
}

/// What the instances of an upstream group do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Serves {
    /// Run layer ranges of models on accelerators of a kind.
    Layers {
        /// Accelerator kind.
        accelerator: Name,
    },
    /// Answer the calls of a plain service.
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
    /// Share against the other organisations of the same priority.
    pub weight: u32,
    /// SHA-256 of each key its callers may use, as 64 hexadecimal digits.
    pub key_sha256: Vec<Name>,
    /// The most requests in flight over all instances; absent: no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_in_flight: Option<u32>,
}

impl OrgDecl {
    /// The last priority class.
    pub const LOWEST_PRIORITY: u8 = 9;
}
