//! Which requests may go on now, which wait, and which are refused at once.
//!
//! For each pipeline there is a limit in flight ([`limit`]), a drain rate in tokens a second
//! ([`rate`]) and, for each priority class, a fair queue of organisations ([`queue`]). Resumed
//! work has a class of its own before all others.
//!
//! - A request goes on at once if the pipeline is under its limit and nobody waits before it.
//! - Else it waits, but only if the queue before it drains in time for its deadline. The queue is
//!   thereby bounded by what can still be answered, and an organisation that floods fills its
//!   own part only: the wait is worked out from its own backlog and share.
//! - Else it is refused at once, with the time after which the backlog will have drained, spread
//!   so that the refused don't return together ([`retry_after`]).
//! - A waiting request is refused as soon as it can't meet its deadline any longer.
//!
//! Invariants: a slot is in flight, or queued, or unknown; the sums of queued tokens equal those
//! of the queued slots; an organisation's count is the number of its slots, queued or in flight.

mod dump;
mod estimate;
mod limit;
mod pipeline;
mod queue;
mod rate;
mod retry_after;
mod share;

pub use dump::{AdmissionDump, PipelineDump, QueueDump};
pub use limit::LimitConfig;
pub use share::{Demand, share_of};

use crate::prelude::*;
use crate::schema::OrgDecl;
use derive_more::Display;
use estimate::{Expected, TokenEstimates};
use pipeline::PipelineState;
use rand::Rng;
use std::collections::BTreeMap;

/// Number of a request within one instance; the caller gives each request a new one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("slot{_0}")]
pub struct Slot(pub u64);

/// Whether a request is new or goes on with an answer that has begun.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Work {
    /// Nothing of it ran.
    #[display("new")]
    New,
    /// The caller has a part of its answer: goes before all new work.
    #[display("resumed")]
    Resumed,
}

/// A request that asks to go on.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// Its number.
    pub slot: Slot,
    /// Organisation. The same organisation must keep its index while the [`Admission`] lives.
    pub org: OrgId,
    /// The organisation's share against others of the same priority; 0 counts as 1.
    pub weight: u32,
    /// Pipeline. The same pipeline must keep its index while the [`Admission`] lives.
    pub pipeline: PipelineId,
    /// Priority class: 0 first; above [`OrgDecl::LOWEST_PRIORITY`] counts as that.
    pub priority: u8,
    /// The most tokens it may cost; what it is expected to cost comes from what was seen.
    pub cost_tokens: u32,
    /// When its caller no longer waits, on the clock passed as `now`.
    pub deadline: Millis,
    /// New or resumed.
    pub work: Work,
}

/// What becomes of a request that asks to go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// It goes on now; [`Admission::release`] when it is over.
    Admit,
    /// It waits; [`Admission::poll`] says when it goes on or is refused.
    Queue,
    /// It is refused: "not run".
    Refuse(Refusal),
}

/// A refusal and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause.
    pub code: RefuseCode,
    /// When the caller should come back, in milliseconds.
    pub retry_after_ms: u64,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum RefuseCode {
    /// The organisation's own limit in flight is reached.
    OrganisationLimit,
    /// The queue before it does not drain in time for its deadline.
    Overloaded,
    /// The pipeline has no capacity at all.
    NoCapacity,
}

/// What became of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It goes on now.
    Admit(Slot),
    /// It is refused: "not run".
    Refuse {
        /// The request.
        slot: Slot,
        /// Cause and when to come back.
        refusal: Refusal,
    },
}

/// What was seen of a request that is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Time from its admission to its end, in milliseconds.
    pub latency_ms: u64,
    /// Tokens that it cost, prompt and answer; 0: nothing was learned (refused, cut off).
    pub tokens: u32,
}

/// Settings of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// How the limit in flight is corrected.
    pub limit: LimitConfig,
    /// Share of the places in flight that only organisations with less than an even part of them
    /// may take: with none free, a request that has nobody of its own before it would still wait
    /// until the flood of another gives a place back.
    pub headroom_share: f64,
    /// Tokens that a request is taken to cost before any was seen.
    pub first_estimate_tokens: u32,
    /// The most pairs of organisation and pipeline whose token estimate is kept.
    pub max_estimates: usize,
    /// The most requests waiting, over all pipelines: bounds memory.
    pub max_queued: usize,
    /// Shortest time to come back, in milliseconds.
    pub min_retry_after_ms: u64,
    /// Longest time to come back, in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            limit: LimitConfig::default(),
            headroom_share: 0.05,
            first_estimate_tokens: 256,
            max_estimates: 65_536,
            max_queued: 20_000,
            min_retry_after_ms: 100,
            max_retry_after_ms: 30_000,
        }
    }
}

/// Where a slot is.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    tokens: u32,
    place: Place,
}

#[derive(Clone, Copy, Debug)]
enum Place {
    Queued { number: u64, latest_start: Millis },
    InFlight,
}

