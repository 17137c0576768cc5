//! State machine that moves an instance to the newest configuration: `(now, event) -> actions`.
//!
//! The instance follows heads from the platform and from peers. A head that descends from the one
//! in force becomes the target. Its parts are fetched by hash, and once all of them are present and
//! verified, the schema comes into force. Invariants:
//!
//! - The revision in force only moves to a descendant. Stale and foreign heads are counted and
//!   otherwise ignored, whatever their source.
//! - Nothing comes into force before the platform's head could be compared with those of the peers,
//!   so an instance that joins after a rollback of the platform does not start from the older copy.
//! - A revision may be served until [`Convergence::serve_until`]: the time of the last confirmation
//!   by the platform or by a majority of the known instances, plus a configured duration.
//!
//! A confirmation counts from the time at which it was *requested*, because an answer may have
//! waited in a socket buffer while the instance was suspended.

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

/// Maximum number of alarms remembered for deduplication; at the limit all are forgotten and may be
/// raised again.
const MAX_RAISED_ALARMS: usize = 100;

/// The convergence state machine of one instance.
#[derive(Debug)]
pub struct Convergence {
    cfg: ConvergenceConfig,
    started_at: Millis,
    in_force: Option<Arc<Applied>>,
    target: Option<Target>,
    held: BTreeMap<Name, Name>,
    fetches: Fetches,
    members: Vec<PeerView>,
    /// Number of other instances used to compute a majority; see [`Convergence::set_members`].
    others: usize,
    platform: PlatformView,
    confirmed_at: Option<Millis>,
    unusable: BTreeSet<Name>,
    raised: BTreeSet<Alarm>,
    counters: Counters,
}

/// A received head with its source.
struct ReceivedHead {
    head: Arc<Head>,
    from: Source,
    /// Time at which the platform was asked for it.
    asked_at: Option<Millis>,
}

/// A head whose parts are being fetched.
#[derive(Debug)]
struct Target {
    head: Arc<Head>,
    /// Source that first announced it, which is asked for parts first.
    from: Source,
    /// Time at which it became the target.
    since: Millis,
    /// Whether a peer has it in force.
    in_force_at_peer: bool,
    /// Request time of the newest platform answer that contained it.
    platform_asked_at: Option<Millis>,
}

impl Convergence {
    /// Creates the state of a joining instance, with nothing in force.
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

