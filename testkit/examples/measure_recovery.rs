//! Measures recovery times after failures on real processes, for the table of docs/RECOVERY.md.
//!
//! `cargo run --release -p jacinthweir-testkit --example measure_recovery [-- --seeds 5]`
//!
//! The exit code is 1 if a caller got a wrong answer.

use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use jacinthweir_testkit::recovery::scenario::Scenario;
use jacinthweir_testkit::recovery::{self, RecoveryCfg, RecoveryRun, table};

/// Measures recovery times and prints them as a table.
#[derive(FromArgs)]
struct Args {
    /// number of seeds, from 1
    #[argh(option, default = "5")]
    seeds: u64,
    /// first seed
    #[argh(option, default = "1")]
    from_seed: u64,
    /// mean number of requests per second
    #[argh(option, default = "16.0")]
    rate: f64,
    /// duration of the load before the failure, in seconds
    #[argh(option, default = "4")]
    warm: u64,
    /// duration of the load after the failure, in seconds
    #[argh(option, default = "10")]
    after: u64,
    /// duration of the platform outage, in seconds
    #[argh(option, default = "6")]
    outage: u64,
    /// only scenarios whose name contains this; the control always runs
    #[argh(option)]
    only: Option<String>,
    /// file for the results as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// folder for the instances' logs of each run
    #[argh(option)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let cfg = RecoveryCfg {
        rate_per_s: args.rate,
        warm: Duration::from_secs(args.warm),
        after: Duration::from_secs(args.after),
        outage: Duration::from_secs(args.outage),
        ..RecoveryCfg::default()
    };
    let mut runs = Vec::new();
    for seed in args.from_seed..args.from_seed + args.seeds {
        measure(&args, &cfg, seed, &mut runs).await?;
    }
    println!("{}", table::table(&runs));
    println!("load average: {}", load_average());
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&runs)? + "\n")?;
    }
    let wrong = runs.iter().map(|r| r.figures.wrong.len()).sum::<usize>();
    if wrong > 0 {
        eprintln!("{wrong} wrong answers");
        std::process::exit(1);
    }
    Ok(())
}

/// Runs all selected scenarios with one seed, starting with the control run that they are compared
/// with.
async fn measure(
    args: &Args,
    cfg: &RecoveryCfg,
    seed: u64,
    runs: &mut Vec<RecoveryRun>,
) -> eyre::Result<()> {
    let mut control: Option<Vec<u64>> = None;
    for scenario in Scenario::ALL {
        let named = args.only.as_ref();
        let chosen = named.is_none_or(|only| scenario.to_string().contains(only));
        if !chosen && scenario != Scenario::Control {
            continue;
        }
        // The run with the platform outage is longer than the control run.
        let reference = control
            .as_deref()
            .filter(|_| scenario != Scenario::PlatformOut);
        let run = recovery::run(cfg, scenario, seed, reference).await?;
        eprintln!("{}", serde_json::to_string(&run)?);
        if let Some(dir) = &args.logs {
            write_logs(dir, &run)?;
        }
        if scenario == Scenario::Control {
            control = Some(run.figures.timeline.clone());
        }
        runs.push(run);
    }
    Ok(())
}

fn write_logs(dir: &std::path::Path, run: &RecoveryRun) -> eyre::Result<()> {
    std::fs::create_dir_all(dir)?;
    for (i, log) in run.logs.iter().enumerate() {
        let name = format!("{}-{}-entry-{i}.log", run.scenario, run.seed);
        std::fs::write(dir.join(name.replace(' ', "-")), log)?;
    }
    Ok(())
}

fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg");
    text.unwrap_or_default().trim().to_owned()
}
