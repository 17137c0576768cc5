//! An instance under test: a release program as a process of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::read_head;
use super::observed::{Asked, Exit, Life, Record, Status};
use super::site::{BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_MS};
use crate::Result;
use crate::fleet::process::{Output, Process, ProcessSpec};

/// Time that an instance has to say whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which a program's runtime begins, and interval of looking for it.
const RUNTIME_TIMEOUT: Duration = Duration::from_secs(1);
const RUNTIME_INTERVAL: Duration = Duration::from_micros(50);

/// Port at which an instance hears others.
pub const PEERS_PORT: u16 = 7_004;

/// Ports of an instance: callers, readiness, entry, peers, operators.
pub const PORTS: [u16; 5] = [7_001, 7_002, 7_003, PEERS_PORT, 7_005];

/// What an instance is started with.
#[derive(Clone, Debug)]
pub struct InstanceSpec {
    /// Program.
    pub program: PathBuf,
    /// Folder of its settings and log.
    pub folder: PathBuf,
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: &'static str,
    /// Address of its machine.
    pub ip: [u8; 4],
    /// Addresses at which other instances hear each other.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address at which it reaches each runner.
    pub runner_addresses: BTreeMap<SocketAddr, SocketAddr>,
    /// Whether the program knows the setting `first_start`.
    pub knows_first_start: bool,
}

impl InstanceSpec {
    /// Returns the address of one of its listeners.
    #[must_use]
    pub fn listen(&self, index: usize) -> SocketAddr {
        (self.ip, PORTS[index]).into()
    }

    /// Returns the address at which it accepts callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.listen(0)
    }

    /// Returns the address at which it hears other instances.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.listen(3)
    }

    /// Returns the address at which it says whether it is ready.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.listen(1)
    }

    /// Returns the path of its settings.
    #[must_use]
    pub fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.jsonc", self.name))
    }

    /// Writes its settings.
    ///
    /// # Errors
    /// Fails if the file can't be written.
    pub fn write_settings(&self, is_first_start: bool) -> Result<()> {
        let mut settings = json!({
            "name": self.name, "failure_domain": self.domain,
            "listen": {
                "callers": self.listen(0), "ready": self.listen(1), "entry": self.listen(2),
                "peers": self.listen(3), "operators": self.listen(4),
            },
            "seeds": self.seeds, "store": self.store, "runner_addresses": self.runner_addresses,
            "processor": { "share": 0.25, "speed": 1 },
            "bounds": {
                "revocation_ms": 5_000, "shutdown_s": 8, "entry_ttl_ms": 1_000,
                "repeat_ratio": BUDGET_RATIO, "repeat_slack": BUDGET_SLACK,
                "repeat_window_s": BUDGET_WINDOW_MS / 1_000,
            },
            "log": { "level": "info", "format": "json" },
        });
        if self.knows_first_start {
            settings["first_start"] = is_first_start.into();
        }
        Ok(std::fs::write(self.settings_path(), settings.to_string())?)
    }
}

/// A running instance. What becomes of its processes is recorded.
#[derive(Debug)]
pub struct Instance {
    slot: usize,
    spec: InstanceSpec,
    process: Process,
    record: Arc<Record>,
    /// Number of its process's life in the record.
    life: usize,
}

impl Instance {
    /// Starts an instance without waiting for it.
    ///
    /// # Errors
    /// Fails if its settings can't be written or its program can't be started.
    pub fn spawn(
        slot: usize,
        spec: InstanceSpec,
        is_first_start: bool,
        record: Arc<Record>,
    ) -> Result<Instance> {
        spec.write_settings(is_first_start)?;
        let (process, life) = start(slot, &spec, &record)?;
        Ok(Instance {
            slot,
            spec,
            process,
            record,
            life,
        })
    }

    /// Returns what it was started with.
    #[must_use]
    pub fn spec(&self) -> &InstanceSpec {
        &self.spec
    }

    /// Returns what it is started with the next time.
    pub fn spec_mut(&mut self) -> &mut InstanceSpec {
        &mut self.spec
    }

    /// Returns its process.
    #[must_use]
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the number of its process's life in the record.
    #[must_use]
    pub fn life(&self) -> usize {
        self.life
    }

    /// Returns whether its process has ended, and records that.
    pub fn has_ended(&mut self) -> bool {
        let Ok(Some(status)) = self.process.exited() else {
            return false;
        };
        let at_ms = self.record.now();
        let exit = Exit {
            at_ms,
            status: match status.code() {
                Some(code) => Status::Code(code),
                None => Status::Signal(status.signal().unwrap_or_default()),
            },
            last_line: self.process.last_line(),
        };
        self.record.with(|o| {
            o.lives[self.life].exit.get_or_insert(exit);
        });
        true
    }

    fn record_asked(&self, asked: Asked) {
        let now_ms = self.record.now();
        self.record.with(|o| {
            let known = &mut o.lives[self.life].asked;
            *known = Some((asked, known.map_or(now_ms, |(_, at_ms)| at_ms)));
        });
    }