    /// Handles an event and returns the actions to carry out. `now` must not decrease.
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
                self.evaluate_head(
                    now,
                    ReceivedHead {
                        head,
                        from: Source::Peer(peer),
                        asked_at: None,
                    },
                    &mut actions,
                );
            }
            Event::Members(members) => self.set_members(now, members),
            Event::PartArrived { hash, text, from } => self.part_arrived(now, &hash, text, &from),
            Event::FetchFailed { hash, from } => {
                self.counters.fetches_failed += 1;
                self.fetches.failed(now, &hash, &from);
            }
            Event::Tick => {}
        }
        self.advance(now, &mut actions);
        actions
    }

    /// Returns the revision in force, or `None` while the instance is joining.
    pub fn in_force(&self) -> Option<&Arc<Applied>> {
        self.in_force.as_ref()
    }

    /// Returns the revision being fetched.
    pub fn target(&self) -> Option<u64> {
        self.target.as_ref().map(|target| target.head.revision)
    }

    /// Returns the revision being fetched, if a peer has it in force.
    pub fn target_in_force_at_peer(&self) -> Option<u64> {
        let at_peer = self
            .target
            .as_ref()
            .filter(|target| target.in_force_at_peer);
        at_peer.map(|target| target.head.revision)
    }

    /// Returns the time until which the revision in force may be served; 0 if it may not be served.
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

    /// Returns whether the last call to the platform succeeded.
    pub fn platform_reached(&self) -> bool {
        self.platform.is_reached()
    }

    /// Returns the text of a part that this instance holds.
    pub fn part_text(&self, hash: &str) -> Option<&Name> {
        self.held.get(hash)
    }

    /// Inserts a part that this instance is about to commit, so that it does not need to fetch it.
    pub fn insert_part(&mut self, part: &PartRef, text: Name) {
        if is_text_of(part, &text) {
            self.held.insert(part.hash.clone(), text);
        }
    }

    /// Returns the counters.
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
            Some(head) => self.evaluate_head(
                now,
                ReceivedHead {
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
            Some(Relation::Ancestor) => self.platform_behind(now, version, asked_at, actions),
            Some(Relation::Descendant | Relation::Foreign) | None => self.platform.agrees(),
        }
    }

    /// Handles a platform head older than the one in force.
    ///
    /// A single such read may be stale, but if the older head persists, the platform was restored
    /// from an older copy. The accepted head is then written back by compare-and-set, which fails
    /// harmlessly if the older head is no longer current.
    fn platform_behind(
        &mut self,
        now: Millis,
        version: u64,
        asked_at: Millis,
        actions: &mut Vec<Action>,
    ) {
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

    /// Returns the relation of a head to the one in force; a descendant may become the target.
    fn evaluate_head(
        &mut self,
        now: Millis,
        received: ReceivedHead,
        actions: &mut Vec<Action>,
    ) -> Option<Relation> {
        if validate_head(&received.head).is_err() {
            self.counters.heads_malformed += 1;
            return None;
        }
        if self.unusable.contains(&received.head.history[0].content) {
            return None;
        }
        let found = match &self.in_force {
            Some(applied) => relation(&applied.head, &received.head),
            None => Relation::Descendant,
        };
        match found {
            Relation::Same => {}
            Relation::Ancestor => self.counters.heads_stale += 1,
            Relation::Foreign => self.reject_foreign(&received.head, actions),
            Relation::Descendant => self.update_target(now, received, actions),
        }
        Some(found)
    }

    fn reject_foreign(&mut self, head: &Head, actions: &mut Vec<Action>) {
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

    fn update_target(&mut self, now: Millis, received: ReceivedHead, actions: &mut Vec<Action>) {
        let Some(target) = &mut self.target else {
            return self.set_target(now, received);
        };
        let in_force_at_peer = received.from != Source::Platform;
        match relation(&target.head, &received.head) {
            Relation::Same => {
                target.in_force_at_peer |= in_force_at_peer;
                target.platform_asked_at = target.platform_asked_at.max(received.asked_at);
            }
            Relation::Ancestor => self.counters.heads_stale += 1,
            Relation::Descendant => self.set_target(now, received),
            // Neither head is in force here, but a peer announces only a head that it has in force.
            // Of two diverged histories, the fleet's is kept rather than one that was written to a
            // restored platform.
            Relation::Foreign => {
                let replaces = in_force_at_peer && !target.in_force_at_peer;
                self.reject_foreign(&received.head, actions);
                if replaces {
                    self.set_target(now, received);
                }
            }
        }
    }

    fn set_target(&mut self, now: Millis, received: ReceivedHead) {
        let parts = received.head.parts.iter();
        self.fetches
            .replace_pending(parts.filter(|part| !self.held.contains_key(&part.hash)));
        self.target = Some(Target {
            in_force_at_peer: received.from != Source::Platform,
            head: received.head,
            from: received.from,
            since: now,
            platform_asked_at: received.asked_at,
        });
    }

    fn part_arrived(&mut self, now: Millis, hash: &Name, text: Name, from: &Source) {
        let Some(part) = self.fetches.pending(hash) else {
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

    /// Performs the steps that have become possible: put in force, confirm, fetch.
    fn advance(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if let Some(target) = &self.target {
            let complete = target
                .head
                .parts
                .iter()
                .all(|p| self.held.contains_key(&p.hash));
            if complete && self.may_put_in_force(now, target) {
                self.put_in_force(actions);
            }
        }
        if let Some(majority_at) = self.majority_confirmed_at(now) {
            self.confirm(majority_at);
        }
        if let Some(target) = &self.target {
            let announced_by = target.from.clone();
            let holders = self.holders(target.head.revision);
            self.fetches.start(now, &announced_by, &holders, actions);
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
            Err(cause) => self.reject_unusable(&target.head, cause, actions),
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

    /// Rejects a committed schema that this release cannot use, as it was written by a newer one.
    /// The instance keeps its current revision and does not retry, since the result would be the
    /// same.
    fn reject_unusable(&mut self, head: &Head, cause: String, actions: &mut Vec<Action>) {
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
        if self.raised.len() == MAX_RAISED_ALARMS {
            self.raised.clear();
        }
        if self.raised.insert(alarm.clone()) {
            actions.push(Action::Raise(alarm));
        }
    }
}
