//! Status for operators: the revision in force at each instance, and the upstreams.

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::member::Phase;
use jacinthweir_policy::membership::Member;
use jacinthweir_policy::upstreams::UpstreamRow;
use jacinthweir_wire::operator::{InstanceStatus, PlatformReach, StatusReply, UpstreamStatus};

/// Returns the status of all instances and upstreams known to this instance.
pub(crate) fn status(cx: &Kernel) -> StatusReply {
    let (ours, reached) = {
        let convergence = cx.convergence();
        let ours = convergence
            .in_force()
            .map_or(0, |applied| applied.head.revision);
        (
            ours.max(convergence.target().unwrap_or(0)),
            convergence.platform_reached(),
        )
    };
    let instances = instances(cx);
    let newest_member = instances
        .iter()
        .map(|i| i.member.revision)
        .max()
        .unwrap_or(0);
    StatusReply {
        newest: ours.max(newest_member),
        confirmed: cx.serving_config().is_ok(),
        platform: if reached {
            PlatformReach::Reached
        } else {
            PlatformReach::Down
        },
        instances,
        upstreams: upstreams(cx),
    }
}

fn instances(cx: &Kernel) -> Vec<InstanceStatus> {
    let now = cx.clock.now();
    let membership = cx.membership();
    let own = InstanceStatus {
        member: membership.own().state.clone(),
        suspected: false,
        silent_ms: 0,
    };
    let known = membership
        .others()
        .filter(|m| m.state().phase != Phase::Gone);
    let other = |member: &Member| InstanceStatus {
        member: member.state().clone(),
        suspected: member.suspected(),
        silent_ms: now.saturating_sub(member.last_contact_ms),
    };
    let mut all: Vec<InstanceStatus> = std::iter::once(own).chain(known.map(other)).collect();
    all.sort_by(|a, b| a.member.name.cmp(&b.member.name));
    all
}

fn upstreams(cx: &Kernel) -> Vec<UpstreamStatus> {
    let dump = cx.upstreams().dump(cx.clock.now());
    dump.rows.into_iter().map(upstream).collect()
}

fn upstream(row: UpstreamRow) -> UpstreamStatus {
    UpstreamStatus {
        name: row.name,
        group: row.group,
        domain: row.domain,
        state: row.availability.to_string(),
        holds: row.holds,
    }
}
