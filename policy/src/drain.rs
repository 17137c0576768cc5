//! State machine for the graceful shutdown of an instance.
//!
//! ```text
//!   Serving --signal--> Leaving --one ttl--> Refusing --last request ended--> Ended
//!                          |                    |                               ^
//!                          +--------------------+--- second signal, or ---> Answering
//!                                                    the deadline is near
//! ```
//!
//! Callers cache an entry answer for its time to live (TTL) and connect to the addresses in it
//! without asking again. The instance therefore first withdraws from the answers and keeps
//! accepting connections for one TTL; refusing immediately would reject callers with a still valid
//! answer.
//!
//! Requests that are still open in the end are cut: each gets a final answer that says how it ended, since a
//! closed connection tells the caller nothing. The time for these answers to be sent is bounded.

use crate::time::Millis;
use derive_more::Display;

/// Settings of the graceful shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainConfig {
    /// Time to live of an entry answer, in milliseconds.
    pub ttl_ms: Millis,
    /// Maximum duration of the whole shutdown, in milliseconds.
    pub deadline_ms: Millis,
    /// Maximum time for sending the final answers of requests that are cut, in milliseconds.
    pub answer_ms: Millis,
}

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// SIGTERM or SIGINT was received.
    Signal,
    /// Time passed.
    Tick,
}

/// An action for the process to carry out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainAction {
    /// Withdraw this instance from the entry answers and notify the peers.
    #[display("leave answers")]
    WithdrawFromEntry,
    /// Refuse new connections, and refuse requests on open ones as not run.
    #[display("refuse connections")]
    RefuseConnections,
    /// End the requests in progress with a final answer, and report them.
    #[display("cut {requests}: {cause}")]
    Cut {
        /// Number of requests in progress.
        requests: usize,
        /// Cause.
        cause: CutCause,
    },
    /// Notify the peers that this incarnation is gone, and exit.
    #[display("exit {_0}")]
    Exit(DrainOutcome),
}

/// The cause of aborting requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CutCause {
    /// The deadline is near.
    #[display("deadline")]
    Deadline,
    /// A second signal was received.
    #[display("second signal")]
    SecondSignal,
}

/// The outcome of a shutdown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainOutcome {
    /// No request was aborted.
    #[display("clean")]
    Clean,
    /// Requests were aborted.
    #[display("cut")]
    Cut,
}

/// The current step of a shutdown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainStep {
    /// No signal received yet.
    #[display("serving")]
    Serving,
    /// Withdrawn from the entry answers, still accepting connections.
    #[display("leaving")]
    Leaving,
    /// Refusing connections and waiting for the last request.
    #[display("refusing")]
    Refusing,
    /// Waiting for the final answers of the requests that were cut.
    #[display("answering")]
    Answering,
    /// The shutdown is complete.
    #[display("ended")]
    Ended,
}

/// The state of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    cfg: DrainConfig,
    step: DrainStep,
    since_ms: Millis,
    /// When the requests were cut.
    cut_ms: Millis,
}

impl Drain {
    /// Creates the state of a serving instance.
    #[must_use]
    pub fn new(cfg: DrainConfig) -> Drain {
        Drain {
            cfg,
            step: DrainStep::Serving,
            since_ms: 0,
            cut_ms: 0,
        }
    }

    /// Returns the current step.
    #[must_use]
    pub fn step(&self) -> DrainStep {
        self.step
    }

    /// Returns whether new requests are accepted.
    #[must_use]
    pub fn accepts(&self) -> bool {
        matches!(self.step, DrainStep::Serving | DrainStep::Leaving)
    }

    /// Handles an event at monotonic time `now_ms` with `in_flight` requests in progress, and
    /// returns the actions to carry out.
    pub fn on(&mut self, now_ms: Millis, event: DrainEvent, in_flight: usize) -> Vec<DrainAction> {
        match (self.step, event) {
            (DrainStep::Ended, _) | (DrainStep::Serving, DrainEvent::Tick) => Vec::new(),
            (DrainStep::Serving, DrainEvent::Signal) => {
                self.step = DrainStep::Leaving;
                self.since_ms = now_ms;
                vec![DrainAction::WithdrawFromEntry]
            }
            (DrainStep::Answering, DrainEvent::Signal) => self.exit(DrainOutcome::Cut),
            (DrainStep::Answering, DrainEvent::Tick) => self.await_answers(now_ms, in_flight),
            (_, DrainEvent::Signal) => self.cut(now_ms, in_flight, CutCause::SecondSignal),
            (_, DrainEvent::Tick) => self.tick(now_ms, in_flight),
        }
    }

    fn tick(&mut self, now_ms: Millis, in_flight: usize) -> Vec<DrainAction> {
        let elapsed = now_ms.saturating_sub(self.since_ms);
        if elapsed >= self.answers_due_ms() {
            return self.cut(now_ms, in_flight, CutCause::Deadline);
        }
        let mut actions = Vec::new();
        if self.step == DrainStep::Leaving && elapsed >= self.cfg.ttl_ms {
            self.step = DrainStep::Refusing;
            actions.push(DrainAction::RefuseConnections);
        }
        if self.step == DrainStep::Refusing && in_flight == 0 {
            actions.extend(self.exit(DrainOutcome::Clean));
        }
        actions
    }

    /// Returns how long after the signal open requests are cut, in milliseconds.
    fn answers_due_ms(&self) -> Millis {
        let deadline_ms = self.cfg.deadline_ms;
        deadline_ms - self.cfg.answer_ms.min(deadline_ms / 2)
    }

    fn await_answers(&mut self, now_ms: Millis, in_flight: usize) -> Vec<DrainAction> {
        let waited_ms = now_ms.saturating_sub(self.cut_ms);
        let is_over = waited_ms >= self.cfg.answer_ms
            || now_ms.saturating_sub(self.since_ms) >= self.cfg.deadline_ms;
        match in_flight == 0 || is_over {
            true => self.exit(DrainOutcome::Cut),
            false => Vec::new(),
        }
    }

    fn exit(&mut self, outcome: DrainOutcome) -> Vec<DrainAction> {
        self.step = DrainStep::Ended;
        vec![DrainAction::Exit(outcome)]
    }

    fn cut(&mut self, now_ms: Millis, requests: usize, cause: CutCause) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        if self.step == DrainStep::Leaving {
            actions.push(DrainAction::RefuseConnections);
        }
        if requests == 0 {
            actions.extend(self.exit(DrainOutcome::Clean));
        } else {
            self.step = DrainStep::Answering;
            self.cut_ms = now_ms;
            actions.push(DrainAction::Cut { requests, cause });
        }
        actions
    }
}
