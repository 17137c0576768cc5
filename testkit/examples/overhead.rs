//! What the router adds to a request and to a token, against the stand-ins asked directly.
//!
//! One runner holds the whole model, so that both ways run the same single stage. Requests go
//! directly and through the instance in turn, in the same run. Prints JSON, times in
//! microseconds.

use std::net::SocketAddr;
use std::time::Instant;

use argh::FromArgs;
use futures::StreamExt;
use hdrhistogram::Histogram;
use jacinthweir_testkit::caller::{ModelCall, ServiceCall, unbroken};
use jacinthweir_testkit::fleet::deployment::{Deployment, LAYERS};
use jacinthweir_testkit::{Caller, Fleet, FleetCfg};
use jacinthweir_wire::runner::{LayerRange, RunRequest, Stage};
use serde::Serialize;

const DEPLOYMENT: Deployment = Deployment::Associacao;
/// Tokens of each answer.
const TOKENS: u32 = 32;
/// Requests before the measurement.
const WARM_UP: u32 = 20;
/// The longest time a histogram takes, in microseconds.
const LONGEST_US: u64 = 60_000_000;

/// What the router adds, against the stand-ins asked directly; prints JSON in microseconds.
#[derive(FromArgs)]
struct Args {
    /// requests each way
    #[argh(option, default = "300")]
    requests: u32,
}

/// Times of one way.
struct Times {
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
struct Way {
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
    slot.cfg.holds[0].layers = whole();
    slot.cfg.max_layers = LAYERS;
    fleet.add_runner(slot).await?;
    fleet.apply().await?;
    let caller = fleet.caller(DEPLOYMENT.organisations()[0])?;
    let mut direct = Times::new()?;
    let mut routed = Times::new()?;
    for i in 0..WARM_UP + args.requests {
        if i == WARM_UP {
            direct = Times::new()?;
            routed = Times::new()?;
        }
        ask_direct(&fleet, &mut direct, i).await?;
        ask_routed(&fleet, &caller, &mut routed, i).await?;
    }
    let ways = [direct.way("direct"), routed.way("routed")];
    println!("{}", serde_json::to_string_pretty(&ways)?);
    fleet.stop().await?;
    Ok(())
}

fn whole() -> LayerRange {
    LayerRange {
        start: 0,
        end: LAYERS,
    }
}

fn prompt(way: &str, i: u32) -> String {
    format!("#len={TOKENS} {way} {i}")
}

async fn ask_direct(fleet: &Fleet, times: &mut Times, i: u32) -> eyre::Result<()> {
    let runner = &fleet.runners[0].listing;
    let req = RunRequest {
        request: format!("direct-{i}").into(),
        attempt: 1,
        model: DEPLOYMENT.model().into(),
        route: vec![Stage {
            runner: runner.name.clone(),
            address: runner.address,
            layers: whole(),
        }],
        prompt: prompt("direct", i),
        resume: Vec::new(),
        max_tokens: TOKENS,
        priority: 0,
        deadline_ms: 60_000,
        kv_from: None,
    };
    // A fresh connection, as the callers of the other way have.
    let client = reqwest::Client::builder().no_proxy().build()?;
    let started = Instant::now();
    let url = format!("http://{}/v1/run", runner.address);
    let answer = client.post(url).json(&req).send().await?;
    let mut chunks = answer.bytes_stream();
    let mut at = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let lines = chunk?.iter().filter(|b| **b == b'\n').count();
        at.extend(std::iter::repeat_n(micros(started), lines));
    }
    // The last line is the end frame.
    at.truncate(TOKENS as usize);
    times.take(&at);
    call_direct(fleet.services[0].listing.address, times).await
}

async fn call_direct(at: SocketAddr, times: &mut Times) -> eyre::Result<()> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let started = Instant::now();
    let url = format!("http://{at}/call/{}", DEPLOYMENT.idempotent_call());
    let answer = client.post(url).body("item").send().await?;
    answer.error_for_status()?.text().await?;
    times.service.saturating_record(micros(started));
    Ok(())
}

async fn ask_routed(fleet: &Fleet, caller: &Caller, times: &mut Times, i: u32) -> eyre::Result<()> {
    let at = fleet.entries()[0];
    let ask = ModelCall {
        pipeline: DEPLOYMENT.pipeline().into(),
        prompt: prompt("routed", i),
        max_tokens: TOKENS,
        deadline_ms: None,
    };
    let seen = unbroken(caller.complete(at, &ask).await)?;
    if !seen.answered() {
        eyre::bail!("not answered: {seen:?}");
    }
    times.take(&seen.token_us);
    let call = ServiceCall {
        service: DEPLOYMENT.service().into(),
        call: DEPLOYMENT.idempotent_call().into(),
        key: None,
        body: "item".to_owned(),
        deadline_ms: None,
    };
    let seen = unbroken(caller.call(at, &call).await)?;
    if !seen.answered() {
        eyre::bail!("not answered: {seen:?}");
    }
    times.service.saturating_record(seen.end_us);
    Ok(())
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Times {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
            gap: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
            service: Histogram::new_with_bounds(1, LONGEST_US, 3)?,
        })
    }

    fn take(&mut self, token_us: &[u64]) {
        if let Some(first) = token_us.first() {
            self.first_token.saturating_record(*first);
        }
        for pair in token_us.windows(2) {
            self.gap.saturating_record(pair[1] - pair[0]);
        }
    }

    fn way(&self, way: &'static str) -> Way {
        Way {
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
