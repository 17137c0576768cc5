//! Handle of a child process of a fleet.
//!
//! A handle signals and restarts only the process that it started. Dropping it kills the process,
//! so a failing test leaves no process behind. Standard error is appended to a log file, also
//! across restarts.

use std::ffi::OsString;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::{Error, Result};

/// Time-out for a stand-in's first line of output.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time-out for a process to stop after `SIGSTOP`, and the interval between two looks at its state.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
const STOP_INTERVAL: Duration = Duration::from_millis(1);

/// Command line, environment and log file of a process.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// Program.
    pub program: PathBuf,
    /// Arguments.
    pub args: Vec<OsString>,
    /// Environment variables in addition to the inherited ones.
    pub env: Vec<(OsString, OsString)>,
    /// File that standard error is appended to.
    pub log: PathBuf,
    /// Where standard output goes.
    pub output: Output,
}

/// Where the standard output of a process goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// To the handle, which reads its first line.
    Handle,
    /// To the log.
    Log,
}

/// A child process; killed on drop.
#[derive(Debug)]
pub struct Process {
    spec: ProcessSpec,
    child: Child,
}

impl Process {
    /// Starts the process.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub fn spawn(spec: ProcessSpec) -> Result<Self> {
        let child = start(&spec)?;
        Ok(Self { spec, child })
    }

    /// Reads the first line of standard output.
    ///
    /// # Errors
    ///
    /// Fails if the process exits or prints no line within the time-out.
    pub async fn first_line(&mut self) -> Result<String> {
        let Some(out) = self.child.stdout.take() else {
            return Err(Error::Other(
                "the first line of standard output was already read".to_owned(),
            ));
        };
        let mut line = String::new();
        let mut reader = BufReader::new(out);
        let read = tokio::time::timeout(FIRST_LINE_TIMEOUT, reader.read_line(&mut line)).await;
        match read {
            Ok(Ok(n)) if n > 0 => Ok(line.trim_end().to_owned()),
            _ => Err(Error::Other(format!(
                "{} printed no first line; its log ends with:\n{}",
                self.spec.program.display(),
                self.log_tail()
            ))),
        }
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be signalled.
    pub async fn kill(&mut self) -> Result<()> {
        Ok(self.child.kill().await?)
    }

    /// Pauses the process with `SIGSTOP`, like a paused machine, and waits until it has stopped.
    ///
    /// The signal is only pending when it has been sent: on a busy machine the process runs on for
    /// tens of milliseconds, and a test would see it do what it must not do while it is paused.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited, or does not stop in time.
    pub async fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let stopped = async {
            while !self.is_stopped() {
                tokio::time::sleep(STOP_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(STOP_TIMEOUT, stopped).await;
        waited.map_err(|_| Error::Other("the process did not stop".to_owned()))
    }

    /// Resumes a paused process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn wake(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown with `SIGTERM`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Reloads what the process reloads on `SIGHUP`.
    ///
    /// # Errors
    ///
    /// Fails if the process has exited.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::HUP)
    }

    /// Returns the exit status, or `None` if the process still runs.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be asked for.
    pub fn exited(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits for the exit; returns `None` if the process still runs after `timeout`.
    ///
    /// # Errors
    ///
    /// Fails if waiting for the process fails.
    pub async fn ended(&mut self, timeout: Duration) -> Result<Option<ExitStatus>> {
        match tokio::time::timeout(timeout, self.child.wait()).await {
            Ok(status) => Ok(Some(status?)),
            Err(_) => Ok(None),
        }
    }

    /// Restarts the process with the same arguments, killing it if it still runs.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart(&mut self) -> Result<()> {
        if self.child.id().is_some() {
            self.kill().await?;
        }
        self.child = start(&self.spec)?;
        Ok(())
    }

    /// Restarts the process with other arguments, killing it if it still runs.
    ///
    /// # Errors
    ///
    /// Fails if the process can't be started.
    pub async fn restart_with(&mut self, args: Vec<OsString>) -> Result<()> {
        self.spec.args = args;
        self.restart().await
    }

    /// Returns whether all threads of the process are in the stopped state.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        let Some(id) = self.child.id() else {
            return false;
        };
        let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
            return false;
        };
        threads
            .flatten()
            .all(|thread| is_thread_stopped(&thread.path()))
    }

    /// Returns the process id, or `None` once the exit was observed.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns the whole log.
    #[must_use]
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.spec.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Returns the last lines of the log.
    #[must_use]
    pub fn log_tail(&self) -> String {
        const LINES: usize = 20;
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    /// Returns the last line of the log.
    #[must_use]
    pub fn last_line(&self) -> String {
        self.log().lines().last().unwrap_or_default().to_owned()
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let pid = self.child.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = pid.and_then(Pid::from_raw) else {
            return Err(Error::Other("the process has ended".to_owned()));
        };
        Ok(kill_process(pid, signal).map_err(std::io::Error::from)?)
    }
}

/// Returns whether the thread with this folder of `/proc` is in the stopped state.
fn is_thread_stopped(folder: &Path) -> bool {
    let stat = std::fs::read_to_string(folder.join("stat")).unwrap_or_default();
    let state = stat.rsplit_once(") ").map(|(_, rest)| rest);
    state.is_some_and(|rest| rest.starts_with('T'))
}

fn start(spec: &ProcessSpec) -> Result<Child> {
    let log = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&spec.log)?;
    let output = match spec.output {
        Output::Handle => Stdio::piped(),
        Output::Log => log.try_clone()?.into(),
    };
    let child = Command::new(&spec.program)
        .args(&spec.args)
        .envs(spec.env.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
        .map_err(|err| Error::Other(format!("{}: {err}", spec.program.display())))?;
    Ok(child)
}

/// Returns the path of a workspace program in the current executable's target directory.
///
/// # Errors
///
/// Fails if the program isn't built.
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
