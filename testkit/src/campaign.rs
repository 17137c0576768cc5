//! Randomized fault-injection campaigns on real processes.
//!
//! A campaign starts a fleet, applies load, injects one or two seeded faults at a time, heals them
//! and checks the recorded history. The same seed generates the same load and the same faults, but
//! process interleaving depends on the operating system's scheduler.

pub mod fault;
pub mod injection;
pub mod load;
pub mod recorder;
pub mod watch;

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio_util::sync::CancellationToken;

use crate::fleet::deployment::{Deployment, LAYERS};
use crate::history::{self, History, Limits, Violation};
use crate::{Fleet, FleetCfg, Result};
use recorder::Recorder;

/// Parameters of a campaign.
#[derive(Clone, Debug)]
pub struct CampaignCfg {
    /// Seed of the load and the fault generator.
    pub seed: u64,
    /// Deployment under test.
    pub deployment: Deployment,
    /// Duration of the fault-injection phase.
    pub length: Duration,
    /// Mean number of submissions per second.
    pub rate_per_s: f64,
}

/// Result of a campaign.
#[derive(Debug)]
pub struct CampaignResult {
    /// Complete recorded history.
    pub history: History,
    /// Violations found by the history checks.
    pub violations: Vec<Violation>,
    /// Injected faults in order, each with the time since the start.
    pub faults: Vec<String>,
    /// Complete log of each instance; empty if no violation was found.
    pub logs: Vec<String>,
}

/// Time for which load continues after the last fault, so that healed processes must serve again.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Runs a campaign.
///
/// # Errors
///
/// Returns an error if the fleet does not start or a stand-in does not answer.
pub async fn run(cfg: &CampaignCfg) -> Result<CampaignResult> {
    let mut fleet_cfg = FleetCfg::small(cfg.deployment);
    fleet_cfg.runners = 12;
    let mut fleet = Fleet::start(fleet_cfg).await?;
    fleet.apply().await?;
    let recorder = Arc::new(Recorder::new(LAYERS));
    let stop = CancellationToken::new();
    let load = tokio::spawn(load::run(
        load::LoadCfg::new(cfg, &fleet)?,
        Arc::clone(&recorder),
        stop.clone(),
    ));
    let watch = tokio::spawn(watch::run(
        watch::instances(&fleet)?,
        Arc::clone(&recorder),
        stop.clone(),
    ));
    let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
    let until = Instant::now() + cfg.length;
    let faults = injection::run(&mut fleet, &recorder, &mut rng, until).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    stop.cancel();
    let _ = tokio::join!(load, watch);
    injection::collect(&fleet, &recorder).await?;
    injection::stop_all(&mut fleet, &recorder).await?;
    let history = recorder.take();
    let violations = history::check(&history, &Limits::default());
    let logs = if violations.is_empty() {
        Vec::new()
    } else {
        logs(&fleet)
    };
    Ok(CampaignResult {
        history,
        violations,
        faults,
        logs,
    })
}

fn logs(fleet: &Fleet) -> Vec<String> {
    let logs = fleet.instances.iter().map(|i| i.process.log());
    logs.collect()
}
