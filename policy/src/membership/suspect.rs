//! The failure detector: doubt, confirmation and suspicion of members.
//!
//! ```text
//!            call failed, or silent             a call of this instance failed and others failed
//!   Alive ------------------------> Doubted ------------------------------------> Suspected
//!     ^                               |                                              |
//!     +---- heartbeat above the floor, or a call from or to it that succeeded -------+
//! ```
//!
//! The floor of a suspicion is the heartbeat that the member was expected to have when the doubt
//! began. Heartbeats sent before a failure may still be spreading; they do not exceed the floor and
//! refute nothing. A member that is alive exceeds it within one round where digests list all members;
//! otherwise it raises its heartbeat above the floor as soon as it hears of the suspicion.

use super::{
    Action, Doubt, Member, MemberRecord, Membership, Peer, ProbeOutcome, Suspicion, Verdict, peer,
};
use crate::member::Phase;
use crate::time::{Name, Now};
use rand::Rng;
use rand::seq::IteratorRandom;

/// Multiple of the silence bound after which a member is suspected without confirmation when the
/// peers asked to probe it do not answer. If there are no such peers, the bound itself applies.
const UNCONFIRMED_FACTOR: u64 = 2;

impl Membership {
    /// Records that an exchange started in `round` failed and returns the probes to request.
    pub fn exchange_failed(
        &mut self,
        now: Now,
        peer: &Peer,
        round: u64,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.detect_suspension(now);
        let mut actions = Vec::new();
        let Some(name) = &peer.name else {
            return actions;
        };
        let this_round = self.round;
        let staleness = self.cfg.staleness_rounds(self.members.len() + 1);
        let Some(m) = self.members.get_mut(name) else {
            return actions;
        };
        let other_address = m.state().peers != peer.address;
        if round < self.resumed_round || other_address || !m.reachable() {
            return actions;
        }
        let first = m.verdict == Verdict::Alive;
        doubt(m, this_round, 1, staleness);
        if first {
            self.counts.doubts += 1;
            self.probe(name, rng, &mut actions);
        }
        self.evaluate_evidence(name);
        actions
    }

    /// Records the result of a probe of `suspect` by the peer `via`.
    pub fn probe_result(
        &mut self,
        now: Now,
        suspect: &Name,
        via: &Name,
        round: u64,
        outcome: &ProbeOutcome,
    ) {
        self.detect_suspension(now);
        match outcome {
            ProbeOutcome::NoAnswer => {}
            ProbeOutcome::Reached(record) => {
                self.merge_record(now, record);
                if record.state.name == *suspect {
                    self.record_contact(suspect, now);
                }
            }
            ProbeOutcome::NotReached if round < self.resumed_round => {}
            ProbeOutcome::NotReached => self.record_not_reached(suspect, via),
        }
    }

    fn record_not_reached(&mut self, suspect: &Name, via: &Name) {
        let Some(m) = self.members.get_mut(suspect) else {
            return;
        };
        if let Verdict::Doubted(doubt) = &mut m.verdict
            && !doubt.unreached_by.contains(via)
        {
            doubt.unreached_by.push(via.clone());
        }
        self.evaluate_evidence(suspect);
    }

    pub(super) fn doubt_silent(&mut self) {
        let bound = self.silence_bound();
        let staleness = self.cfg.staleness_rounds(self.members.len() + 1);
        let round = self.round;
        let mut silent = Vec::new();
        for (name, m) in &mut self.members {
            if !m.reachable() || round - m.last_contact_round <= bound {
                continue;
            }
            if m.verdict == Verdict::Alive {
                doubt(m, round, 0, staleness);
                self.counts.doubts += 1;
            }
            silent.push(name.clone());
        }
        for name in silent {
            self.evaluate_evidence(&name);
        }
    }

    fn silence_bound(&self) -> u64 {
        self.cfg.silence_rounds(self.members.len() + 1)
    }

