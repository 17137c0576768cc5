//! Simulated model runners that the instances of a simulated fleet observe.

use super::{Fleet, Message, ProcessState, START_MS, name};
use jacinthweir_policy::layers::LayerRange;
use jacinthweir_policy::listed::{ListedInstance, ListedState};
use jacinthweir_policy::load::{HeldLayers, LoadReport};
use jacinthweir_policy::time::Name;
use jacinthweir_policy::upstreams::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const GROUP: &str = "runners";
const LAYERS: u32 = 8;

/// A simulated runner.
pub struct Runner {
    pub run: ProcessState,
    pub incarnation: u64,
    pub leaving: bool,
    /// Instances that cannot reach it because of a broken link.
    pub hidden_from: Vec<usize>,
    /// Whether it is a plain service, which accepts connections but sends no load reports.
    pub plain: bool,
    number: u64,
}

pub fn runner_name(r: usize) -> Name {
    format!("runner-{r:04}").into()
}

/// Returns the number that a name ends with.
fn number_in(name: &str) -> usize {
    let digits = name.rsplit('-').next();
    digits
        .and_then(|d| d.parse().ok())
        .expect("a name with a number")
}

impl Fleet {
    /// Adds runners, spread over the regions, and lets every instance read the platform's list.
    pub fn add_runners(&mut self, count: usize) {
        let runner = |_| Runner {
            run: ProcessState::Up,
            incarnation: START_MS,
            leaving: false,
            hidden_from: Vec::new(),
            plain: false,
            number: 0,
        };
        self.runners = (0..count).map(runner).collect();
        for i in 0..self.instances.len() {
            self.read_list(i);
        }
    }

    /// Returns the current list of the platform.
    pub fn list(&self) -> Vec<ListedInstance> {
        let entry = |(r, runner): (usize, &Runner)| ListedInstance {
            name: runner_name(r),
            incarnation: runner.incarnation,
            group: GROUP.into(),
            address: SocketAddr::from(([127, 0, 1, 1], r as u16)),
            domain: self.domain(r),
            state: ListedState::Live,
        };
        self.runners.iter().enumerate().map(entry).collect()
    }

    pub fn read_list(&mut self, i: usize) {
        let list = self.list();
        let upstreams = &mut self.instances[i].upstreams;
        let kind = match self.runners.iter().any(|r| r.plain) {
            true => PollKind::Connect,
            false => PollKind::Load,
        };
        upstreams.set_groups(BTreeMap::from([(GROUP.into(), kind)]));
        upstreams.listed(self.now, &list);
    }

    /// Lets instance `i` poll the runners that it observes.
    pub fn poll(&mut self, i: usize) {
        let node = &mut self.instances[i];
        node.upstreams.set_live(node.membership.live());
        for poll in node.upstreams.to_poll(self.now) {
            self.polls += 1;
            let outcome = self.poll_outcome(i, &poll.name);
            let upstreams = &mut self.instances[i].upstreams;
            let confirms = upstreams.polled(self.now, &poll, &outcome);
            for confirm in confirms {
                self.confirm(i, &confirm);
            }
        }
    }

    fn confirm(&mut self, i: usize, confirm: &Confirm) {
        let via = Some(number_in(&confirm.via)).filter(|j| self.delivered(i, *j));
        let outcome = match via {
            Some(j) => ConfirmOutcome::Polled(self.poll_outcome(j, &confirm.name)),
            None => ConfirmOutcome::NoAnswer,
        };
        self.instances[i]
            .upstreams
            .confirmed(self.now, confirm, &outcome);
    }

    fn poll_outcome(&mut self, i: usize, runner: &Name) -> PollOutcome {
        let r = number_in(runner);
        let near = self.connected(i, r) && self.isolated != Some(i);
        let runner = &mut self.runners[r];
        if runner.run != ProcessState::Up || runner.hidden_from.contains(&i) || !near {
            return PollOutcome::Failed;
        }
        if runner.plain {
            return PollOutcome::Connected;
        }
        runner.number += 1;
        PollOutcome::Report(report(r, runner))
    }

    /// Returns a load report as it is sent.
    pub fn sample_report(&self) -> LoadReport {
        report(0, &self.runners[0])
    }

    /// Exchanges the upstream records of instances `i` and `j`; messages count like those of membership.
    pub fn exchange_upstreams(&mut self, i: usize, j: usize, salt: u32) {
        let now = self.now;
        let domain = self.instances[i].membership.member(&name(j));
        let domain = domain.map(|m| m.state().domain.clone());
        let digest = self.instances[i]
            .upstreams
            .digest(now, salt, domain.as_deref());
        self.count(i, j, &Message::UpstreamDigest(&digest));
        let delta = self.instances[j].upstreams.receive_digest(now, &digest);
        self.count(j, i, &Message::UpstreamDelta(&delta));
        let push = self.instances[i].upstreams.receive_delta(now, &delta);
        let Some(push) = push else {
            return;
        };
        self.count(i, j, &Message::UpstreamDelta(&push));
        let back = self.instances[j].upstreams.receive_delta(now, &push);
        if let Some(back) = back {
            self.count(j, i, &Message::UpstreamDelta(&back));
            self.instances[i].upstreams.receive_delta(now, &back);
        }
    }

    /// Returns the number of running instances that see runner `r` with the availability `wanted`.
    pub fn seeing(&self, r: usize, wanted: Availability) -> usize {
        let up = self.instances.iter().filter(|n| n.run == ProcessState::Up);
        let of = |u: &Upstreams| u.get(&runner_name(r)).map(|x| u.availability(x));
        up.filter(|n| of(&n.upstreams) == Some(wanted)).count()
    }
}

fn report(r: usize, runner: &Runner) -> LoadReport {
    LoadReport {
        runner: runner_name(r),
        incarnation: runner.incarnation,
        number: runner.number,
        age_ms: 500,
        accelerator: "kind-a".into(),
        holds: vec![HeldLayers {
            model: "model-a".into(),
            layers: LayerRange {
                start: 0,
                end: LAYERS,
            },
        }],
        running: (runner.number % 50) as u32,
        queued: (runner.number % 7) as u32,
        token_layers_per_s: 40_000.0,
        busy_token_layers_per_s: 20_000.0 + runner.number as f64,
        leaving: runner.leaving,
        checks_fencing: true,
        fencing: 0,
    }
}
