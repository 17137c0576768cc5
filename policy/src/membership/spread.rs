//! What an instance tells its peers about the members it knows.
//!
//! Load pattern: each instance takes part in a dozen exchanges a second. If each listed all members,
//! messages and the work of reading them would grow with the fleet for every instance, and with its
//! square for all of them. So a message lists at most [`MembershipConfig::max_beats`] members:
//!
//! - the sender itself;
//! - the *urgent* members, about which something changed within the rounds that a change takes to
//!   spread: a new record, a suspicion, or one that was cleared;
//! - a window over the other members, which moves on with each message.
//!
//! The window repairs what lost messages leave behind. If the summaries of two instances differ all
//! the same, the initiator sends a *whole* digest: once a round if it lacks more members than a message
//! lists or far more members are urgent than that, as when the whole fleet starts; and otherwise at an
//! interval that grows with the fleet as the digest does.
//!
//! Invariants:
//! - Between two instances of a fleet of up to `max_beats` members, every digest is whole.
//! - The entries of a message that is not whole are bounded by the configuration.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::{
    Beat, Member, MemberDelta, MemberDigest, MemberRecord, Membership, MembershipConfig, Summary,
    Suspicion, Verdict, member_key,
};
use crate::member::MemberState;
use crate::time::{Name, Now};

/// Messages that the urgent members would fill from which on whole digests spread them faster.
const STORM_MESSAGES: usize = 4;

/// Full records of urgent members in an answer to a digest that is not whole.
const MAX_URGENT_RECORDS: usize = 16;

/// The state from which messages are put together.
#[derive(Clone, Debug)]
pub(super) struct Spread {
    names: BTreeMap<u64, Name>,
    /// Urgent members as of the last round.
    urgent: Vec<Name>,
    summary: Summary,
    /// Name of the last member in the window of the last message.
    window_end: Name,
    /// Name of the last urgent member in the last message that had no room for all.
    urgent_end: Name,
    /// The newest summary of a peer that differs from the own one.
    differing: Option<Summary>,
    /// Round of the last whole digest.
    whole_round: u64,
    /// Entries written to and read from messages so far.
    entries: u64,
}

impl Spread {
    pub(super) fn new(own: &MemberState) -> Spread {
        let key = member_key(&own.name, own.incarnation);
        Spread {
            names: BTreeMap::from([(key, own.name.clone())]),
            urgent: Vec::new(),
            summary: Summary::default(),
            // Instances begin at different members, since their names differ.
            window_end: own.name.clone(),
            urgent_end: own.name.clone(),
            differing: None,
            whole_round: 0,
            entries: 0,
        }
    }

    /// Returns the name of the member with a key.
    pub(super) fn name(&self, key: u64) -> Option<&Name> {
        self.names.get(&key)
    }

    pub(super) fn add(&mut self, key: u64, name: Name) {
        self.names.insert(key, name);
    }

    pub(super) fn forget(&mut self, key: u64) {
        self.names.remove(&key);
    }

    /// Computes what depends on all members; once a round.
    pub(super) fn refresh(
        &mut self,
        round: u64,
        own: &MemberRecord,
        members: &BTreeMap<Name, Member>,
    ) {
        let urgent = members.iter().filter(|(_, m)| round < m.urgent_until);
        self.urgent = urgent.map(|(name, _)| name.clone()).collect();
        let own_key = member_key(&own.state.name, own.state.incarnation);
        let mut hash = mix(own_key, own.changed);
        for m in members.values() {
            hash ^= mix(m.key, m.record.changed);
        }
        self.summary = Summary {
            members: members.len() as u32 + 1,
            hash,
        };
    }

    /// Records a peer's summary.
    fn observe(&mut self, summary: Summary) {
        self.differing = Some(summary).filter(|s| *s != self.summary);
    }

    /// Whether the next digest has to be whole.
    fn is_repair_due(&self, cfg: &MembershipConfig, round: u64) -> bool {
        let Some(theirs) = self.differing else {
            return false;
        };
        let (known, theirs) = (self.summary.members as usize, theirs.members as usize);
        let lacks_many = known + cfg.max_beats < theirs;
        let many_change = self.urgent.len() > STORM_MESSAGES * cfg.max_beats;
        let interval = match lacks_many || many_change {
            true => 1,
            false => cfg.repair_rounds(theirs),
        };
        round >= self.whole_round + interval
    }
}

