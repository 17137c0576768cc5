//! `jacinthweir`, the entry instance.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use jacinthweir as _;
use jacinthweir_document::Fault;
use jacinthweir_kernel::process_end::{EXIT_FAILURE, EXIT_USAGE, ProcessEnd};
use jacinthweir_kernel::settings::open_when_whole;
use jacinthweir_kernel::signals::{HeldSignals, Signals};
use jacinthweir_kernel::{KernelError, Settings, lifecycle};
use jacinthweir_relay::{DrainOutcome, RelayError, RelaySettings};
use tokio::runtime;
use tokio::task::LocalSet;

/// Routes inference pipelines over mixed accelerators: the entry instance.
#[derive(FromArgs)]
struct Args {
    /// settings file: JSON with comments, see docs/SETTINGS.md
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check a settings file, print its faults and exit: 0 valid, 1 not
    #[argh(option)]
    check_settings: Option<PathBuf>,
    /// settings file of a relay, which runs on the users' platform: see docs/SETTINGS.md
    #[argh(option)]
    relay_settings: Option<PathBuf>,
    /// check a relay's settings file, print its faults and exit: 0 valid, 1 not
    #[argh(option)]
    check_relay_settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Exit code of a relay that cut requests at its shutdown bound. Its platform asked it to end by then and
/// counts any other code as a crash.
const EXIT_RELAY_CUT: u8 = 0;

/// How long the end of the process waits for threads of the runtime that still work.
const RUNTIME_TIMEOUT: Duration = Duration::from_millis(100);

fn main() -> ExitCode {
    let held = HeldSignals::hold();
    let args: Args = argh::from_env();
    if args.version {
        println!("jacinthweir {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(path) = args.check_settings {
        return check(&path, Settings::open(&path));
    }
    if let Some(path) = args.check_relay_settings {
        return check(&path, RelaySettings::open(&path));
    }
    match (args.settings, args.relay_settings) {
        (Some(path), None) => run(held, |held| run_own(&path, held)),
        (None, Some(path)) => run(held, |held| run_relay(&path, held)),
        (Some(_), Some(_)) => {
            eprintln!("jacinthweir: --settings and --relay-settings exclude each other");
            ExitCode::from(EXIT_USAGE)
        }
        (None, None) => {
            eprintln!("jacinthweir: --settings or --relay-settings FILE is required; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn check<T>(path: &Path, opened: Result<T, KernelError>) -> ExitCode {
    match opened {
        Ok(_) => {
            println!("{}: valid", path.display());
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the process to its end, and says how it ended.
fn run(
    held: Result<HeldSignals, KernelError>,
    process: impl FnOnce(HeldSignals) -> ProcessEnd,
) -> ExitCode {
    // No state of the process is used after a panic.
    let ended = catch_unwind(AssertUnwindSafe(|| match held {
        Ok(held) => process(held),
        Err(e) => ProcessEnd::StartFailed(e.to_string()),
    }));
    let end = ended.unwrap_or_else(|panic| ProcessEnd::of_panic(&*panic));
    ExitCode::from(end.report())
}

/// Runs a relay on one thread: with a quarter of a core, that avoids context switches and locks.
fn run_relay(path: &Path, held: HeldSignals) -> ProcessEnd {
    let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return ProcessEnd::StartFailed(e.to_string()),
    };
    let tasks = LocalSet::new();
    let end = runtime.block_on(tasks.run_until(relay(path, held)));
    drop(tasks);
    runtime.shutdown_timeout(RUNTIME_TIMEOUT);
    end
}

async fn relay(path: &Path, held: HeldSignals) -> ProcessEnd {
    let mut signals = match Signals::open(held) {
        Ok(signals) => signals,
        Err(e) => return ProcessEnd::StartFailed(e.to_string()),
    };
    let settings = match read_settings(path, RelaySettings::parse, &mut signals).await {
        Ok(settings) => settings,
        Err(end) => return end,
    };
    match jacinthweir_relay::run(settings, path, &mut signals).await {
        Ok(DrainOutcome::Clean) => ProcessEnd::Clean,
        Ok(DrainOutcome::Cut) => ProcessEnd::Cut {
            exit_code: EXIT_RELAY_CUT,
        },
        Err(e @ RelayError::TaskEnded { .. }) => ProcessEnd::TaskEnded(e.to_string()),
        Err(e) => ProcessEnd::StartFailed(e.to_string()),
    }
}

/// Runs an instance with the own interface.
fn run_own(path: &Path, held: HeldSignals) -> ProcessEnd {
    let runtime = match runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return ProcessEnd::StartFailed(e.to_string()),
    };
    let end = runtime.block_on(own(path, held));
    runtime.shutdown_timeout(RUNTIME_TIMEOUT);
    end
}

async fn own(path: &Path, held: HeldSignals) -> ProcessEnd {
    let mut signals = match Signals::open(held) {
        Ok(signals) => signals,
        Err(e) => return ProcessEnd::StartFailed(e.to_string()),
    };
    let settings = match read_settings(path, Settings::parse, &mut signals).await {
        Ok(settings) => settings,
        Err(end) => return end,
    };
    match lifecycle::run(settings, &mut signals).await {
        Ok(DrainOutcome::Clean) => ProcessEnd::Clean,
        Ok(DrainOutcome::Cut) => ProcessEnd::Cut {
            exit_code: EXIT_FAILURE,
        },
        Err(e) => ProcessEnd::StartFailed(e.to_string()),
    }
}

/// Reads the settings at the start, unless a signal asks for a stop before they are whole.
async fn read_settings<T: Send + 'static>(
    path: &Path,
    parse: fn(&str) -> Result<T, Vec<Fault>>,
    signals: &mut Signals,
) -> Result<T, ProcessEnd> {
    // A hang-up has the settings checked, which is what happens here.
    let termination = signals.termination(|| {});
    let opened = tokio::select! {
        biased;
        () = termination => return Err(ProcessEnd::Clean),
        opened = open_when_whole(path, parse) => opened,
    };
    opened.map_err(|e| ProcessEnd::SettingsInvalid(e.to_string()))
}
