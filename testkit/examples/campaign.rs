//! Runs randomized fault-injection campaigns on real processes; see [`jacinthweir_testkit::campaign`].
//!
//! Exit count_codes: 0 no violation, 1 violations (each is printed, with its seed) or a failed run, 2
//! invalid arguments.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use argh::FromArgs;
use jacinthweir_testkit::campaign::{self, CampaignCfg, CampaignResult};
use jacinthweir_testkit::fleet::deployment::Deployment;

/// Runs random campaigns of load and faults on real processes, and checks their histories.
#[derive(FromArgs)]
struct Args {
    /// number of seeds (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    first: u64,
    /// minutes of faults in all, shared by the seeds (default 1)
    #[argh(option, default = "1.0")]
    minutes: f64,
    /// submissions a second (default 40)
    #[argh(option, default = "40.0")]
    per_s: f64,
    /// print each fault as it was brought about
    #[argh(switch)]
    faults: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.seeds == 0 || args.minutes <= 0.0 || args.per_s <= 0.0 {
        eprintln!("campaign: seeds, minutes and per-s must be greater than 0");
        return ExitCode::from(2);
    }
    let length = Duration::from_secs_f64(args.minutes * 60.0 / args.seeds as f64);
    let mut violations = 0;
    for seed in args.first..args.first + args.seeds {
        let deployment = Deployment::ALL[(seed % 2) as usize];
        let cfg = CampaignCfg {
            seed,
            deployment,
            length,
            rate_per_s: args.per_s,
        };
        let started = Instant::now();
        match campaign::run(&cfg).await {
            Ok(end) => {
                report(&cfg, &end, started.elapsed(), args.faults);
                violations += end.violations.len();
            }
            Err(e) => {
                eprintln!("seed {seed}: the campaign itself failed: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{violations} violations over {} seeds", args.seeds);
    if violations == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn report(cfg: &CampaignCfg, end: &CampaignResult, took: Duration, faults: bool) {
    let h = &end.history;
    let with = |o| {
        h.submissions
            .iter()
            .filter(|s| s.seen.outcome == Some(o))
            .count()
    };
    use jacinthweir_policy::prelude::Outcome;
    println!(
        "seed {} {}: {} s, {} faults, {} events, {} submissions: {} answered, {} not run, \
         {} failed, {} unknown, {} without an answer; {} commits; {} violations",
        cfg.seed,
        cfg.deployment,
        took.as_secs(),
        end.faults.len(),
        h.events(),
        h.submissions.len(),
        with(Outcome::Answered),
        with(Outcome::NotRun),
        with(Outcome::Failed),
        with(Outcome::Unknown),
        h.submissions
            .iter()
            .filter(|s| s.seen.outcome.is_none())
            .count(),
        h.commits.len(),
        end.violations.len(),
    );
    for (code, count) in count_codes(end) {
        println!("  {count} x {code}");
    }
    if faults || !end.violations.is_empty() {
        end.faults.iter().for_each(|f| println!("  {f}"));
    }
    for violation in &end.violations {
        println!("  VIOLATION {violation}");
    }
    if !end.violations.is_empty() {
        write_trace(cfg, end);
    }
}

/// Counts the submissions that ended with each error code.
fn count_codes(end: &CampaignResult) -> BTreeMap<String, usize> {
    let mut codes = BTreeMap::new();
    for code in end.history.submissions.iter().filter_map(|s| s.seen.code) {
        *codes.entry(code.to_string()).or_default() += 1;
    }
    codes
}

/// Writes the history and logs of a campaign with violations for later analysis.
fn write_trace(cfg: &CampaignCfg, end: &CampaignResult) {
    let dir = std::path::PathBuf::from(format!("out/campaign-{}", cfg.seed));
    let written = std::fs::create_dir_all(&dir).and_then(|()| {
        let history = serde_json::to_vec_pretty(&end.history).unwrap_or_default();
        std::fs::write(dir.join("history.json"), history)?;
        for (i, log) in end.logs.iter().enumerate() {
            std::fs::write(dir.join(format!("entry-{i}.log")), log)?;
        }
        Ok(())
    });
    match written {
        Ok(()) => println!("  trace in {}", dir.display()),
        Err(e) => println!("  trace not written: {e}"),
    }
}
