//! Contention control of this process: measures demand and flow, computes plan and shares from the
//! figures of all instances, and answers for single requests.
//!
//! It owns its state and takes chains, loads and settings as arguments; `node` is only read. Decisions
//! are made in [`jacinthweir_policy::relay::contention`].

use std::cell::RefCell;
use std::collections::BTreeMap;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection::{self, ChainCandidate};
use jacinthweir_policy::relay::contention::flow_meter::{FlowMeter, ServiceFlow};
use jacinthweir_policy::relay::contention::overload::Change;
use jacinthweir_policy::relay::contention::scope::{self, ServiceScope};
use jacinthweir_policy::relay::contention::share_history::{Direction, ShareChange};
use jacinthweir_policy::relay::contention::status::{ControlState, ControlStatus};
use jacinthweir_policy::relay::contention::urgency;
use jacinthweir_policy::relay::contention::{
    ChainLoad, ContentionConfig, Decision, Mode, ServiceControl,
};
use jacinthweir_policy::relay::intent::{ChainObjective, Intent};
use jacinthweir_wire::relay::{ContentionDump, ServiceContentionDump};

use crate::admission;
use crate::answer::{Cause, SendRecord};
use crate::node::Node;
use crate::peers;
use crate::request::ProxiedRequest;

/// Remaining time of a request, as a share of the longest seen on its route, below which it was refused
/// before: its caller counts the time from its first attempt.
const RETURNED_TIME_SHARE: f64 = 0.97;

/// State of contention control.
pub(crate) struct Contention {
    cfg: ContentionConfig,
    scopes: RefCell<BTreeMap<Name, ServiceScope>>,
    meters: RefCell<BTreeMap<Name, FlowMeter>>,
    controls: RefCell<BTreeMap<Name, ServiceControl>>,
    /// Longest remaining time of requests seen on each route, in milliseconds.
    time_limits: RefCell<BTreeMap<Name, Millis>>,
}

impl Contention {
    /// Returns the state for settings `cfg`, before any configuration is known.
    pub(crate) fn new(cfg: ContentionConfig) -> Contention {
        Contention {
            cfg,
            scopes: RefCell::default(),
            meters: RefCell::default(),
            controls: RefCell::default(),
            time_limits: RefCell::default(),
        }
    }

    /// Determines to which services contention control applies under a configuration, and sets the
    /// objective for their chains.
    pub(crate) fn configure(&self, intent: &mut Intent) {
        let scopes = scope::services(self.cfg.mode, intent);
        if self.cfg.chains {
            scope::set_chain_objective(intent, &scopes, ChainObjective::Throughput);
        }
        let before = self.scopes.replace(scopes);
        let scopes = self.scopes.borrow();
        for service in scopes.keys().filter(|s| !before.contains_key(*s)) {
            log::info!(service = service.as_ref(), version = intent.version; "contention control applies");
        }
        for service in before.keys().filter(|s| !scopes.contains_key(*s)) {
            log::info!(service = service.as_ref(), version = intent.version; "contention control ends");
            for name in ["jacinthweir_contention_in_force", "jacinthweir_overloaded"] {
                metrics::gauge!(name, "service" => service.to_string()).set(0.0);
            }
        }
        let applies = |service: &Name| scopes.contains_key(service);
        self.meters.borrow_mut().retain(|s, _| applies(s));
        self.controls.borrow_mut().retain(|s, _| applies(s));
        let mut limits = self.time_limits.borrow_mut();
        let routes = || intent.routes.values().flatten();
        limits.retain(|name, limit_ms| {
            let route = routes().find(|r| r.name == *name);
            // With a time limit that was longer before, every request would count as returned.
            *limit_ms = route.map_or(0, |r| r.timeout_ms.min(*limit_ms));
            route.is_some()
        });
    }

    /// Returns whether contention control applies to a service.
    pub(crate) fn applies(&self, service: &str) -> bool {
        self.scopes.borrow().contains_key(service)
    }

    /// Returns whether chains of a service are chosen by a flow plan.
    pub(crate) fn has_plan(&self, service: &str) -> bool {
        let controls = self.controls.borrow();
        let control = controls.get(service).filter(|_| self.cfg.flow);
        control.is_some_and(|c| c.supply_and_demand().is_some())
    }

