//! Gossip-based membership of the fleet: which instances exist and which of them are alive.
//!
//! In each round an instance gossips with random peers ([`message`]): it sends a digest, and the
//! two sides then transfer only the records that one of them lacks, merged by one rule ([`merge`]).
//! What a message contains in a large fleet is decided in [`spread`].
//! A member is doubted when a call to it fails or when no heartbeat arrives for longer than one
//! takes to spread. Other peers are then asked to probe it, and it is suspected once they confirm
//! the failure ([`suspect`]). Suspicions spread by gossip, and a heartbeat above a suspicion's
//! floor refutes it.
//!
//! Invariants:
//! - Within an incarnation, the heartbeat, last change and phase of a record never decrease.
//! - Silence is counted in rounds of this process. A process that was suspended and resumed missed
//!   no rounds, so it suspects nobody because of the pause.
//! - The platform's list may be stale. It supplies addresses to try and marks members as leaving,
//!   but never clears a suspicion.
//! - Only this module writes the record of the own instance.

pub mod config;
pub mod dump;
pub mod member;
pub mod merge;
pub mod message;
mod spread;
pub mod suspect;

pub use config::MembershipConfig;
pub use dump::{MemberRow, MembershipDump};
pub use member::{Doubt, Member, Verdict};
pub use message::{Beat, MemberDelta, MemberDigest, MemberRecord, Summary, Suspicion, member_key};

use crate::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use crate::member::{MemberState, Phase};
use crate::region::region_of;
use crate::time::{Millis, Name, Now};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

use spread::Spread;

/// An instance that can be called.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name; `None` for a seed address from the settings.
    pub name: Option<Name>,
    /// Address of its peer listener.
    pub address: SocketAddr,
}

/// Rounds after a suspicion in which members of the same failure domain are called more often.
const ENDANGERED_ROUNDS: u64 = 8;

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the digest to a peer; report the result with [`Membership::receive_answer`] or
    /// [`Membership::exchange_failed`].
    Exchange {
        /// Peer to call.
        peer: Peer,
        /// Round in which the call began.
        round: u64,
        /// Digest to send.
        digest: MemberDigest,
    },
    /// Ask a peer to probe another one; report the result with [`Membership::probe_result`].
    Probe {
        /// Peer that sends the probe.
        via: Peer,
        /// Member to probe.
        suspect: Peer,
        /// Round in which the call began.
        round: u64,
    },
}

/// The result of an indirect probe.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// The peer reached the member, which returned its record.
    Reached(MemberRecord),
    /// The peer did not reach the member.
    NotReached,
    /// The peer itself did not answer, which is no evidence about the member.
    NoAnswer,
}

/// Event counts since the start, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCounts {
    /// Members doubted.
    pub doubts: u64,
    /// Members suspected on evidence from this instance and confirming peers.
    pub suspicions: u64,
    /// Members suspected without confirmation, because no peer was available or answered.
    pub unconfirmed: u64,
    /// Suspicions adopted from peers.
    pub adopted: u64,
    /// Suspicions cleared because the member turned out to be alive.
    pub false_alarms: u64,
    /// Suspicions against this instance that it refuted.
    pub refuted: u64,
    /// Times this process was suspended and resumed.
    pub woken: u64,
    /// Records of new members dropped because the member limit was reached.
    pub refused: u64,
    /// Records received for this instance's name with a later incarnation.
    pub superseded: u64,
}

/// This instance's view of every instance in the fleet.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    own: MemberRecord,
    members: BTreeMap<Name, Member>,
    spread: Spread,
    listed: BTreeMap<Name, ListedInstance>,
    seeds: Vec<SocketAddr>,
    round: u64,
    started: Now,
    seen: Now,
    ticked: Option<Now>,
    resumed_round: u64,
    counts: MembershipCounts,
    /// Monotonic time at which the last new member became known, in milliseconds.
    last_joined_ms: Millis,
    /// Whether a suspicion was refuted since the last round. Callers are not sent here until the
    /// others know, so more of them are told at once.
    has_refuted: bool,
}

impl Membership {
    /// Creates the membership of an instance that knows only itself and the addresses `seeds`.
    #[must_use]
    pub fn new(
        own: MemberState,
        seeds: Vec<SocketAddr>,
        cfg: MembershipConfig,
        now: Now,
    ) -> Membership {
        let changed = own.heartbeat;
        Membership {
            spread: Spread::new(&own),
            cfg,
            own: MemberRecord {
                state: own,
                changed,
            },
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
            seeds,
            round: 0,
            started: now,
            seen: now,
            ticked: None,
            resumed_round: 0,
            counts: MembershipCounts::default(),
            last_joined_ms: now.mono_ms,
            has_refuted: false,
        }
    }

    /// Returns the record of this instance.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Iterates over the other members, sorted by name.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns another member by name.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Iterates over all instances: this one first, then the others sorted by name.
    pub fn members(&self) -> impl Iterator<Item = &MemberState> {
        let others = self.members.values().map(Member::state);
        std::iter::once(&self.own.state).chain(others)
    }

