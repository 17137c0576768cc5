//! Malformed input to each listener is refused as "not run" and does not affect other requests.
//!
//! The cases are in `cases/*.txt`. They run against the three listeners of one instance, whose
//! plug-in tasks are not started and whose configuration is set by the test.

#[path = "support/instance.rs"]
mod support;

use googletest::prelude::*;
use support::{Instance, read_cases};

async fn run_cases(text: &str, address: std::net::SocketAddr) -> Vec<String> {
    let mut faults = Vec::new();
    for case in read_cases(text) {
        let got = support::send(address, &case.request).await;
        if got != case.expected {
            faults.push(format!(
                "{}: expected {:?}, got {got:?}",
                case.name, case.expected
            ));
        }
    }
    faults
}

// Hostile input gets a 4xx or a closed connection within the instance's time-outs, and the same
// listener still answers an ordinary request afterwards. The cases run in turn, each on its own
// connection. Guards against a head or body that never ends and holds memory or a connection slot
// for longer than its time-out.
#[gtest]
fn hostile_input_is_refused_on_each_listener() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let instance = Instance::bind().await;
        let callers = run_cases(include_str!("cases/callers.txt"), instance.callers).await;
        expect_that!(callers, is_empty());
        let operators = run_cases(include_str!("cases/operators.txt"), instance.operators).await;
        expect_that!(operators, is_empty());
        let peers = run_cases(include_str!("cases/peers.txt"), instance.peers).await;
        expect_that!(peers, is_empty());
        expect_that!(instance.cx.records.counts().running, eq(0));
    });
}

// The linker drops a crate that nothing refers to, so a plug-in could be missing without an error.
#[gtest]
fn every_plugin_is_linked() {
    let names: Vec<&str> = jacinthweir_kernel::plugin::sorted()
        .iter()
        .map(|p| p.name)
        .collect();
    expect_that!(
        names,
        container_eq([
            "callers",
            "operators",
            "peers",
            "quarantine",
            "schema",
            "services",
            "upstreams"
        ])
    );
}
