//! Latency that the router adds per request and per token, compared with direct calls.
//!
//! One runner holds the complete model, so that both paths run the same single stage. Requests
//! alternate between a direct call to the stand-in and a call through the instance, in the same
//! run. Prints JSON with times in microseconds.

use std::net::SocketAddr;
use std::time::Instant;

use argh::FromArgs;
use futures::StreamExt;
use hdrhistogram::Histogram;
use jacinthweir_testkit::caller::{ModelCall, ServiceCall, ensure_uninterrupted};
use jacinthweir_testkit::fleet::deployment::{Deployment, LAYERS};
use jacinthweir_testkit::{Caller, Fleet, FleetCfg};
use jacinthweir_wire::runner::{LayerRange, RunRequest, Stage};
use serde::Serialize;

const DEPLOYMENT: Deployment = Deployment::Associacao;
/// Length of each answer, in tokens.
const TOKENS: u32 = 32;
/// Requests per path before the measurement.
const WARM_UP_REQUESTS: u32 = 20;
/// Largest value of the histograms, in microseconds.
const MAX_HISTOGRAM_US: u64 = 60_000_000;

/// Measures the latency that the router adds over direct calls; prints JSON in microseconds.
#[derive(FromArgs)]
struct Args {
    /// number of requests per path
    #[argh(option, default = "300")]
    requests: u32,
}

/// Latency histograms of one path.
struct Latencies {
    first_token: Histogram<u64>,
    gap: Histogram<u64>,
    service: Histogram<u64>,
}

#[derive(Serialize)]
struct Quantiles {
    p50_us: u64,
    p99_us: u64,
}

#[derive(Serialize)]
struct PathResult {
    way: &'static str,
    first_token: Quantiles,
    gap: Quantiles,
    service: Quantiles,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args: Args = argh::from_env();
    let mut fleet = Fleet::start(FleetCfg {
        instances: 1,
        runners: 0,
        services: 1,
        ..FleetCfg::small(DEPLOYMENT)
    })
    .await?;
    let mut slot = DEPLOYMENT.runner(0);
    slot.cfg.holds[0].layers = all_layers();
    slot.cfg.max_layers = LAYERS;
    fleet.add_runner(slot).await?;
    fleet.apply().await?;
    let caller = fleet.caller(DEPLOYMENT.organisations()[0])?;
    let mut direct = Latencies::new()?;
    let mut routed = Latencies::new()?;
    for i in 0..WARM_UP_REQUESTS + args.requests {
        if i == WARM_UP_REQUESTS {
            direct = Latencies::new()?;
            routed = Latencies::new()?;
        }
        ask_direct(&fleet, &mut direct, i).await?;
        ask_routed(&fleet, &caller, &mut routed, i).await?;
    }
    let ways = [direct.way("direct"), routed.way("routed")];
    println!("{}", serde_json::to_string_pretty(&ways)?);
    fleet.stop().await?;
    Ok(())
}

fn all_layers() -> LayerRange {
    LayerRange {
        start: 0,
        end: LAYERS,
    }
}

fn prompt(way: &str, i: u32) -> String {
    format!("#len={TOKENS} {way} {i}")
}

async fn ask_direct(fleet: &Fleet, latencies: &mut Latencies, i: u32) -> eyre::Result<()> {
    let runner = &fleet.runners[0].listing;
    let req = RunRequest {
        request: format!("direct-{i}").into(),
        attempt: 1,
        model: DEPLOYMENT.model().into(),
        route: vec![Stage {
            runner: runner.name.clone(),
            address: runner.address,
            layers: all_layers(),
        }],
        prompt: prompt("direct", i),
        resume: Vec::new(),
        max_tokens: TOKENS,
        priority: 0,
        deadline_ms: 60_000,
        kv_from: None,
    };
    // One connection per request, as on the routed path.
    let client = reqwest::Client::builder().no_proxy().build()?;
    let started = Instant::now();
    let url = format!("http://{}/v1/run", runner.address);
    let answer = client.post(url).json(&req).send().await?;
    let mut chunks = answer.bytes_stream();
    let mut at = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let lines = chunk?.iter().filter(|b| **b == b'\n').count();
        at.extend(std::iter::repeat_n(elapsed_us(started), lines));
    }
    // Drops the end frame, which is the last line.
    at.truncate(TOKENS as usize);
    latencies.record_stream(&at);
    call_direct(fleet.services[0].listing.address, latencies).await
}

async fn call_direct(at: SocketAddr, latencies: &mut Latencies) -> eyre::Result<()> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let started = Instant::now();
    let url = format!("http://{at}/call/{}", DEPLOYMENT.idempotent_call());
    let answer = client.post(url).body("item").send().await?;
    answer.error_for_status()?.text().await?;
    latencies.service.saturating_record(elapsed_us(started));
    Ok(())
}

async fn ask_routed(
    fleet: &Fleet,
    caller: &Caller,
    latencies: &mut Latencies,
    i: u32,
) -> eyre::Result<()> {
    let at = fleet.entries()[0];
    let ask = ModelCall {
        pipeline: DEPLOYMENT.pipeline().into(),
        prompt: prompt("routed", i),
        max_tokens: TOKENS,
        deadline_ms: None,
    };
    let seen = ensure_uninterrupted(caller.complete(at, &ask).await)?;
    if !seen.answered() {
        eyre::bail!("not answered: {seen:?}");
    }
    latencies.record_stream(&seen.token_us);
    let call = ServiceCall {
        service: DEPLOYMENT.service().into(),
        call: DEPLOYMENT.idempotent_call().into(),
        key: None,
        body: "item".to_owned(),
        deadline_ms: None,
    };
    let seen = ensure_uninterrupted(caller.call(at, &call).await)?;
    if !seen.answered() {
        eyre::bail!("not answered: {seen:?}");
    }
    latencies.service.saturating_record(seen.end_us);
    Ok(())
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Latencies {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_bounds(1, MAX_HISTOGRAM_US, 3)?,
            gap: Histogram::new_with_bounds(1, MAX_HISTOGRAM_US, 3)?,
            service: Histogram::new_with_bounds(1, MAX_HISTOGRAM_US, 3)?,
        })
    }

    fn record_stream(&mut self, token_us: &[u64]) {
        if let Some(first) = token_us.first() {
            self.first_token.saturating_record(*first);
        }
        for pair in token_us.windows(2) {
            self.gap.saturating_record(pair[1] - pair[0]);
        }
    }

    fn way(&self, way: &'static str) -> PathResult {
        PathResult {
            way,
            first_token: quantiles(&self.first_token),
            gap: quantiles(&self.gap),
            service: quantiles(&self.service),
        }
    }
}

fn quantiles(h: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50_us: h.value_at_quantile(0.50),
        p99_us: h.value_at_quantile(0.99),
    }
}
