//! Plays the fault soak on real programs; see [`jacinthweir_testkit::soak`].
//!
//! Exit codes: 0 no rule broken, 1 a rule broken (each is printed, with its seed), 2 invalid
//! arguments or a soak that could not be played.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use jacinthweir_testkit::soak::check::lethal::beside_lethal_parts;
use jacinthweir_testkit::soak::fault::{LethalKind, Plan};
use jacinthweir_testkit::soak::instance::program_of;
use jacinthweir_testkit::soak::site::{STABLE_WINDOW_MS, Site};
use jacinthweir_testkit::soak::{self, SoakCfg, SoakResult};

/// Plays series of faults on real programs under load, and checks what callers and runners saw.
#[derive(FromArgs)]
struct Args {
    /// program, or checkout with its release build (default: this folder)
    #[argh(option, default = "PathBuf::from(\".\")")]
    program: PathBuf,
    /// deployment: madeira-sonora (default), tlt-roster or tywi-grantdesk
    #[argh(option, default = "Site::MadeiraSonora")]
    site: Site,
    /// first seed (default 1)
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of load for each seed (default 40)
    #[argh(option, default = "40")]
    seconds: u64,
    /// what crashes runners: drawn (default), none, request or part
    #[argh(option, default = "LethalKind::Drawn")]
    lethal: LethalKind,
    /// folder for the logs of the instances (default: a temporary one)
    #[argh(option)]
    logs: Option<PathBuf>,
    /// the program doesn't know the setting `first_start`
    #[argh(switch)]
    without_first_start: bool,
    /// play faults around the starts of instances, too
    #[argh(switch)]
    starts: bool,
    /// play objects of another writer, pages and forgotten history of the store, and shares of processors, too
    #[argh(switch)]
    names: bool,
    /// print the faults of each seed
    #[argh(switch)]
    faults: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let mut broken = 0;
    for seed in args.first..args.first + args.seeds {
        match play(&args, seed).await {
            Ok(result) => broken += result.violations.len(),
            Err(e) => {
                eprintln!("seed {seed}: could not be played: {e}");
                return ExitCode::from(2);
            }
        }
    }
    println!("{broken} rules broken over {} seeds", args.seeds);
    ExitCode::from(u8::from(broken > 0))
}

async fn play(args: &Args, seed: u64) -> jacinthweir_testkit::Result<SoakResult> {
    let temporary = tempfile::tempdir()?;
    let folder = match &args.logs {
        Some(logs) => logs.join(format!("{}-{seed}", args.site)),
        None => temporary.path().to_owned(),
    };
    std::fs::create_dir_all(&folder)?;
    let length = Duration::from_secs(args.seconds);
    let mut plan = Plan::draw(seed, length, args.lethal);
    if args.starts {
        plan = plan.with_starts(seed, length);
    }
    if args.names {
        plan = plan.with_names(seed, length);
    }
    if args.faults {
        for step in &plan.steps {
            println!("  {:6} ms  {}", step.at_ms, step.fault);
        }
        for step in &plan.starts {
            println!("  {:6} ms  {}", step.at_ms, step.fault);
        }
        if let Some(names) = &plan.names {
            println!("  pages of {}", names.page_items);
            for (name, spec) in &names.before {
                println!("  there before  {name}: {spec}");
            }
            for step in &names.steps {
                println!("  {:6} ms  {}", step.at_ms, step.fault);
            }
        }
        for wave in &plan.waves {
            println!("  {:6} ms  {wave}", wave.at_ms);
        }
    }
    let (busy, rate, calls) = (plan.busy_threads, plan.rate, plan.call_weight);
    let cfg = SoakCfg {
        program: program_of(&args.program),
        knows_first_start: !args.without_first_start,
        site: args.site,
        seed,
        length,
        ready_bound: Duration::from_millis(STABLE_WINDOW_MS),
        plan,
        folder,
    };
    let result = soak::run(cfg).await?;
    let sent = result.observed.sent.len();
    let ends: Vec<String> = result
        .ends
        .iter()
        .map(|(end, n)| format!("{end:?} {n}"))
        .collect();
    println!(
        "{} seed {seed}: {sent} requests ({}), {busy} busy threads, rate x {rate}, calls x {calls}",
        args.site,
        ends.join(", ")
    );
    let lives = &result.observed.lives;
    let slowest = lives
        .iter()
        .filter_map(|l| Some(l.ready_ms? - l.started_ms));
    println!(
        "  {} starts, ready after {} ms at most; {} MB at most",
        lives.len(),
        slowest.max().unwrap_or(0),
        lives.iter().map(|l| l.most_mb).max().unwrap_or(0)
    );
    for w in &result.windows {
        println!(
            "  {}: {} repeats from {} ms on, {:.0} allowed, {:+.0}",
            w.service,
            w.repeats,
            w.from_ms,
            w.allowed,
            w.excess()
        );
    }
    for b in beside_lethal_parts(&result.observed) {
        println!(
            "  lethal part {}: {} of {} sound requests began beside it, {} of {} in calm times",
            b.part, b.beside.begun, b.beside.sent, b.calm.begun, b.calm.sent
        );
    }
    for violation in &result.violations {
        println!("  BROKEN: {violation}");
    }
    Ok(result)
}
