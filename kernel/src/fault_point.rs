//! Fault injection points for the fault matrix of the test kit.
//!
//! Without the feature `failpoints`, which release builds leave out, [`reach`] and [`open`] do
//! nothing. With it, actions are read from two places, in the syntax of the `fail` crate
//! (`step=return(ACTION)`, with counts such as `1*return(abort)->off`):
//!
//! - the environment variable `FAILPOINTS` at start-up, points separated by `;`;
//! - the file that `FAILPOINTS_FILE` names, one point per line, read again each time a point is
//!   reached, so that a test can arm and disarm points of a running process.
//!
//! | `ACTION` | meaning |
//! |---|---|
//! | `abort` | the process aborts immediately |
//! | `stop` | the process sends itself `SIGSTOP` and resumes on `SIGCONT` |
//! | `sleep:MS` | this task sleeps for that many milliseconds; other tasks keep running |
//! | `hold:PATH` | this task waits until the file at this path exists |
//!
//! Each long-lived task of a relay has a point as well, `task.TASK.INSTANCE` ([`end_task`]), with the actions
//! `panic`, `return` and `hang`, and so has each examination of a runner, with `panic` ([`panic_in_job`]).
//!
//! A point logs `fault point STEP: ACTION` before its action and `fault point STEP passed` after
//! it.

use derive_more::Display;

/// Step of a request, call, change or shutdown at which a fault can be injected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "snake_case")]
pub enum Step {
    /// A model request was accepted; its driver starts.
    Received,
    /// The request was admitted.
    Admitted,
    /// The journal records the attempt as dispatched; no byte of it has been sent yet.
    Handed,
    /// A token was received and has not been forwarded to the caller.
    Streaming,
    /// The outcome is known; the final part of the answer has not been sent to the caller.
    Finished,
    /// The driver of a call that needs a claim starts.
    CallReceived,
    /// The request that writes the claim is about to be sent.
    ClaimSending,
    /// The claim was granted; nothing has been dispatched.
    Claimed,
    /// The journal records the call as dispatched; no byte of it has been sent yet.
    CallHanded,
    /// The service answered; the answer is neither stored with the claim nor sent to the caller.
    CallRan,
    /// The claim's outcome is about to be written.
    OutcomeSending,
    /// A change was validated and is about to be written.
    ChangeReceived,
    /// The parts are stored; the write of the head has not been sent.
    PartsWritten,
    /// The head's compare-and-set is about to be sent.
    HeadSending,
    /// The head is stored; it is not in force here and the operator has had no answer.
    Committed,
    /// A shutdown is about to withdraw this instance from the entry answers to callers.
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
pub use armed::{end_task, open, panic_in_job, reach};

/// Reads the actions from the environment; does nothing in this build.
#[cfg(not(feature = "failpoints"))]
#[inline]
pub fn open() {}

/// Runs the action armed for `step`; does nothing in this build.
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

    /// Environment variable with the path of the action file.
    const FILE_VARIABLE: &str = "FAILPOINTS_FILE";
    /// Interval at which a hold checks for its file.
    const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(5);
    /// Interval at which a task checks whether its end is armed.
    const TASK_POLL_INTERVAL: Duration = Duration::from_millis(10);
    /// Time within which a stop signal to the process takes effect on this thread.
    const STOP_DELAY: Duration = Duration::from_millis(50);

    /// Contents of the action file when it was last read.
    static LAST_READ: Mutex<String> = Mutex::new(String::new());

    /// Reads the actions from the environment.
    pub fn open() {
        // Dropping the scenario would disarm its points; it lasts as long as the process.
        std::mem::forget(FailScenario::setup());
    }

    /// Runs the action armed for `step`, if any.
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

    /// Ends the task `task` of an instance, by a panic or by returning, as soon as that is armed. Or lets it
    /// occupy its thread for good.
    pub async fn end_task(instance: &str, task: &str) {
        let point = format!("task.{task}.{instance}");
        loop {
            read_file();
            match action(&point).as_deref() {
                None => {}
                Some("panic") => panic!("fault point {point}"),
                Some("return") => return,
                Some("hang") => loop {
                    std::hint::spin_loop();
                },
                Some(action) => log::error!("fault point {point}: unknown action {action}"),
            }
            tokio::time::sleep(TASK_POLL_INTERVAL).await;
        }
    }

    /// Panics if that is armed for the job `job` of an instance.
    pub fn panic_in_job(instance: &str, job: &str) {
        read_file();
        let point = format!("task.{job}.{instance}");
        match action(&point).as_deref() {
            None => {}
            Some("panic") => panic!("fault point {point}"),
            Some(action) => log::error!("fault point {point}: unknown action {action}"),
        }
    }

    fn action(step: &str) -> Option<String> {
        fail::fail_point!(step, |arg: Option<String>| arg);
        None
    }

    fn read_file() {
        let Some(path) = std::env::var_os(FILE_VARIABLE).map(PathBuf::from) else {
            return;
        };
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let mut last_read = LAST_READ.lock().unwrap_or_else(PoisonError::into_inner);
        if *last_read == text {
            return;
        }
        for step in Step::ALL {
            fail::remove(step.to_string());
        }
        for (point, _) in last_read.lines().filter_map(|line| line.split_once('=')) {
            fail::remove(point);
        }
        for (step, actions) in text.lines().filter_map(|line| line.split_once('=')) {
            if let Err(e) = fail::cfg(step, actions) {
                log::error!("fault point {step}: {e}");
            }
        }
        *last_read = text;
    }

    async fn act(action: &str) {
        let (kind, arg) = action.split_once(':').unwrap_or((action, ""));
        match kind {
            "abort" => std::process::abort(),
            "stop" => {
                let _ = kill_process(getpid(), Signal::STOP);
                std::thread::sleep(STOP_DELAY);
            }
            "sleep" => tokio::time::sleep(Duration::from_millis(arg.parse().unwrap_or(0))).await,
            "hold" => {
                while !std::path::Path::new(arg).exists() {
                    tokio::time::sleep(HOLD_POLL_INTERVAL).await;
                }
            }
            _ => log::error!("fault point: unknown action {action}"),
        }
    }
}
