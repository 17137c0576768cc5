//! Failure scenarios for the measurement of recovery.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::platform::fault::Fault;
use crate::runner::overrides::Overrides;
use crate::{Error, Fleet, Result};

/// Slowdown factor of a degraded link.
const SLOW_LINK_FACTOR: u32 = 100;
/// The layer that is left with one holder: the last one, which three runners of a fleet hold.
const LAST_LAYER: u32 = crate::fleet::deployment::LAYERS - 1;

/// A failure, or a control run without one.
#[derive(
    Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing fails.
    #[display("control")]
    Control,
    /// Nothing fails, but load reports are delayed.
    #[display("control, slow reports")]
    ControlSlowReports,
    /// A runner is killed.
    #[display("runner killed")]
    RunnerKilled,
    /// A runner is suspended.
    #[display("runner frozen")]
    RunnerFrozen,
    /// All holders but one of the last layer are killed.
    #[display("one holder left")]
    OneHolder,
    /// A runner's link to the next stage is slowed by a factor of 100.
    #[display("link slow x100")]
    LinkSlow,
    /// All runners, services and instances of one failure domain are killed.
    #[display("domain lost")]
    DomainLost,
    /// An entry instance is killed.
    #[display("instance killed")]
    InstanceKilled,
    /// The platform is temporarily unavailable.
    #[display("platform out")]
    PlatformOut,
}

impl Scenario {
    /// All scenarios, controls first.
    pub const ALL: [Self; 9] = [
        Self::Control,
        Self::ControlSlowReports,
        Self::RunnerKilled,
        Self::RunnerFrozen,
        Self::OneHolder,
        Self::LinkSlow,
        Self::DomainLost,
        Self::InstanceKilled,
        Self::PlatformOut,
    ];
}

/// An injected failure.
#[derive(Clone, Debug)]
pub struct InjectedFailure {
    /// Time right before the first process was signalled or called.
    pub at: Instant,
    /// Names of the processes or domains that failed.
    pub failed: Vec<String>,
}

/// Injects the failure of a scenario.
///
/// # Errors
///
/// Returns an error if a process can't be signalled or a stand-in doesn't answer.
pub async fn inject(fleet: &mut Fleet, scenario: Scenario, seed: u64) -> Result<InjectedFailure> {
    let pick = usize::try_from(seed).unwrap_or(0);
    let instance = pick % fleet.instances.len();
    // Determined before the clock is read, since querying all runners takes time.
    let runner = busiest(fleet, pick).await?;
    let at = Instant::now();
    let failed = match scenario {
        Scenario::Control | Scenario::ControlSlowReports => Vec::new(),
        Scenario::RunnerKilled => {
            fleet.runners[runner].process.kill().await?;
            vec![fleet.runners[runner].listing.name.to_string()]
        }
        Scenario::RunnerFrozen => {
            fleet.runners[runner].process.freeze().await?;
            vec![fleet.runners[runner].listing.name.to_string()]
        }
        Scenario::OneHolder => kill_holders_but_one(fleet, pick).await?,
        Scenario::LinkSlow => {
            let knobs = Overrides {
                link_factor: Some(SLOW_LINK_FACTOR),
                ..Overrides::default()
            };
            fleet.runner_admin(runner).set(&knobs).await?;
            vec![fleet.runners[runner].listing.name.to_string()]
        }
        Scenario::DomainLost => kill_domain(fleet, pick).await?,
        Scenario::InstanceKilled => {
            fleet.instances[instance].process.kill().await?;
            vec![fleet.instances[instance].name.to_string()]
        }
        Scenario::PlatformOut => {
            fleet.platform_admin().fault(&Fault::Outage).await?;
            vec!["platform".to_owned()]
        }
    };
    Ok(InjectedFailure { at, failed })
}

/// Heals a failure that is temporary.
///
/// # Errors
///
/// Returns an error if the platform doesn't answer.
pub async fn heal(fleet: &Fleet, scenario: Scenario) -> Result<()> {
    match scenario {
        Scenario::PlatformOut => fleet.platform_admin().fault(&Fault::None).await,
        _ => Ok(()),
    }
}

/// Returns one of the three runners that have run the most work, chosen by the seed.
///
/// The failure of an idle runner would have no effect to measure.
async fn busiest(fleet: &Fleet, pick: usize) -> Result<usize> {
    let mut by_work = Vec::new();
    for i in 0..fleet.runners.len() {
        let witness = fleet.runner_admin(i).witness().await?;
        by_work.push((witness.ran.len(), i));
    }
    by_work.sort_unstable_by(|a, b| b.cmp(a));
    let chosen = by_work.get(pick % 3).map(|(_, i)| *i);
    chosen.ok_or_else(|| Error::Other("the fleet has no runners".to_owned()))
}

/// Kills all holders of the last layer but one and returns their names.
async fn kill_holders_but_one(fleet: &mut Fleet, pick: usize) -> Result<Vec<String>> {
    let holds = |cfg: &crate::RunnerCfg| cfg.holds.iter().any(|h| h.layers.end > LAST_LAYER);
    let holders: Vec<usize> = (0..fleet.runners.len())
        .filter(|i| holds(&fleet.runners[*i].cfg))
        .collect();
    // A slow holder could not carry the load, and capacity would bound the recovery.
    let fast = |i: &&usize| fleet.runners[**i].listing.group.ends_with("fast");
    let fast: Vec<usize> = holders.iter().filter(fast).copied().collect();
    let survivor = fast.get(pick % fast.len().max(1)).copied();
    let mut failed = Vec::new();
    for i in holders.into_iter().filter(|i| Some(*i) != survivor) {
        failed.push(fleet.runners[i].listing.name.to_string());
        fleet.runners[i].process.kill().await?;
    }
    Ok(failed)
}

/// Kills all processes of one failure domain and returns its name.
async fn kill_domain(fleet: &mut Fleet, pick: usize) -> Result<Vec<String>> {
    let domains = fleet.deployment.domains();
    let domain = domains[pick % domains.len()];
    let runners = fleet.runners.iter_mut();
    let runners = runners.map(|r| (r.listing.domain.clone(), &mut r.process));
    let services = fleet.services.iter_mut();
    let services = services.map(|s| (s.listing.domain.clone(), &mut s.process));
    let instances = fleet.instances.iter_mut();
    let instances = instances.map(|i| (i.domain.clone(), &mut i.process));
    for (of, process) in runners.chain(services).chain(instances) {
        if *of == *domain {
            process.kill().await?;
        }
    }
    Ok(vec![domain.to_owned()])
}
