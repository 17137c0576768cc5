//! Membership of the fleet: which instances there are and which of them live.
//!
//! Each round an instance exchanges with a random peer ([`message`]): first a digest, then only
//! what the other side lacks, merged by one rule ([`merge`]). A member that a call did not reach,
//! or that is silent for longer than its heartbeat takes to spread, is doubted; others are asked
//! to reach it, and only their confirmation makes it suspected ([`suspect`]). A suspicion spreads
//! with the exchanges and ends with a heartbeat above its floor.
//!
//! Invariants:
//! - Within an incarnation, heartbeat, time of change and phase of a record only grow.
//! - Silence counts in rounds of this process, so that a process that was stopped and woken
//!   missed no round and suspects nobody for it.
//! - The platform's list lags: it names addresses to try and marks leaving, and clears no
//!   suspicion.
//! - The own record is only ever written here.

pub mod config;
pub mod dump;
pub mod member;
pub mod merge;
pub mod message;
pub mod suspect;

pub use config::MembershipConfig;
pub use dump::{MemberRow, MembershipDump};
pub use member::{Doubt, Member, Verdict};
pub use message::{Beat, MemberDelta, MemberDigest, MemberRecord, Suspicion, member_key};

use crate::listed::{ENTRY_GROUP, ListedInstance, ListedState};
use crate::member::{MemberState, Phase};
use crate::region::region_of;
use crate::time::{Millis, Name, Now};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An instance to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name; unknown for an address that comes from the settings.
    pub name: Option<Name>,
    /// Peers' address.
    pub address: SocketAddr,
}

/// What the process is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the digest; answer with [`Membership::receive_answer`] or
    /// [`Membership::exchange_failed`].
    Exchange {
        /// Whom to call.
        peer: Peer,
        /// Round in which the call began.
        round: u64,
        /// What to send.
        digest: MemberDigest,
    },
    /// Ask a peer to reach another one; answer with [`Membership::probe_result`].
    Probe {
        /// Whom to ask.
        via: Peer,
        /// Whom to reach.
        suspect: Peer,
        /// Round in which the call began.
        round: u64,
    },
}

/// What a peer reported of a probe.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeOutcome {
    /// It reached the member, which gave its record.
    Reached(MemberRecord),
    /// It did not reach the member.
    NotReached,
    /// The peer that was asked did not answer: says nothing about the member.
    NoAnswer,
}

/// Events since the start, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipCounts {
    /// Members doubted.
    pub doubts: u64,
    /// Members suspected on the evidence of this instance and others.
    pub suspicions: u64,
    /// Members suspected without confirmation, as nobody could be asked.
    pub unconfirmed: u64,
    /// Suspicions taken over from peers.
    pub adopted: u64,
    /// Suspicions that a newer heartbeat ended.
    pub false_alarms: u64,
    /// Suspicions against this instance that it refuted.
    pub refuted: u64,
    /// Times this process was stopped and woken.
    pub woken: u64,
    /// Members that were not taken in, as too many are known.
    pub refused: u64,
    /// Records of this instance's name with a later incarnation.
    pub superseded: u64,
}

/// The state of all instances as this one knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    own: MemberRecord,
    members: BTreeMap<Name, Member>,
    listed: BTreeMap<Name, ListedInstance>,
    seeds: Vec<SocketAddr>,
    round: u64,
    started: Now,
    seen: Now,
    ticked: Option<Now>,
    woken_round: u64,
    counts: MembershipCounts,
}

impl Membership {
    /// The membership of an instance that knows only itself and the addresses `seeds`.
    #[must_use]
    pub fn new(
        own: MemberState,
        seeds: Vec<SocketAddr>,
        cfg: MembershipConfig,
        now: Now,
    ) -> Membership {
        let changed = own.heartbeat;
        Membership {
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
            woken_round: 0,
            counts: MembershipCounts::default(),
        }
    }

    /// The own record.
    #[must_use]
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Every other member, in the order of names.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What is known of another member.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Every instance, this one first, then in the order of names.
    pub fn members(&self) -> impl Iterator<Item = &MemberState> {
        let others = self.members.values().map(Member::state);
        std::iter::once(&self.own.state).chain(others)
    }

