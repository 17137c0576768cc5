//! Processes of a relay one of whose tasks ends by itself. With the feature `failpoints` only.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use jacinthweir_kernel::watchdog::EXIT_STALLED;
use jacinthweir_relay::{OnEnd, TaskName};

/// Maximum time to wait for any condition; a test that waits this long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of a relay whose store does not answer. It is killed when dropped.
struct Process {
    child: Child,
    lines: BufReader<ChildStdout>,
    actions: PathBuf,
    callers: SocketAddr,
}

impl Process {
    fn start(task: TaskName) -> Process {
        Process::start_at(&task.to_string(), addresses(100 + task as u8))
    }

    /// Starts a process for a test, whose addresses end with `host`.
    fn start_as(test: &str, host: u8) -> Process {
        Process::start_at(test, addresses(host))
    }

    fn start_at(name: &str, addresses: [SocketAddr; 6]) -> Process {
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = |end: &str| dir.join(format!("{name}-{}.{end}", std::process::id()));
        let actions = file("failpoints");
        std::fs::write(&actions, "").expect("the file of actions");
        std::fs::write(file("json"), settings(&addresses)).expect("the settings");
        let mut child = Command::new(env!("CARGO_BIN_EXE_jacinthweir"))
            .arg("--relay-settings")
            .arg(file("json"))
            .env("FAILPOINTS_FILE", &actions)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let lines = BufReader::new(child.stdout.take().expect("its output"));
        let mut process = Process {
            child,
            lines,
            actions,
            callers: addresses[0],
        };
        process.wait_for_line("\"message\":\"started\"");
        process
    }

    /// Arms actions at the point of a task.
    fn arm(&self, task: TaskName, actions: &str) {
        let line = format!("task.{task}.one={actions}\n");
        std::fs::write(&self.actions, line).expect("the file of actions");
    }

    /// Sends the signal of this name.
    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.expect("the command").success(), "{name} not sent");
    }

    /// Reads the log up to a line that contains `expected`, and returns that line.
    fn wait_for_line(&mut self, expected: &str) -> String {
        let mut line = String::new();
        while !line.contains(expected) {
            line.clear();
            let read = self.lines.read_line(&mut line).expect("a line");
            assert!(read > 0, "the process ended without {expected}");
        }
        line
    }

    /// Waits until the process has ended.
    fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a state") {
                return status;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "the process lives on");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns addresses that only this test uses: those for callers, readiness, entry, peers, operators, and
/// one on which no store listens.
fn addresses(host: u8) -> [SocketAddr; 6] {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = [127, high.max(1), low, host];
    [7_001, 7_002, 7_003, 7_004, 7_005, 7_006].map(|port| (ip, port).into())
}

fn settings([callers, ready, entry, peers, operators, store]: &[SocketAddr; 6]) -> String {
    format!(
        r#"{{ "name": "one", "failure_domain": "a",
            "listen": {{ "callers": "{callers}", "ready": "{ready}", "entry": "{entry}",
                "peers": "{peers}", "operators": "{operators}" }},
            "store": "{store}",
            "bounds": {{ "revocation_ms": 5000, "shutdown_s": 8.0, "entry_ttl_ms": 100,
                "repeat_ratio": 0.2, "repeat_slack": 196.0, "repeat_window_s": 10.0 }} }}"#
    )
}

/// Guards against a process that lives on without one of its tasks: nothing noticed that its recovery
/// task had ended by a panic.
#[gtest]
fn a_panic_in_a_task_ends_the_process_with_a_failure() {
    let needed = TaskName::ALL.into_iter();
    for task in needed.filter(|t| t.on_end() == OnEnd::EndProcess) {
        let mut process = Process::start(task);
        process.arm(task, "return(panic)");
        let panic = process.wait_for_line("\"message\":\"panic\"");
        expect_that!(
            panic,
            contains_substring(format!("fault point task.{task}.one"))
        );
        let line = process.wait_for_line("\"message\":\"a task ended\"");
        expect_that!(line, contains_substring(format!("\"task\":\"{task}\"")));
        expect_that!(line, contains_substring("panicked: fault point"));
        let last = process.wait_for_line("\"message\":\"stopped\"");
        expect_that!(last, contains_substring("\"ended\":\"task_ended\""));
        expect_that!(last, contains_substring("\"exit_code\":\"1\""));
        expect_that!(process.wait().code(), some(eq(1)));
    }
}

/// Guards against a process that hangs for good: its only thread was in a task that never ended, and neither
/// the process nor its platform did anything about it. It ends by its watchdog, which says where it hung.
#[gtest]
fn a_task_that_occupies_the_only_thread_ends_the_process() {
    let task = TaskName::Placement;
    let mut process = Process::start_as("hang", 150);
    process.arm(task, "return(hang)");
    let stalled = process.wait_for_line("\"message\":\"the event loop makes no progress\"");
    expect_that!(
        stalled,
        contains_substring("\"activity\":\"task placement\"")
    );
    process.wait_for_line("ending the process");
    let last = process.wait_for_line("\"message\":\"stopped\"");
    expect_that!(last, contains_substring("\"ended\":\"stalled\""));
    expect_that!(process.wait().code(), some(eq(i32::from(EXIT_STALLED))));
}

/// Guards against the end of a sound process that was stopped for longer than a stalled one may live.
#[gtest]
fn a_process_that_was_stopped_goes_on() {
    let mut process = Process::start_as("stop", 151);
    process.signal("STOP");
    std::thread::sleep(Duration::from_secs(13));
    process.signal("CONT");
    std::thread::sleep(Duration::from_secs(3));
    expect_that!(process.child.try_wait().expect("a state"), none());
    let stream = TcpStream::connect(process.callers);
    expect_that!(stream.is_ok(), eq(true));
}

/// Guards against a process that ends, with all streams of its callers, because of a single panic in a
/// listener.
#[gtest]
fn a_panic_in_the_callers_listener_leaves_the_process_serving() {
    let task = TaskName::CallersListener;
    let mut process = Process::start(task);
    process.arm(task, "1*return(panic)->off");
    process.wait_for_line("\"message\":\"a task ended\"");
    let mut stream = TcpStream::connect(process.callers).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    expect_that!(answer, starts_with("HTTP/1.1 "));
    expect_that!(process.child.try_wait().expect("a state"), none());
}

/// Guards against a panic of the main thread that ends the process without a last line in the log.
#[gtest]
fn a_panic_of_the_main_thread_is_the_last_line() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = path.join(format!("main-panic-{}.json", std::process::id()));
    std::fs::write(&path, settings(&addresses(152))).expect("the settings");
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthweir"))
        .arg("--relay-settings")
        .arg(&path)
        .env("FAILPOINTS", "task.start.one=return(panic)")
        .output()
        .expect("a process");
    expect_that!(output.status.code(), some(eq(101)));
    let log = String::from_utf8_lossy(&output.stdout);
    let last = log.lines().last().unwrap_or_default();
    expect_that!(last, contains_substring("\"message\":\"stopped\""));
    expect_that!(last, contains_substring("\"ended\":\"panic\""));
    expect_that!(last, contains_substring("fault point task.start.one"));
}
