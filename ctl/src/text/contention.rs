//! Formats the state of contention control at a relay.

use std::cmp::Reverse;

use jacinthweir_policy::relay::contention::status::{
    ControlStatus, DecisionRates, OrganisationStatus,
};
use jacinthweir_policy::relay::contention::urgency;
use jacinthweir_wire::relay::ServiceContentionDump;

use super::duration;
use crate::command::InstanceContention;
use crate::table::Table;

/// Formats the shares of each service's urgency levels and organisations.
#[must_use]
pub fn shares(state: &InstanceContention) -> String {
    by_service(state, |status| {
        format!("{}\n{}", levels(status), organisations(status))
    })
}

/// Formats the demand for each service by failure domain, and the flow through its chains.
#[must_use]
pub fn demand(state: &InstanceContention) -> String {
    by_service(state, |status| {
        let mut domains = Table::new(&["FAILURE DOMAIN", "DEMAND tokens/s"]);
        for d in &status.domains {
            domains.row([d.domain.to_string(), tokens(d.demand_tokens_per_s)]);
        }
        format!("{domains}\n{}", chains(status))
    })
}

/// Formats the overload state of each service.
#[must_use]
pub fn overload(state: &InstanceContention) -> String {
    let mut table = Table::new(&[
        "SERVICE",
        "CONTROL",
        "OVERLOADED FOR",
        "SHARE AT BEGIN",
        "SHARE NOW",
        "SUPPLY tokens/s",
        "DEMAND tokens/s",
        "FIGURES' AGE",
        "KNOWN",
    ]);
    let services = state.contention.services.iter();
    for s in services.clone().filter(|s| s.status.state.applies()) {
        let status = &s.status;
        let overload = status.overload.as_ref();
        table.row([
            s.service.to_string(),
            status.state.to_string(),
            or_dash(overload, |o| duration(o.lasted_ms)),
            or_dash(overload, |o| share(o.began_share)),
            or_dash(status.share_of_all(), share),
            or_dash(status.supply_tokens_per_s, tokens),
            tokens(status.demand_tokens_per_s),
            duration(status.age_ms),
            share(status.known_share),
        ]);
    }
    let others = services.filter(|s| !s.status.state.applies());
    let others: String = others.map(not_applied).collect();
    format!("{}{table}{others}", header(state))
}

/// Formats a summary and the text of `details` for each service.
fn by_service(state: &InstanceContention, details: impl Fn(&ControlStatus) -> String) -> String {
    let services = state.contention.services.iter();
    let texts: Vec<String> = services
        .map(|s| match s.status.state.applies() {
            true => format!("{}\n{}", summary(s), details(&s.status)),
            false => not_applied(s),
        })
        .collect();
    header(state) + &texts.join("\n")
}

fn header(state: &InstanceContention) -> String {
    let disabled = &state.contention.disabled;
    let disabled = match disabled.is_empty() {
        true => String::new(),
        false => format!("; disabled in its settings: {}", disabled.join(", ")),
    };
    format!("as seen by {}{disabled}\n\n", state.instance)
}

fn not_applied(s: &ServiceContentionDump) -> String {
    format!("{}: does not apply: {}\n", s.service, s.status.state)
}

fn summary(s: &ServiceContentionDump) -> String {
    let status = &s.status;
    let control = match status.supply_tokens_per_s {
        Some(_) => status.state.to_string(),
        None => format!("not in force: {}", status.state),
    };
    let overload = match &status.overload {
        Some(o) => format!(
            "overloaded for {}, began at share {}",
            duration(o.lasted_ms),
            share(o.began_share)
        ),
        None => "not overloaded".to_owned(),
    };
    format!(
        "{}: {control}; {overload}\n\
         supply {} of demand {} tokens/s, share of all {}; figures {} old, known of {} of the failure domain's instances\n",
        s.service,
        or_dash(status.supply_tokens_per_s, tokens),
        tokens(status.demand_tokens_per_s),
        or_dash(status.share_of_all(), share),
        duration(status.age_ms),
        share(status.known_share),
    )
}

fn levels(status: &ControlStatus) -> Table {
    let mut table = Table::new(&[
        "URGENCY",
        "DEMAND tokens/s",
        "SHARE",
        "REFUSED tokens/s",
        "BELOW 1 FOR",
        "ADMITTED HERE /s",
        "REFUSED HERE /s",
    ]);
    for p in &status.levels {
        let [admitted, refused] = rates(&p.decisions);
        table.row([
            urgency::label(p.level.into()),
            tokens(p.demand_tokens_per_s),
            share(p.share),
            tokens(p.demand_tokens_per_s * (1.0 - p.share)),
            or_dash(p.below_one_ms, duration),
            admitted,
            refused,
        ]);
    }
    table
}

/// Formats the listed organisations, those with the most refused tokens first.
fn organisations(status: &ControlStatus) -> Table {
    let mut table = Table::new(&[
        "ORGANISATION",
        "URGENCY",
        "DEMAND tokens/s",
        "SHARE",
        "REFUSED tokens/s",
        "BELOW 1 FOR",
        "BELOW LEVEL FOR",
        "ADMITTED HERE /s",
        "REFUSED HERE /s",
    ]);
    let refused_tokens = |o: &OrganisationStatus| o.demand_tokens_per_s * (1.0 - o.share);
    let mut all: Vec<&OrganisationStatus> = status.organisations.iter().collect();
    all.sort_by_key(|o| {
        let order = (refused_tokens(o) as u64, o.demand_tokens_per_s as u64);
        (Reverse(order), &o.organisation, o.level)
    });
    for o in all {
        let [admitted, refused] = rates(&o.decisions);
        table.row([
            o.organisation.to_string(),
            urgency::label(o.level.into()),
            tokens(o.demand_tokens_per_s),
            share(o.share),
            tokens(refused_tokens(o)),
            or_dash(o.below_one_ms, duration),
            or_dash(o.below_level_ms, duration),
            admitted,
            refused,
        ]);
    }
    table
}

fn chains(status: &ControlStatus) -> Table {
    let mut table = Table::new(&[
        "FIRST RUNNER",
        "FAILURE DOMAIN",
        "ROOM",
        "USED",
        "OCCUPANCY",
        "INFLOW tokens/s",
        "REFUSAL FACTOR",
        "TIMELINESS",
        "PART OF FLOW",
    ]);
    for c in &status.chains {
        table.row([
            c.head.to_string(),
            c.domain.as_deref().unwrap_or("(across)").to_owned(),
            tokens(c.room_tokens),
            tokens(c.used_tokens),
            share(c.used_tokens / c.room_tokens.max(1.0)),
            tokens(c.inflow_tokens_per_s),
            share(c.refusal_factor),
            share(c.timeliness),
            share(c.flow_share),
        ]);
    }
    table
}

fn rates(decisions: &DecisionRates) -> [String; 2] {
    [decisions.admitted_per_s, decisions.refused_per_s].map(|rate| format!("{rate:.1}"))
}

fn tokens(tokens: f64) -> String {
    format!("{tokens:.0}")
}

fn share(share: f64) -> String {
    format!("{share:.2}")
}

fn or_dash<T>(value: Option<T>, format: impl Fn(T) -> String) -> String {
    value.map_or_else(|| "-".to_owned(), format)
}