    /// Instances that callers may be sent to, this one first if it is one of them.
    pub fn live(&self) -> impl Iterator<Item = &MemberState> {
        let own = std::iter::once(&self.own.state).filter(|s| s.phase == Phase::Serving);
        let others = self.members.values().filter(|m| m.takes_callers());
        own.chain(others.map(Member::state))
    }

    /// Peers that requests may be sent to for parts of the configuration and records.
    pub fn peers(&self) -> impl Iterator<Item = &MemberState> {
        let reachable = self.members.values().filter(|m| m.reachable());
        reachable.map(Member::state)
    }

    /// Events since the start.
    #[must_use]
    pub fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Own round.
    #[must_use]
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Sets the own phase; it never goes back.
    pub fn set_phase(&mut self, phase: Phase) {
        if phase > self.own.state.phase {
            self.own.state.phase = phase;
            self.own_changed();
        }
    }

    /// Sets the revision in force here and the Unix time since when, in milliseconds.
    pub fn set_revision(&mut self, revision: u64, since_ms: u64) {
        if revision != self.own.state.revision {
            self.own.state.revision = revision;
            self.own.state.revision_since_ms = since_ms;
            self.own_changed();
        }
    }

    /// Sets the requests in flight here; travels with the next heartbeat.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.own.state.in_flight = in_flight;
    }

    fn own_changed(&mut self) {
        self.own.state.heartbeat += 1;
        self.own.changed = self.own.state.heartbeat;
    }

    /// One round: whom to exchange with and which probes to ask for.
    pub fn tick(&mut self, now: Now, rng: &mut impl Rng) -> Vec<Action> {
        self.observe(now);
        // A timer that catches up on ticks it missed would count rounds in which no peer had the
        // time to answer, and silence counts in rounds.
        let early = |t: Now| now.mono_ms.saturating_sub(t.mono_ms) < self.cfg.round_ms / 2;
        if self.ticked.is_some_and(early) {
            return Vec::new();
        }
        self.ticked = Some(now);
        self.round += 1;
        self.beat(now);
        self.forget();
        self.doubt_silent();
        let mut actions = self.exchanges(rng);
        self.probe_doubted(rng, &mut actions);
        actions
    }

    /// Notices that the process was stopped: a gap on either clock, as the monotonic one may stand
    /// still while the machine is suspended. Calls that were under way fail when it wakes, and
    /// without this they would count against every peer at once.
    fn observe(&mut self, now: Now) {
        let gap = now.gap_since(self.seen);
        self.seen = now;
        if gap <= self.cfg.woken_ms() {
            return;
        }
        self.counts.woken += 1;
        self.woken_round = self.round + 1;
        for m in self.members.values_mut() {
            if let Verdict::Doubted(_) = m.verdict {
                m.verdict = Verdict::Alive;
            }
            m.last_contact_round = self.round;
        }
    }

    /// Counts the heartbeat by the time since the start, so that an instance that was stopped is
    /// at once where the others expect it to be.
    fn beat(&mut self, now: Now) {
        let rounds = now.gap_since(self.started) / self.cfg.round_ms.max(1);
        let next = self.own.state.heartbeat + 1;
        self.own.state.heartbeat = next.max(rounds);
    }

    fn forget(&mut self) {
        let (round, limit) = (self.round, self.cfg.forget_rounds);
        self.members
            .retain(|_, m| m.reachable() || round - m.last_contact_round <= limit);
    }

    fn exchanges(&self, rng: &mut impl Rng) -> Vec<Action> {
        let mut peers = self.random_peers(rng);
        let doubted = self.members.values().filter(|m| untried(m)).map(peer);
        peers.extend(doubted.sample(rng, self.cfg.max_probes));
        if peers.is_empty() || self.round.is_multiple_of(self.cfg.retry_every_rounds) {
            peers.extend(self.unreached().into_iter().choose(rng));
        }
        self.exchanges_with(peers, rng)
    }

    /// Random peers of this round. Where a domain has more instances than are to exchange with other
    /// domains, the rest of them stay within it; else in every other round from the own region, where
    /// there are any. Loads travel within the region only, and in a fleet of many regions a peer drawn
    /// from all is seldom near.
    fn random_peers(&self, rng: &mut impl Rng) -> Vec<Peer> {
        let domain = &self.own.state.domain;
        let region = region_of(domain);
        let near = |m: &&Member| region_of(&m.state().domain) == region;
        let within = |m: &&Member| m.state().domain == *domain;
        let reachable = || self.members.values().filter(|m| m.reachable());
        let neighbours = reachable().filter(within).count();
        let many = neighbours >= self.cfg.cross_domain_senders;
        if many && rng.random_range(0..=neighbours) >= self.cfg.cross_domain_senders {
            return reachable()
                .filter(within)
                .map(peer)
                .sample(rng, self.cfg.fanout);
        }
        if self.round.is_multiple_of(2) && reachable().any(|m| near(&m)) {
            let near = reachable().filter(near);
            return near.map(peer).sample(rng, self.cfg.fanout);
        }
        reachable().map(peer).sample(rng, self.cfg.fanout)
    }

    fn exchanges_with(&self, peers: Vec<Peer>, rng: &mut impl Rng) -> Vec<Action> {
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

    /// Exchanges with up to `count` peers at once, outside the rounds: tells news that should not
    /// wait for its turn, as the own leaving.
    pub fn announce(&self, count: usize, rng: &mut impl Rng) -> Vec<Action> {
        let reachable = self.members.values().filter(|m| m.reachable());
        let peers = reachable.map(peer).sample(rng, count);
        self.exchanges_with(peers, rng)
    }

    /// Addresses that no exchange reaches at present: suspected members, listed instances that are
    /// not known in that incarnation, and addresses from the settings.
    fn unreached(&self) -> Vec<Peer> {
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

    /// Takes over the platform's list, whole.
    pub fn listed(&mut self, now: Now, list: &[ListedInstance]) {
        self.observe(now);
        let own = list.iter().filter(|l| *l.group == *ENTRY_GROUP);
        self.listed = own.map(|l| (l.name.clone(), l.clone())).collect();
        for m in self.members.values_mut() {
            mark_listed(m, &self.listed);
        }
    }

    /// What this instance knows, for a first message with the given salt.
    #[must_use]
    pub fn digest(&self, salt: u32) -> MemberDigest {
        let mut beats = vec![beat_of(salt, &self.own)];
        beats.extend(self.members.values().map(|m| beat_of(salt, &m.record)));
        MemberDigest {
            salt,
            beats,
            suspicions: self.suspicions(salt),
        }
    }

    fn suspicions(&self, salt: u32) -> Vec<Suspicion> {
        let mut suspicions = Vec::new();
        for m in self.members.values() {
            if let Verdict::Suspected { floor, .. } = m.verdict {
                let key = member_key(salt, &m.state().name, m.state().incarnation);
                suspicions.push(Suspicion { key, floor });
            }
        }
        suspicions
    }

    /// Takes in a peer's digest; returns the answer.
    pub fn receive_digest(&mut self, now: Now, from: &Name, digest: &MemberDigest) -> MemberDelta {
        self.observe(now);
        self.contacted(from, now);
        let salt = digest.salt;
        let keys = self.keys(salt);
        let mut delta = MemberDelta {
            salt,
            ..MemberDelta::default()
        };
        let mut theirs: BTreeMap<u32, Beat> = BTreeMap::new();
        for beat in &digest.beats {
            theirs.insert(beat.key, *beat);
            let known = keys.get(&beat.key).map(|name| self.record(name));
            match known {
                Some(record) if record.changed >= beat.changed => {}
                _ => delta.wants.push(beat.key),
            }
        }
        self.take_beats(now, &keys, &digest.beats);
        self.take_suspicions(&keys, &digest.suspicions);
        self.answer(&theirs, &mut delta);
        delta.suspicions = self.suspicions(salt);
        delta
    }

    fn answer(&self, theirs: &BTreeMap<u32, Beat>, delta: &mut MemberDelta) {
        let others = self.members.values().map(|m| &m.record);
        let records: Vec<&MemberRecord> = std::iter::once(&self.own).chain(others).collect();
        // Begins elsewhere each round: a peer that lacks more records than fit is not sent the
        // same first ones by everybody.
        let start = self.round as usize % records.len();
        let (head, tail) = records.split_at(start);
        for record in tail.iter().chain(head) {
            let beat = beat_of(delta.salt, record);
            match theirs.get(&beat.key) {
                Some(b) if b.changed > beat.changed || b.heartbeat >= beat.heartbeat => {}
                Some(b) if b.changed == beat.changed => delta.beats.push(beat),
                _ if delta.records.len() < self.cfg.max_records => {
                    delta.records.push((*record).clone());
                }
                _ => {}
            }
        }
    }

    /// Takes in the answer to a digest that was sent at monotonic time `asked_ms`; returns what
    /// the sender wants.
    pub fn receive_answer(
        &mut self,
        now: Now,
        asked_ms: Millis,
        from: &Name,
        delta: &MemberDelta,
    ) -> Option<MemberDelta> {
        let before: BTreeMap<Name, u64> = self.heartbeats().collect();
        let push = self.receive_push(now, from, delta);
        for (name, m) in &mut self.members {
            let grew = before.get(name).is_none_or(|h| *h < m.state().heartbeat);
            if grew {
                m.asked_ms = Some(asked_ms);
            }
        }
        push
    }

    fn heartbeats(&self) -> impl Iterator<Item = (Name, u64)> {
        let all = self.members.iter();
        all.map(|(name, m)| (name.clone(), m.state().heartbeat))
    }

    /// Takes in a delta; returns what the sender wants of it.
    pub fn receive_push(
        &mut self,
        now: Now,
        from: &Name,
        delta: &MemberDelta,
    ) -> Option<MemberDelta> {
        self.observe(now);
        for record in &delta.records {
            self.hear(now, record);
        }
        self.contacted(from, now);
        let keys = self.keys(delta.salt);
        self.take_beats(now, &keys, &delta.beats);
        self.take_suspicions(&keys, &delta.suspicions);
        let wanted = delta.wants.iter().filter_map(|k| keys.get(k));
        let records = wanted.map(|name| self.record(name).clone());
        let records: Vec<MemberRecord> = records.take(self.cfg.max_records).collect();
        (!records.is_empty()).then(|| MemberDelta {
            salt: delta.salt,
            records,
            ..MemberDelta::default()
        })
    }

    fn keys(&self, salt: u32) -> BTreeMap<u32, Name> {
        let key = |s: &MemberState| member_key(salt, &s.name, s.incarnation);
        self.members().map(|s| (key(s), s.name.clone())).collect()
    }

    fn record(&self, name: &Name) -> &MemberRecord {
        let member = self.members.get(name);
        member.map_or(&self.own, |m| &m.record)
    }

    fn take_beats(&mut self, now: Now, keys: &BTreeMap<u32, Name>, beats: &[Beat]) {
        for beat in beats {
            let Some(name) = keys.get(&beat.key) else {
                continue;
            };
            let Some(m) = self.members.get(name) else {
                continue;
            };
            if beat.changed != m.record.changed || beat.heartbeat <= m.state().heartbeat {
                continue;
            }
            let mut record = m.record.clone();
            record.state.heartbeat = beat.heartbeat;
            record.state.in_flight = beat.in_flight;
            self.hear(now, &record);
        }
    }
}

fn peer(m: &Member) -> Peer {
    Peer {
        name: Some(m.state().name.clone()),
        address: m.state().peers,
    }
}

/// Whether a member is doubted for its silence only, and no call of this instance tried it yet.
fn untried(m: &Member) -> bool {
    matches!(&m.verdict, Verdict::Doubted(doubt) if doubt.own_misses == 0)
}

fn beat_of(salt: u32, record: &MemberRecord) -> Beat {
    let s = &record.state;
    Beat {
        key: member_key(salt, &s.name, s.incarnation),
        heartbeat: s.heartbeat,
        changed: record.changed,
        in_flight: s.in_flight,
    }
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
