//! An instance under test: a release program as a process of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::message::read_head;
use super::site::{BUDGET_RATIO, BUDGET_SLACK, BUDGET_WINDOW_MS};
use crate::fleet::process::{Output, Process, ProcessSpec};
use crate::{Error, Result};

/// Time within which an instance has to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two questions whether an instance is ready.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Port at which an instance hears others.
pub const PEERS_PORT: u16 = 7_004;

/// Ports of an instance: callers, readiness, entry, peers, operators.
const PORTS: [u16; 5] = [7_001, 7_002, 7_003, PEERS_PORT, 7_005];

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
    fn listen(&self, index: usize) -> SocketAddr {
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

    fn write_settings(&self, is_first_start: bool) -> Result<PathBuf> {
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
        let path = self.folder.join(format!("{}.jsonc", self.name));
        std::fs::write(&path, settings.to_string())?;
        Ok(path)
    }
}

/// A running instance.
#[derive(Debug)]
pub struct Instance {
    spec: InstanceSpec,
    process: Process,
}

impl Instance {
    /// Starts an instance without waiting for it.
    ///
    /// # Errors
    /// Fails if its settings can't be written or its program can't be started.
    pub fn spawn(spec: InstanceSpec, is_first_start: bool) -> Result<Instance> {
        let settings = spec.write_settings(is_first_start)?;
        let process = Process::spawn(ProcessSpec {
            program: spec.program.clone(),
            args: vec!["--relay-settings".into(), settings.into()],
            env: Vec::new(),
            log: spec.folder.join(format!("{}.log", spec.name)),
            output: Output::Log,
        })?;
        Ok(Instance { spec, process })
    }

    /// Returns what it was started with.
    #[must_use]
    pub fn spec(&self) -> &InstanceSpec {
        &self.spec
    }

    /// Sets the addresses at which it looks for others from its next start on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.spec.seeds = seeds;
    }

    /// Returns its process.
    #[must_use]
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Kills it, if it still runs, and starts it again with the settings of a restart.
    ///
    /// # Errors
    /// Fails if it can't be started.
    pub async fn restart(&mut self) -> Result<()> {
        self.spec.write_settings(false)?;
        self.process.restart().await
    }

    /// Asks it to shut down, and kills it after `grace`.
    ///
    /// # Errors
    /// Fails if the process can't be signalled.
    pub async fn shut_down(&mut self, grace: Duration) -> Result<()> {
        self.process.terminate()?;
        if self.process.ended(grace).await?.is_none() {
            self.process.kill().await?;
        }
        Ok(())
    }

    /// Waits until it says that it is ready.
    ///
    /// # Errors
    /// Fails if that takes too long.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let until = Instant::now() + READY_TIMEOUT;
        while !self.is_ready().await {
            if Instant::now() > until {
                let cause = format!(
                    "{} is not ready; its log ends with:\n{}",
                    self.spec.name,
                    self.process.log_tail()
                );
                return Err(Error::Other(cause));
            }
            sleep(READY_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.spec.listen(1)).await.ok()?;
            let text = b"GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            stream.write_all(text).await.ok()?;
            let head = read_head(&mut BufReader::new(stream)).await.ok()?;
            Some(head.status() == 200)
        };
        matches!(timeout(READY_INTERVAL * 10, asked).await, Ok(Some(true)))
    }
}

/// Returns the path of the program in a checkout, or the path itself if it is a program.
#[must_use]
pub fn program_of(path: &Path) -> PathBuf {
    match path.is_dir() {
        true => path.join("target/release/jacinthweir"),
        false => path.to_owned(),
    }
}
