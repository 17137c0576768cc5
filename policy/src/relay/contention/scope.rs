//! To which services contention control applies.

use std::collections::{BTreeMap, BTreeSet};

use super::Mode;
use crate::prelude::*;
use crate::relay::intent::{ChainObjective, Intent, Route};

/// What the configuration says of a service that contention control applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceScope {
    /// Smallest gap objective of the service's streams, in milliseconds.
    pub max_gap_ms: Millis,
}

/// Returns the services that contention control applies to under a configuration.
#[must_use]
pub fn services(mode: Mode, intent: &Intent) -> BTreeMap<Name, ServiceScope> {
    let mut found = BTreeMap::new();
    if mode == Mode::Off {
        return found;
    }
    for (name, service) in &intent.services {
        if service.engine.as_ref().is_none_or(|e| e.layers == 0) {
            continue;
        }
        let routes: Vec<&Route> = streaming_routes(intent, name).collect();
        let priorities: BTreeSet<u32> = routes.iter().map(|r| r.priority).collect();
        if mode == Mode::On || priorities.len() > 1 {
            let max_gap_ms = routes.iter().map(|r| r.max_gap_ms()).min().unwrap_or(0);
            found.insert(name.clone(), ServiceScope { max_gap_ms });
        }
    }
    found
}

/// Sets the objective for the chains of the services in `scopes`.
pub fn set_chain_objective(
    intent: &mut Intent,
    scopes: &BTreeMap<Name, ServiceScope>,
    objective: ChainObjective,
) {
    let services = intent.services.iter_mut();
    for (_, service) in services.filter(|(name, _)| scopes.contains_key(*name)) {
        if let Some(engine) = &mut service.engine {
            engine.chain_objective = objective;
        }
    }
}

fn streaming_routes<'a>(intent: &'a Intent, service: &'a Name) -> impl Iterator<Item = &'a Route> {
    let all = intent.routes.values().flatten();
    all.filter(move |r| r.class.is_stream() && r.split.iter().any(|(name, _)| name == service))
}
