//! What callers and runners saw: the only source of a soak's verdict.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Time since the start of the soak, in milliseconds.
pub type Millis = u64;

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at_ms: Millis,
    /// Service of its route.
    pub service: &'static str,
    /// Maximum number of runners that may run it.
    pub max_attempts: u32,
    /// Time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// Route.
    pub route: &'static str,
    /// Instance that the caller chose, by index, once it has a connection.
    pub instance: Option<usize>,
    /// Whether it is the caller's first attempt.
    pub is_first: bool,
    /// Lethal part of its prompt, by number.
    pub lethal_part: Option<u32>,
    /// What the caller got, once it has ended.
    pub end: Option<End>,
}

/// What a caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// A success that is a runner's whole answer.
    Served,
    /// A success that is complete by its framing, and not a runner's whole answer.
    Garbled,
    /// A success that broke off.
    Cut,
    /// A status that promises that the request has not run.
    Refused,
    /// 401, although the desired state holds the key.
    Denied,
    /// Another failure.
    Failed,
    /// No answer: the connection failed, or the caller gave up.
    Unanswered,
}

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrived.
    pub at_ms: Millis,
    /// Identifier of the request.
    pub id: String,
    /// Index of the runner.
    pub runner: usize,
    /// Index of the instance that sent it.
    pub instance: usize,
    /// Time that the instance left for it, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the runner began to work on it.
    pub ran: bool,
    /// Whether it crashes the runner.
    pub crashes: bool,
    /// Requests a second that the runner's answer says it takes from all instances.
    pub limit_per_s: Option<f64>,
}

/// A read call that reached the store and counts towards its rate.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// When it arrived.
    pub at_ms: Millis,
    /// Index of the instance that made it.
    pub instance: usize,
}

/// A crash of a runner under a lethal request.
#[derive(Clone, Debug)]
pub struct LethalCrash {
    /// When.
    pub at_ms: Millis,
    /// Lethal part of the request's prompt, by number; none for a request that is lethal itself.
    pub part: Option<u32>,
}

/// A runner turned an instance away for a while.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    /// When.
    pub at_ms: Millis,
    /// Index of the runner.
    pub runner: usize,
    /// Index of the instance.
    pub instance: usize,
    /// How long the runner wants nothing from it.
    pub for_ms: Millis,
}

/// Something happened to an instance, a runner or the store from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// An instance, by index.
    Instance(usize),
    /// The paths of an instance to all runners.
    Paths(usize),
    /// A runner, by index.
    Runner(usize),
    /// The store.
    Store,
}

/// What the soak asked a process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// SIGTERM.
    Terminate,
    /// SIGKILL.
    Kill,
    /// SIGKILL, as it still ran some time after SIGTERM.
    KillAfterGrace,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Status {
    /// With an exit code.
    #[display("exit code {_0}")]
    Code(i32),
    /// By a signal.
    #[display("signal {_0}")]
    Signal(i32),
}

/// The end of a process.
#[derive(Clone, Debug)]
pub struct Exit {
    /// When it was noticed.
    pub at_ms: Millis,
    /// How.
    pub status: Status,
    /// Last line of its log.
    pub last_line: String,
}

/// A process of an instance.
#[derive(Clone, Debug)]
pub struct Life {
    /// Index of the instance.
    pub instance: usize,
    /// Number of the process, for `/proc`.
    pub id: Option<u32>,
    /// When it was started.
    pub started_ms: Millis,
    /// When it was first seen to be ready.
    pub ready_ms: Option<Millis>,
    /// What the soak asked of it last, and when it first asked it to end.
    pub asked: Option<(Asked, Millis)>,
    /// Its end.
    pub exit: Option<Exit>,
    /// Most resident memory seen, in megabytes.
    pub most_mb: u64,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Observed {
    /// Requests by identifier.
    pub sent: BTreeMap<String, Sent>,
    /// Arrivals at runners, in order.
    pub arrivals: Vec<Arrival>,
    /// Read calls to the store.
    pub reads: Vec<Read>,
    /// Times for which runners wanted nothing.
    pub rests: Vec<Rest>,
    /// Crashes under lethal requests, in order.
    pub lethal_crashes: Vec<LethalCrash>,
    /// Disturbances, each with its first and last moment.
    pub disturbed: Vec<(Target, Millis, Millis)>,
    /// Processes of the instances, in the order of their starts.
    pub lives: Vec<Life>,
    /// Time within which a process has to become ready.
    pub ready_bound_ms: Millis,
    /// End of the soak.
    pub until_ms: Millis,
}

impl Observed {
    /// Returns whether a disturbance of `target` overlaps the time from `from` to `to`.
    #[must_use]
    pub fn is_disturbed(&self, target: Target, from: Millis, to: Millis) -> bool {
        let mut of_target = self.disturbed.iter().filter(|d| d.0 == target);
        of_target.any(|(_, begin, end)| *begin <= to && from <= *end)
    }
}

/// Record of a running soak.
#[derive(Debug)]
pub struct Record {
    started: Instant,
    observed: Mutex<Observed>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            started: Instant::now(),
            observed: Mutex::default(),
        }
    }
}

impl Record {
    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Millis {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Changes what was seen.
    pub fn with<T>(&self, f: impl FnOnce(&mut Observed) -> T) -> T {
        f(&mut self.observed.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records a disturbance that began at `from` and ends now.
    pub fn disturbed(&self, target: Target, from: Millis) {
        let now = self.now();
        self.with(|o| o.disturbed.push((target, from, now)));
    }
}
