//! Runs a load against a deployment of separate processes and prints the result as JSON.

use argh::FromArgs;
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::load::{self, arrivals::ArrivalsCfg};
use jacinthweir_testkit::{Fleet, FleetCfg};

/// Runs a load against a deployment of separate processes and prints the result as JSON.
#[derive(FromArgs)]
struct Args {
    /// requests per second
    #[argh(option, default = "20.0")]
    rate: f64,
    /// duration over which requests arrive, in seconds
    #[argh(option, default = "10")]
    seconds: u64,
    /// seed of the arrivals
    #[argh(option, default = "1")]
    seed: u64,
    /// number of model runners
    #[argh(option, default = "40")]
    runners: usize,
    /// number of entry instances
    #[argh(option, default = "6")]
    instances: usize,
    /// use Tallinna's deployment instead of the Associação's
    #[argh(switch)]
    tallinna: bool,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let deployment = if args.tallinna {
        Deployment::Tallinna
    } else {
        Deployment::Associacao
    };
    let fleet = Fleet::start(FleetCfg {
        runners: args.runners,
        instances: args.instances,
        ..FleetCfg::production_size(deployment)
    })
    .await?;
    fleet.apply().await?;
    let cfg = ArrivalsCfg {
        seed: args.seed,
        rate_per_s: args.rate,
        duration_ms: args.seconds * 1_000,
        ..ArrivalsCfg::default()
    };
    let result = load::run(deployment, &cfg, &fleet.entries()).await?;
    println!("{}", serde_json::to_string_pretty(&result)?);
    fleet.stop().await?;
    Ok(())
}
