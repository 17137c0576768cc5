//! Recovery time after a failure, on real processes under an open-loop load.
//!
//! One run starts a fleet, loads it with seeded arrivals, brings one [`Scenario`]'s failure about
//! after the warm-up, and keeps the load on while the failure lasts. Every token's time and every
//! outcome is as the caller saw it. All times count from the moment before the failure is brought
//! about. The control runs of the same seeds say what throughput would have been without it.

pub mod figures;
pub mod scenario;
pub mod suspicions;
pub mod table;

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::fleet::deployment::Deployment;
use crate::load::arrivals::{Arrival, ArrivalsCfg};
use crate::load::result::violation;
use crate::{Fleet, FleetCfg, Result, load};
use figures::{Figures, SeenAt};
use scenario::Scenario;
use suspicions::Suspicions;

/// Runners of a run's fleet: each layer has holders in more than one failure domain.
const RUNNERS: usize = 18;
/// Speed of the runners against the samples: a step takes much longer than a timer's granularity.
const SPEED: f64 = 0.2;
/// How old load reports are in the control run with slow ones, in milliseconds.
const SLOW_REPORT_MS: u64 = 3_000;

/// What a run does.
#[derive(Clone, Debug)]
pub struct RecoveryCfg {
    /// Deployment.
    pub deployment: Deployment,
    /// Load before the failure.
    pub warm: Duration,
    /// Load after it.
    pub after: Duration,
    /// How long the platform is out.
    pub outage: Duration,
    /// Requests a second.
    pub rate_per_s: f64,
}

impl Default for RecoveryCfg {
    fn default() -> Self {
        Self {
            deployment: Deployment::Tallinna,
            warm: Duration::from_secs(4),
            after: Duration::from_secs(10),
            outage: Duration::from_secs(6),
            rate_per_s: 16.0,
        }
    }
}

/// One run.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRun {
    /// Scenario.
    pub scenario: Scenario,
    /// Seed of the arrivals, and of which runner or instance fails.
    pub seed: u64,
    /// What failed, by name.
    pub failed: Vec<String>,
    /// What callers saw.
    pub figures: Figures,
    /// What the instances suspected over the whole run.
    pub suspicions: Suspicions,
    /// Instances' logs, where an answer was wrong or a stream recovered late.
    #[serde(skip)]
    pub logs: Vec<String>,
}

/// Runs one scenario at one seed. `control` are the tokens of the control run at the same seed.
///
/// # Errors
///
/// Where the fleet does not start or a process can't be reached.
pub async fn run(
    cfg: &RecoveryCfg,
    scenario: Scenario,
    seed: u64,
    control: Option<&[u64]>,
) -> Result<RecoveryRun> {
    let mut fleet = Fleet::start(fleet_cfg(cfg, scenario)).await?;
    fleet.apply().await?;
    let arrivals = arrivals_cfg(cfg, scenario, seed);
    let start = Instant::now();
    let load = tokio::spawn(watch(cfg.deployment, arrivals, fleet.entries(), start));
    tokio::time::sleep(cfg.warm).await;
    let struck = scenario::strike(&mut fleet, scenario, seed).await?;
    if scenario == Scenario::PlatformOut {
        tokio::time::sleep(cfg.outage).await;
        scenario::heal(&fleet, scenario).await?;
    }
    let seen = match load.await {
        Ok(seen) => seen?,
        Err(err) => return Err(crate::Error::Other(format!("the load failed: {err}"))),
    };
    let suspicions = suspicions::read(&fleet).await?;
    let logs = fleet.instances.iter().map(|i| i.process.log()).collect();
    let span = figures::Span {
        struck: struck.at.saturating_duration_since(start),
        end: cfg.warm + cfg.after,
    };
    let figures = Figures::work_out(&seen, span, control);
    fleet.stop().await?;
    Ok(RecoveryRun {
        scenario,
        seed,
        failed: struck.failed,
        figures,
        suspicions,
        logs,
    })
}

fn fleet_cfg(cfg: &RecoveryCfg, scenario: Scenario) -> FleetCfg {
    let mut fleet = FleetCfg::small(cfg.deployment);
    fleet.runners = RUNNERS;
    fleet.speed = SPEED;
    if scenario == Scenario::ControlSlowReports {
        fleet.load_lag_ms = Some(SLOW_REPORT_MS);
    }
    fleet
}

/// How long load lasts after the failure.
fn lasts(cfg: &RecoveryCfg, scenario: Scenario) -> Duration {
    match scenario {
        Scenario::PlatformOut => cfg.after.max(cfg.outage + cfg.after / 2),
        _ => cfg.after,
    }
}

fn arrivals_cfg(cfg: &RecoveryCfg, scenario: Scenario, seed: u64) -> ArrivalsCfg {
    let length = cfg.warm + lasts(cfg, scenario);
    ArrivalsCfg {
        seed,
        rate_per_s: cfg.rate_per_s,
        duration_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
        tokens: (40, 100),
        ..ArrivalsCfg::default()
    }
}

async fn watch(
    deployment: Deployment,
    arrivals: ArrivalsCfg,
    entries: Vec<std::net::SocketAddr>,
    start: Instant,
) -> Result<Vec<SeenAt>> {
    let mut all = Vec::new();
    let take = |arrival: &Arrival, seen: &crate::caller::Observation| {
        all.push(SeenAt {
            at_us: arrival.at_us,
            model: matches!(arrival.ask, load::arrivals::Ask::Model(_)),
            violation: violation(arrival, seen),
            seen: seen.clone(),
        });
    };
    load::run_each(deployment, &arrivals, &entries, start, take).await?;
    Ok(all)
}
