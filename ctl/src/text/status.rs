//! Formats the revision in force on each instance and the state of the upstreams.

use jacinthweir_wire::operator::{InstanceStatus, StatusReply};

use super::duration;
use crate::table::Table;

/// Formats the status of instances and upstreams; `now_ms` is the Unix time in milliseconds.
#[must_use]
pub fn status(reply: &StatusReply, now_ms: u64) -> String {
    let mut text = summary_line(reply);
    if !reply.confirmed {
        text.push_str("the answering instance refuses requests: nothing confirms its revision\n");
    }
    text.push('\n');
    text.push_str(&instances(reply, now_ms).to_string());
    if !reply.upstreams.is_empty() {
        text.push('\n');
        text.push_str(&upstreams(reply).to_string());
    }
    text
}

fn summary_line(reply: &StatusReply) -> String {
    let (suspected, live): (Vec<_>, Vec<_>) = reply.instances.iter().partition(|i| i.suspected);
    let up_to_date = live
        .iter()
        .filter(|i| i.member.revision == reply.newest)
        .count();
    format!(
        "revision {} in force on {up_to_date} of {} live instances, {} suspected; platform {}\n",
        reply.newest,
        live.len(),
        suspected.len(),
        reply.platform
    )
}

fn instances(reply: &StatusReply, now_ms: u64) -> Table {
    let mut table = Table::new(&[
        "INSTANCE",
        "FAILURE DOMAIN",
        "STATE",
        "REVISION",
        "SINCE",
        "IN FLIGHT",
        "HEARD",
        "CALLERS",
    ]);
    for instance in &reply.instances {
        let member = &instance.member;
        table.row([
            member.name.to_string(),
            member.domain.to_string(),
            state(instance),
            member.revision.to_string(),
            time_since(
                member.revision,
                now_ms.saturating_sub(member.revision_since_ms),
            ),
            member.in_flight.to_string(),
            format!("{} ago", duration(instance.silent_ms)),
            member.callers.to_string(),
        ]);
    }
    table
}

fn state(instance: &InstanceStatus) -> String {
    if instance.suspected {
        "suspected".to_owned()
    } else {
        instance.member.phase.to_string()
    }
}

fn time_since(revision: u64, ms: u64) -> String {
    if revision == 0 {
        "-".to_owned()
    } else {
        format!("{} ago", duration(ms))
    }
}

fn upstreams(reply: &StatusReply) -> Table {
    let mut table = Table::new(&["UPSTREAM", "GROUP", "FAILURE DOMAIN", "STATE", "HOLDS"]);
    for upstream in &reply.upstreams {
        table.row([
            upstream.name.to_string(),
            upstream.group.to_string(),
            upstream.domain.to_string(),
            upstream.state.clone(),
            upstream.holds.join(", "),
        ]);
    }
    table
}
