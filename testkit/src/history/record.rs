//! What a history is made of.

use std::collections::BTreeSet;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::runner::LayerRange;
use serde::{Deserialize, Serialize};

use crate::caller::Seen;
use crate::runner::execution_log::ExecutionLog;
use crate::service::RanCall;

/// A history of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct History {
    /// Layers of the model.
    pub layers: u32,
    /// What callers sent and saw.
    pub submissions: Vec<Submission>,
    /// What runners ran.
    pub ran: Vec<Ran>,
    /// Attempts that reached an upstream.
    pub arrived: Vec<Arrived>,
    /// What plain services ran.
    pub calls: Vec<RanCall>,
    /// Upstreams that said that they leave.
    pub left: Vec<Left>,
    /// Times at which nobody could read the platform's list.
    pub unreadable: Vec<Unreadable>,
    /// Commits that operators were told of.
    pub commits: Vec<CommitSeen>,
    /// Revisions seen in force.
    pub in_force: Vec<InForceSeen>,
    /// Instances that stood still.
    pub frozen: Vec<Frozen>,
    /// Graceful shutdowns.
    pub shutdowns: Vec<Shutdown>,
    /// Runners that were killed: what they ran last may be missing.
    pub killed_runners: BTreeSet<Name>,
}

/// One submission of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// Number in the run.
    pub number: u64,
    /// Instance it was sent to.
    pub instance: Name,
    /// Unix time of sending, in milliseconds.
    pub sent_ms: u64,
    /// Unix time of the end, in milliseconds.
    pub ended_ms: u64,
    /// What was asked for.
    pub work: Work,
    /// What the caller saw.
    pub seen: Seen,
}

/// What was asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Work {
    /// A model's answer.
    Model {
        /// The whole right answer.
        expected: String,
    },
    /// A call of a plain service.
    Call {
        /// Whether it may be repeated.
        idempotent: bool,
        /// Idempotency key.
        key: Option<String>,
        /// Body, unlike that of every other key.
        body: String,
    },
}

/// One part of a token that ran.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ran {
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

/// An attempt that reached an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Arrived {
    /// Upstream.
    pub upstream: Name,
    /// Request id.
    pub request: Name,
    /// Attempt number.
    pub attempt: u32,
    /// Whether an instance sent it, and not a runner before it in the route.
    pub first: bool,
    /// Unix time, in milliseconds.
    pub at_ms: u64,
}

/// An upstream said that it leaves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Left {
    /// Upstream.
    pub upstream: Name,
    /// Unix time at which it said so, in milliseconds.
    pub at_ms: u64,
    /// Whether only the platform's list says so, and not the upstream itself.
    pub by_list: bool,
    /// Unix time at which its next incarnation started, in milliseconds.
    pub until_ms: Option<u64>,
}

/// The platform answered no reads.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Unreadable {
    /// Unix time of its beginning, in milliseconds.
    pub from_ms: u64,
    /// Unix time of its end, in milliseconds; `None`: it lasts.
    pub until_ms: Option<u64>,
}

/// A commit that an operator was told of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CommitSeen {
    /// Revision.
    pub revision: u64,
    /// Change id.
    pub change: Name,
    /// Unix time of the answer, in milliseconds.
    pub at_ms: u64,
}

/// An instance said which revision is in force there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct InForceSeen {
    /// Instance.
    pub instance: Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it serves callers.
    pub serving: bool,
    /// Revision.
    pub revision: u64,
    /// Unix time of the question, in milliseconds.
    pub at_ms: u64,
}

/// An instance stood still.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Frozen {
    /// Instance.
    pub instance: Name,
    /// Unix time of waking, in milliseconds.
    pub woken_ms: u64,
}

/// A graceful shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shutdown {
    /// Instance.
    pub instance: Name,
    /// Unix time of the signal, in milliseconds.
    pub signal_ms: u64,
    /// Unix time of its end, in milliseconds.
    pub ended_ms: u64,
    /// Exit code; `None`: it was killed meanwhile.
    pub code: Option<i32>,
}

impl History {
    /// Adds what a runner saw and did.
    pub fn add_execution_log(&mut self, witness: ExecutionLog) {
        let runner = witness.runner;
        for r in witness.received {
            self.arrived.push(Arrived {
                upstream: runner.clone(),
                request: r.request,
                attempt: r.attempt,
                first: r.first,
                at_ms: r.at_ms,
            });
        }
        for r in witness.ran {
            self.ran.push(Ran {
                request: r.request,
                attempt: r.attempt,
                index: r.index,
                layers: r.layers,
                runner: runner.clone(),
                at_ms: r.at_ms,
            });
        }
    }

    /// Number of events, for reports.
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
