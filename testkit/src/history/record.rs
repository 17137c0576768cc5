//! Records that make up a history.

use std::collections::BTreeSet;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::LayerRange;
use serde::{Deserialize, Serialize};

use crate::caller::Observation;
use crate::runner::execution_log::ExecutionLog;
use crate::service::RanCall;

/// History of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// Number of layers of the model.
    pub layers: u32,
    /// Submissions of callers, with what they received.
    pub submissions: Vec<Submission>,
    /// Layer ranges that runners executed.
    pub ran: Vec<ExecutedRange>,
    /// Attempts received by upstreams.
    pub arrived: Vec<ReceivedAttempt>,
    /// Calls that plain services ran.
    pub calls: Vec<RanCall>,
    /// Leaving notices of upstreams.
    pub left: Vec<LeavingNotice>,
    /// Outages of the platform's list.
    pub unreadable: Vec<ListOutage>,
    /// Commits that were acknowledged to operators.
    pub commits: Vec<CommitSeen>,
    /// Revisions observed in force.
    pub in_force: Vec<InForceSeen>,
    /// Instances that were frozen and resumed.
    pub frozen: Vec<Frozen>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Runners that were killed; their last executed ranges may be missing.
    pub killed_runners: BTreeSet<Name>,
}

/// Submission of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// Sequence number in the run.
    pub number: u64,
    /// Instance it was sent to.
    pub instance: Name,
    /// Unix time of sending, in milliseconds.
    pub sent_ms: u64,
    /// Unix time of completion, in milliseconds.
    pub ended_ms: u64,
    /// Requested work.
    pub work: Work,
    /// Response as the caller received it.
    pub seen: Observation,
}

/// Requested work.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Work {
    /// Model completion.
    Model {
        /// The complete expected answer.
        expected: String,
    },
    /// Call of a plain service.
    Call {
        /// Whether the call may be repeated.
        idempotent: bool,
        /// Idempotency key.
        key: Option<String>,
        /// Body, unique for each key.
        body: String,
    },
}

/// Layer range executed for one token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExecutedRange {
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Token index.
    pub index: u32,
    /// Layers.
    pub layers: LayerRange,
    /// Runner.
    pub runner: Name,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// Attempt received by an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReceivedAttempt {
    /// Upstream.
    pub upstream: Name,
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Whether an instance sent it, rather than the previous runner of the route.
    pub first: bool,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// Notice that an upstream is leaving.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Upstream.
    pub upstream: Name,
    /// Unix time of the notice, in milliseconds.
    pub at_ms: u64,
    /// Whether only the platform's list carries the notice, and not the upstream itself.
    pub by_list: bool,
    /// Unix time at which the upstream's next incarnation started, in milliseconds.
    pub until_ms: Option<u64>,
}

/// Period in which the platform answered no reads.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ListOutage {
    /// Unix time of the start, in milliseconds.
    pub from_ms: u64,
    /// Unix time of the end, in milliseconds; `None` while it lasts.
    pub until_ms: Option<u64>,
}

/// Commit that was acknowledged to an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitSeen {
    /// Revision.
    pub revision: u64,
    /// Change id.
    pub change: Name,
    /// Unix time of the acknowledgement, in milliseconds.
    pub at_ms: u64,
}

/// Revision that an instance reported as in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForceSeen {
    /// Instance.
    pub instance: Name,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Whether the instance serves callers.
    pub serving: bool,
    /// Revision.
    pub revision: u64,
    /// Unix time of the query, in milliseconds.
    pub at_ms: u64,
}

/// Instance that was frozen and resumed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frozen {
    /// Instance.
    pub instance: Name,
    /// Unix time at which it resumed, in milliseconds.
    pub woken_ms: u64,
}

/// Graceful shutdown of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shutdown {
    /// Instance.
    pub instance: Name,
    /// Unix time of the signal, in milliseconds.
    pub signal_ms: u64,
    /// Unix time at which the process exited, in milliseconds.
    pub ended_ms: u64,
    /// Exit code; `None` if the process was killed meanwhile.
    pub code: Option<i32>,
}

impl History {
    /// Adds the attempts and executed ranges of a runner's log.
    pub fn add_execution_log(&mut self, log: ExecutionLog) {
        let runner = log.runner;
        for r in log.received {
            self.arrived.push(ReceivedAttempt {
                upstream: runner.clone(),
                request: r.request,
                attempt: r.attempt,
                first: r.first,
                at_ms: r.at_ms,
            });
        }
        for r in log.ran {
            self.ran.push(ExecutedRange {
                request: r.request,
                attempt: r.attempt,
                index: r.index,
                layers: r.layers,
                runner: runner.clone(),
                at_ms: r.at_ms,
            });
        }
    }

    /// Returns the number of events, for reports.
    #[must_use]
    pub fn events(&self) -> usize {
        self.submissions.len()
            + self.ran.len()
            + self.arrived.len()
            + self.calls.len()
            + self.left.len()
            + self.commits.len()
            + self.in_force.len()
            + self.shutdowns.len()
    }
}
