//! The failures that recovery is measured after.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::platform::fault::Fault;
use crate::runner::overrides::Overrides;
use crate::{Error, Fleet, Result};

/// Factor of a degraded link.
const SLOW_LINK: u32 = 100;
/// A layer whose range is left with one holder: the last, which three of a run's runners hold.
const LAST_LAYER: u32 = crate::fleet::deployment::LAYERS - 1;

/// A failure, or none.
#[derive(
    Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Scenario {
    /// Nothing fails.
    #[display("control")]
    Control,
    /// Nothing fails, and load reports are late.
    #[display("control, slow reports")]
    ControlSlowReports,
    /// A runner is killed.
    #[display("runner killed")]
    RunnerKilled,
    /// A runner stands still.
    #[display("runner frozen")]
    RunnerFrozen,
    /// All holders but one of the last layer are killed.
    #[display("one holder left")]
    OneHolder,
    /// A runner's link to the next stage slows a hundredfold.
    #[display("link slow x100")]
    LinkSlow,
    /// All runners, services and instances of one failure domain are killed.
    #[display("domain lost")]
    DomainLost,
    /// An entry instance is killed.
    #[display("instance killed")]
    InstanceKilled,
    /// The platform is out for a while.
    #[display("platform out")]
    PlatformOut,
}

impl Scenario {
    /// All, controls first.
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

/// What failed when.
#[derive(Clone, Debug)]
pub struct Struck {
    /// Right before the first process was signalled or told.
    pub at: Instant,
    /// Names.
    pub failed: Vec<String>,
}

/// Brings the failure about.
///
/// # Errors
///
/// Where a process can't be signalled or a stand-in doesn't answer.
pub async fn strike(fleet: &mut Fleet, scenario: Scenario, seed: u64) -> Result<Struck> {
    let pick = usize::try_from(seed).unwrap_or(0);
    let instance = pick % fleet.instances.len();
    // Found before the clock is read: asking all runners takes a while.
    let runner = busiest(fleet, pick).await?;
    let at = Instant::now();
    let failed = match scenario {
        Scenario::Control | Scenario::ControlSlowReports => Vec::new(),
        Scenario::RunnerKilled => {
            fleet.runners[runner].process.kill().await?;
            vec![fleet.runners[runner].listing.name.to_string()]
        }
        Scenario::RunnerFrozen => {
            fleet.runners[runner].process.freeze()?;
            vec![fleet.runners[runner].listing.name.to_string()]
        }
        Scenario::OneHolder => leave_one_holder(fleet, pick).await?,
        Scenario::LinkSlow => {
            let knobs = Overrides {
                link_factor: Some(SLOW_LINK),
                ..Overrides::default()
            };
            fleet.runner_admin(runner).set(&knobs).await?;
            vec![fleet.runners[runner].listing.name.to_string()]
        }
        Scenario::DomainLost => lose_domain(fleet, pick).await?,
        Scenario::InstanceKilled => {
            fleet.instances[instance].process.kill().await?;
            vec![fleet.instances[instance].name.to_string()]
        }
        Scenario::PlatformOut => {
            fleet.platform_admin().fault(&Fault::Outage).await?;
            vec!["platform".to_owned()]
        }
    };
    Ok(Struck { at, failed })
}

/// Ends a failure that has an end.
///
/// # Errors
///
/// Where the platform doesn't answer.
pub async fn heal(fleet: &Fleet, scenario: Scenario) -> Result<()> {
    match scenario {
        Scenario::PlatformOut => fleet.platform_admin().fault(&Fault::None).await,
        _ => Ok(()),
    }
}

/// One of the three runners that ran most so far, by the seed: the failure of an idle one would
/// show nothing.
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

async fn leave_one_holder(fleet: &mut Fleet, pick: usize) -> Result<Vec<String>> {
    let holds = |cfg: &crate::RunnerCfg| cfg.holds.iter().any(|h| h.layers.end > LAST_LAYER);
    let holders: Vec<usize> = (0..fleet.runners.len())
        .filter(|i| holds(&fleet.runners[*i].cfg))
        .collect();
    // The slowest holder could not carry the load: recovery would be bounded by capacity.
    let fast = |i: &&usize| fleet.runners[**i].listing.group.ends_with("fast");
    let fast: Vec<usize> = holders.iter().filter(fast).copied().collect();
    let stays = fast.get(pick % fast.len().max(1)).copied();
    let mut failed = Vec::new();
    for i in holders.into_iter().filter(|i| Some(*i) != stays) {
        failed.push(fleet.runners[i].listing.name.to_string());
        fleet.runners[i].process.kill().await?;
    }
    Ok(failed)
}

async fn lose_domain(fleet: &mut Fleet, pick: usize) -> Result<Vec<String>> {
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
