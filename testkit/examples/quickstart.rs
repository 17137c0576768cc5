//! The whole path on one machine: stand-ins and six entry instances as separate processes.
//!
//! For each of the two deployments it applies the sample schema through `jwctl`, asks which
//! address to use, prints one streamed model answer over a pipeline of several stages and one
//! booking, and shows with `jwctl request` where each went. It ends by itself and leaves nothing
//! running.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::time::Instant;

use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::{ModelCall, Seen, ServiceCall, unbroken};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::{Caller, Fleet, FleetCfg};
use jacinthweir_wire::runner::LayerRange;

/// Exit code where something went wrong.
const FAILED: u8 = 1;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    for deployment in Deployment::ALL {
        if let Err(err) = show(deployment).await {
            eprintln!("quickstart: {err:#}");
            return std::process::ExitCode::from(FAILED);
        }
    }
    std::process::ExitCode::SUCCESS
}

async fn show(deployment: Deployment) -> eyre::Result<()> {
    println!("== {deployment}");
    let started = Instant::now();
    let fleet = Fleet::start(FleetCfg::small(deployment)).await?;
    println!(
        "started a platform, {} runners, {} {} services and {} instances in {} ms",
        fleet.runners.len(),
        fleet.services.len(),
        deployment.service(),
        fleet.instances.len(),
        started.elapsed().as_millis()
    );
    println!("$ jwctl apply samples/{deployment}.jsonc --wait");
    print!("{}", fleet.apply().await?.out);
    let shown = requests(&fleet).await;
    fleet.stop().await?;
    shown
}

async fn requests(fleet: &Fleet) -> eyre::Result<()> {
    let deployment = fleet.deployment;
    let organisation = deployment.organisations()[0];
    let caller = fleet.caller(organisation)?;
    let entry = caller.entry(fleet.instances[0].faces.callers).await?;
    let Some(use_first) = entry.addresses.first() else {
        eyre::bail!("the entry answer names no address");
    };
    println!(
        "entry: use {} in {} for {} ms",
        use_first.address, use_first.domain, entry.ttl_ms
    );
    let answer = ask(&caller, use_first.address, deployment).await?;
    stages(fleet, &answer).await?;
    trace(fleet, &answer).await?;
    let booking = book(&caller, use_first.address, deployment).await?;
    println!("{}: {}", deployment.non_idempotent_call(), booking.text);
    trace(fleet, &booking).await?;
    Ok(())
}

async fn ask(
    caller: &Caller,
    at: std::net::SocketAddr,
    deployment: Deployment,
) -> eyre::Result<Seen> {
    let call = ModelCall {
        pipeline: deployment.pipeline().into(),
        prompt: question(deployment).to_owned(),
        max_tokens: 32,
        deadline_ms: None,
    };
    println!("{}: {}", call.pipeline, call.prompt);
    let mut show = |piece: &str| {
        print!("{piece}");
        let _ = std::io::stdout().flush();
    };
    let seen = answered(caller.complete_with(at, &call, &mut show).await)?;
    let first_ms = seen.token_us.first().map_or(0, |us| us / 1_000);
    let count = seen.token_us.len();
    println!("\n{count} tokens, the first after {first_ms} ms");
    Ok(seen)
}

fn question(deployment: Deployment) -> &'static str {
    match deployment {
        Deployment::Associacao => "Is there matched spruce for a quartet?",
        Deployment::Tallinna => "Who can take the closure on Pärnu maantee tonight?",
    }
}

/// Shows which runners ran which layers of a request's tokens, as they themselves say.
async fn stages(fleet: &Fleet, seen: &Seen) -> eyre::Result<()> {
    let mut stages = BTreeMap::<LayerRange, (Name, usize)>::new();
    for i in 0..fleet.runners.len() {
        let witness = fleet.runner_admin(i).witness().await?;
        let own = witness
            .ran
            .iter()
            .filter(|r| Some(&r.request) == seen.request.as_ref());
        for ran in own {
            let stage = stages.entry(ran.layers);
            stage.or_insert_with(|| (witness.runner.clone(), 0)).1 += 1;
        }
    }
    for (layers, (runner, tokens)) in stages {
        println!("  layers {layers} of {tokens} tokens ran on {runner}");
    }
    Ok(())
}

async fn book(
    caller: &Caller,
    at: std::net::SocketAddr,
    deployment: Deployment,
) -> eyre::Result<Seen> {
    let call = ServiceCall {
        service: deployment.service().into(),
        call: deployment.non_idempotent_call().into(),
        key: Some(uuid::Uuid::now_v7().to_string()),
        body: r#"{"item":7}"#.to_owned(),
        deadline_ms: None,
    };
    answered(caller.call(at, &call).await)
}

fn answered(seen: Seen) -> eyre::Result<Seen> {
    let seen = unbroken(seen)?;
    if seen.outcome != Some(Outcome::Answered) {
        eyre::bail!("not answered: {seen:?}");
    }
    Ok(seen)
}

/// Shows where a request went.
async fn trace(fleet: &Fleet, seen: &Seen) -> eyre::Result<()> {
    let Some(request) = &seen.request else {
        eyre::bail!("the answer names no request");
    };
    println!("$ jwctl request {request}");
    let shown = fleet.jwctl(0, &["request", request]).await?;
    if shown.code != Some(0) {
        eyre::bail!("jwctl request ended with {:?}: {}", shown.code, shown.err);
    }
    print!("{}", shown.out);
    Ok(())
}
