//! The peers' plug-in: exchanges with other instances, and the entry answers that follow.
//!
//! One loop ticks the membership; each exchange and probe that it asks for runs in a task of its
//! own and reports back. The peers' listener answers the exchanges of others. Decisions are all in
//! [`jacinthweir_policy::membership`], [`jacinthweir_policy::upstreams`] and
//! [`jacinthweir_policy::entry`].

mod entry;
mod exchange;
mod probe;
mod routes;

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::MembershipCounts;
use linkme::distributed_slice;

#[distributed_slice(PLUGINS)]
static PEERS: Plugin = Plugin {
    name: "peers",
    spawn,
    routes: routes::routes,
    dump,
};

/// Period of looking whether a round is due or the own phase changed.
const POLL: Duration = Duration::from_millis(50);

/// Peers that are told at once that this instance drains or is gone; they tell the others.
const ANNOUNCE_TO: usize = 4;

fn spawn(cx: &Arc<Kernel>) -> Result<(), KernelError> {
    cx.spawn(run(Arc::clone(cx)));
    Ok(())
}

fn dump(cx: &Kernel) -> serde_json::Value {
    let dump = cx.membership().dump(cx.clock.now());
    serde_json::to_value(dump).unwrap_or_default()
}

async fn run(cx: Arc<Kernel>) {
    let mut next_round = cx.clock.now();
    let mut phase = Phase::Joining;
    loop {
        publish_own(&cx);
        if cx.clock.now() >= next_round {
            next_round = cx.clock.now() + cx.settings.timing.gossip_ms;
            let actions = cx.membership().tick(cx.clock.reading(), &mut rand::rng());
            exchange::carry_out(&cx, actions);
            report(cx.membership().counts());
        }
        let own = cx.membership().own().state.phase;
        if own != phase {
            phase = own;
            let actions = cx.membership().announce(ANNOUNCE_TO, &mut rand::rng());
            exchange::carry_out(&cx, actions);
        }
        tokio::time::sleep(POLL).await;
    }
}

/// Brings the own record up to date.
fn publish_own(cx: &Kernel) {
    let running = cx.records.counts().running;
    let config = cx.config.get();
    let mut membership = cx.membership();
    membership.set_in_flight(u32::try_from(running).unwrap_or(u32::MAX));
    if let Some(known) = config.known() {
        membership.set_revision(known.revision, known.since_unix_ms);
    }
    if config.served().is_some() && cx.is_ready() {
        membership.set_phase(Phase::Serving);
    }
}

fn report(c: MembershipCounts) {
    let counters = [
        ("doubts", c.doubts),
        ("suspicions", c.suspicions),
        ("unconfirmed", c.unconfirmed),
        ("adopted", c.adopted),
        ("false_alarms", c.false_alarms),
        ("refuted", c.refuted),
        ("woken", c.woken),
    ];
    for (event, count) in counters {
        metrics::counter!("jacinthweir_membership_total", "event" => event).absolute(count);
    }
}
