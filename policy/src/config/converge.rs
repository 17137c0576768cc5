//! An instance's way to the newest configuration: `(now, event) -> actions`.
//!
//! The instance follows heads from the platform and from peers. A head that descends from what is
//! in force becomes the target; its parts are fetched by hash, and once all are held and verified
//! the schema comes into force. Invariants:
//!
//! - What is in force only ever moves to a descendant: stale and foreign heads are counted and
//!   otherwise ignored, wherever they come from.
//! - Nothing is in force before the instance could compare the platform's head with its peers',
//!   so that one that joins after the platform went back does not start from the older copy.
//! - A revision may be served by until [`Convergence::serve_until`]: the last time at which the
//!   platform or a majority of the known instances confirmed it, plus a set time.
//!
//! Confirmations count from the time at which they were *asked for*: an answer that lay in a
//! socket while the instance was frozen is as old as the question.

mod confirm;
mod fetch;
mod platform;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::lineage::{Relation, relation, validate_head};
use super::parts::{is_text_of, join};
use crate::head::{Head, PartRef};
use crate::schema::CompiledSchema;
use crate::time::{Millis, Name};
use fetch::Fetches;
use platform::PlatformView;
pub use types::{Action, Alarm, Applied, ConvergenceConfig, Counters, Event, PeerView, Source};

/// Alarms that are remembered as raised; beyond, they are raised again.
const MAX_RAISED: usize = 100;

/// The state machine.
#[derive(Debug)]
pub struct Convergence {
    cfg: ConvergenceConfig,
    started_at: Millis,
    in_force: Option<Arc<Applied>>,
    target: Option<Target>,
    held: BTreeMap<Name, Name>,
    fetches: Fetches,
    members: Vec<PeerView>,
    /// Other instances that a majority is counted from, see [`Convergence::set_members`].
    others: usize,
    platform: PlatformView,
    confirmed_at: Option<Millis>,
    unusable: BTreeSet<Name>,
    raised: BTreeSet<Alarm>,
    counters: Counters,
}

/// A head as it came in.
struct Heard {
    head: Arc<Head>,
    from: Source,
    /// When the platform was asked for it.
    asked_at: Option<Millis>,
}

/// A head whose parts are being fetched.
#[derive(Debug)]
struct Target {
    head: Arc<Head>,
    /// Where it was heard of first: the first source to ask for parts.
    from: Source,
    /// When it became the target.
    since: Millis,
    /// Whether it is known to be in force somewhere.
    told_by_peer: bool,
    /// When the newest answer of the platform that named it was asked for.
    platform_asked_at: Option<Millis>,
}

impl Convergence {
    /// A joining instance: nothing is in force.
    pub fn new(now: Millis, cfg: ConvergenceConfig) -> Self {
        Self {
            fetches: Fetches::new(cfg.own.clone()),
            cfg,
            started_at: now,
            in_force: None,
            target: None,
            held: BTreeMap::new(),
            members: Vec::new(),
            others: 0,
            platform: PlatformView::default(),
            confirmed_at: None,
            unusable: BTreeSet::new(),
            raised: BTreeSet::new(),
            counters: Counters::default(),
        }
    }