/// Admission of one instance.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    estimates: TokenEstimates,
    pipelines: BTreeMap<PipelineId, PipelineState>,
    entries: BTreeMap<Slot, Entry>,
    queued: usize,
    in_system: BTreeMap<OrgId, u32>,
    shares: BTreeMap<OrgId, u32>,
    actions: Vec<Action>,
}

/// Number of priority classes: resumed work and those of the schema.
const CLASSES: usize = 2 + OrgDecl::LOWEST_PRIORITY as usize;

/// Class of a ticket: 0 is resumed work, then the priorities.
fn class(ticket: &Ticket) -> usize {
    match ticket.work {
        Work::Resumed => 0,
        Work::New => 1 + usize::from(ticket.priority.min(OrgDecl::LOWEST_PRIORITY)),
    }
}

impl Admission {
    /// Admission with no capacity yet: see [`Admission::set_capacity`].
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            estimates: TokenEstimates::new(cfg.first_estimate_tokens, cfg.max_estimates),
            pipelines: BTreeMap::new(),
            entries: BTreeMap::new(),
            queued: 0,
            in_system: BTreeMap::new(),
            shares: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Sets this instance's part of a pipeline's bound, in tokens a second and in requests in
    /// flight; the latter is corrected by what is seen. 0 in flight: no capacity. [`Self::poll`]
    /// is due afterwards.
    pub fn set_capacity(
        &mut self,
        now: Millis,
        pipeline: PipelineId,
        tokens_per_s: f64,
        in_flight: u32,
    ) {
        let cfg = self.cfg;
        self.pipelines
            .entry(pipeline)
            .or_insert_with(|| PipelineState::new(&cfg, now))
            .set_bound(now, tokens_per_s, in_flight);
    }

    /// Sets the most requests of an organisation in this instance, queued or in flight; `None`:
    /// no limit. See [`share_of`].
    pub fn set_share(&mut self, org: OrgId, most: Option<u32>) {
        match most {
            Some(most) => self.shares.insert(org, most),
            None => self.shares.remove(&org),
        };
    }

    /// A request asks to go on.
    pub fn offer(&mut self, now: Millis, ticket: Ticket, rng: &mut impl Rng) -> Decision {
        let expected = self.estimates.expect(ticket.org, ticket.pipeline);
        let expected = Expected {
            tokens: expected.tokens.min(ticket.cost_tokens).max(1),
            most: expected.most.min(ticket.cost_tokens).max(1),
        };
        match self.refusal(now, &ticket, expected) {
            Some(code) => Decision::Refuse(self.refuse(now, code, &ticket, expected.tokens, rng)),
            None => self.enter(now, ticket, expected),
        }
    }

    /// A request in flight is over. [`Self::poll`] is due afterwards.
    pub fn release(&mut self, now: Millis, slot: Slot, seen: Seen) {
        let Some(entry) = self.entries.get(&slot).copied() else {
            return;
        };
        if matches!(entry.place, Place::Queued { .. }) {
            return;
        }
        self.forget(slot, &entry);
        let ticket = entry.ticket;
        if let Some(pipeline) = self.pipelines.get_mut(&ticket.pipeline) {
            pipeline.finished(now, &ticket, entry.tokens, seen);
        }
        if seen.tokens > 0 {
            self.estimates
                .learn(ticket.org, ticket.pipeline, seen.tokens);
        }
    }

    /// The caller of a request left: it waits no longer, or it is no longer in flight, with
    /// nothing learned. [`Self::poll`] is due afterwards.
    pub fn cancel(&mut self, now: Millis, slot: Slot) {
        let Some(entry) = self.entries.get(&slot).copied() else {
            return;
        };
        match entry.place {
            Place::InFlight => self.release(now, slot, Seen::default()),
            Place::Queued { .. } => self.unqueue(slot, &entry),
        }
    }

    /// What is due: requests that go on, and waiting ones that can't meet their deadline.
    pub fn poll(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Action> {
        let pipelines: Vec<PipelineId> = self.pipelines.keys().copied().collect();
        for pipeline in pipelines {
            self.poll_pipeline(now, pipeline, rng);
        }
        std::mem::take(&mut self.actions)
    }

    /// When [`Self::poll`] is due next if nothing else happens before.
    pub fn next_poll(&self) -> Option<Millis> {
        self.pipelines
            .values()
            .filter_map(PipelineState::earliest_latest_start)
            .min()
    }

    /// Time until all that waits in a pipeline has drained, in milliseconds; `None`: it does not
    /// drain, as there is no capacity.
    pub fn drain_time(&self, pipeline: PipelineId) -> Option<Millis> {
        self.pipelines.get(&pipeline)?.drain_ms()
    }

    /// Number of requests of an organisation here, queued or in flight: its demand, for
    /// [`share_of`].
    pub fn in_system(&self, org: OrgId) -> u32 {
        self.in_system.get(&org).copied().unwrap_or(0)
    }

    /// Number of requests waiting.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.entries.len() - self.queued
    }

