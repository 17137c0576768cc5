//! One process of a fleet, held by its handle.
//!
//! The handle starts, signals and restarts exactly the process it started. Dropping it kills the
//! process, so that a test that fails leaves nothing running. Standard error goes to a file;
//! every start appends to it.

use std::ffi::OsString;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::{Error, Result};

/// Longest wait for a stand-in's first line.
const FIRST_LINE_WAIT: Duration = Duration::from_secs(20);

/// What to start.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Program.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<OsString>,
    /// Environment variables on top of the own ones.
    pub env: Vec<(OsString, OsString)>,
    /// File that takes standard error.
    pub log: PathBuf,
}

/// A process that was started.
#[derive(Debug)]
pub struct Process {
    spec: ProcessSpec,
    child: Child,
}

impl Process {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub fn spawn(spec: ProcessSpec) -> Result<Self> {
        let child = start(&spec)?;
        Ok(Self { spec, child })
    }

    /// Reads the first line that it prints.
    ///
    /// # Errors
    ///
    /// Where it ends or is silent for long.
    pub async fn first_line(&mut self) -> Result<String> {
        let Some(out) = self.child.stdout.take() else {
            return Err(Error::Other("its first line was read before".to_owned()));
        };
        let mut line = String::new();
        let mut reader = BufReader::new(out);
        let read = tokio::time::timeout(FIRST_LINE_WAIT, reader.read_line(&mut line)).await;
        match read {
            Ok(Ok(n)) if n > 0 => Ok(line.trim_end().to_owned()),
            _ => Err(Error::Other(format!(
                "{} printed nothing; its log ends with:\n{}",
                self.spec.program.display(),
                self.log_tail()
            ))),
        }
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    ///
    /// Where it can't be signalled.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Stops it from running, as a paused machine does.
    ///
    /// # Errors
    ///
    /// Where it has ended.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process run on.
    ///
    /// # Errors
    ///
    /// Where it has ended.
    pub fn wake(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks it to shut down gracefully.
    ///
    /// # Errors
    ///
    /// Where it has ended.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for its end; `None`: it still ran after `longest`.
    ///
    /// # Errors
    ///
    /// Where it can't be waited for.
    pub async fn ended(&mut self, longest: Duration) -> Result<Option<ExitStatus>> {
        match tokio::time::timeout(longest, self.child.wait()).await {
            Ok(status) => Ok(Some(status?)),
            Err(_) => Ok(None),
        }
    }

    /// Kills it where it still runs, and starts it again with the same arguments.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn restart(&mut self) -> Result<()> {
        if self.child.id().is_some() {
            self.kill().await?;
        }
        self.child = start(&self.spec)?;
        Ok(())
    }

    /// The same with other arguments.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub async fn restart_with(&mut self, args: Vec<OsString>) -> Result<()> {
        self.spec.args = args;
        self.restart().await
    }

    /// Whether the kernel has stopped it.
    #[must_use]
    pub fn stands_still(&self) -> bool {
        let Some(id) = self.child.id() else {
            return false;
        };
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
        state.is_some_and(|rest| rest.starts_with('T'))
    }

    /// Process id; `None`: it has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// What it has logged.
    #[must_use]
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.spec.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The last lines that it has logged.
    #[must_use]
    pub fn log_tail(&self) -> String {
        const LINES: usize = 20;
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = pid.and_then(Pid::from_raw) else {
            return Err(Error::Other("the process has ended".to_owned()));
        };
        Ok(kill_process(pid, signal).map_err(std::io::Error::from)?)
    }
}

fn start(spec: &ProcessSpec) -> Result<Child> {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&spec.log)?;
    let child = Command::new(&spec.program)
        .args(&spec.args)
        .envs(spec.env.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .map_err(|err| Error::Other(format!("{}: {err}", spec.program.display())))?;
    Ok(child)
}

/// Finds a program of this workspace in the target directory that the running one is from.
///
/// # Errors
///
/// Where it isn't built.
pub fn program(name: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let found = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir: &Path| dir.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        Error::Other(format!(
            "{name} is not built; run `cargo build --workspace --all-targets` first"
        ))
    })
}
