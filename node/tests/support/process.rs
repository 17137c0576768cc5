//! A process under test, its settings, and what it writes.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

/// Maximum time to wait for any condition; a test that waits this long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(5);

/// Port of the first address of a test.
const FIRST_PORT: u16 = 7_001;

/// Addresses that only one test uses: those for callers, readiness, entry, peers, operators, and one on
/// which nothing listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Callers.
    pub callers: SocketAddr,
    /// Readiness.
    pub ready: SocketAddr,
    /// Entry requests.
    pub entry: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Store or platform, which does not answer.
    pub store: SocketAddr,
}

impl Addresses {
    /// Returns the addresses of a test, which end with `host`.
    pub fn of(host: u8) -> Addresses {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let at = |n: u16| ([127, high.max(1), low, host], FIRST_PORT + n).into();
        Addresses {
            callers: at(0),
            ready: at(1),
            entry: at(2),
            peers: at(3),
            operators: at(4),
            store: at(5),
        }
    }

    /// Returns the settings of a relay at these addresses.
    pub fn relay_settings(&self) -> String {
        let Addresses {
            callers,
            ready,
            entry,
            peers,
            operators,
            store,
        } = self;
        format!(
            r#"{{ "name": "one", "failure_domain": "a",
                "listen": {{ "callers": "{callers}", "ready": "{ready}", "entry": "{entry}",
                    "peers": "{peers}", "operators": "{operators}" }},
                "store": "{store}",
                "bounds": {{ "revocation_ms": 5000, "shutdown_s": 2.0, "entry_ttl_ms": 100,
                    "repeat_ratio": 0.2, "repeat_slack": 196.0, "repeat_window_s": 10.0 }} }}"#
        )
    }

    /// Returns the settings of an instance with the own interface at these addresses.
    pub fn own_settings(&self) -> String {
        let Addresses {
            callers,
            peers,
            operators,
            store,
            ..
        } = self;
        let hash = "0".repeat(64);
        format!(
            r#"{{ "name": "one", "failure_domain": "a",
                "listen": {{ "callers": "{callers}", "peers": "{peers}", "operators": "{operators}" }},
                "platform": {{ "address": "{store}" }},
                "tokens": {{ "operators_sha256": "{hash}", "peers": "0123456789abcdef" }},
                "timing": {{ "entry_ttl_ms": 100 }} }}"#
        )
    }
}

/// Which of the two forms of the product a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The relay, which runs on its users' platform.
    Relay,
    /// An instance with the own interface.
    Own,
}

impl Form {
    /// Returns settings at `addresses`.
    pub fn settings(self, addresses: &Addresses) -> String {
        match self {
            Form::Relay => addresses.relay_settings(),
            Form::Own => addresses.own_settings(),
        }
    }

    /// Returns part of the line that it logs at a hang-up.
    pub fn hang_up(self) -> &'static str {
        match self {
            Form::Relay => "settings file is valid",
            Form::Own => "hang-up signal ignored",
        }
    }

    fn option(self) -> &'static str {
        match self {
            Form::Relay => "--relay-settings",
            Form::Own => "--settings",
        }
    }
}

/// Returns the path of a test's settings file.
pub fn settings_path(test: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    dir.join(format!("{test}-{}.json", std::process::id()))
}

/// A process whose standard output and error are read as one. It is killed when dropped.
pub struct Process {
    child: Child,
    lines: Receiver<String>,
    last_line: String,
}

impl Process {
    /// Writes `settings` and starts a process with them.
    pub fn start(test: &str, form: Form, settings: &str) -> Process {
        let path = settings_path(test);
        std::fs::write(&path, settings).expect("the settings");
        Process::start_with(form, &path)
    }

    /// Starts a process with the settings file at `path`, whatever is there.
    pub fn start_with(form: Form, path: &Path) -> Process {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let child = command(form, path)
            .stdout(writer.try_clone().expect("its other end"))
            .stderr(writer)
            .spawn()
            .expect("a process");
        let (tx, lines) = channel();
        // A read cannot be bounded; the wait for its lines is.
        std::thread::spawn(move || {
            let mut lines = BufReader::new(reader).lines().map_while(Result::ok);
            lines.try_for_each(|line| tx.send(line))
        });
        Process {
            child,
            lines,
            last_line: String::new(),
        }
    }

    /// Sends the signal of this name.
    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }

    /// Reads the output up to a line that contains `expected`, and returns that line.
    pub fn wait_for_line(&mut self, expected: &str) -> String {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let line = self.read_line(deadline);
            let line = line.unwrap_or_else(|| panic!("ended without {expected}"));
            if line.contains(expected) {
                return line;
            }
        }
    }

    /// Waits for the end of the process, and returns its exit code and its last line.
    pub fn wait(&mut self) -> (Option<i32>, String) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while self.read_line(deadline).is_some() {}
        let status = wait_for_end(&mut self.child);
        (status.code(), self.last_line.clone())
    }

    /// Whether the process has not ended.
    pub fn lives(&mut self) -> bool {
        self.child.try_wait().expect("a state").is_none()
    }

    /// Whether the process handles hang-up signals, by the kernel's mask of signals that it catches.
    pub fn catches_hang_ups(&self) -> bool {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let mask = status.lines().find_map(|l| l.strip_prefix("SigCgt:"));
        let mask = mask.and_then(|m| u64::from_str_radix(m.trim(), 16).ok());
        // Signal 1, a hang-up, is the lowest bit.
        mask.is_some_and(|mask| mask & 1 != 0)
    }

    fn read_line(&mut self, deadline: Instant) -> Option<String> {
        let left = deadline.saturating_duration_since(Instant::now());
        match self.lines.recv_timeout(left) {
            Ok(line) => {
                self.last_line.clone_from(&line);
                Some(line)
            }
            Err(RecvTimeoutError::Disconnected) => None,
            Err(RecvTimeoutError::Timeout) => panic!("waited in vain, after {}", self.last_line),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the command that starts a process.
pub fn command(form: Form, path: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jacinthweir"));
    command.arg(form.option()).arg(path).stdin(Stdio::null());
    command
}

/// Sends a process the signal of this name.
pub fn send_signal(child: &Child, name: &str) {
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-s", name, &pid]).status();
    assert!(sent.expect("the command").success(), "{name} not sent");
}

/// Waits until a process has ended.
pub fn wait_for_end(child: &mut Child) -> ExitStatus {
    let mut status = None;
    wait_until("the end", || {
        status = child.try_wait().expect("a state");
        status.is_some()
    });
    status.expect("a status")
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TEST_TIMEOUT, "waited in vain for {what}");
        std::thread::sleep(POLL);
    }
}

/// Whether something accepts connections at `address`.
pub fn accepts(address: SocketAddr) -> bool {
    TcpStream::connect(address).is_ok()
}
