//! HTTP header names of the product's own.

/// Final outcome of a request: `answered`, `not_run`, `failed`, `unknown`; `streamed` while a
/// stream is open, whose last event then has the outcome.
pub const OUTCOME: &str = "jacinthweir-outcome";
/// Request id, given by the instance that received the request.
pub const REQUEST: &str = "jacinthweir-request";
/// Attempt number towards an upstream, from 1.
pub const ATTEMPT: &str = "jacinthweir-attempt";
/// Caller's deadline in milliseconds from the arrival of the request.
pub const DEADLINE_MS: &str = "jacinthweir-deadline-ms";
/// Caller's priority class: may only lower the organisation's own.
pub const PRIORITY: &str = "jacinthweir-priority";
/// Caller's failure domain, a hint for the entry answer.
pub const DOMAIN: &str = "jacinthweir-domain";
/// Caller's idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// From a plain service: `no` says that it refused the call before any of it ran.
pub const RAN: &str = "jacinthweir-ran";
/// The value of [`OUTCOME`] while a stream is open.
pub const STREAMED: &str = "streamed";
