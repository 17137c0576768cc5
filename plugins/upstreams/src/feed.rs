//! Passes changes of the configuration and of upstreams to the route plan and to admission.

use std::collections::BTreeMap;
use std::time::Duration;

use jacinthweir_kernel::config::InForce;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::route::{CloseReason, HeldRange, ModelSpec, RunnerReport};
use jacinthweir_policy::schema::compiled::GroupServes;
use jacinthweir_policy::upstreams::{Availability, PollKind, Upstream};

use crate::capacity;

/// Period of checking for changes. It adds to the time to notice that an upstream leaves.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Longest time for which a joining instance waits for its first route plan before it is ready, in
/// milliseconds. Without runners there is no plan, but services must still be served.
const FIRST_PLAN_TIMEOUT_MS: Millis = 3_000;

/// Checks for changes until the instance stops.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let mut revision = 0;
    loop {
        let config = cx.config.get();
        if let Some(config) = config.known() {
            if config.revision != revision {
                revision = config.revision;
                apply_config(&cx, config);
            }
            apply_changes(&cx);
            let planned = capacity::update(&cx, config);
            let in_force_ms = cx.clock.unix_ms().saturating_sub(config.since_unix_ms);
            if planned || in_force_ms >= FIRST_PLAN_TIMEOUT_MS {
                cx.set_ready();
            }
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

fn apply_config(cx: &Kernel, config: &InForce) {
    cx.router().set_models(&models(config));
    cx.upstreams().set_groups(groups(config));
}

fn models(config: &InForce) -> Vec<ModelSpec> {
    let models = config.schema.models().values().map(|m| ModelSpec {
        name: m.name.clone(),
        layers: m.layers,
        nanos_per_layer: m.nanos_per_layer,
        activation_bytes: m.activation_bytes,
    });
    models.collect()
}

fn groups(config: &InForce) -> BTreeMap<Name, PollKind> {
    let groups = config.schema.groups().iter().map(|(name, group)| {
        let kind = match group.serves {
            GroupServes::Layers(_) => PollKind::Load,
            GroupServes::Service(_) => PollKind::Connect,
        };
        (name.clone(), kind)
    });
    groups.collect()
}

fn apply_changes(cx: &Kernel) {
    let now = cx.clock.now();
    let upstreams = {
        let mut upstreams = cx.upstreams();
        let changed = upstreams.take_changed();
        let changed = changed.iter().filter_map(|name| upstreams.get(name));
        let changed = changed.map(|u| (u.clone(), upstreams.availability(u)));
        changed.collect::<Vec<(Upstream, Availability)>>()
    };
    let mut router = cx.router();
    for (upstream, availability) in upstreams {
        let reason = match availability {
            Availability::Open => None,
            Availability::Leaving => Some(CloseReason::Leaving),
            Availability::Suspected | Availability::Unlisted | Availability::Stale => {
                Some(CloseReason::Suspected)
            }
        };
        if let Some(report) = runner_report(now, &upstream) {
            router.observe(now, &report);
        }
        if let Some(reason) = reason {
            router.close(now, &upstream.listed().name, reason);
        }
    }
}

/// Returns the current report of a runner; `None` before its first report and for services.
fn runner_report(now: Millis, upstream: &Upstream) -> Option<RunnerReport> {
    let profile = upstream.record.profile.as_ref()?;
    let listed = upstream.listed();
    let held = |h: &jacinthweir_wire::runner::HeldLayers| HeldRange {
        model: h.model.clone(),
        layers: h.layers,
    };
    let load = upstream.load;
    Some(RunnerReport {
        name: listed.name.clone(),
        incarnation: listed.incarnation,
        number: load.map_or(0, |l| l.number).max(upstream.record.number),
        address: listed.address,
        domain: listed.domain.clone(),
        accelerator: profile.accelerator.clone(),
        holds: profile.holds.iter().map(held).collect(),
        token_layers_per_s: profile.token_layers_per_s,
        running: load.map_or(0, |l| l.running),
        queued: load.map_or(0, |l| l.queued),
        leaving: upstream.record.leaving(),
        age_ms: load.map_or(0, |l| now.saturating_sub(l.sampled_ms)),
    })
}
