//! Points at which the fault matrix of the test kit brings a fault about in this process.
//!
//! Without the feature `failpoints`, which the shipped build does not have, [`reach`] is an empty
//! function and [`open`] does nothing. With it, actions come from two places, in the syntax of the
//! `fail` crate (`step=return(ACTION)`, with counts such as `1*return(abort)->off`):
//!
//! - the environment variable `FAILPOINTS` at the start, points separated by `;`;
//! - the file that `FAILPOINTS_FILE` names, one point a line, read again each time a point is
//!   reached, so that a test arms and disarms points of a process that runs.
//!
//! | `ACTION` | meaning |
//! |---|---|
//! | `abort` | the process ends at once |
//! | `stop` | the process stops itself (`SIGSTOP`) until it gets `SIGCONT` |
//! | `sleep:MS` | this task waits that many milliseconds; the others run on |
//! | `hold:PATH` | this task waits until the file exists |
//!
//! Before it acts, a point logs `fault point STEP: ACTION`; after it, `fault point STEP passed`.

use derive_more::Display;

/// A step of a request, call, change or shutdown at which a fault may come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "snake_case")]
pub enum Step {
    /// A model request is accepted; its driver starts.
    Received,
    /// It is admitted.
    Admitted,
    /// An attempt is in the journal as handed over; no byte of it was sent.
    Handed,
    /// A token came and is not yet passed on.
    Streaming,
    /// The outcome is known; the caller was not told of the end.
    Finished,
    /// A claimed call's driver starts.
    CallReceived,
    /// The claim's write is about to be sent.
    ClaimSending,
    /// The claim is granted; nothing was dispatched.
    Claimed,
    /// The dispatch is in the journal as handed over; no byte of it was sent.
    CallHanded,
    /// The service answered; neither the caller nor the claim has it.
    CallRan,
    /// The claim's outcome is about to be written.
    OutcomeSending,
    /// A change was checked and is about to be written.
    ChangeReceived,
    /// The parts stand; the head was not sent.
    PartsWritten,
    /// The head's compare-and-set is about to be sent.
    HeadSending,
    /// The head stands; it is not in force here and the operator was not told.
    Committed,
    /// A shutdown is about to take this instance out of the answers to callers.
    Leaving,
    /// A shutdown is about to refuse new connections.
    Refusing,
}

impl Step {
    /// All steps, in order.
    pub const ALL: [Step; 17] = [
        Step::Received,
        Step::Admitted,
        Step::Handed,
        Step::Streaming,
        Step::Finished,
        Step::CallReceived,
        Step::ClaimSending,
        Step::Claimed,
        Step::CallHanded,
        Step::CallRan,
        Step::OutcomeSending,
        Step::ChangeReceived,
        Step::PartsWritten,
        Step::HeadSending,
        Step::Committed,
        Step::Leaving,
        Step::Refusing,
    ];
}

#[cfg(feature = "failpoints")]
pub use armed::{open, reach};

/// Reads the environment's actions; does nothing in this build.
#[cfg(not(feature = "failpoints"))]
#[inline]
pub fn open() {}

/// Acts as the point is told; does nothing in this build.
#[cfg(not(feature = "failpoints"))]
#[inline]
pub async fn reach(_step: Step) {}

#[cfg(feature = "failpoints")]
mod armed {
    use std::path::PathBuf;
    use std::sync::{Mutex, PoisonError};
    use std::time::Duration;

    use fail::FailScenario;
    use rustix::process::{Signal, getpid, kill_process};

    use super::Step;

    /// Environment variable that names the file of actions.
    const FILE: &str = "FAILPOINTS_FILE";
    /// Time between two looks for the file that ends a hold.
    const LOOK: Duration = Duration::from_millis(5);
    /// Time in which a signal to the own process has stopped this thread too.
    const STOPPED: Duration = Duration::from_millis(50);

    /// The actions of the file as they were last read.
    static READ: Mutex<String> = Mutex::new(String::new());

    /// Reads the environment's actions.
    pub fn open() {
        // The scenario lasts as long as the process.
        std::mem::forget(FailScenario::setup());
    }

    /// Acts as the point is told.
    pub async fn reach(step: Step) {
        read_file();
        let Some(action) = action(&step.to_string()) else {
            return;
        };
        log::warn!("fault point {step}: {action}");
        log::logger().flush();
        act(&action).await;
        log::warn!("fault point {step} passed");
    }

    fn action(step: &str) -> Option<String> {
        fail::fail_point!(step, |arg: Option<String>| arg);
        None
    }

    fn read_file() {
        let Some(path) = std::env::var_os(FILE).map(PathBuf::from) else {
            return;
        };
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let mut read = READ.lock().unwrap_or_else(PoisonError::into_inner);
        if *read == text {
            return;
        }
        for step in Step::ALL {
            fail::remove(step.to_string());
        }
        for (step, actions) in text.lines().filter_map(|line| line.split_once('=')) {
            if let Err(e) = fail::cfg(step, actions) {
                log::error!("fault point {step}: {e}");
            }
        }
        *read = text;
    }

    async fn act(action: &str) {
        let (verb, arg) = action.split_once(':').unwrap_or((action, ""));
        match verb {
            "abort" => std::process::abort(),
            "stop" => {
                let _ = kill_process(getpid(), Signal::STOP);
                std::thread::sleep(STOPPED);
            }
            "sleep" => tokio::time::sleep(Duration::from_millis(arg.parse().unwrap_or(0))).await,
            "hold" => {
                while !std::path::Path::new(arg).exists() {
                    tokio::time::sleep(LOOK).await;
                }
            }
            _ => log::error!("fault point: unknown action {action}"),
        }
    }
}