    /// Takes an event in and says what is to be done. Time must not run backwards.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::PlatformHead {
                head,
                version,
                asked_at,
            } => {
                self.platform.answered();
                self.platform_head(now, head, version, asked_at, &mut actions);
            }
            Event::PlatformFailed => self.platform.failed(),
            Event::PeerHead { peer, head } => {
                self.consider(
                    now,
                    Heard {
                        head,
                        from: Source::Peer(peer),
                        asked_at: None,
                    },
                    &mut actions,
                );
            }
            Event::Members(members) => self.set_members(now, members),
            Event::PartArrived { hash, text, from } => self.part(now, &hash, text, &from),
            Event::FetchFailed { hash, from } => {
                self.counters.fetches_failed += 1;
                self.fetches.failed(now, &hash, &from);
            }
            Event::Tick => {}
        }
        self.settle(now, &mut actions);
        actions
    }

    /// What is in force; absent: the instance is joining.
    pub fn in_force(&self) -> Option<&Arc<Applied>> {
        self.in_force.as_ref()
    }

    /// Revision that is being fetched.
    pub fn target(&self) -> Option<u64> {
        self.target.as_ref().map(|target| target.head.revision)
    }

    /// Revision that is being fetched, where a peer has it in force.
    pub fn target_in_force_at_peer(&self) -> Option<u64> {
        let told = self.target.as_ref().filter(|target| target.told_by_peer);
        told.map(|target| target.head.revision)
    }

    /// Time until which what is in force may be served by; 0: it may not.
    pub fn serve_until(&self) -> Millis {
        let Some(confirmed_at) = self.confirmed_at else {
            return 0;
        };
        if self.in_force.is_none() {
            0
        } else {
            confirmed_at + self.cfg.unconfirmed_ms
        }
    }

    /// Whether the last call to the platform succeeded.
    pub fn platform_reached(&self) -> bool {
        self.platform.is_reached()
    }

    /// The text of a part that is held.
    pub fn part_text(&self, hash: &str) -> Option<&Name> {
        self.held.get(hash)
    }

    /// Adds parts that this instance itself is about to commit, so that it need not fetch them.
    pub fn insert_part(&mut self, part: &PartRef, text: Name) {
        if is_text_of(part, &text) {
            self.held.insert(part.hash.clone(), text);
        }
    }

    /// Counts.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn platform_head(
        &mut self,
        now: Millis,
        head: Option<Arc<Head>>,
        version: u64,
        asked_at: Millis,
        actions: &mut Vec<Action>,
    ) {
        let found = match head {
            Some(head) => self.consider(
                now,
                Heard {
                    head,
                    from: Source::Platform,
                    asked_at: Some(asked_at),
                },
                actions,
            ),
            None => self.in_force.as_ref().map(|_| Relation::Ancestor),
        };
        match found {
            Some(Relation::Same) => {
                self.platform.agrees();
                self.confirm(asked_at);
            }
            Some(Relation::Ancestor) => self.behind(now, version, asked_at, actions),
            Some(Relation::Descendant | Relation::Foreign) | None => self.platform.agrees(),
        }
    }

    /// The platform shows an older head than the one in force. A single read may just be stale;
    /// one that stays is a platform restored from an older copy. The accepted head is then
    /// written back: the compare-and-set fails, without harm, if the older one does not stand.
    fn behind(&mut self, now: Millis, version: u64, asked_at: Millis, actions: &mut Vec<Action>) {
        let Some(applied) = &self.in_force else {
            return;
        };
        if !self
            .platform
            .behind(now, version, asked_at, self.cfg.rollback_confirm_ms)
        {
            return;
        }
        let head = applied.head.clone();
        self.counters.heads_went_back += 1;
        self.raise(
            Alarm::HeadRolledBack {
                in_force: head.revision,
            },
            actions,
        );
        actions.push(Action::Republish {
            head,
            over: version,
        });
    }

    /// How a head stands to what is in force; a descendant may become the target.
    fn consider(
        &mut self,
        now: Millis,
        heard: Heard,
        actions: &mut Vec<Action>,
    ) -> Option<Relation> {
        if validate_head(&heard.head).is_err() {
            self.counters.heads_malformed += 1;
            return None;
        }
        if self.unusable.contains(&heard.head.history[0].content) {
            return None;
        }
        let found = match &self.in_force {
            Some(applied) => relation(&applied.head, &heard.head),
            None => Relation::Descendant,
        };
        match found {
            Relation::Same => {}
            Relation::Ancestor => self.counters.heads_stale += 1,
            Relation::Foreign => self.foreign(&heard.head, actions),
            Relation::Descendant => self.retarget(now, heard, actions),
        }
        Some(found)
    }

    fn foreign(&mut self, head: &Head, actions: &mut Vec<Action>) {
        self.counters.heads_foreign += 1;
        let change = head.history[0].change.clone();
        self.raise(
            Alarm::HeadForeign {
                revision: head.revision,
                change,
            },
            actions,
        );
    }

    fn retarget(&mut self, now: Millis, heard: Heard, actions: &mut Vec<Action>) {
        let Some(target) = &mut self.target else {
            return self.aim(now, heard);
        };
        let told_by_peer = heard.from != Source::Platform;
        match relation(&target.head, &heard.head) {
            Relation::Same => {
                target.told_by_peer |= told_by_peer;
                target.platform_asked_at = target.platform_asked_at.max(heard.asked_at);
            }
            Relation::Ancestor => self.counters.heads_stale += 1,
            Relation::Descendant => self.aim(now, heard),
            // Neither is in force here, but a peer names only what is in force there: of two
            // histories the fleet's stays, not the one a restored platform was given since.
            Relation::Foreign => {
                let replaces = told_by_peer && !target.told_by_peer;
                self.foreign(&heard.head, actions);
                if replaces {
                    self.aim(now, heard);
                }
            }
        }
    }

    fn aim(&mut self, now: Millis, heard: Heard) {
        let parts = heard.head.parts.iter();
        self.fetches
            .want(parts.filter(|part| !self.held.contains_key(&part.hash)));
        self.target = Some(Target {
            told_by_peer: heard.from != Source::Platform,
            head: heard.head,
            from: heard.from,
            since: now,
            platform_asked_at: heard.asked_at,
        });
    }

    fn part(&mut self, now: Millis, hash: &Name, text: Name, from: &Source) {
        let Some(part) = self.fetches.wanted(hash) else {
            return;
        };
        if is_text_of(part, &text) {
            self.fetches.arrived(hash);
            self.held.insert(hash.clone(), text);
        } else {
            self.counters.parts_refused += 1;
            self.fetches.failed(now, hash, from);
        }
    }

    /// Does what has become possible: confirm, put in force, fetch.
    fn settle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(target) = &self.target {
            let complete = target
                .head
                .parts
                .iter()
                .all(|p| self.held.contains_key(&p.hash));
            if complete && self.may_start(now, target) {
                self.put_in_force(actions);
            }
        }
        if let Some(heard_at) = self.majority_heard_at(now) {
            self.confirm(heard_at);
        }
        if let Some(target) = &self.target {
            let told_by = target.from.clone();
            let holders = self.holders(target.head.revision);
            self.fetches.start(now, &told_by, &holders, actions);
        }
    }

    fn put_in_force(&mut self, actions: &mut Vec<Action>) {
        let Some(target) = self.target.take() else {
            return;
        };
        let text_of = |hash: &str| self.held.get(hash).map(|text| &**text);
        let joined = join(&target.head.parts, text_of).map_err(|e| e.to_string());
        let compiled = joined.and_then(|schema| {
            CompiledSchema::compile(Arc::new(schema)).map_err(|findings| findings[0].to_string())
        });
        match compiled {
            Ok(schema) => self.apply(target, Arc::new(schema), actions),
            Err(cause) => self.refuse(&target.head, cause, actions),
        }
    }

    fn apply(&mut self, target: Target, schema: Arc<CompiledSchema>, actions: &mut Vec<Action>) {
        let applied = Arc::new(Applied {
            head: target.head,
            schema,
        });
        self.held
            .retain(|hash, _| applied.head.parts.iter().any(|part| part.hash == *hash));
        self.counters.put_in_force += 1;
        self.in_force = Some(applied.clone());
        if let Some(asked_at) = target.platform_asked_at {
            self.confirm(asked_at);
        }
        actions.push(Action::PutInForce(applied));
    }

    /// A committed schema that does not verify here was written by a newer release. The instance
    /// stays with what it has and asks no further: trying again would give the same.
    fn refuse(&mut self, head: &Head, cause: String, actions: &mut Vec<Action>) {
        self.counters.heads_unusable += 1;
        self.unusable.insert(head.history[0].content.clone());
        self.raise(
            Alarm::HeadUnusable {
                revision: head.revision,
                cause,
            },
            actions,
        );
    }

    fn raise(&mut self, alarm: Alarm, actions: &mut Vec<Action>) {
        if self.raised.len() == MAX_RAISED {
            self.raised.clear();
        }
        if self.raised.insert(alarm.clone()) {
            actions.push(Action::Raise(alarm));
        }
    }
}
