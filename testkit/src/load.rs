//! Seeded open-loop load generator that checks every answer.
//!
//! Requests are sent at the times drawn by [`arrivals`], regardless of whether earlier ones were
//! answered, so a system that falls behind doesn't reduce the offered load. Callers cache entry
//! answers for their time to live. If an address refuses the connection they try the next one,
//! since nothing of the request was sent. No request is submitted twice.

pub mod arrivals;
pub mod entry;
pub mod result;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use tokio::task::JoinSet;

use crate::caller::Observation;
use crate::fleet::deployment::Deployment;
use crate::{Caller, Result};
use arrivals::{Arrival, ArrivalsCfg, Ask};
use entry::EntryCache;
use result::{Collector, LoadResult};

/// Runs a load against the instances at `entries`.
///
/// # Errors
///
/// Fails if an HTTP client can't be built.
pub async fn run(
    deployment: Deployment,
    cfg: &ArrivalsCfg,
    entries: &[SocketAddr],
) -> Result<LoadResult> {
    let mut collector = Collector::default();
    let start = Instant::now();
    let take = |arrival: &Arrival, seen: &Observation| collector.take(arrival, seen);
    run_each(deployment, cfg, entries, start, take).await?;
    Ok(collector.finish())
}

/// Runs a load with arrival times relative to `start`, and passes each result to `take`.
///
/// # Errors
///
/// Fails if an HTTP client can't be built.
pub async fn run_each(
    deployment: Deployment,
    cfg: &ArrivalsCfg,
    entries: &[SocketAddr],
    start: Instant,
    mut take: impl FnMut(&Arrival, &Observation),
) -> Result<()> {
    let caches = caches(deployment, entries)?;
    let mut running = JoinSet::new();
    for arrival in arrivals::arrivals(deployment, cfg) {
        let at = start + Duration::from_micros(arrival.at_us);
        tokio::time::sleep_until(at.into()).await;
        let cache = caches[&arrival.organisation].clone();
        running.spawn(async move {
            let seen = submit(&cache, &arrival.ask).await;
            (arrival, seen)
        });
        while let Some(ended) = running.try_join_next() {
            take_result(&mut take, ended);
        }
    }
    while let Some(ended) = running.join_next().await {
        take_result(&mut take, ended);
    }
    Ok(())
}

fn take_result(
    take: &mut impl FnMut(&Arrival, &Observation),
    ended: std::result::Result<(Arrival, Observation), tokio::task::JoinError>,
) {
    match ended {
        Ok((arrival, seen)) => take(&arrival, &seen),
        Err(err) => log::error!("caller task failed: {err}"),
    }
}

fn caches(
    deployment: Deployment,
    entries: &[SocketAddr],
) -> Result<BTreeMap<Name, Arc<EntryCache>>> {
    let mut caches = BTreeMap::new();
    for (i, organisation) in deployment.organisations().into_iter().enumerate() {
        let caller = Caller::open(&Deployment::key(organisation))?;
        // Callers of different organisations start at different instances.
        let mut bootstrap = entries.to_vec();
        bootstrap.rotate_left(i % entries.len().max(1));
        let cache = EntryCache::new(caller, bootstrap);
        caches.insert(organisation.into(), Arc::new(cache));
    }
    Ok(caches)
}

/// Submits the request once, to the first address that accepts the connection.
async fn submit(cache: &EntryCache, ask: &Ask) -> Observation {
    let mut last = Observation::default();
    for at in cache.addresses().await {
        last = match ask {
            Ask::Model(call) => cache.caller().complete(at, call).await,
            Ask::Service(call) => cache.caller().call(at, call).await,
        };
        if !last.not_connected {
            return last;
        }
        cache.invalidate();
    }
    last
}
