//! Remote procedure calls of operators, as JSON on the operators' listener, authenticated by the
//! operators' bearer token.
//!
//! | call | request | answer |
//! |---|---|---|
//! | `POST /operator/plan` | [`PlanRequest`] | [`PlanReply`]; 400 with [`ApplyRefused`] |
//! | `POST /operator/apply` | [`ApplyRequest`] | [`ApplyReply`]; 400, 409, 503, 504 with [`ApplyRefused`] |
//! | `GET /operator/schema` | | [`SchemaReply`] |
//! | `GET /operator/history` | | [`HistoryReply`] |
//! | `GET /operator/status` | | [`StatusReply`] |
//! | `GET /operator/requests/{id}` | | [`RequestRecord`]; 404 if not known |
//! | `GET /operator/dump` | | a JSON object with one field for each plug-in |
//! | `GET /metrics` | | Prometheus text |

pub use jacinthweir_document::Fault;
pub use jacinthweir_policy::head::{Commit, Head, PartRef};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::schema::Schema;
use serde::{Deserialize, Serialize};

/// Request for the changes that a schema would make.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanRequest {
    /// Text of the schema file.
    pub text: String,
}

/// Difference from the schema in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanReply {
    /// Revision that the schema was compared with, to be used as the base of an apply.
    pub base: u64,
    /// One line for each change; empty if nothing would change.
    pub changes: Vec<String>,
}

/// Request to commit a schema.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Text of the schema file.
    pub text: String,
    /// Revision that the operator planned against.
    pub base: u64,
    /// Change id, which makes the apply idempotent.
    pub change: Name,
    /// Name of the operator.
    pub operator: Name,
}

/// Confirmation of a commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyReply {
    /// Revision of the commit, or the current revision if nothing changed.
    pub revision: u64,
    /// One line for each change.
    pub changes: Vec<String>,
}

/// Reason why an apply was not committed or could not be confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "snake_case")]
pub enum ApplyRefused {
    /// 400: the text is not a valid schema; nothing was written.
    Invalid {
        /// Faults found.
        faults: Vec<Fault>,
    },
    /// 409: another commit was made after the base revision; nothing was committed.
    Conflict {
        /// Current revision.
        standing: u64,
        /// Difference between the base and the current revision, as far as known.
        changes: Vec<String>,
    },
    /// 409: the change id was already used for a commit of other content; nothing was committed.
    ChangeReused {
        /// Revision of that commit.
        revision: u64,
    },
    /// 503: the platform returned an older head than the accepted one, which is being written
    /// back; nothing was committed.
    WentBack {
        /// Revision that the platform returned.
        standing: u64,
        /// Accepted revision.
        accepted: u64,
    },
    /// 503: the platform cannot be reached; nothing was committed.
    PlatformDown {
        /// Cause.
        cause: String,
    },
    /// 504: the commit was sent, but its effect could not be confirmed; retry with the same change
    /// id.
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

/// The latest commits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HistoryReply {
    /// Newest first.
    pub commits: Vec<Commit>,
}

/// Revisions in force on the instances, and the state of the upstreams.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusReply {
    /// Newest revision known to the answering instance.
    pub newest: u64,
    /// Whether the answering instance may serve with its revision, because the platform or a
    /// majority of the instances confirmed it.
    pub confirmed: bool,
    /// Whether the answering instance can reach the platform.
    pub platform: PlatformReach,
    /// All known instances.
    pub instances: Vec<InstanceStatus>,
    /// All known upstreams.
    pub upstreams: Vec<UpstreamStatus>,
}

/// Reachability of the platform.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformReach {
    /// The last call to the platform succeeded.
    #[display("reached")]
    Reached,
    /// The last call to the platform failed.
    #[display("down")]
    Down,
}

/// Status of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Last known state of the instance.
    pub member: jacinthweir_policy::member::MemberState,
    /// Whether it is suspected to be dead.
    pub suspected: bool,
    /// Time since its heartbeat last advanced, in milliseconds.
    pub silent_ms: u64,
}

/// Status of one upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name.
    pub name: Name,
    /// Group.
    pub group: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether new work is sent to it, and if not, the reason.
    pub state: String,
    /// Layers that it holds, such as `model 0..8`.
    pub holds: Vec<String>,
}

/// Record of a request.
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
    /// Final outcome; absent while the request is in progress.
    pub outcome: Option<Outcome>,
    /// Steps in order.
    pub steps: Vec<RecordedStep>,
}

/// One step of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RecordedStep {
    /// Unix time, in milliseconds.
    pub at_ms: u64,
    /// Text of the event.
    pub what: String,
}
