//! Outcomes of the connections that this instance opens to runners.
//!
//! One refused connection cannot tell a runner that has ended from a path that refuses connections.
//! What tells them apart is whether any other runner accepts one, so the time of the last accepted
//! connection is kept and logged beside each finding.

use std::cell::Cell;

use jacinthweir_clients::direct::DirectError;
use jacinthweir_policy::prelude::*;

/// Outcome of an attempt to open a connection to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Accepted,
    Refused,
    Unanswered,
}

impl Outcome {
    /// Returns the outcome of the connection of a request that ended with `result`.
    pub(crate) fn of<T>(result: &Result<T, DirectError>) -> Outcome {
        match result {
            Err(DirectError::Refused) => Outcome::Refused,
            Err(DirectError::Unreached { .. }) => Outcome::Unanswered,
            Ok(_) | Err(DirectError::TimedOut | DirectError::Unknown { .. }) => Outcome::Accepted,
        }
    }
}

/// When runners last accepted connections of this instance.
#[derive(Debug, Default)]
pub(crate) struct RunnerConnections {
    accepted_ms: Cell<Option<Millis>>,
}

impl RunnerConnections {
    /// Counts a connection and records when it was accepted.
    pub(crate) fn record(&self, outcome: Outcome, now: Millis) {
        let name = match outcome {
            Outcome::Accepted => "accepted",
            Outcome::Refused => "refused",
            Outcome::Unanswered => "unanswered",
        };
        metrics::counter!("jacinthweir_runner_connections_total", "outcome" => name).increment(1);
        if outcome == Outcome::Accepted {
            self.accepted_ms.set(Some(now));
        }
    }

    /// Returns the time since any runner accepted a connection, in milliseconds.
    pub(crate) fn accepted_ms_ago(&self, now: Millis) -> Option<Millis> {
        self.accepted_ms.get().map(|at| now.saturating_sub(at))
    }
}
