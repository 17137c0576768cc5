//! In-memory fleet of instances with seeded randomness: each message is delivered immediately or
//! lost.

use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::membership::*;
use jacinthweir_policy::time::{Name, Now};
use jacinthweir_policy::upstreams::{UpstreamDelta, UpstreamDigest, Upstreams, UpstreamsConfig};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

#[path = "runners.rs"]
pub mod runners;

use runners::Runner;

/// State of an instance's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Up,
    Frozen,
    Dead,
}

/// One instance.
pub struct Instance {
    pub membership: Membership,
    pub upstreams: Upstreams,
    pub run: ProcessState,
}

/// Message between instances, as passed to a [`Meter`].
pub enum Message<'a> {
    Digest(&'a MemberDigest),
    Delta(&'a MemberDelta),
    UpstreamDigest(&'a UpstreamDigest),
    UpstreamDelta(&'a UpstreamDelta),
}

/// Callback invoked with the sender, the receiver and each message sent.
pub type Meter = Box<dyn FnMut(usize, usize, &Message<'_>)>;

pub struct Fleet {
    pub instances: Vec<Instance>,
    pub runners: Vec<Runner>,
    /// Number of runner polls so far.
    pub polls: usize,
    pub cfg: MembershipConfig,
    pub now: Now,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Region partitioned from all others.
    pub partitioned_region: Option<usize>,
    /// Instance partitioned from all other instances and all runners.
    pub isolated: Option<usize>,
    pub regions: usize,
    pub meter: Option<Meter>,
    rng: ChaCha8Rng,
}

const FIRST_PORT: u16 = 10_000;
const START_MS: u64 = 1_000_000_000;

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + i as u16))
}

pub fn name(i: usize) -> String {
    format!("entry-{i:03}")
}

pub fn state(i: usize, regions: usize, incarnation: u64) -> MemberState {
    MemberState {
        name: name(i).into(),
        incarnation,
        heartbeat: 0,
        callers: address(i),
        peers: address(i),
        operators: address(i),
        domain: domain(i, regions),
        phase: Phase::Serving,
        revision: 1,
        revision_since_ms: START_MS,
        in_flight: 0,
        capacity: 1_000,
    }
}

fn domain(i: usize, regions: usize) -> Name {
    format!("region-{}.domain-{}", i % regions, i % (3 * regions)).into()
}

impl Fleet {
    /// Creates `count` instances whose only seed is the address of the first.
    pub fn new(count: usize, regions: usize, seed: u64, cfg: &MembershipConfig) -> Fleet {
        let now = Now {
            mono_ms: 1_000,
            unix_ms: START_MS,
        };
        let own = |i: usize| state(i, regions, START_MS);
        let upstreams = |i: usize| {
            let (own, cfg) = (own(i), UpstreamsConfig::default());
            Upstreams::new(own.name, own.domain, cfg, now)
        };
        let instance = |i| Instance {
            upstreams: upstreams(i),
            membership: Membership::new(
                state(i, regions, START_MS),
                vec![address(0)],
                cfg.clone(),
                now,
            ),
            run: ProcessState::Up,
        };
        Fleet {
            instances: (0..count).map(instance).collect(),
            runners: Vec::new(),
            polls: 0,
            cfg: cfg.clone(),
            now,
            loss: 0.0,
            partitioned_region: None,
            isolated: None,
            regions,
            meter: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Creates a fleet that has already run for `rounds`.
    pub fn settled(count: usize, regions: usize, seed: u64, rounds: usize) -> Fleet {
        let mut fleet = Fleet::new(count, regions, seed, &MembershipConfig::default());
        fleet.rounds(rounds);
        fleet
    }

    /// Restarts the membership of instance `i` with only a seed address.
    pub fn restart(&mut self, i: usize, seed_address: usize) {
        let own = state(i, self.regions, self.now.unix_ms);
        let seeds = vec![address(seed_address)];
        self.instances[i].membership = Membership::new(own, seeds, self.cfg.clone(), self.now);
        self.instances[i].run = ProcessState::Up;
    }

    pub fn rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round();
        }
    }

    /// Runs one round: each running instance ticks once, in random order.
    pub fn round(&mut self) {
        let start = self.now;
        let mut order: Vec<usize> = (0..self.instances.len()).collect();
        order.shuffle(&mut self.rng);
        for (k, i) in order.into_iter().enumerate() {
            let part = self.cfg.round_ms * k as u64 / self.instances.len() as u64;
            self.now.mono_ms = start.mono_ms + part;
            self.now.unix_ms = start.unix_ms + part;
            if self.instances[i].run == ProcessState::Up {
                let actions = self.instances[i].membership.tick(self.now, &mut self.rng);
                self.execute(i, actions);
                self.poll(i);
            }
        }
        self.now.mono_ms = start.mono_ms + self.cfg.round_ms;
        self.now.unix_ms = start.unix_ms + self.cfg.round_ms;
    }

    pub fn execute(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Exchange {
                    peer,
                    round,
                    digest,
                } => {
                    let more = self.exchange(i, &peer, round, &digest);
                    self.execute(i, more);
                }
                Action::Probe {
                    via,
                    suspect,
                    round,
                } => self.probe(i, &via, &suspect, round),
            }
        }
    }

    fn exchange(
        &mut self,
        i: usize,
        peer: &Peer,
        round: u64,
        digest: &MemberDigest,
    ) -> Vec<Action> {
        let now = self.now;
        let j = index(peer);
        let from = self.instances[i].membership.own().state.name.clone();
        self.count(i, j, &Message::Digest(digest));
        let mut answer = None;
        if self.delivered(i, j) {
            let delta = self.instances[j]
                .membership
                .receive_digest(now, &from, digest);
            self.count(j, i, &Message::Delta(&delta));
            answer = Some(delta).filter(|_| self.delivered(j, i));
        }
        let Some(delta) = answer else {
            let rng = &mut self.rng;
            return self.instances[i]
                .membership
                .exchange_failed(now, peer, round, rng);
        };
        let to = self.instances[j].membership.own().state.name.clone();
        let push = self.instances[i]
            .membership
            .receive_answer(now, &to, &delta);
        if let Some(push) = push {
            self.count(i, j, &Message::Delta(&push));
            if self.delivered(i, j) {
                self.instances[j].membership.receive_push(now, &from, &push);
            }
        }
        if !self.runners.is_empty() {
            self.exchange_upstreams(i, j, digest.salt);
        }
        Vec::new()
    }

    fn probe(&mut self, i: usize, via: &Peer, suspect: &Peer, round: u64) {
        let (j, k) = (index(via), index(suspect));
        let outcome = if !self.delivered(i, j) {
            ProbeOutcome::NoAnswer
        } else if self.delivered(j, k) && self.delivered(k, j) {
            ProbeOutcome::Reached(self.instances[k].membership.own().clone())
        } else {
            ProbeOutcome::NotReached
        };
        let answered = self.delivered(j, i);
        let outcome = if answered {
            outcome
        } else {
            ProbeOutcome::NoAnswer
        };
        let names = (name(k).into(), name(j).into());
        let membership = &mut self.instances[i].membership;
        membership.probe_result(self.now, &names.0, &names.1, round, &outcome);
    }

    fn delivered(&mut self, from: usize, to: usize) -> bool {
        let lost = self.rng.random::<f64>() < self.loss;
        let isolated = self.isolated.is_some_and(|i| i == from || i == to);
        self.connected(from, to)
            && !isolated
            && !lost
            && self.instances[to].run == ProcessState::Up
            && self.instances[from].run == ProcessState::Up
    }

    /// Returns whether the regions of two instances are not partitioned from each other.
    fn connected(&self, from: usize, to: usize) -> bool {
        let (a, b) = (from % self.regions, to % self.regions);
        self.partitioned_region.is_none_or(|r| (a == r) == (b == r))
    }

    fn domain(&self, i: usize) -> Name {
        domain(i, self.regions)
    }

    fn count(&mut self, from: usize, to: usize, message: &Message<'_>) {
        if let Some(meter) = &mut self.meter {
            meter(from, to, message);
        }
    }

    /// Returns the number of pairs of running instances of which the first suspects the second.
    pub fn wrongly_suspected(&self) -> usize {
        let up = |i: usize| self.instances[i].run == ProcessState::Up;
        let pairs = (0..self.instances.len()).filter(|i| up(*i));
        let of =
            |i: usize| (0..self.instances.len()).filter(move |j| up(*j) && self.suspects(i, *j));
        pairs.map(|i| of(i).count()).sum()
    }

    pub fn suspects(&self, i: usize, j: usize) -> bool {
        let member = self.instances[i].membership.member(&name(j));
        member.is_some_and(Member::suspected)
    }

    /// Returns the number of running instances that suspect `j`.
    pub fn suspecting(&self, j: usize) -> usize {
        let up = |i: &usize| self.instances[*i].run == ProcessState::Up;
        let all = (0..self.instances.len()).filter(up);
        all.filter(|i| self.suspects(*i, j)).count()
    }

    /// Returns the number of members known, summed over the running instances.
    pub fn known(&self) -> usize {
        let up = self.instances.iter().filter(|n| n.run == ProcessState::Up);
        up.map(|n| n.membership.members().count()).sum()
    }

    /// Returns the number of suspicions raised by the instances themselves, confirmed or not.
    pub fn suspicions(&self) -> u64 {
        let counts = self.instances.iter().map(|n| n.membership.counts());
        counts.map(|c| c.suspicions + c.unconfirmed).sum()
    }

    /// Returns the total number of false alarms counted by all instances.
    pub fn false_alarms(&self) -> u64 {
        let counts = self.instances.iter().map(|n| n.membership.counts());
        counts.map(|c| c.false_alarms).sum()
    }
}

fn index(peer: &Peer) -> usize {
    usize::from(peer.address.port() - FIRST_PORT)
}