    /// Calls `record` with the meter of a service, if contention control applies to it.
    pub(crate) fn measure(&self, service: &Name, record: impl FnOnce(&mut FlowMeter)) {
        let mut meters = self.meters.borrow_mut();
        if let Some(meter) = meters.get_mut(service) {
            record(meter);
        } else if self.applies(service) {
            record(meters.entry(service.clone()).or_default());
        }
    }

    /// Returns this instance's demand and flow at `now`, by service.
    pub(crate) fn flows(&self, now: Millis) -> Vec<ServiceFlow> {
        let mut meters = self.meters.borrow_mut();
        let all = meters.iter_mut();
        all.map(|(service, meter)| meter.flow(service, now))
            .collect()
    }

    /// Returns the weights of chains in the flow plan by the first runners in `heads`, or `None` if
    /// there is no plan.
    pub(crate) fn weights<'a>(
        &self,
        service: &Name,
        heads: impl Iterator<Item = &'a Name>,
    ) -> Option<Vec<f64>> {
        let controls = self.controls.borrow();
        let control = controls.get(service).filter(|_| self.cfg.flow)?;
        heads.map(|head| control.weight(head)).collect()
    }

    /// Returns the draw that chooses the chain of the next request of a service, from 0 to 1; `start` is
    /// a random number.
    pub(crate) fn choice_draw(&self, service: &str, start: f64) -> f64 {
        let mut controls = self.controls.borrow_mut();
        let control = controls.get_mut(service);
        control.map_or(start, |c| c.choice_draw(start))
    }

    /// Returns whether a service is overloaded and failure detection has to take that into account.
    pub(crate) fn is_overloaded(&self, service: &str) -> bool {
        let controls = self.controls.borrow();
        let control = controls.get(service).filter(|_| self.cfg.overload);
        control.is_some_and(|c| c.overloaded_since_ms().is_some())
    }

    /// Returns the share of a request's urgency level and organisation that is admitted, from 0 to 1.
    pub(crate) fn share(&self, rq: &ProxiedRequest) -> f64 {
        let controls = self.controls.borrow();
        let control = controls.get(&rq.service);
        control.map_or(1.0, |c| c.share(rq.urgency, rq.organisation()))
    }

    /// Returns the state of a service at `now` for operators.
    fn status(&self, service: &str, now: Millis) -> ControlStatus {
        if !self.applies(service) {
            return ControlStatus::not_applied(match self.cfg.mode {
                Mode::Off => ControlState::Off,
                Mode::Auto | Mode::On => ControlState::OnePriority,
            });
        }
        let controls = self.controls.borrow();
        let control = controls.get(service);
        control.map_or_else(ControlStatus::default, |c| c.status(now))
    }

    /// Returns the names of the settings whose components are disabled.
    fn disabled(&self) -> Vec<Name> {
        let cfg = &self.cfg;
        let components = [
            ("flow", cfg.flow),
            ("chains", cfg.chains),
            ("urgency", cfg.urgency),
            ("fair_share", cfg.fair_share),
            ("overload", cfg.overload),
        ];
        let disabled = components.into_iter().filter(|(_, enabled)| !enabled);
        disabled.map(|(field, _)| field.into()).collect()
    }

    /// Returns whether a request was refused before.
    fn is_returned(&self, rq: &ProxiedRequest) -> bool {
        let time_ms = rq.deadline_ms.saturating_sub(rq.received_ms);
        let mut limits = self.time_limits.borrow_mut();
        let longest = limits.entry(rq.route.clone()).or_default();
        *longest = time_ms.max(*longest);
        (time_ms as f64) < *longest as f64 * RETURNED_TIME_SHARE
    }
}

/// Returns the state for operators, computed again where that is due: an instance without requests
/// has not done so since the last one.
pub(crate) fn dump(node: &Node) -> ContentionDump {
    let contention = &node.contention;
    let intent = node.intent();
    let services = intent.iter().flat_map(|i| &i.services);
    let services = services.filter(|(_, s)| s.engine.as_ref().is_some_and(|e| e.layers > 0));
    let services = services.map(|(service, _)| {
        refresh(node, service);
        ServiceContentionDump {
            service: service.clone(),
            status: contention.status(service, node.now()),
        }
    });
    ContentionDump {
        mode: contention.cfg.mode,
        disabled: contention.disabled(),
        services: services.collect(),
    }
}

