//! State of admission for operators.

use serde::Serialize;

/// State of admission.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionDump {
    /// Requests waiting.
    pub queued: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// Token estimates kept.
    pub estimates: usize,
    /// Each pipeline.
    pub pipelines: Vec<PipelineDump>,
}

/// One pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct PipelineDump {
    /// Its index, as `pipeline0`.
    pub pipeline: String,
    /// Requests in flight.
    pub in_flight: u32,
    /// The most that may be.
    pub limit: u32,
    /// Tokens a second that it is taken to get through.
    pub tokens_per_s: f64,
    /// Milliseconds that one token of a request takes lately.
    pub ms_per_token: Option<f64>,
    /// Time until all that waits has drained, in milliseconds.
    pub drain_ms: Option<u64>,
    /// Each priority class with waiting requests.
    pub queues: Vec<QueueDump>,
}

/// One priority class.
#[derive(Clone, Debug, Serialize)]
pub struct QueueDump {
    /// `resumed`, or the priority.
    pub class: String,
    /// Requests waiting.
    pub queued: usize,
    /// Their tokens, as estimated.
    pub tokens: u64,
    /// Organisations that they are of.
    pub organisations: usize,
}
