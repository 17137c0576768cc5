//! Measures route policies against the throughput bound, for example with
//! `--seeds N --instances 1,3,6 --load 0.5,0.95`.

use argh::FromArgs;
use jacinthweir_testkit::bench::baseline::RoutePolicy;
use jacinthweir_testkit::bench::fleet::{Fleet, FleetSize};
use jacinthweir_testkit::bench::route_run::{RunConfig, RunResult, run};
use jacinthweir_testkit::bench::route_table::{Row, markdown, plot};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::str::FromStr;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Measure route policies by offered load and number of instances.
#[derive(FromArgs)]
struct Args {
    /// number of seeds, starting at 1; each generates its own fleet and arrivals
    #[argh(option, default = "5")]
    seeds: u64,
    /// numbers of entry instances, separated by commas
    #[argh(option, default = "List(vec![1, 3, 6])")]
    instances: List<usize>,
    /// offered loads as fractions of the throughput bound, separated by commas
    #[argh(option, default = "List(vec![0.5, 0.9, 0.95, 1.2, 2.0])")]
    load: List<f64>,
    /// policies, separated by commas: flow-N (N chains sampled), flow-N-unscaled, random,
    /// round-robin, least-loaded, least-wait
    #[argh(option, default = "default_policies()")]
    policies: List<RoutePolicy>,
    /// simulated time, in milliseconds
    #[argh(option, default = "40_000")]
    run_ms: u64,
    /// interval of load reports, in milliseconds
    #[argh(option, default = "500")]
    report_ms: u64,
    /// maximum delay of a load report, in milliseconds
    #[argh(option, default = "700")]
    delay_ms: u64,
    /// limit of requests in flight, expressed as the inter-token gap at which it reaches the bound,
    /// in milliseconds; the product plans with 36
    #[argh(option, default = "36.0")]
    window_ms: f64,
    /// fraction of the runners that work at half the speed that they report
    #[argh(option, default = "0.0")]
    slowed: f64,
    /// make the slow links between domains as fast as the others
    #[argh(switch)]
    even_links: bool,
    /// number of threads
    #[argh(option, default = "4")]
    threads: usize,
    /// output file for the rows as JSON
    #[argh(option)]
    json: Option<String>,
    /// output file for the plot as SVG
    #[argh(option)]
    plot: Option<String>,
}

/// Comma-separated values.
struct List<T>(Vec<T>);

impl<T: FromStr<Err: std::fmt::Display>> FromStr for List<T> {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        let items = s
            .split(',')
            .map(|item| item.parse().map_err(|e: T::Err| e.to_string()));
        Ok(Self(items.collect::<Result<_, _>>()?))
    }
}

fn default_policies() -> List<RoutePolicy> {
    List(vec![
        RoutePolicy::Flow(jacinthweir_policy::route::RouterConfig::default().draws),
        RoutePolicy::LeastWait,
        RoutePolicy::LeastLoaded,
        RoutePolicy::RoundRobin,
        RoutePolicy::Random,
    ])
}

fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let mut configs = Vec::new();
    for &policy in &args.policies.0 {
        for &instances in &args.instances.0 {
            for &load in &args.load.0 {
                configs.extend(
                    (1..=args.seeds).map(|seed| config(&args, policy, instances, load, seed)),
                );
            }
        }
    }
    let results = run_all(&configs, args.threads, args.even_links);
    let seeds = args.seeds as usize;
    let rows: Vec<Row> = configs
        .chunks(seeds)
        .zip(results.chunks(seeds))
        .map(|(c, r)| Row::of(c[0].policy, c[0].instances, c[0].load, r))
        .collect();
    print!("{}", markdown(&rows));
    let events: u64 = results.iter().map(|r| r.events).sum();
    println!("{} runs, {events} events", results.len());
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&rows)?)?;
    }
    if let Some(path) = &args.plot {
        plot(&rows, path)?;
    }
    Ok(())
}

fn config(args: &Args, policy: RoutePolicy, instances: usize, load: f64, seed: u64) -> RunConfig {
    RunConfig {
        policy,
        instances,
        load,
        seed,
        run_ms: args.run_ms,
        warmup_ms: args.run_ms / 4,
        report_every_ms: args.report_ms,
        report_delay_ms: args.delay_ms,
        window_ms: args.window_ms,
        slowed: args.slowed,
    }
}

fn run_all(configs: &[RunConfig], threads: usize, even_links: bool) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let i = next.fetch_add(1, Ordering::Relaxed);
            let Some(cfg) = configs.get(i) else {
                return done;
            };
            let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
            let mut fleet = Fleet::generate(FleetSize::CURRENT, &mut rng);
            if even_links {
                fleet.equalize_links();
            }
            done.push((i, run(&fleet, *cfg)));
        }
    };
    let mut all: Vec<(usize, RunResult)> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        handles
            .into_iter()
            .flat_map(|h| h.join().expect("a run panicked"))
            .collect()
    });
    all.sort_by_key(|(i, _)| *i);
    all.into_iter().map(|(_, result)| result).collect()
}