/// Measures an arriving request and decides whether it is admitted.
///
/// # Errors
/// Returns why it is refused.
pub(crate) fn admit(node: &Node, rq: &ProxiedRequest) -> Result<(), Cause> {
    let contention = &node.contention;
    if !contention.applies(&rq.service) {
        return Ok(());
    }
    // The instance that forwards a request has admitted it.
    if rq.origin.is_some() {
        return Ok(());
    }
    let (now, tokens) = (node.now(), admission::tokens(rq));
    contention.measure(&rq.service, |meter| {
        meter.record_arrival(now, rq.urgency, rq.organisation(), tokens);
    });
    refresh(node, &rq.service);
    let returned = contention.is_returned(rq);
    let mut controls = contention.controls.borrow_mut();
    let Some(control) = controls.get_mut(&rq.service) else {
        return Ok(());
    };
    let draw = node.random_f64();
    let decision = control.decide(rq.urgency, rq.organisation(), returned, draw);
    control.record_decision(now, rq.urgency, rq.organisation(), decision);
    count_decision(rq, decision);
    let cause = match decision {
        Decision::Admitted => return Ok(()),
        Decision::NoRoomForPriority => Cause::NoRoomForPriority,
        Decision::OrganisationAboveShare => Cause::OrganisationAboveShare,
    };
    metrics::counter!("jacinthweir_shed_total", "cause" => cause.to_string()).increment(1);
    Err(cause)
}

fn count_decision(rq: &ProxiedRequest, decision: Decision) {
    let outcome = match decision {
        Decision::Admitted => "admitted",
        Decision::NoRoomForPriority | Decision::OrganisationAboveShare => "refused",
    };
    metrics::counter!(
        "jacinthweir_admissions_total",
        "service" => rq.service.to_string(),
        "level" => urgency::label(rq.urgency),
        "outcome" => outcome,
    )
    .increment(1);
}

/// Returns the retry delay of a request that was refused without having run, in milliseconds, if
/// contention control has one for it.
pub(crate) fn retry_after_ms(
    node: &Node,
    rq: &ProxiedRequest,
    send_record: SendRecord,
) -> Option<Millis> {
    if send_record.may_have_run() || !node.contention.is_overloaded(&rq.service) {
        return None;
    }
    let mut controls = node.contention.controls.borrow_mut();
    let control = controls.get_mut(&rq.service)?;
    let (now, tokens) = (node.now(), admission::tokens(rq));
    let instances = node.live_instances();
    control.refused(now, tokens, rq.urgency, instances, node.random_f64())
}

/// Computes plan and shares of overloaded services again, so that overload ends without requests too.
pub(crate) fn refresh_overloaded(node: &Node) {
    let overloaded: Vec<Name> = {
        let controls = node.contention.controls.borrow();
        let overloaded = controls
            .iter()
            .filter(|(_, c)| c.overloaded_since_ms().is_some());
        overloaded.map(|(service, _)| service.clone()).collect()
    };
    overloaded.iter().for_each(|service| refresh(node, service));
}

/// Computes plan and shares of a service again if they are due.
pub(crate) fn refresh(node: &Node, service: &Name) {
    let contention = &node.contention;
    let Some(scope) = contention.scopes.borrow().get(service).copied() else {
        return;
    };
    let now = node.now();
    {
        let mut controls = contention.controls.borrow_mut();
        if !controls.contains_key(service) {
            controls.insert(service.clone(), ServiceControl::default());
        }
        if !controls[service].is_due(now) {
            return;
        }
    }
    let mut meters = contention.meters.borrow_mut();
    let meter = meters.get_mut(service).filter(|m| m.is_warm(now));
    let Some(own) = meter.map(|m| m.flow(service, now)) else {
        return;
    };
    drop(meters);
    let neighbours = peers::neighbour_count(node);
    let fleet = node.loads.borrow().fleet_flow(own, neighbours, now);
    let chains = chain_loads(node, service, scope);
    let mut controls = contention.controls.borrow_mut();
    let Some(control) = controls.get_mut(service) else {
        return;
    };
    let change = control.compute(now, &contention.cfg, chains, &fleet, scope.max_gap_ms);
    let status = control.status(now);
    let share_changes = control.take_share_changes();
    report(service, &status, change);
    report_share_changes(service, &share_changes);
}

