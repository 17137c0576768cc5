//! Peers plug-in: gossip with other instances, and the entry answers derived from it.
//!
//! One loop ticks the membership; each exchange and probe that it requests runs in a task of its
//! own and reports its result back. The peers' listener answers the exchanges of other instances.
//! All decisions are made in [`jacinthweir_policy::membership`], [`jacinthweir_policy::upstreams`]
//! and [`jacinthweir_policy::entry`].

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

/// Period of checking whether a gossip round is due or the own phase has changed.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Number of peers to which a change of the own phase is announced at once; gossip spreads it
/// further.
const ANNOUNCE_FANOUT: usize = 4;

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
        update_own_record(&cx);
        if cx.clock.now() >= next_round {
            next_round = cx.clock.now() + cx.settings.timing.gossip_ms;
            let actions = cx.membership().tick(cx.clock.reading(), &mut rand::rng());
            exchange::execute(&cx, actions);
            export_counters(cx.membership().counts());
        }
        let own = cx.membership().own().state.phase;
        if own != phase {
            phase = own;
            let actions = cx.membership().announce(ANNOUNCE_FANOUT, &mut rand::rng());
            exchange::execute(&cx, actions);
        }
        tokio::time::sleep(CHECK_PERIOD).await;
    }
}

/// Updates the own membership record.
fn update_own_record(cx: &Kernel) {
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

fn export_counters(counts: MembershipCounts) {
    let counters = [
        ("doubts", counts.doubts),
        ("suspicions", counts.suspicions),
        ("unconfirmed", counts.unconfirmed),
        ("adopted", counts.adopted),
        ("false_alarms", counts.false_alarms),
        ("refuted", counts.refuted),
        ("woken", counts.woken),
    ];
    for (event, count) in counters {
        metrics::counter!("jacinthweir_membership_total", "event" => event).absolute(count);
    }
}
