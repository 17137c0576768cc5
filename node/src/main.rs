//! `jacinthweir`, the entry instance.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use jacinthweir as _;
use jacinthweir_kernel::{KernelError, Settings, lifecycle};
use jacinthweir_relay::{DrainOutcome, RelayError, RelaySettings};

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

/// Exit code for invalid command-line arguments or settings.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
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
        (Some(path), None) => run(&path),
        (None, Some(path)) => run_relay(path),
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

fn run(path: &Path) -> ExitCode {
    let settings = match Settings::open(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match serve(settings) {
        Ok(lifecycle::DrainOutcome::Clean) => ExitCode::SUCCESS,
        Ok(lifecycle::DrainOutcome::Cut) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("jacinthweir: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_relay(path: PathBuf) -> ExitCode {
    let settings = match RelaySettings::open(&path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match relay(settings, path) {
        Ok(DrainOutcome::Clean) => ExitCode::SUCCESS,
        Ok(DrainOutcome::Cut) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("jacinthweir: {e:#}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a relay on one thread: with a quarter of a core, that avoids context switches and locks.
fn relay(settings: RelaySettings, path: PathBuf) -> eyre::Result<DrainOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = tokio::task::LocalSet::new();
    let outcome: Result<DrainOutcome, RelayError> =
        runtime.block_on(tasks.run_until(jacinthweir_relay::run(settings, path)));
    Ok(outcome?)
}

fn serve(settings: Settings) -> eyre::Result<lifecycle::DrainOutcome> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let outcome: Result<lifecycle::DrainOutcome, KernelError> =
        runtime.block_on(lifecycle::run(settings));
    Ok(outcome?)
}
