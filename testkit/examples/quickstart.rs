//! End-to-end path on one machine, with stand-ins and six entry instances as separate processes.
//!
//! For each of the two deployments it applies the sample schema through `jwctl`, asks for the
//! entry addresses, prints one streamed model answer over a pipeline of several stages and one
//! booking, and shows the route of each with `jwctl request`. All processes are stopped at the
//! end.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::time::Instant;

use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::{ModelCall, Observation, ServiceCall, ensure_uninterrupted};
use jacinthweir_testkit::fleet::deployment::Deployment;
use jacinthweir_testkit::{Caller, Fleet, FleetCfg};
use jacinthweir_wire::runner::LayerRange;

/// Exit code on failure.
const EXIT_FAILURE: u8 = 1;

#[tokio::main]
async fn main() -> std::process::ExitCode {
    for deployment in Deployment::ALL {
        if let Err(err) = run(deployment).await {
            eprintln!("quickstart: {err:#}");
            return std::process::ExitCode::from(EXIT_FAILURE);
        }
    }
    std::process::ExitCode::SUCCESS
}

async fn run(deployment: Deployment) -> eyre::Result<()> {
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
    let result = send_requests(&fleet).await;
    fleet.stop().await?;
    result
}

async fn send_requests(fleet: &Fleet) -> eyre::Result<()> {
    let deployment = fleet.deployment;
    let organisation = deployment.organisations()[0];
    let caller = fleet.caller(organisation)?;
    let entry = caller.entry(fleet.instances[0].listen.callers).await?;
    let Some(entry_address) = entry.addresses.first() else {
        eyre::bail!("the entry answer names no address");
    };
    println!(
        "entry: use {} in {} for {} ms",
        entry_address.address, entry_address.domain, entry.ttl_ms
    );
    let answer = ask(&caller, entry_address.address, deployment).await?;
    print_stages(fleet, &answer).await?;
    print_trace(fleet, &answer).await?;
    let booking = book(&caller, entry_address.address, deployment).await?;
    println!("{}: {}", deployment.non_idempotent_call(), booking.text);
    print_trace(fleet, &booking).await?;
    Ok(())
}

async fn ask(
    caller: &Caller,
    at: std::net::SocketAddr,
    deployment: Deployment,
) -> eyre::Result<Observation> {
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
    let seen = ensure_answered(caller.complete_with(at, &call, &mut show).await)?;
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

/// Prints which runner ran which layers of a request's tokens, according to the runners.
async fn print_stages(fleet: &Fleet, seen: &Observation) -> eyre::Result<()> {
    let mut stages = BTreeMap::<LayerRange, (Name, usize)>::new();
    for i in 0..fleet.runners.len() {
        let witness = fleet.runner_admin(i).witness().await?;
        let runs = witness
            .ran
            .iter()
            .filter(|r| Some(&r.request) == seen.request.as_ref());
        for ran in runs {
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
) -> eyre::Result<Observation> {
    let call = ServiceCall {
        service: deployment.service().into(),
        call: deployment.non_idempotent_call().into(),
        key: Some(uuid::Uuid::now_v7().to_string()),
        body: r#"{"item":7}"#.to_owned(),
        deadline_ms: None,
    };
    ensure_answered(caller.call(at, &call).await)
}

fn ensure_answered(seen: Observation) -> eyre::Result<Observation> {
    let seen = ensure_uninterrupted(seen)?;
    if seen.outcome != Some(Outcome::Answered) {
        eyre::bail!("not answered: {seen:?}");
    }
    Ok(seen)
}

/// Prints the record of a request.
async fn print_trace(fleet: &Fleet, seen: &Observation) -> eyre::Result<()> {
    let Some(request) = &seen.request else {
        eyre::bail!("the answer names no request");
    };
    println!("$ jwctl request {request}");
    let output = fleet.jwctl(0, &["request", request]).await?;
    if output.code != Some(0) {
        eyre::bail!("jwctl request ended with {:?}: {}", output.code, output.err);
    }
    print!("{}", output.out);
    Ok(())
}
