//! Requests to upstreams of the own interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jacinthweir_clients::service::ServiceCall;
use jacinthweir_wire::runner::{LayerRange, RunRequest, Stage};

/// Far longer than any of these requests takes: a test that waits for it shows that the client waited on.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// Returns a call of a plain service.
pub fn service_call(address: SocketAddr) -> ServiceCall {
    ServiceCall {
        address,
        call: "lookup".to_owned(),
        request: "r".to_owned(),
        attempt: 1,
        key: None,
        content_type: None,
        body: Bytes::new(),
        timeout: DEADLINE,
    }
}

/// Returns a run of a model runner.
pub fn run_request(address: SocketAddr) -> RunRequest {
    RunRequest {
        request: "r".into(),
        attempt: 1,
        model: "m".into(),
        route: vec![Stage {
            runner: "one".into(),
            address,
            layers: LayerRange { start: 0, end: 1 },
        }],
        prompt: String::new(),
        resume: Vec::new(),
        max_tokens: 1,
        priority: 0,
        deadline_ms: 1,
        kv_from: None,
    }
}