    /// Iterates over the instances that callers may be sent to; this one comes first if it serves.
    pub fn live(&self) -> impl Iterator<Item = &MemberState> {
        let own = std::iter::once(&self.own.state).filter(|s| s.phase == Phase::Serving);
        let others = self.members.values().filter(|m| m.is_live());
        own.chain(others.map(Member::state))
    }

    /// Iterates over the instances that serve callers or are about to; this one comes first if it does.
    pub fn active(&self) -> impl Iterator<Item = &MemberState> {
        let is_active = |s: &MemberState| s.phase <= Phase::Serving;
        let own = std::iter::once(&self.own.state).filter(move |s| is_active(s));
        let others = self.members.values();
        let others = others.filter(|m| m.reachable() && !m.listed_leaving);
        own.chain(others.map(Member::state).filter(move |s| is_active(s)))
    }

    /// Iterates over the peers that can be asked for configuration parts and records.
    pub fn peers(&self) -> impl Iterator<Item = &MemberState> {
        let reachable = self.members.values().filter(|m| m.reachable());
        reachable.map(Member::state)
    }

    /// Returns the event counts since the start.
    #[must_use]
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Returns the monotonic time at which the last new member became known, in milliseconds.
    #[must_use]
    pub fn last_joined_ms(&self) -> Millis {
        self.last_joined_ms
    }

    /// Returns the current gossip round of this instance.
    #[must_use]
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Advances the phase of this instance; an earlier phase is ignored.
    pub fn set_phase(&mut self, phase: Phase) {
        if phase > self.own.state.phase {
            self.own.state.phase = phase;
            self.mark_own_changed();
        }
    }

    /// Sets the revision in force here and the Unix time, in milliseconds, at which it came into
    /// force.
    pub fn set_revision(&mut self, revision: u64, since_ms: u64) {
        if revision != self.own.state.revision {
            self.own.state.revision = revision;
            self.own.state.revision_since_ms = since_ms;
            self.mark_own_changed();
        }
    }

