//! `jacinthweir`, the entry instance.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use jacinthweir as _;
use jacinthweir_kernel::{KernelError, Settings, life};

/// Routes inference pipelines over mixed accelerators: the entry instance.
#[derive(FromArgs)]
struct Args {
    /// settings file: JSON with comments, see docs/SETTINGS.md
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check a settings file, print its faults and exit: 0 valid, 1 not
    #[argh(option)]
    check_settings: Option<PathBuf>,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

/// Exit code for wrong use of the command line or settings.
const WRONG_USE: u8 = 2;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.version {
        println!("jacinthweir {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match (args.check_settings, args.settings) {
        (Some(path), _) => check(&path),
        (None, Some(path)) => run(&path),
        (None, None) => {
            eprintln!("jacinthweir: --settings FILE is required; see --help");
            ExitCode::from(WRONG_USE)
        }
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    match Settings::open(path) {
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

fn run(path: &std::path::Path) -> ExitCode {
    let settings = match Settings::open(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(WRONG_USE);
        }
    };
    match serve(settings) {
        Ok(life::Ended::Clean) => ExitCode::SUCCESS,
        Ok(life::Ended::Cut) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("jacinthweir: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve(settings: Settings) -> eyre::Result<life::Ended> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let ended: Result<life::Ended, KernelError> = runtime.block_on(life::run(settings));
    Ok(ended?)
}
