//! Measures the cost of a claim with real processes: platform operations per service call, and the
//! latency that the claim adds.
//!
//! `cargo run --release -p jacinthweir-testkit --example measure_claims -- [CALLS]`
//!
//! Calls are sent sequentially to one of three instances, one kind of call after the other.

use hdrhistogram::Histogram;
use jacinthweir_testkit::Result;
use jacinthweir_testkit::caller::{ServiceCall, ensure_uninterrupted};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::fleet::{Fleet, FleetCfg};
use jacinthweir_testkit::platform::admin::Counts;

const DEPLOYMENT: Deployment = Deployment::Tallinna;
/// Default number of calls of each kind.
const DEFAULT_CALLS: u64 = 500;

#[tokio::main]
async fn main() -> Result<()> {
    let calls = std::env::args().nth(1).and_then(|n| n.parse().ok());
    let calls = calls.unwrap_or(DEFAULT_CALLS);
    let cfg = FleetCfg {
        instances: 3,
        runners: 0,
        services: 2,
        ..FleetCfg::small(DEPLOYMENT)
    };
    let fleet = Fleet::start(cfg).await?;
    fleet.apply().await?;
    println!("kind, calls, p50 us, p99 us, platform writes a call, reads a call");
    for (kind, call, keyed) in [
        ("idempotent", DEPLOYMENT.idempotent_call(), false),
        (
            "non-idempotent, no key",
            DEPLOYMENT.non_idempotent_call(),
            false,
        ),
        (
            "non-idempotent, claimed",
            DEPLOYMENT.non_idempotent_call(),
            true,
        ),
        (
            "the same keys again",
            DEPLOYMENT.non_idempotent_call(),
            true,
        ),
    ] {
        let before = fleet.platform_admin().counts().await?;
        let times = send_all(&fleet, call, keyed, calls).await?;
        let after = fleet.platform_admin().counts().await?;
        print(kind, calls, &times, &before, &after);
    }
    let objects = fleet.platform_admin().objects().await?;
    let claims = objects.iter().filter(|o| o.key.starts_with("claims/"));
    let sizes: Vec<usize> = claims.map(|o| o.key.len() + o.value.len()).collect();
    let mean = sizes.iter().sum::<usize>() / sizes.len().max(1);
    println!("claims kept: {}, mean size {mean} bytes", sizes.len());
    fleet.stop().await?;
    Ok(())
}

async fn send_all(fleet: &Fleet, call: &str, keyed: bool, calls: u64) -> Result<Histogram<u64>> {
    let caller = fleet.caller(DEPLOYMENT.organisations()[0])?;
    let mut times = Histogram::new(3).expect("three digits fit");
    for i in 0..calls {
        let call = ServiceCall {
            service: DEPLOYMENT.service().into(),
            call: call.into(),
            key: keyed.then(|| format!("measure-{i}")),
            body: format!("call {i}"),
            deadline_ms: None,
        };
        let seen = ensure_uninterrupted(caller.call(fleet.entries()[0], &call).await)?;
        assert!(seen.answered(), "{seen:?}");
        times.record(seen.end_us).expect("the histogram grows");
    }
    Ok(times)
}

fn print(kind: &str, calls: u64, times: &Histogram<u64>, before: &Counts, after: &Counts) {
    let p50 = times.value_at_quantile(0.5);
    let p99 = times.value_at_quantile(0.99);
    let per_call = |after: u64, before: u64| (after - before) as f64 / calls as f64;
    let puts = per_call(after.puts, before.puts);
    let gets = per_call(after.gets, before.gets);
    println!("{kind}, {calls}, {p50}, {p99}, {puts:.3}, {gets:.3}");
}
