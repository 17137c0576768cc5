//! Measurement of recovery time after a failure, on real processes under open-loop load.
//!
//! A run starts a fleet, loads it with seeded arrivals, injects the failure of one [`Scenario`]
//! after the warm-up and continues the load during the failure. Token times and outcomes are those
//! observed by the callers. All times count from the moment before the failure is injected. The
//! control runs with the same seeds give the throughput without the failure.

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
use figures::{Figures, TimedObservation};
use scenario::Scenario;
use suspicions::Suspicions;

/// Number of runners of a fleet; each layer has holders in more than one failure domain.
const RUNNERS: usize = 18;
/// Speed of the runners relative to the samples; a step takes much longer than the timer granularity.
const SPEED: f64 = 0.2;
/// Staleness of load reports in the control run with slow reports, in milliseconds.
const SLOW_REPORT_MS: u64 = 3_000;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RecoveryCfg {
    /// Deployment under test.
    pub deployment: Deployment,
    /// Duration of the load before the failure.
    pub warm: Duration,
    /// Duration of the load after the failure.
    pub after: Duration,
    /// Duration of the platform outage.
    pub outage: Duration,
    /// Mean number of requests per second.
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

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryRun {
    /// Scenario.
    pub scenario: Scenario,
    /// Seed of the arrivals and of the choice of the runner or instance that fails.
    pub seed: u64,
    /// Names of the processes or domains that failed.
    pub failed: Vec<String>,
    /// Figures observed by callers.
    pub figures: Figures,
    /// Suspicions of the instances over the whole run.
    pub suspicions: Suspicions,
    /// Logs of the instances, for the analysis of wrong answers or late recovery.
    #[serde(skip)]
    pub logs: Vec<String>,
}

/// Runs one scenario with one seed.
///
/// `control` is the token timeline of the control run with the same seed.
///
/// # Errors
///
/// Returns an error if the fleet does not start or a process can't be reached.
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
    let load = tokio::spawn(observe_load(
        cfg.deployment,
        arrivals,
        fleet.entries(),
        start,
    ));
    tokio::time::sleep(cfg.warm).await;
    let injected = scenario::inject(&mut fleet, scenario, seed).await?;
    if scenario == Scenario::PlatformOut {
        tokio::time::sleep(cfg.outage).await;
        scenario::heal(&fleet, scenario).await?;
    }
    let seen = match load.await {
        Ok(seen) => seen?,
        Err(err) => {
            return Err(crate::Error::Other(format!(
                "the load generator failed: {err}"
            )));
        }
    };
    let suspicions = suspicions::read(&fleet).await?;
    let logs = fleet.instances.iter().map(|i| i.process.log()).collect();
    let span = figures::Span {
        failure: injected.at.saturating_duration_since(start),
        end: cfg.warm + cfg.after,
    };
    let figures = Figures::compute(&seen, span, control);
    fleet.stop().await?;
    Ok(RecoveryRun {
        scenario,
        seed,
        failed: injected.failed,
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

/// Returns how long the load continues after the failure.
fn load_after_failure(cfg: &RecoveryCfg, scenario: Scenario) -> Duration {
    match scenario {
        Scenario::PlatformOut => cfg.after.max(cfg.outage + cfg.after / 2),
        _ => cfg.after,
    }
}

fn arrivals_cfg(cfg: &RecoveryCfg, scenario: Scenario, seed: u64) -> ArrivalsCfg {
    let length = cfg.warm + load_after_failure(cfg, scenario);
    ArrivalsCfg {
        seed,
        rate_per_s: cfg.rate_per_s,
        duration_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX),
        tokens: (40, 100),
        ..ArrivalsCfg::default()
    }
}

/// Runs the load and collects the observations of the callers.
async fn observe_load(
    deployment: Deployment,
    arrivals: ArrivalsCfg,
    entries: Vec<std::net::SocketAddr>,
    start: Instant,
) -> Result<Vec<TimedObservation>> {
    let mut all = Vec::new();
    let take = |arrival: &Arrival, seen: &crate::caller::Observation| {
        all.push(TimedObservation {
            at_us: arrival.at_us,
            model: matches!(arrival.ask, load::arrivals::Ask::Model(_)),
            violation: violation(arrival, seen),
            seen: seen.clone(),
        });
    };
    load::run_each(deployment, &arrivals, &entries, start, take).await?;
    Ok(all)
}
