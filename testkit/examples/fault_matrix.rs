//! Runs the fault matrix on real processes; see [`jacinthweir_testkit::matrix`].
//!
//! Needs the instance with fault points:
//! `cargo build --locked -p jacinthweir --features failpoints --target-dir target/failpoints`.
//! Exit codes: 0 no cell is open or not reached, 1 some are or the run failed, 2 invalid
//! arguments.

use std::process::ExitCode;
use std::time::Instant;

use argh::FromArgs;
use jacinthweir_testkit::matrix::cell::{Cell, all};
use jacinthweir_testkit::matrix::report::{PageCfg, page};
use jacinthweir_testkit::matrix::{self, MatrixCfg, MatrixResult, Verdict};

/// Runs every fault at every step on real processes, and writes the page of the run.
#[derive(FromArgs)]
struct Args {
    /// file to write the page to (default: standard output)
    #[argh(option)]
    out: Option<std::path::PathBuf>,
    /// run only cells whose name contains this, as in "kill at claimed"
    #[argh(option, default = "String::new()")]
    only: String,
    /// seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// another instance binary with fault points, such as one with a safeguard removed
    #[argh(option)]
    program: Option<std::path::PathBuf>,
    /// number of fleets that run in parallel (default 3)
    #[argh(option, default = "3")]
    fleets: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let cells: Vec<Cell> = all()
        .into_iter()
        .filter(|cell| cell.to_string().contains(&args.only))
        .collect();
    if cells.is_empty() || args.fleets == 0 {
        eprintln!("fault_matrix: no such cell, or no fleet");
        return ExitCode::from(2);
    }
    let cfg = MatrixCfg {
        seed: args.seed,
        fleets: args.fleets,
        program: args.program.clone(),
        verbose: true,
    };
    let started = Instant::now();
    let end = match matrix::run(&cfg, &cells).await {
        Ok(end) => end,
        Err(e) => {
            eprintln!("fault_matrix: {e}");
            return ExitCode::FAILURE;
        }
    };
    let page = page(&cfg, &page_cfg(started), &end);
    let Some(out) = &args.out else {
        println!("{page}");
        return exit_code(&end);
    };
    if let Err(e) = std::fs::write(out, page) {
        eprintln!("fault_matrix: {}: {e}", out.display());
        return ExitCode::FAILURE;
    }
    exit_code(&end)
}

fn page_cfg(started: Instant) -> PageCfg {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let command = format!(
        "cargo run -p jacinthweir-testkit --example fault_matrix -- {}",
        args.join(" ")
    );
    let seconds = started.elapsed().as_secs();
    PageCfg { command, seconds }
}

fn exit_code(end: &MatrixResult) -> ExitCode {
    let unproved = |v: &Verdict| matches!(v, Verdict::Open(_) | Verdict::NotReached(_));
    match end.cells.iter().any(|c| unproved(&c.verdict)) {
        true => ExitCode::FAILURE,
        false => ExitCode::SUCCESS,
    }
}