/// Returns occupancy and weights of the chains of a service that are intact and accept requests. Those
/// that only this instance does not reach are included: its requests for them are forwarded, and a plan
/// without them would refuse requests for which the fleet has room.
fn chain_loads(node: &Node, service: &Name, scope: ServiceScope) -> Vec<ChainLoad> {
    let chains = node.chains.borrow();
    let live = chains.of(service);
    let candidates = node.chain_candidates(service, scope.max_gap_ms, &chains, |l| {
        node.accepts_requests(l)
    });
    let exponent = chain_selection::speed_exponent(&candidates);
    let weight = |c: &ChainCandidate, near: bool| {
        let candidate = ChainCandidate { near, ..*c };
        chain_selection::draw_weight(&candidate, exponent, 0.0)
    };
    let loads = candidates.iter().map(|c| {
        let chain = &live[c.chain].chain;
        ChainLoad {
            head: chain.head().id.clone(),
            domain: chain.domain.clone(),
            room_tokens: chain.room_tokens,
            used_tokens: c.used_tokens,
            weights: (weight(c, true), weight(c, false)),
        }
    });
    loads.collect()
}

/// Logs a change of the overload state, and updates the metrics.
fn report(service: &Name, status: &ControlStatus, change: Option<Change>) {
    let supply = status.supply_tokens_per_s.unwrap_or(0.0) as u64;
    let (demand, age_ms) = (status.demand_tokens_per_s as u64, status.age_ms);
    match change {
        Some(Change::Began) => {
            let levels = status.levels.iter();
            let shares: Vec<String> = levels
                .map(|l| {
                    let level = urgency::label(l.level.into());
                    format!("{level}: {:.2} of {:.0}", l.share, l.demand_tokens_per_s)
                })
                .collect();
            let shares = shares.join(", ");
            log::warn!(service = service.as_ref(), supply, demand, age_ms, shares; "overload begins");
        }
        Some(Change::Ended(lasted_ms)) => {
            let state = status.state;
            log::info!(
                service = service.as_ref(), supply, demand, age_ms, lasted_ms, state:%;
                "overload ends"
            );
        }
        None => {}
    }
    let gauge = |name: &'static str, value: f64| {
        metrics::gauge!(name, "service" => service.to_string()).set(value);
    };
    let flag = |set: bool| f64::from(u8::from(set));
    let in_force = status.state == ControlState::InForce;
    gauge("jacinthweir_contention_in_force", flag(in_force));
    gauge("jacinthweir_overloaded", flag(status.overload.is_some()));
    if let Some(supply) = status.supply_tokens_per_s {
        gauge("jacinthweir_supply_tokens_per_s", supply);
        gauge(
            "jacinthweir_demand_tokens_per_s",
            status.demand_tokens_per_s,
        );
    }
    for l in &status.levels {
        metrics::gauge!(
            "jacinthweir_admission_share",
            "service" => service.to_string(),
            "level" => urgency::label(l.level.into()),
        )
        .set(l.share);
    }
}

/// Logs changes of organisations' shares relative to those of their urgency levels.
fn report_share_changes(service: &Name, changes: &[ShareChange]) {
    for change in changes {
        let organisation = change.organisation.as_ref();
        let level = urgency::label(change.level.into());
        let demand = change.demand_tokens_per_s as u64;
        let share = format!("{:.2}", change.share);
        let of_level = format!("{:.2}", change.level_share);
        match change.direction {
            Direction::Fell => log::info!(
                service = service.as_ref(), organisation, level, demand, share, of_level;
                "organisation's share falls below that of its urgency level"
            ),
            Direction::Back(lasted_ms) => log::info!(
                service = service.as_ref(), organisation, level, demand, share, of_level, lasted_ms;
                "organisation's share is that of its urgency level again"
            ),
        }
    }
}
