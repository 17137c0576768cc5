//! Handles of child processes.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_testkit::fleet::process::{Output, Process, ProcessSpec};

/// Pauses of the process.
const PAUSES: usize = 50;

/// Guards against a process that runs on after its pause, and sends what the test forbids it meanwhile.
#[gtest]
#[tokio::test]
async fn a_process_has_stopped_when_its_pause_has_begun() {
    let dir = tempfile::tempdir().expect("a folder");
    let process = Process::spawn(ProcessSpec {
        program: "/bin/sh".into(),
        args: vec!["-c".into(), "while :; do :; done".into()],
        env: Vec::new(),
        log: dir.path().join("log"),
        output: Output::Log,
    });
    let process = process.expect("it starts");
    for _ in 0..PAUSES {
        process.freeze().await.expect("it is paused");
        expect_true!(process.is_stopped());
        process.wake().expect("it goes on");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
