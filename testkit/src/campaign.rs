//! Random campaigns on real processes: load, faults, and the checks of the history they leave.
//!
//! One campaign starts a fleet, keeps a load on it, brings about faults drawn from the seed one
//! or two at a time, heals, and checks the history. The same seed draws the same load and the same
//! faults; how processes interleave is the machine's.

pub mod fault;
pub mod faults;
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

/// What a campaign does.
#[derive(Clone, Debug)]
pub struct CampaignCfg {
    /// Seed of load and faults.
    pub seed: u64,
    /// Deployment.
    pub deployment: Deployment,
    /// How long faults are brought about.
    pub length: Duration,
    /// Submissions a second.
    pub per_s: f64,
}

/// What a campaign left.
#[derive(Debug)]
pub struct CampaignEnd {
    /// The whole history.
    pub history: History,
    /// What the checks found.
    pub violations: Vec<Violation>,
    /// Faults in order, with the time since the start.
    pub faults: Vec<String>,
    /// The last lines of each instance's log, where something was found.
    pub logs: Vec<String>,
}

/// Time after the last fault in which load goes on: what healed must serve again.
const QUIET: Duration = Duration::from_secs(3);

/// Runs a campaign.
///
/// # Errors
///
/// Where the fleet does not start or a stand-in does not answer.
pub async fn run(cfg: &CampaignCfg) -> Result<CampaignEnd> {
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
    let faults = faults::run(&mut fleet, &recorder, &mut rng, until).await?;
    tokio::time::sleep(QUIET).await;
    stop.cancel();
    let _ = tokio::join!(load, watch);
    faults::collect(&fleet, &recorder).await?;
    faults::stop_all(&mut fleet, &recorder).await?;
    let history = recorder.take();
    let violations = history::check(&history, &Limits::default());
    let logs = if violations.is_empty() {
        Vec::new()
    } else {
        logs(&fleet)
    };
    Ok(CampaignEnd {
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
