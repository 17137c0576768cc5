//! Formats the state of a relay.

use jacinthweir_wire::relay::{ChainDump, RelayDump, RunnerDump};

use crate::table::Table;

/// Formats a state dump as a summary of the instance, a table of its chains and a table of its
/// runners. The known instances (`members`) are left out.
#[must_use]
pub fn relay(dump: &RelayDump) -> String {
    let mut text = header(dump);
    text.push_str(&chains(&dump.chains));
    text.push_str(&runners(&dump.runners));
    text
}

fn header(dump: &RelayDump) -> String {
    let ready = match (dump.draining, dump.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let version = dump.version.map_or("none".to_owned(), |v| v.to_string());
    let confirmed = dump.confirmed_ms_ago;
    let confirmed = confirmed.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
    let orders = match dump.gives_orders {
        Some(term) => format!("gives orders, term {term}, {} pending", dump.orders_pending),
        None => "gives no orders".to_owned(),
    };
    format!(
        "{}: {ready}, up {} ms\nconfiguration {version}, confirmed {confirmed}\n{orders}\n\n",
        dump.instance, dump.at_ms
    )
}

fn chains(chains: &[ChainDump]) -> String {
    let mut table = Table::new(&[
        "service",
        "domain",
        "state",
        "room",
        "used",
        "step ms",
        "waiting",
        "silent ms",
        "stages",
    ]);
    for c in chains {
        let state = if c.broken { "broken" } else { "whole" };
        let stages = c
            .stages
            .iter()
            .map(|s| format!("{}..{}", s.layers.0, s.layers.1));
        table.row([
            c.service.to_string(),
            c.domain.as_deref().unwrap_or("(across)").to_owned(),
            state.to_owned(),
            format!("{:.0}", c.room_tokens),
            format!("{:.0}", c.used_tokens),
            format!("{:.2}", c.step_ms),
            c.waiting.to_string(),
            c.silent_ms.to_string(),
            stages.collect::<Vec<_>>().join(" "),
        ]);
    }
    format!("{table}\n")
}

fn runners(runners: &[RunnerDump]) -> String {
    let mut table = Table::new(&["runner", "domain", "kind", "layers", "state"]);
    for r in runners {
        table.row([
            r.id.to_string(),
            r.domain.to_string(),
            r.kind.as_deref().unwrap_or("-").to_owned(),
            r.layers
                .map_or("-".to_owned(), |(from, to)| format!("{from}..{to}")),
            state(r),
        ]);
    }
    table.to_string()
}

fn state(r: &RunnerDump) -> String {
    let slow = r.pace.filter(|p| *p > 1.5);
    match slow {
        _ if r.dead => "dead".to_owned(),
        _ if r.unreachable => "unreachable".to_owned(),
        _ if r.draining => "leaving".to_owned(),
        Some(pace) => format!("slow x{pace:.1}"),
        None => "well".to_owned(),
    }
}
