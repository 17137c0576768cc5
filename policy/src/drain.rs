//! Graceful shutdown of an instance, step by step.
//!
//! ```text
//!   Serving --signal--> Leaving --one ttl--> Refusing --last request ended--> Ended
//!                          |                    |
//!                          +--- second signal, or the deadline: what is left is cut ---> Ended
//! ```
//!
//! Callers keep an entry answer for its time to live and connect to the addresses in it without
//! asking again. So the instance leaves the answers first, and goes on accepting for that long;
//! refusing at once would turn away callers that did nothing wrong.

use crate::time::Millis;
use derive_more::Display;

/// Settings of a shutdown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainConfig {
    /// How long callers keep an entry answer, in milliseconds.
    pub ttl_ms: Millis,
    /// The longest the whole shutdown may take, in milliseconds.
    pub deadline_ms: Millis,
}

/// What happens to a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// SIGTERM or SIGINT.
    Signal,
    /// Time went on.
    Tick,
}

/// What the process is to do.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainAction {
    /// Name this instance in no entry answer, and tell the peers.
    #[display("leave answers")]
    WithdrawFromEntry,
    /// Refuse new connections; requests on open ones are refused as not run.
    #[display("refuse connections")]
    RefuseConnections,
    /// Cut the requests that are still in progress, and say which.
    #[display("cut {requests}: {cause}")]
    Cut {
        /// Requests in progress.
        requests: usize,
        /// Why.
        cause: CutCause,
    },
    /// Tell the peers that this incarnation is gone, and exit.
    #[display("exit {_0}")]
    Exit(DrainOutcome),
}

/// Why requests were cut.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CutCause {
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// A second signal came.
    #[display("second signal")]
    SecondSignal,
}

/// How the instance ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainOutcome {
    /// No request was cut: exit code 0.
    #[display("clean")]
    Clean,
    /// Requests were cut: an exit code other than 0.
    #[display("cut")]
    Cut,
}

/// Where a shutdown stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum DrainStep {
    /// No signal came.
    #[display("serving")]
    Serving,
    /// Out of the answers, still accepting.
    #[display("leaving")]
    Leaving,
    /// Waits for the last request.
    #[display("refusing")]
    Refusing,
    /// Over.
    #[display("ended")]
    Ended,
}

/// A graceful shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    cfg: DrainConfig,
    step: DrainStep,
    since_ms: Millis,
}

impl Drain {
    /// An instance that serves.
    #[must_use]
    pub fn new(cfg: DrainConfig) -> Drain {
        Drain {
            cfg,
            step: DrainStep::Serving,
            since_ms: 0,
        }
    }

    /// Where it stands.
    #[must_use]
    pub fn step(&self) -> DrainStep {
        self.step
    }

    /// Whether new requests are taken.
    #[must_use]
    pub fn accepts(&self) -> bool {
        matches!(self.step, DrainStep::Serving | DrainStep::Leaving)
    }

    /// Takes in an event at monotonic time `now_ms`, with `in_flight` requests in progress.
    pub fn on(&mut self, now_ms: Millis, event: DrainEvent, in_flight: usize) -> Vec<DrainAction> {
        match (self.step, event) {
            (DrainStep::Ended, _) | (DrainStep::Serving, DrainEvent::Tick) => Vec::new(),
            (DrainStep::Serving, DrainEvent::Signal) => {
                self.step = DrainStep::Leaving;
                self.since_ms = now_ms;
                vec![DrainAction::WithdrawFromEntry]
            }
            (_, DrainEvent::Signal) => self.end(in_flight, CutCause::SecondSignal),
            (_, DrainEvent::Tick) => self.tick(now_ms, in_flight),
        }
    }

    fn tick(&mut self, now_ms: Millis, in_flight: usize) -> Vec<DrainAction> {
        let passed = now_ms.saturating_sub(self.since_ms);
        if passed >= self.cfg.deadline_ms {
            return self.end(in_flight, CutCause::Deadline);
        }
        let mut actions = Vec::new();
        if self.step == DrainStep::Leaving && passed >= self.cfg.ttl_ms {
            self.step = DrainStep::Refusing;
            actions.push(DrainAction::RefuseConnections);
        }
        if self.step == DrainStep::Refusing && in_flight == 0 {
            self.step = DrainStep::Ended;
            actions.push(DrainAction::Exit(DrainOutcome::Clean));
        }
        actions
    }

    fn end(&mut self, requests: usize, cause: CutCause) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        if self.step == DrainStep::Leaving {
            actions.push(DrainAction::RefuseConnections);
        }
        self.step = DrainStep::Ended;
        if requests == 0 {
            actions.push(DrainAction::Exit(DrainOutcome::Clean));
        } else {
            actions.push(DrainAction::Cut { requests, cause });
            actions.push(DrainAction::Exit(DrainOutcome::Cut));
        }
        actions
    }
}
