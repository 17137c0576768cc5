//! Polls the load of runners.

use std::time::Duration;

use futures::StreamExt;
use jacinthweir_kernel::prelude::*;
use jacinthweir_kernel::upstreams::{Upstream, UpstreamState};
use jacinthweir_policy::route::{CloseReason, Held, RunnerSeen};
use jacinthweir_policy::schema::compiled::GroupServes;
use jacinthweir_wire::runner::LoadReport;

/// Polls in flight at once.
const POLLS_AT_ONCE: usize = 16;
/// Failed polls in a row after which a runner gets no new work.
const MAX_FAILED_POLLS: u32 = 3;

/// Polls every listed runner over and over.
pub(crate) async fn run(cx: Arc<Kernel>) {
    let period = Duration::from_millis(cx.settings.timing.load_poll_ms);
    let mut failed = std::collections::BTreeMap::<Name, u32>::new();
    loop {
        let runners = runners(&cx);
        let polls = futures::stream::iter(runners).map(|u| poll(&cx, u));
        let polled: Vec<Polled> = polls.buffer_unordered(POLLS_AT_ONCE).collect().await;
        for p in polled {
            take(&cx, &mut failed, p);
        }
        tokio::time::sleep(period).await;
    }
}

struct Polled {
    upstream: Upstream,
    load: Option<LoadReport>,
}

fn runners(cx: &Kernel) -> Vec<Upstream> {
    let config = cx.config.get();
    let Some(config) = config.known() else {
        return Vec::new();
    };
    let is_runner = |u: &Upstream| {
        let group = config.schema.group(&u.listed.group);
        group.is_some_and(|g| matches!(g.serves, GroupServes::Layers(_)))
    };
    let mut all = cx.upstreams().all();
    all.retain(|u| u.state != UpstreamState::Unlisted && is_runner(u));
    all
}

async fn poll(cx: &Kernel, upstream: Upstream) -> Polled {
    let load = cx.runners.load(upstream.listed.address).await;
    let load = load
        .inspect_err(|e| debug!("load of {}: {e}", upstream.listed.name))
        .ok();
    Polled { upstream, load }
}

fn take(cx: &Kernel, failed: &mut std::collections::BTreeMap<Name, u32>, polled: Polled) {
    let now = cx.clock.now();
    let listed = &polled.upstream.listed;
    let Some(load) = polled.load else {
        let count = failed.entry(listed.name.clone()).or_default();
        *count += 1;
        if *count == MAX_FAILED_POLLS {
            warn!("runner {} does not answer: no new work", listed.name);
            cx.router().close(now, &listed.name, CloseReason::Suspected);
        }
        return;
    };
    failed.remove(&listed.name);
    if load.leaving {
        cx.upstreams().leaving(&listed.name, load.incarnation);
    }
    cx.router().observe(now, &seen(&polled.upstream, load));
}

fn seen(upstream: &Upstream, load: LoadReport) -> RunnerSeen {
    let holds = load.holds.into_iter().map(|h| Held {
        model: h.model,
        layers: h.layers,
    });
    RunnerSeen {
        name: load.runner,
        incarnation: load.incarnation,
        number: load.number,
        address: upstream.listed.address,
        domain: upstream.listed.domain.clone(),
        accelerator: load.accelerator,
        holds: holds.collect(),
        token_layers_per_s: load.token_layers_per_s,
        running: load.running,
        queued: load.queued,
        leaving: load.leaving || upstream.state == UpstreamState::Leaving,
        age_ms: load.age_ms,
    }
}
