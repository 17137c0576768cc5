//! Remote procedure calls of operators, as JSON on the operators' listener, with the operators'
//! token as a bearer token.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /operator/plan` | [`PlanRequest`] | [`PlanReply`]; 400 with [`ApplyRefused`] |
//! | `POST /operator/apply` | [`ApplyRequest`] | [`ApplyReply`]; 400, 409, 503, 504 with [`ApplyRefused`] |
//! | `GET /operator/schema` | | [`SchemaReply`] |
//! | `GET /operator/history` | | [`HistoryReply`] |
//! | `GET /operator/status` | | [`StatusReply`] |
//! | `GET /operator/requests/{id}` | | [`RequestRecord`]; 404 where not known |
//! | `GET /operator/dump` | | a JSON object, a field a plug-in |
//! | `GET /metrics` | | Prometheus text |

pub use jacinthweir_document::Fault;
pub use jacinthweir_policy::head::{Commit, Head, PartRef};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::schema::Schema;
use serde::{Deserialize, Serialize};

/// What would a schema change?
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanRequest {
    /// Schema file's text.
    pub text: String,
}

/// Difference against the schema in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanReply {
    /// Revision it was compared with: the base for an apply.
    pub base: u64,
    /// One line a change; empty: nothing would change.
    pub changes: Vec<String>,
}

/// Commit a schema.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Schema file's text.
    pub text: String,
    /// Revision the operator planned against.
    pub base: u64,
    /// Change id.
    pub change: Name,
    /// Who.
    pub operator: Name,
}

/// The commit is confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyReply {
    /// Revision it made, or the standing one where nothing changed.
    pub revision: u64,
    /// One line a change.
    pub changes: Vec<String>,
}

/// Why an apply was not committed, or is not known to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum ApplyRefused {
    /// The text is not a valid schema: nothing was written. 400.
    Invalid {
        /// Every fault found.
        faults: Vec<Fault>,
    },
    /// Another commit came first: nothing was committed. 409.
    Conflict {
        /// Standing revision.
        standing: u64,
        /// Difference between the base and what stands, as far as known.
        changes: Vec<String>,
    },
    /// The change id was used for a commit of other content: nothing was committed. 409.
    ChangeReused {
        /// Revision that the change id made.
        revision: u64,
    },
    /// The platform shows an older head than the accepted one, which is being written back:
    /// nothing was committed. 503.
    WentBack {
        /// Revision that the platform shows.
        standing: u64,
        /// Accepted revision.
        accepted: u64,
    },
    /// The platform can't be reached: nothing was committed. 503.
    PlatformDown {
        /// Cause.
        cause: String,
    },
    /// The commit was sent and its effect could not be confirmed: ask again with the same
    /// change id. 504.
    Unconfirmed {
        /// Change id.
        change: Name,
    },
}

/// The schema in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SchemaReply {
    /// Its revision.
    pub revision: u64,
    /// The schema.
    pub schema: Schema,
}

/// Latest commits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Newest first.
    pub commits: Vec<Commit>,
}

/// What is in force where.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReply {
    /// Newest revision that the answering instance knows of.
    pub newest: u64,
    /// Whether the answering instance may serve by its revision: the platform or a majority of
    /// the instances confirms it.
    pub confirmed: bool,
    /// Whether the answering instance reaches the platform.
    pub platform: PlatformReach,
    /// Every known instance.
    pub instances: Vec<InstanceStatus>,
    /// Every known upstream.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Whether the platform is reached.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformReach {
    /// The last call succeeded.
    #[display("reached")]
    Reached,
    /// The last call failed.
    #[display("down")]
    Down,
}

/// One instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its state as last heard.
    pub member: jacinthweir_policy::member::MemberState,
    /// Whether it is suspected to be dead.
    pub suspected: bool,
    /// Time since its heartbeat last grew, in milliseconds.
    pub silent_ms: u64,
}

/// One upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name.
    pub name: Name,
    /// Group.
    pub group: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether new work goes to it, and why not.
    pub state: String,
    /// Layers it holds, as `model 0..8`.
    pub holds: Vec<String>,
}

/// What happened to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Request id.
    pub request: Name,
    /// Instance that served it.
    pub instance: Name,
    /// Organisation.
    pub organisation: Name,
    /// Pipeline or `service/call`.
    pub target: String,
    /// Revision in force when it was received.
    pub revision: u64,
    /// Final outcome; absent: still in progress.
    pub outcome: Option<Outcome>,
    /// Steps in order.
    pub steps: Vec<RecordedStep>,
}

/// One step of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedStep {
    /// Unix time, in milliseconds.
    pub at_ms: u64,
    /// What happened.
    pub what: String,
}
