//! Admission state for operators.

use serde::Serialize;

/// Admission state of one instance.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionDump {
    /// Queued requests.
    pub queued: usize,
    /// Requests in flight.
    pub in_flight: usize,
    /// Pairs of organisation and pipeline with a token estimate.
    pub estimates: usize,
    /// All pipelines.
    pub pipelines: Vec<PipelineDump>,
}

/// Admission state of one pipeline.
#[derive(Clone, Debug, Serialize)]
pub struct PipelineDump {
    /// Its index, as `pipeline0`.
    pub pipeline: String,
    /// Requests in flight.
    pub in_flight: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Estimated drain rate, in tokens per second.
    pub tokens_per_s: f64,
    /// Moving mean of a request's latency per token, in milliseconds.
    pub ms_per_token: Option<f64>,
    /// Time until all queues have drained, in milliseconds.
    pub drain_ms: Option<u64>,
    /// Priority classes with queued requests.
    pub queues: Vec<QueueDump>,
}

/// Queue of one priority class.
#[derive(Clone, Debug, Serialize)]
pub struct QueueDump {
    /// `resumed`, or the priority.
    pub class: String,
    /// Queued requests.
    pub queued: usize,
    /// Their estimated tokens.
    pub tokens: u64,
    /// Number of organisations with queued requests.
    pub organisations: usize,
}