    /// State for operators.
    pub fn dump(&self) -> AdmissionDump {
        AdmissionDump {
            queued: self.queued,
            in_flight: self.in_flight(),
            estimates: self.estimates.len(),
            pipelines: self.pipelines.iter().map(|(id, p)| p.dump(*id)).collect(),
        }
    }

    /// Whether a ticket has to be refused, and why.
    fn refusal(&self, now: Millis, ticket: &Ticket, it: Expected) -> Option<RefuseCode> {
        let Some(pipeline) = self.pipelines.get(&ticket.pipeline) else {
            return Some(RefuseCode::NoCapacity);
        };
        if !pipeline.has_capacity() {
            return Some(RefuseCode::NoCapacity);
        }
        let over_share = self
            .shares
            .get(&ticket.org)
            .is_some_and(|most| self.in_system(ticket.org) >= *most);
        if over_share && ticket.work == Work::New {
            return Some(RefuseCode::OrganisationLimit);
        }
        let full = self.queued >= self.cfg.max_queued && !pipeline.is_free();
        let late = !pipeline.can_meet(now, ticket, it);
        (full || late).then_some(RefuseCode::Overloaded)
    }

    fn refuse(
        &mut self,
        now: Millis,
        code: RefuseCode,
        ticket: &Ticket,
        tokens: u32,
        rng: &mut impl Rng,
    ) -> Refusal {
        let cfg = &self.cfg;
        let retry_after_ms = match (code, self.pipelines.get_mut(&ticket.pipeline)) {
            (RefuseCode::NoCapacity, _) | (_, None) => retry_after::without_capacity(cfg, rng),
            (_, Some(pipeline)) => pipeline.retry_after_ms(now, ticket, tokens, cfg, rng),
        };
        Refusal {
            code,
            retry_after_ms,
        }
    }

    fn enter(&mut self, now: Millis, ticket: Ticket, expected: Expected) -> Decision {
        let slot = ticket.slot;
        if self.entries.contains_key(&slot) {
            // A slot offered twice would be counted twice and released once, and the pipeline
            // would lose a place in flight for good. The first one stands.
            return Decision::Queue;
        }
        let Some(pipeline) = self.pipelines.get_mut(&ticket.pipeline) else {
            return Decision::Queue;
        };
        *self.in_system.entry(ticket.org).or_default() += 1;
        let place = pipeline.enter(now, &ticket, expected);
        let entry = Entry {
            ticket,
            tokens: expected.tokens,
            place,
        };
        self.entries.insert(slot, entry);
        self.queued += 1;
        self.start_waiting(ticket.pipeline);
        match self.actions.pop_if(|a| *a == Action::Admit(slot)) {
            Some(_) => Decision::Admit,
            None => Decision::Queue,
        }
    }

    /// Puts in flight what may go on, and keeps the actions for the next poll.
    fn start_waiting(&mut self, id: PipelineId) {
        while let Some(slot) = self.pipelines.get_mut(&id).and_then(PipelineState::next) {
            self.queued -= 1;
            if let Some(entry) = self.entries.get_mut(&slot) {
                entry.place = Place::InFlight;
            }
            self.actions.push(Action::Admit(slot));
        }
    }

    fn poll_pipeline(&mut self, now: Millis, id: PipelineId, rng: &mut impl Rng) {
        let shrunk = self.pipelines.get_mut(&id);
        let out_of_reach = shrunk.map(|p| p.take_out_of_reach(now));
        for slot in out_of_reach.unwrap_or_default() {
            self.refuse_queued(now, slot, rng);
        }
        while let Some(slot) = self.pipelines.get(&id).and_then(|p| p.overdue(now)) {
            self.refuse_queued(now, slot, rng);
        }
        self.start_waiting(id);
    }

    fn refuse_queued(&mut self, now: Millis, slot: Slot, rng: &mut impl Rng) {
        let Some(entry) = self.entries.get(&slot).copied() else {
            return;
        };
        self.unqueue(slot, &entry);
        let ticket = entry.ticket;
        let code = match self.pipelines.get(&ticket.pipeline) {
            Some(pipeline) if pipeline.has_capacity() => RefuseCode::Overloaded,
            _ => RefuseCode::NoCapacity,
        };
        let refusal = self.refuse(now, code, &ticket, entry.tokens, rng);
        self.actions.push(Action::Refuse { slot, refusal });
    }

    fn unqueue(&mut self, slot: Slot, entry: &Entry) {
        let Place::Queued {
            number,
            latest_start,
        } = entry.place
        else {
            return;
        };
        if let Some(pipeline) = self.pipelines.get_mut(&entry.ticket.pipeline) {
            pipeline.remove(&entry.ticket, number, latest_start);
        }
        self.queued -= 1;
        self.forget(slot, entry);
    }

    fn forget(&mut self, slot: Slot, entry: &Entry) {
        self.entries.remove(&slot);
        let org = entry.ticket.org;
        let left = self.in_system(org).saturating_sub(1);
        match left {
            0 => self.in_system.remove(&org),
            _ => self.in_system.insert(org, left),
        };
    }
}
