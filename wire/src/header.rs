//! Names of the HTTP headers defined by this system.

/// Final outcome of a request: `answered`, `not_run`, `failed` or `unknown`. For a stream the value
/// is `streamed`, and the last event of the stream has the outcome.
pub const OUTCOME: &str = "jacinthweir-outcome";
/// Request id, assigned by the instance that received the request.
pub const REQUEST: &str = "jacinthweir-request";
/// Attempt number, from 1, in requests to upstreams.
pub const ATTEMPT: &str = "jacinthweir-attempt";
/// Deadline set by the caller, in milliseconds from the arrival of the request.
pub const DEADLINE_MS: &str = "jacinthweir-deadline-ms";
/// Priority class set by the caller. It can only lower that of the organisation.
pub const PRIORITY: &str = "jacinthweir-priority";
/// Failure domain of the caller, a hint for the selection of entry instances.
pub const DOMAIN: &str = "jacinthweir-domain";
/// Idempotency key of the request, chosen by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Response header of a plain service: `no` if it refused the call before running any part of it.
pub const RAN: &str = "jacinthweir-ran";
/// Value of [`OUTCOME`] in the response head of a stream.
pub const STREAMED: &str = "streamed";
