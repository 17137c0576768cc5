//! Ends of the process: the exit code and the last line of each.
//!
//! An operator, and the platform that starts the process again, have to tell a stop that was asked for
//! from a failure, and a failed start from a fault of the program. Each end therefore writes one last
//! line, `stopped`, with its kind, exit code and cause: to the log or, if that is not open yet, to
//! standard error.

use std::any::Any;

use derive_more::Display;
use log::{Level, Record};

use crate::logs;
use crate::watchdog::EXIT_STALLED;

/// Exit code of a process that could not start, lost a task, or cut requests of the own interface.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for invalid command-line arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// Exit code of a process whose main thread panicked, as Rust's runtime has it.
pub const EXIT_PANIC: u8 = 101;

/// Why the process ends; displayed as its kind.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ProcessEnd {
    /// A signal asked for it, and no request was cut.
    #[display("clean")]
    Clean,
    /// A signal asked for it, and requests were cut at the bound.
    #[display("cut")]
    Cut {
        /// Exit code: that of a success where a platform counts any other as a crash.
        exit_code: u8,
    },
    /// A task ended that the process cannot do without.
    #[display("task_ended")]
    TaskEnded(String),
    /// The event loop made no progress.
    #[display("stalled")]
    Stalled(String),
    /// The process could not start.
    #[display("start_failed")]
    StartFailed(String),
    /// The settings cannot be read or are not valid.
    #[display("settings_invalid")]
    SettingsInvalid(String),
    /// The main thread panicked.
    #[display("panic")]
    Panic(String),
}

impl ProcessEnd {
    /// Returns the end that follows from a panic of the main thread.
    #[must_use]
    pub fn of_panic(payload: &(dyn Any + Send)) -> ProcessEnd {
        let literal = payload.downcast_ref::<&str>().copied();
        let text = literal.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
        ProcessEnd::Panic(text.unwrap_or("unknown").to_owned())
    }

    /// Returns the exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            ProcessEnd::Clean => 0,
            ProcessEnd::Cut { exit_code } => *exit_code,
            ProcessEnd::TaskEnded(_) | ProcessEnd::StartFailed(_) => EXIT_FAILURE,
            ProcessEnd::SettingsInvalid(_) => EXIT_USAGE,
            ProcessEnd::Stalled(_) => EXIT_STALLED,
            ProcessEnd::Panic(_) => EXIT_PANIC,
        }
    }

    /// Writes the last line of the process, for a bounded time, and returns the exit code.
    #[must_use]
    pub fn report(&self) -> u8 {
        let code = self.exit_code();
        let (end, exit_code) = (self.to_string(), code.to_string());
        let pairs = [
            ("ended", end.as_str()),
            ("exit_code", exit_code.as_str()),
            ("cause", self.cause()),
        ];
        let line = Record::builder()
            .level(self.level())
            .target(module_path!())
            .args(format_args!("stopped"))
            .key_values(&pairs)
            .build();
        logs::write_last(&line);
        code
    }

    fn cause(&self) -> &str {
        match self {
            ProcessEnd::Clean => "asked to stop",
            ProcessEnd::Cut { .. } => "asked to stop; requests were cut at the bound",
            ProcessEnd::TaskEnded(cause)
            | ProcessEnd::Stalled(cause)
            | ProcessEnd::StartFailed(cause)
            | ProcessEnd::SettingsInvalid(cause)
            | ProcessEnd::Panic(cause) => cause,
        }
    }

    fn level(&self) -> Level {
        match self {
            ProcessEnd::Clean => Level::Info,
            ProcessEnd::Cut { .. } => Level::Warn,
            _ => Level::Error,
        }
    }
}
