//! Doubt, confirmation and suspicion of members.
//!
//! ```text
//!            call failed, or silent             a call of this instance failed and others failed
//!   Alive ------------------------> Doubted ------------------------------------> Suspected
//!     ^                               |                                              |
//!     +---- heartbeat above the floor, or a call from or to it that succeeded -------+
//! ```
//!
//! The floor of a suspicion is the heartbeat that the member would have had when the doubt began.
//! Heartbeats from before its death may still be spreading; they stay below the floor and clear
//! nothing, while those of a living member pass it within a round.

use super::{
    Action, Doubt, Member, MemberRecord, Membership, Peer, ProbeOutcome, Suspicion, Verdict, peer,
};
use crate::member::Phase;
use crate::time::{Name, Now};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;

/// Silence beyond which a member is suspected without confirmation, in multiples of the bound,
/// where others are there to be asked and don't answer. Where nobody is, the bound itself counts.
const UNCONFIRMED_FACTOR: u64 = 2;

impl Membership {
    /// An exchange that began in `round` failed. Returns the probes to ask for.
    pub fn exchange_failed(
        &mut self,
        now: Now,
        peer: &Peer,
        round: u64,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.observe(now);
        let mut actions = Vec::new();
        let Some(name) = &peer.name else {
            return actions;
        };
        let this_round = self.round;
        let Some(m) = self.members.get_mut(name) else {
            return actions;
        };
        let other_address = m.state().peers != peer.address;
        if round < self.woken_round || other_address || !m.reachable() {
            return actions;
        }
        let first = m.verdict == Verdict::Alive;
        doubt(m, this_round, 1);
        if first {
            self.counts.doubts += 1;
            self.probe(name, rng, &mut actions);
        }
        self.settle(name);
        actions
    }

    /// A peer answered, or did not, whether it reaches `suspect`.
    pub fn probe_result(
        &mut self,
        now: Now,
        suspect: &Name,
        via: &Name,
        round: u64,
        outcome: &ProbeOutcome,
    ) {
        self.observe(now);
        match outcome {
            ProbeOutcome::NoAnswer => {}
            ProbeOutcome::Reached(record) => {
                self.hear(now, record);
                if record.state.name == *suspect {
                    self.contacted(suspect, now);
                }
            }
            ProbeOutcome::NotReached if round < self.woken_round => {}
            ProbeOutcome::NotReached => self.not_reached(suspect, via),
        }
    }

    fn not_reached(&mut self, suspect: &Name, via: &Name) {
        let Some(m) = self.members.get_mut(suspect) else {
            return;
        };
        if let Verdict::Doubted(doubt) = &mut m.verdict
            && !doubt.unreached_by.contains(via)
        {
            doubt.unreached_by.push(via.clone());
        }
        self.settle(suspect);
    }

    pub(super) fn doubt_silent(&mut self) {
        let bound = self.silence_bound();
        let round = self.round;
        let mut silent = Vec::new();
        for (name, m) in &mut self.members {
            if !m.reachable() || round - m.last_contact_round <= bound {
                continue;
            }
            if m.verdict == Verdict::Alive {
                doubt(m, round, 0);
                self.counts.doubts += 1;
            }
            silent.push(name.clone());
        }
        for name in silent {
            self.settle(&name);
        }
    }

    fn silence_bound(&self) -> u64 {
        self.cfg.silence_rounds(self.members.len() + 1)
    }

    /// Asks for probes of the members in doubt, at most the configured number of members.
    pub(super) fn probe_doubted(&self, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let doubted = self.members.iter().filter(|(_, m)| is_doubted(m));
        let names = doubted.map(|(name, _)| name);
        for name in names.sample(rng, self.cfg.max_probes) {
            self.probe(name, rng, actions);
        }
    }

    fn probe(&self, suspect: &Name, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let Some(m) = self.members.get(suspect) else {
            return;
        };
        let Verdict::Doubted(doubt) = &m.verdict else {
            return;
        };
        let missing = self
            .cfg
            .confirmations
            .saturating_sub(doubt.unreached_by.len());
        let fresh = |p: &Peer| {
            !doubt
                .unreached_by
                .iter()
                .any(|n| Some(n) == p.name.as_ref())
        };
        let vias = self.vias(suspect).filter(fresh).sample(rng, missing);
        for via in vias {
            actions.push(Action::Probe {
                via,
                suspect: peer(m),
                round: self.round,
            });
        }
    }

    /// Peers that can be asked about a member: those that nothing speaks against.
    fn vias(&self, suspect: &Name) -> impl Iterator<Item = Peer> {
        let alive = self.members.iter().filter(move |(name, m)| {
            *name != suspect && m.verdict == Verdict::Alive && m.state().phase != Phase::Gone
        });
        alive.map(|(_, m)| peer(m))
    }