    /// Kills it, if it still runs.
    ///
    /// # Errors
    /// Fails if the process can't be signalled.
    pub async fn kill(&mut self) -> Result<()> {
        self.end(Asked::Kill).await
    }

    async fn end(&mut self, asked: Asked) -> Result<()> {
        if self.has_ended() {
            return Ok(());
        }
        self.record_asked(asked);
        self.process.kill().await?;
        self.has_ended();
        Ok(())
    }

    /// Kills it, if it still runs, and starts it again with the settings of a restart.
    ///
    /// # Errors
    /// Fails if it can't be started.
    pub async fn restart(&mut self) -> Result<()> {
        self.kill().await?;
        self.spec.write_settings(false)?;
        self.start_again()
    }

    /// Starts its program with the settings that stand, and lets go of the former process, which has to have
    /// ended.
    ///
    /// # Errors
    /// Fails if it can't be started.
    pub fn start_again(&mut self) -> Result<()> {
        (self.process, self.life) = start(self.slot, &self.spec, &self.record)?;
        Ok(())
    }

    /// Starts a successor at the same addresses, and returns the predecessor, which goes on.
    ///
    /// # Errors
    /// Fails if the successor can't be started.
    pub fn succeed(&mut self) -> Result<Instance> {
        let (process, life) = start(self.slot, &self.spec, &self.record)?;
        let successor = Instance {
            slot: self.slot,
            spec: self.spec.clone(),
            process,
            record: Arc::clone(&self.record),
            life,
        };
        Ok(std::mem::replace(self, successor))
    }

    /// Asks it to shut down, once it can heed a signal.
    ///
    /// # Errors
    /// Fails if the process can't be signalled.
    pub async fn terminate(&mut self) -> Result<()> {
        self.wait_for_runtime().await;
        if self.has_ended() {
            return Ok(());
        }
        self.record_asked(Asked::Terminate);
        self.process.terminate()
    }

    /// Waits until it has ended after SIGTERM, and kills it after `grace`.
    ///
    /// # Errors
    /// Fails if the process can't be signalled.
    pub async fn wait_for_end(&mut self, grace: Duration) -> Result<()> {
        self.process.ended(grace).await?;
        self.end(Asked::KillAfterGrace).await
    }

    /// Waits until the program itself has begun: its runtime's signal handlers stand. No program can heed a
    /// signal that comes while it is being loaded.
    pub async fn wait_for_runtime(&self) {
        let Some(id) = self.process.id() else {
            return;
        };
        // The clock of the async runtime is too coarse for what begins within a millisecond.
        let wait = move || {
            let until = Instant::now() + RUNTIME_TIMEOUT;
            while !has_signal_handlers(id) && Instant::now() < until {
                std::thread::sleep(RUNTIME_INTERVAL);
            }
        };
        let _ = tokio::task::spawn_blocking(wait).await;
    }
}

fn has_signal_handlers(id: u32) -> bool {
    let mask = status_field(id, "SigCgt:");
    mask.is_none_or(|mask| mask.chars().any(|digit| digit != '0'))
}

/// Returns a field of a child process in `/proc`, or `None` if it has ended.
fn status_field(id: u32, name: &str) -> Option<String> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let field = |name: &str| {
        let mut values = status.lines().filter_map(|line| line.strip_prefix(name));
        values.next().map(|value| value.trim().to_owned())
    };
    // The number may belong to another process by now.
    let is_own = field("PPid:")? == std::process::id().to_string();
    field(name).filter(|_| is_own)
}

/// Returns the resident memory of a child process in megabytes.
#[must_use]
pub fn resident_mb(id: u32) -> Option<u64> {
    let field = status_field(id, "VmRSS:")?;
    let kb: u64 = field.trim_end_matches("kB").trim().parse().ok()?;
    Some(kb / 1_024)
}

/// Starts a process with a log of its own, and records that it lives.
fn start(slot: usize, spec: &InstanceSpec, record: &Record) -> Result<(Process, usize)> {
    let process = Process::spawn(ProcessSpec {
        program: spec.program.clone(),
        args: vec!["--relay-settings".into(), spec.settings_path().into()],
        env: Vec::new(),
        log: spec
            .folder
            .join(format!("{}.{}.log", spec.name, record.now())),
        output: Output::Log,
    })?;
    let life = Life {
        instance: slot,
        id: process.id(),
        started_ms: record.now(),
        ready_ms: None,
        asked: None,
        exit: None,
        most_mb: 0,
    };
    let number = record.with(|o| {
        o.lives.push(life);
        o.lives.len() - 1
    });
    Ok((process, number))
}

/// Returns whether an instance says that it is ready, at its address for that.
pub async fn is_ready(address: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let text = b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(text).await.ok()?;
        let head = read_head(&mut BufReader::new(stream)).await.ok()?;
        Some(head.status() == 200)
    };
    matches!(timeout(READY_TIMEOUT, asked).await, Ok(Some(true)))
}

/// Returns the path of the program in a checkout, or the path itself if it is a program.
#[must_use]
pub fn program_of(path: &Path) -> PathBuf {
    match path.is_dir() {
        true => path.join("target/release/jacinthweir"),
        false => path.to_owned(),
    }
}
