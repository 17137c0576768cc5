//! The rules that a soak counts, as they were broken.

use crate::soak::observed::Millis;

/// A broken rule.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
pub enum Violation {
    /// A service got more repeats in a window than the budget allows.
    #[display("{service}: {repeats} repeats from {from_ms} ms on, {allowed:.0} allowed")]
    Repeats {
        /// Service.
        service: &'static str,
        /// Beginning of the window.
        from_ms: Millis,
        /// Arrivals beyond the first of each request.
        repeats: usize,
        /// Repeats that are allowed.
        allowed: f64,
    },
    /// Requests ran on more runners than their route allows.
    #[display("{} requests ran on too many runners: {}", _0.len(), _0.join(" "))]
    TooManyRunners(Vec<String>),
    /// Runners were left more time than there was.
    #[display("{_0} requests left too much time")]
    LateDeadlines(usize),
    /// Requests reached a runner that wanted nothing from their instance.
    #[display("{_0} requests reached a resting runner")]
    AtRest(usize),
    /// Lethal requests reached runners after they were known.
    #[display("{requests} lethal requests reached runners{}", of_part(*part))]
    Lethal {
        /// Number of their lethal part; none for a request that is lethal itself.
        part: Option<u32>,
        /// How many.
        requests: usize,
    },
    /// Sound requests did not begin at the first attempt beside those with a lethal part.
    #[display("{begun} of {sent} sound requests began beside lethal part {part}")]
    Lost {
        /// Number of the part.
        part: u32,
        /// Requests that began.
        begun: usize,
        /// Requests.
        sent: usize,
    },
    /// A runner got more requests than it said it takes.
    #[display("runner {runner}: {requests} requests from {from_ms} ms on, {allowed:.1} allowed")]
    Limit {
        /// Index of the runner.
        runner: usize,
        /// Beginning of the window.
        from_ms: Millis,
        /// Requests in it.
        requests: usize,
        /// Requests that are allowed.
        allowed: f64,
    },
    /// Successes that are not a runner's whole answer.
    #[display("{_0} successes are no whole answer")]
    Garbled(usize),
    /// Requests got 401 although the desired state holds their key.
    #[display("{_0} requests with a known key got 401")]
    Denied(usize),
    /// Instances made more read calls to the store than their share of its rate.
    #[display("{} {reads} reads of the store from {from_ms} ms on, {allowed} a second allowed", by(*instance))]
    Reads {
        /// Index of the instance; none for all together.
        instance: Option<usize>,
        /// Beginning of the second.
        from_ms: Millis,
        /// Reads in it.
        reads: usize,
        /// Reads that are allowed.
        allowed: usize,
    },
    /// A process ended although nobody asked it to.
    #[display(
        "FAULT: instance {instance} ended unasked at {at_ms} ms, {after_ms} ms after its start: {how}"
    )]
    EndedUnasked {
        /// Index of the instance.
        instance: usize,
        /// When.
        at_ms: Millis,
        /// Time since its start.
        after_ms: Millis,
        /// Exit code or signal, and the last line of its log.
        how: String,
    },
    /// A process ended with a failure after SIGTERM, or had to be killed after its grace.
    #[display("FAULT: instance {instance} did not stop cleanly, at {at_ms} ms: {how}")]
    BadStop {
        /// Index of the instance.
        instance: usize,
        /// When.
        at_ms: Millis,
        /// Exit code or signal, and the last line of its log.
        how: String,
    },
    /// A process was not ready in time.
    #[display("FAULT: instance {instance} was not ready in time, from {from_ms} ms on{}", at_last(*from_ms, *ready_ms))]
    NotReady {
        /// Index of the instance.
        instance: usize,
        /// From when on nothing held up its start.
        from_ms: Millis,
        /// When it was ready, if it was.
        ready_ms: Option<Millis>,
    },
    /// A process needed more memory than its machine has.
    #[display("FAULT: instance {instance} needed {mb} MB")]
    Memory {
        /// Index of the instance.
        instance: usize,
        /// Most resident memory seen, in megabytes.
        mb: u64,
    },
}

fn of_part(part: Option<u32>) -> String {
    part.map_or_else(String::new, |number| format!(", lethal part {number}"))
}

fn at_last(from_ms: Millis, ready_ms: Option<Millis>) -> String {
    let took = |at_ms: Millis| format!(", but {} ms later", at_ms.saturating_sub(from_ms));
    ready_ms.map_or_else(|| ", nor later".to_owned(), took)
}

fn by(instance: Option<usize>) -> String {
    instance.map_or_else(
        || "all instances:".to_owned(),
        |index| format!("instance {index}:"),
    )
}