    /// Makes a doubted member suspected if the evidence is there.
    fn settle(&mut self, name: &Name) {
        let bound = self.silence_bound();
        let round = self.round;
        let needed = self.vias(name).count().min(self.cfg.confirmations);
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        let Verdict::Doubted(doubt) = &m.verdict else {
            return;
        };
        let silent = round - m.last_contact_round;
        let confirmed = needed > 0 && doubt.own_misses > 0 && doubt.unreached_by.len() >= needed;
        let factor = if needed == 0 { 1 } else { UNCONFIRMED_FACTOR };
        let unconfirmed = doubt.own_misses > 0 && silent > factor * bound;
        if !confirmed && !unconfirmed {
            return;
        }
        let floor = doubt.floor;
        m.verdict = Verdict::Suspected {
            since: round,
            floor,
        };
        if confirmed {
            self.counts.suspicions += 1;
        } else {
            self.counts.unconfirmed += 1;
        }
    }

    pub(super) fn take_suspicions(&mut self, keys: &BTreeMap<u32, Name>, suspicions: &[Suspicion]) {
        let since = self.round;
        for s in suspicions {
            let Some(name) = keys.get(&s.key) else {
                continue;
            };
            if *name == self.own.state.name {
                self.refute(s.floor);
                continue;
            }
            let Some(m) = self.members.get_mut(name) else {
                continue;
            };
            if m.state().heartbeat > s.floor || m.suspected() {
                continue;
            }
            let floor = s.floor;
            m.verdict = Verdict::Suspected { since, floor };
            self.counts.adopted += 1;
        }
    }

    /// Raises the own heartbeat above a suspicion's floor.
    fn refute(&mut self, floor: u64) {
        if self.own.state.heartbeat <= floor {
            self.own.state.heartbeat = floor.saturating_add(1);
            self.counts.refuted += 1;
        }
    }

    /// A call from or to the member succeeded: it lives.
    pub(super) fn contacted(&mut self, name: &Name, now: Now) {
        let round = self.round;
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        m.last_contact_round = round;
        m.last_contact_ms = now.mono_ms;
        if m.suspected() {
            self.counts.false_alarms += 1;
        }
        m.verdict = Verdict::Alive;
    }

    /// Merges a record.
    pub(super) fn hear(&mut self, now: Now, record: &MemberRecord) {
        let name = &record.state.name;
        if *name == self.own.state.name {
            self.hear_of_self(record);
            return;
        }
        let known = self.members.contains_key(name);
        if !known && self.members.len() + 1 >= self.cfg.max_members {
            self.counts.refused += 1;
            return;
        }
        let Some(m) = self.members.get_mut(name) else {
            self.take_in(now, record.clone());
            return;
        };
        let merged = super::merge::merged(&m.record, record);
        if merged.state.incarnation > m.state().incarnation {
            self.take_in(now, merged);
            return;
        }
        let grew = merged.state.heartbeat > m.state().heartbeat;
        m.record = merged;
        if !grew {
            return;
        }
        if !passes_floor(m) {
            return;
        }
        if m.suspected() {
            self.counts.false_alarms += 1;
        }
        m.verdict = Verdict::Alive;
        m.last_contact_round = self.round;
        m.last_contact_ms = now.mono_ms;
    }

    fn take_in(&mut self, now: Now, record: MemberRecord) {
        let name = record.state.name.clone();
        let mut m = Member::new(record, self.round, now.mono_ms);
        super::mark_listed(&mut m, &self.listed);
        self.members.insert(name, m);
    }

    fn hear_of_self(&mut self, record: &MemberRecord) {
        let (own, heard) = (&self.own.state, &record.state);
        if heard.incarnation > own.incarnation {
            self.counts.superseded += 1;
        }
        if heard.incarnation == own.incarnation && heard.heartbeat > own.heartbeat {
            self.refute(heard.heartbeat);
        }
    }
}

/// Puts a member in doubt, where it is not yet, and counts failed calls of this instance.
fn doubt(m: &mut Member, since: u64, misses: u32) {
    let standing = match std::mem::take(&mut m.verdict) {
        Verdict::Doubted(doubt) => Some(doubt),
        Verdict::Alive | Verdict::Suspected { .. } => None,
    };
    let mut doubt = standing.unwrap_or_else(|| Doubt {
        since,
        floor: m.expected_heartbeat(since),
        own_misses: 0,
        unreached_by: Vec::new(),
    });
    doubt.own_misses += misses;
    m.verdict = Verdict::Doubted(doubt);
}

fn is_doubted(m: &Member) -> bool {
    matches!(m.verdict, Verdict::Doubted(_))
}

/// Whether the heartbeat shows that the member lived after the evidence against it.
fn passes_floor(m: &Member) -> bool {
    match &m.verdict {
        Verdict::Alive => true,
        Verdict::Doubted(doubt) => m.state().heartbeat > doubt.floor,
        Verdict::Suspected { floor, .. } => m.state().heartbeat > *floor,
    }
}