/// Combines the key and the last change of a member into a hash.
fn mix(key: u64, changed: u64) -> u64 {
    let mixed = (key ^ changed.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

impl Membership {
    /// Returns how many entries of members were written to and read from messages so far.
    #[must_use]
    pub fn entries_exchanged(&self) -> u64 {
        self.spread.entries
    }

    /// Returns the round up to which something that changes now is urgent.
    pub(super) fn urgent_until(&self) -> u64 {
        self.round + self.cfg.spread_rounds(self.members.len() + 1) / 2 + 1
    }

    /// Returns the digest of this instance's view for a new exchange.
    #[must_use]
    pub fn digest(&mut self, salt: u32) -> MemberDigest {
        let all = self.cfg.lists_all(self.members.len() + 1);
        let whole = all || self.spread.is_repair_due(&self.cfg, self.round);
        if whole {
            self.spread.whole_round = self.round;
        }
        let names = self.listed_members(whole);
        let mut beats = vec![beat_of(&self.own, self.own_key())];
        let mut suspicions = Vec::new();
        for name in &names {
            self.describe(name, &mut beats, &mut suspicions);
        }
        self.spread.entries += beats.len() as u64;
        MemberDigest {
            salt,
            whole,
            beats,
            suspicions,
            summary: self.spread.summary,
        }
    }

    fn own_key(&self) -> u64 {
        member_key(&self.own.state.name, self.own.state.incarnation)
    }

    /// Returns the other members that the next message lists.
    fn listed_members(&mut self, whole: bool) -> Vec<Name> {
        if whole {
            return self.members.keys().cloned().collect();
        }
        let room = self.cfg.max_beats.saturating_sub(1);
        let mut names = self.urgent_members(room * 3 / 4);
        let window = self.next_window(room - names.len());
        names.extend(window);
        names
    }

    /// Returns up to `room` urgent members, others each time if there are more.
    fn urgent_members(&mut self, room: usize) -> Vec<Name> {
        let urgent = &self.spread.urgent;
        if urgent.len() <= room {
            return urgent.clone();
        }
        let start = urgent.partition_point(|name| *name <= self.spread.urgent_end);
        let rotated = urgent[start..].iter().chain(&urgent[..start]);
        let chosen: Vec<Name> = rotated.take(room).cloned().collect();
        if let Some(last) = chosen.last() {
            self.spread.urgent_end = last.clone();
        }
        chosen
    }

    /// Returns the next `count` members in the order of names.
    fn next_window(&mut self, count: usize) -> Vec<Name> {
        let after = (
            Bound::Excluded(self.spread.window_end.clone()),
            Bound::Unbounded,
        );
        let rest = self.members.range(after).map(|(name, _)| name);
        let window = rest.chain(self.members.keys()).take(count);
        let window: Vec<Name> = window.cloned().collect();
        if let Some(last) = window.last() {
            self.spread.window_end = last.clone();
        }
        window
    }

    /// Adds the beat of a member, and the suspicion against it.
    fn describe(&self, name: &Name, beats: &mut Vec<Beat>, suspicions: &mut Vec<Suspicion>) {
        let Some(m) = self.members.get(name) else {
            return;
        };
        beats.push(beat_of(&m.record, m.key));
        if let Verdict::Suspected { floor, .. } = m.verdict {
            suspicions.push(Suspicion { key: m.key, floor });
        }
    }

    /// Processes a peer's digest and returns the answer.
    pub fn receive_digest(&mut self, now: Now, from: &Name, digest: &MemberDigest) -> MemberDelta {
        self.detect_suspension(now);
        // A member that is alive hears of a suspicion against it before its call clears it here.
        let against = self.members.get(from).and_then(suspicion_of);
        self.record_contact(from, now);
        self.spread.observe(digest.summary);
        self.spread.entries += digest.beats.len() as u64;
        let mut delta = MemberDelta::default();
        let mut theirs: BTreeMap<u64, Beat> = BTreeMap::new();
        for beat in &digest.beats {
            theirs.insert(beat.key, *beat);
            let known = self.spread.name(beat.key).map(|name| self.record(name));
            match known {
                Some(record) if record.changed >= beat.changed => {}
                _ => delta.wants.push(beat.key),
            }
        }
        self.merge_beats(now, &digest.beats);
        self.merge_suspicions(&digest.suspicions);
        match digest.whole {
            true => self.answer_whole(&theirs, &mut delta),
            false => self.answer_part(&theirs, &mut delta),
        }
        delta.suspicions.extend(against);
        delta.summary = self.spread.summary;
        self.spread.entries += (delta.beats.len() + delta.records.len()) as u64;
        delta
    }

    /// Answers a digest of all members that the peer knows.
    fn answer_whole(&self, theirs: &BTreeMap<u64, Beat>, delta: &mut MemberDelta) {
        let own = std::iter::once((self.own_key(), &self.own));
        let others = self.members.values().map(|m| (m.key, &m.record));
        let records: Vec<(u64, &MemberRecord)> = own.chain(others).collect();
        // Rotate the start each round, so that a peer that lacks more records than fit in one
        // message does not receive the same first ones from every instance.
        let start = self.round as usize % records.len();
        let (head, tail) = records.split_at(start);
        for (key, record) in tail.iter().chain(head) {
            self.answer_member(theirs, *key, record, self.cfg.max_records, delta);
        }
        delta.suspicions = self.members.values().filter_map(suspicion_of).collect();
    }

    /// Answers a digest of some members: with what is newer of these, and with the members that this
    /// instance would list itself.
    fn answer_part(&mut self, theirs: &BTreeMap<u64, Beat>, delta: &mut MemberDelta) {
        self.answer_member(theirs, self.own_key(), &self.own, 1, delta);
        for name in theirs.keys().filter_map(|key| self.spread.name(*key)) {
            if let Some(m) = self.members.get(name) {
                self.answer_member(theirs, m.key, &m.record, self.cfg.max_records, delta);
                delta.suspicions.extend(suspicion_of(m));
            }
        }
        for name in self.listed_members(false) {
            let Some(m) = self.members.get(&name) else {
                continue;
            };
            if theirs.contains_key(&m.key) {
                continue;
            }
            delta.suspicions.extend(suspicion_of(m));
            if self.round < m.urgent_until && delta.records.len() < MAX_URGENT_RECORDS {
                delta.records.push(m.record.clone());
            } else {
                delta.beats.push(beat_of(&m.record, m.key));
            }
        }
    }

    /// Adds what a peer with the beats `theirs` lacks of a member. Of full records, the message has up
    /// to `max_records`.
    fn answer_member(
        &self,
        theirs: &BTreeMap<u64, Beat>,
        key: u64,
        record: &MemberRecord,
        max_records: usize,
        delta: &mut MemberDelta,
    ) {
        let beat = beat_of(record, key);
        match theirs.get(&key) {
            Some(b) if b.changed > beat.changed || b.heartbeat >= beat.heartbeat => {}
            Some(b) if b.changed == beat.changed => delta.beats.push(beat),
            _ if delta.records.len() < max_records => delta.records.push(record.clone()),
            _ => {}
        }
    }

    /// Processes the answer to a digest and returns the records that the sender asked for.
    pub fn receive_answer(
        &mut self,
        now: Now,
        from: &Name,
        delta: &MemberDelta,
    ) -> Option<MemberDelta> {
        self.spread.observe(delta.summary);
        self.receive_push(now, from, delta)
    }

    /// Processes a delta and returns the records that the sender asked for, if any.
    pub fn receive_push(
        &mut self,
        now: Now,
        from: &Name,
        delta: &MemberDelta,
    ) -> Option<MemberDelta> {
        self.detect_suspension(now);
        self.spread.entries += (delta.beats.len() + delta.records.len()) as u64;
        for record in &delta.records {
            self.merge_record(now, record);
        }
        self.record_contact(from, now);
        self.merge_beats(now, &delta.beats);
        self.merge_suspicions(&delta.suspicions);
        let wanted = delta.wants.iter().filter_map(|k| self.spread.name(*k));
        let records = wanted.map(|name| self.record(name).clone());
        let records: Vec<MemberRecord> = records.take(self.cfg.max_records).collect();
        (!records.is_empty()).then(|| MemberDelta {
            records,
            ..MemberDelta::default()
        })
    }

    fn record(&self, name: &Name) -> &MemberRecord {
        let member = self.members.get(name);
        member.map_or(&self.own, |m| &m.record)
    }

    fn merge_beats(&mut self, now: Now, beats: &[Beat]) {
        for beat in beats {
            let Some(m) = self
                .spread
                .name(beat.key)
                .and_then(|name| self.members.get(name))
            else {
                continue;
            };
            if beat.changed != m.record.changed || beat.heartbeat <= m.state().heartbeat {
                continue;
            }
            let mut record = m.record.clone();
            record.state.heartbeat = beat.heartbeat;
            record.state.in_flight = beat.in_flight;
            self.merge_record(now, &record);
        }
    }
}

fn suspicion_of(m: &Member) -> Option<Suspicion> {
    match m.verdict {
        Verdict::Suspected { floor, .. } => Some(Suspicion { key: m.key, floor }),
        Verdict::Alive | Verdict::Doubted(_) => None,
    }
}

fn beat_of(record: &MemberRecord, key: u64) -> Beat {
    let s = &record.state;
    Beat {
        key,
        heartbeat: s.heartbeat,
        changed: record.changed,
        in_flight: s.in_flight,
    }
}