    /// Requests probes of doubted members, up to the configured number of members.
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
        let not_reported = |p: &Peer| {
            !doubt
                .unreached_by
                .iter()
                .any(|n| Some(n) == p.name.as_ref())
        };
        let proxies = self
            .probe_proxies(suspect)
            .filter(not_reported)
            .sample(rng, missing);
        for via in proxies {
            actions.push(Action::Probe {
                via,
                suspect: peer(m),
                round: self.round,
            });
        }
    }

    /// Iterates over the peers that can probe a member: those without evidence against them.
    fn probe_proxies(&self, suspect: &Name) -> impl Iterator<Item = Peer> {
        let alive = self.members.iter().filter(move |(name, m)| {
            *name != suspect && m.verdict == Verdict::Alive && m.state().phase != Phase::Gone
        });
        alive.map(|(_, m)| peer(m))
    }

    /// Moves a doubted member to suspected if the evidence suffices.
    fn evaluate_evidence(&mut self, name: &Name) {
        let bound = self.silence_bound();
        let round = self.round;
        let urgent_until = self.urgent_until();
        let needed = self.probe_proxies(name).count().min(self.cfg.confirmations);
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        let Verdict::Doubted(doubt) = &m.verdict else {
            return;
        };
        let silent = round - m.last_contact_round;
        let confirmed = needed > 0 && doubt.own_failures > 0 && doubt.unreached_by.len() >= needed;
        let factor = if needed == 0 { 1 } else { UNCONFIRMED_FACTOR };
        let unconfirmed = doubt.own_failures > 0 && silent > factor * bound;
        if !confirmed && !unconfirmed {
            return;
        }
        let floor = doubt.floor;
        m.urgent_until = urgent_until;
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

    pub(super) fn merge_suspicions(&mut self, suspicions: &[Suspicion]) {
        let since = self.round;
        let urgent_until = self.urgent_until();
        for s in suspicions {
            let Some(name) = self.spread.name(s.key) else {
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
            m.urgent_until = urgent_until;
            m.verdict = Verdict::Suspected { since, floor };
            self.counts.adopted += 1;
        }
    }

    /// Refutes a suspicion against this instance by raising the own heartbeat above its floor.
    fn refute(&mut self, floor: u64) {
        if self.own.state.heartbeat <= floor {
            self.own.state.heartbeat = floor.saturating_add(1);
            self.counts.refuted += 1;
            self.has_refuted = true;
        }
    }

    /// Records a successful call from or to the member, which proves that it is alive.
    pub(super) fn record_contact(&mut self, name: &Name, now: Now) {
        let round = self.round;
        let urgent_until = self.urgent_until();
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        m.last_contact_round = round;
        m.last_contact_ms = now.mono_ms;
        if m.suspected() {
            self.counts.false_alarms += 1;
            m.urgent_until = urgent_until;
        }
        m.verdict = Verdict::Alive;
    }

    /// Merges a received record and clears the evidence that its heartbeat refutes.
    pub(super) fn merge_record(&mut self, now: Now, record: &MemberRecord) {
        let name = &record.state.name;
        if *name == self.own.state.name {
            self.observe_own_record(record);
            return;
        }
        let known = self.members.contains_key(name);
        if !known && self.members.len() + 1 >= self.cfg.max_members {
            self.counts.refused += 1;
            return;
        }
        let urgent_until = self.urgent_until();
        let Some(m) = self.members.get_mut(name) else {
            self.insert_member(now, record.clone());
            return;
        };
        let merged = super::merge::merged(&m.record, record);
        if merged.state.incarnation > m.state().incarnation {
            self.insert_member(now, merged);
            return;
        }
        let grew = merged.state.heartbeat > m.state().heartbeat;
        if merged.changed > m.record.changed || merged.state.phase > m.state().phase {
            m.urgent_until = urgent_until;
        }
        m.record = merged;
        if !grew {
            return;
        }
        if !exceeds_floor(m) {
            return;
        }
        if m.suspected() {
            self.counts.false_alarms += 1;
            m.urgent_until = urgent_until;
        }
        m.verdict = Verdict::Alive;
        m.last_contact_round = self.round;
        m.last_contact_ms = now.mono_ms;
    }

    fn insert_member(&mut self, now: Now, record: MemberRecord) {
        let name = record.state.name.clone();
        let mut m = Member::new(record, self.round, now.mono_ms);
        m.urgent_until = self.urgent_until();
        super::mark_listed(&mut m, &self.listed);
        self.spread.add(m.key, name.clone());
        match self.members.insert(name, m) {
            Some(before) => self.spread.forget(before.key),
            None => self.last_joined_ms = now.mono_ms,
        }
    }

    fn observe_own_record(&mut self, record: &MemberRecord) {
        let (own, heard) = (&self.own.state, &record.state);
        if heard.incarnation > own.incarnation {
            self.counts.superseded += 1;
        }
        if heard.incarnation == own.incarnation && heard.heartbeat > own.heartbeat {
            self.refute(heard.heartbeat);
        }
    }
}

/// Marks a member as doubted, unless it already is, and adds failed calls of this instance.
/// `staleness` is the number of rounds by which the known heartbeat may be behind the true one.
fn doubt(m: &mut Member, since: u64, failures: u32, staleness: u64) {
    let standing = match std::mem::take(&mut m.verdict) {
        Verdict::Doubted(doubt) => Some(doubt),
        Verdict::Alive | Verdict::Suspected { .. } => None,
    };
    let mut doubt = standing.unwrap_or_else(|| Doubt {
        since,
        floor: m.expected_heartbeat(since) + staleness,
        own_failures: 0,
        unreached_by: Vec::new(),
    });
    doubt.own_failures += failures;
    m.verdict = Verdict::Doubted(doubt);
}

fn is_doubted(m: &Member) -> bool {
    matches!(m.verdict, Verdict::Doubted(_))
}

/// Returns whether the member's heartbeat refutes the evidence against it.
fn exceeds_floor(m: &Member) -> bool {
    match &m.verdict {
        Verdict::Alive => true,
        Verdict::Doubted(doubt) => m.state().heartbeat > doubt.floor,
        Verdict::Suspected { floor, .. } => m.state().heartbeat > *floor,
    }
}