    /// Sets the number of requests in flight here, which is sent with the next heartbeat.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.own.state.in_flight = in_flight;
    }

    fn mark_own_changed(&mut self) {
        self.own.state.heartbeat += 1;
        self.own.changed = self.own.state.heartbeat;
    }

    /// Runs one gossip round and returns the exchanges and probes to start.
    pub fn tick(&mut self, now: Now, rng: &mut impl Rng) -> Vec<Action> {
        self.detect_suspension(now);
        // Ignore the burst of ticks that a timer fires to catch up: silence is counted in rounds,
        // and no peer has time to answer within such a burst.
        let early = |t: Now| now.mono_ms.saturating_sub(t.mono_ms) < self.cfg.round_ms / 2;
        if self.ticked.is_some_and(early) {
            return Vec::new();
        }
        self.ticked = Some(now);
        self.round += 1;
        self.advance_heartbeat(now);
        self.evict_expired();
        self.doubt_silent();
        self.spread.refresh(self.round, &self.own, &self.members);
        let mut actions = self.exchanges(rng);
        self.probe_doubted(rng, &mut actions);
        actions
    }

    /// Detects that the process was suspended, by a gap on either clock: the monotonic clock may
    /// stop while the machine is suspended. Calls in flight fail on resume, and without this check
    /// they would count as evidence against every peer at once.
    fn detect_suspension(&mut self, now: Now) {
        let gap = now.gap_since(self.seen);
        self.seen = now;
        if gap <= self.cfg.suspend_threshold_ms() {
            return;
        }
        self.counts.woken += 1;
        self.resumed_round = self.round + 1;
        for m in self.members.values_mut() {
            if let Verdict::Doubted(_) = m.verdict {
                m.verdict = Verdict::Alive;
            }
            m.last_contact_round = self.round;
        }
    }

    /// Advances the own heartbeat, at least to the number of rounds since the start, so that after
    /// a suspension it immediately has the value that other instances expect.
    fn advance_heartbeat(&mut self, now: Now) {
        let rounds = now.gap_since(self.started) / self.cfg.round_ms.max(1);
        let next = self.own.state.heartbeat + 1;
        self.own.state.heartbeat = next.max(rounds);
    }

    fn evict_expired(&mut self) {
        let (round, limit) = (self.round, self.cfg.retention_rounds);
        let expired =
            |_: &Name, m: &mut Member| !m.reachable() && round - m.last_contact_round > limit;
        for (_, m) in self.members.extract_if(.., expired) {
            self.spread.forget(m.key);
        }
    }

    fn exchanges(&mut self, rng: &mut impl Rng) -> Vec<Action> {
        let mut peers = self.random_peers(rng);
        let doubted = self
            .members
            .values()
            .filter(|m| not_called_yet(m))
            .map(peer);
        peers.extend(doubted.sample(rng, self.cfg.max_probes));
        peers.extend(self.endangered_peer(rng));
        if std::mem::take(&mut self.has_refuted) {
            let reachable = self.members.values().filter(|m| m.reachable());
            peers.extend(reachable.map(peer).sample(rng, self.cfg.max_probes));
        }
        if peers.is_empty() || self.round.is_multiple_of(self.cfg.retry_every_rounds) {
            peers.extend(self.unreached_peers().into_iter().choose(rng));
        }
        self.exchanges_with(peers, rng)
    }

    /// Selects the random peers of this round.
    ///
    /// In a failure domain with more instances than [`MembershipConfig::cross_domain_senders`], the
    /// excess stays within the domain. Otherwise every second round prefers peers of the own
    /// region, if there are any: load reports spread within the region only, and in a fleet of many
    /// regions a uniformly drawn peer is rarely in the same one.
    fn random_peers(&self, rng: &mut impl Rng) -> Vec<Peer> {
        let domain = &self.own.state.domain;
        let region = region_of(domain);
        let in_region = |m: &&Member| region_of(&m.state().domain) == region;
        let in_domain = |m: &&Member| m.state().domain == *domain;
        let reachable = || self.members.values().filter(|m| m.reachable());
        let neighbours = reachable().filter(in_domain).count();
        let large_domain = neighbours >= self.cfg.cross_domain_senders;
        if large_domain && rng.random_range(0..=neighbours) >= self.cfg.cross_domain_senders {
            return reachable()
                .filter(in_domain)
                .map(peer)
                .sample(rng, self.cfg.fanout);
        }
        if self.round.is_multiple_of(2) && reachable().any(|m| in_region(&m)) {
            let in_region = reachable().filter(in_region);
            return in_region.map(peer).sample(rng, self.cfg.fanout);
        }
        reachable().map(peer).sample(rng, self.cfg.fanout)
    }

    /// Selects a random peer of a failure domain in which a member was suspected recently.
    ///
    /// Failure: all instances of a domain are lost, so none of them calls the others. The instances of
    /// other domains call each of them too rarely to miss them soon, and callers are sent there.
    fn endangered_peer(&self, rng: &mut impl Rng) -> Option<Peer> {
        if self.cfg.lists_all(self.members.len() + 1) {
            return None;
        }
        let recent = self.members.values().filter(|m| {
            let Verdict::Suspected { since, .. } = m.verdict else {
                return false;
            };
            self.round - since <= ENDANGERED_ROUNDS
        });
        let lost = recent.choose(rng)?;
        let others = self.members.values().filter(|m| m.reachable());
        let endangered = others.filter(|m| m.state().domain == lost.state().domain);
        endangered.choose(rng).map(peer)
    }

    fn exchanges_with(&mut self, peers: Vec<Peer>, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        for peer in peers {
            let digest = self.digest(rng.next_u32());
            actions.push(Action::Exchange {
                peer,
                round: self.round,
                digest,
            });
        }
        actions
    }

    /// Starts exchanges with up to `count` random peers outside the regular rounds, for urgent
    /// updates such as the departure of this instance.
    pub fn announce(&mut self, count: usize, rng: &mut impl Rng) -> Vec<Action> {
        let reachable = self.members.values().filter(|m| m.reachable());
        let peers = reachable.map(peer).sample(rng, count);
        self.exchanges_with(peers, rng)
    }

    /// Returns the addresses that random exchanges do not cover: suspected members, listed
    /// instances whose incarnation is not known yet, and seed addresses from the settings.
    fn unreached_peers(&self) -> Vec<Peer> {
        let suspected = self.members.values().filter(|m| m.suspected()).map(peer);
        let listed = self.listed.values().filter(|l| self.is_candidate(l));
        let listed = listed.map(|l| Peer {
            name: Some(l.name.clone()),
            address: l.address,
        });
        let mut peers: Vec<Peer> = suspected.chain(listed).collect();
        for address in &self.seeds {
            if !self.members().any(|s| s.peers == *address) {
                let address = *address;
                peers.push(Peer {
                    name: None,
                    address,
                });
            }
        }
        peers
    }

    fn is_candidate(&self, l: &ListedInstance) -> bool {
        let known = self.members.get(&l.name);
        let known = known.is_some_and(|m| m.state().incarnation >= l.incarnation);
        l.state == ListedState::Live && !known && l.name != self.own.state.name
    }

    /// Replaces the instance list with the platform's current one.
    pub fn listed(&mut self, now: Now, list: &[ListedInstance]) {
        self.detect_suspension(now);
        let own = list.iter().filter(|l| *l.group == *ENTRY_GROUP);
        self.listed = own.map(|l| (l.name.clone(), l.clone())).collect();
        for m in self.members.values_mut() {
            mark_listed(m, &self.listed);
        }
    }
}

fn peer(m: &Member) -> Peer {
    Peer {
        name: Some(m.state().name.clone()),
        address: m.state().peers,
    }
}

/// Returns whether a member is doubted only for its silence and this instance has not called it
/// yet.
fn not_called_yet(m: &Member) -> bool {
    matches!(&m.verdict, Verdict::Doubted(doubt) if doubt.own_failures == 0)
}

fn mark_listed(m: &mut Member, listed: &BTreeMap<Name, ListedInstance>) {
    let Some(l) = listed.get(&m.state().name) else {
        return;
    };
    let this = l.incarnation == m.state().incarnation;
    if this && l.state == ListedState::Leaving {
        m.listed_leaving = true;
    }
}
