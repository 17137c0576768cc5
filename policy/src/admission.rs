//! Admission control and load shedding: admits, queues or refuses requests.
//!
//! Each pipeline has a concurrency limit ([`limit`]), a drain rate in tokens per second ([`rate`])
//! and, for each priority class, a fair queue of organisations ([`queue`]). Resumed work has a
//! class of its own ahead of all others.
//!
//! - A request is admitted at once if the pipeline is below its limit and no request is queued
//!   ahead of it.
//! - Otherwise it is queued, but only if the queue ahead of it drains in time for its deadline.
//!   This bounds the queue to requests that can still be answered. An organisation that floods
//!   fills only its own part, as the wait is computed from its own backlog and share.
//! - Otherwise it is refused at once, with a retry time after which the backlog will have drained,
//!   spread so that refused callers don't return together ([`retry_after`]).
//! - A queued request is refused as soon as it can no longer meet its deadline.
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

/// Identifies a request within one instance; the user of this module never reuses one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("slot{_0}")]
pub struct Slot(pub u64);

/// Whether a request is new or resumes an answer that has started.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Work {
    /// Nothing of it has run.
    #[display("new")]
    New,
    /// The caller already has a part of its answer: takes precedence over all new work.
    #[display("resumed")]
    Resumed,
}

/// A request for admission.
#[derive(Clone, Copy, Debug)]
pub struct Ticket {
    /// Its slot.
    pub slot: Slot,
    /// Organisation. An organisation must keep its index for the lifetime of the [`Admission`].
    pub org: OrgId,
    /// Weight of the organisation against others of the same priority; 0 counts as 1.
    pub weight: u32,
    /// Pipeline. A pipeline must keep its index for the lifetime of the [`Admission`].
    pub pipeline: PipelineId,
    /// Priority class: 0 is served first; capped at [`OrgDecl::LOWEST_PRIORITY`].
    pub priority: u8,
    /// Upper bound of its cost in tokens; the expected cost is estimated from completed requests.
    pub cost_tokens: u32,
    /// Deadline of its caller, on the clock passed as `now`.
    pub deadline: Millis,
    /// New or resumed.
    pub work: Work,
}

/// Result of [`Admission::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Decision {
    /// Admitted; call [`Admission::release`] when it ends.
    Admit,
    /// Queued; [`Admission::poll`] later admits or refuses it.
    Queue,
    /// Refused: "not run".
    Refuse(Refusal),
}

/// Why a request is refused and when to retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Cause.
    pub code: RefuseCode,
    /// Delay after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum RefuseCode {
    /// The organisation has reached its own concurrency limit.
    OrganisationLimit,
    /// The queue ahead of it does not drain in time for its deadline.
    Overloaded,
    /// The pipeline has no capacity.
    NoCapacity,
}

/// What happened to a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Admitted.
    Admit(Slot),
    /// Refused: "not run".
    Refuse {
        /// The request.
        slot: Slot,
        /// Cause and retry time.
        refusal: Refusal,
    },
}

/// Measurements of a request that has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Measurement {
    /// Time from admission to the end, in milliseconds.
    pub latency_ms: u64,
    /// Tokens used by prompt and answer; 0 if there is no measurement (refused, cut off).
    pub tokens: u32,
}

/// Configuration of admission control.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionConfig {
    /// Adaptation of the concurrency limit.
    pub limit: LimitConfig,
    /// Share of the concurrency limit reserved for organisations with less than an even share of
    /// it. Without this headroom, the first request of an organisation would wait until a request
    /// of another, flooding organisation ends.
    pub headroom_share: f64,
    /// Estimated cost of a request in tokens before any has completed.
    pub initial_estimate_tokens: u32,
    /// Maximum number of pairs of organisation and pipeline with a token estimate of their own.
    pub max_estimates: usize,
    /// Maximum number of queued requests over all pipelines, to bound memory.
    pub max_queued: usize,
    /// Minimum retry delay, in milliseconds.
    pub min_retry_after_ms: u64,
    /// Maximum retry delay, in milliseconds.
    pub max_retry_after_ms: u64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            limit: LimitConfig::default(),
            headroom_share: 0.05,
            initial_estimate_tokens: 256,
            max_estimates: 65_536,
            max_queued: 20_000,
            min_retry_after_ms: 100,
            max_retry_after_ms: 30_000,
        }
    }
}

/// A request that is queued or in flight.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    tokens: u32,
    state: SlotState,
}

#[derive(Clone, Copy, Debug)]
enum SlotState {
    Queued { sequence: u64, latest_start: Millis },
    InFlight,
}

/// Admission control of one instance.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    estimates: TokenEstimates,
    pipelines: BTreeMap<PipelineId, PipelineState>,
    entries: BTreeMap<Slot, Entry>,
    queued: usize,
    in_system: BTreeMap<OrgId, u32>,
    org_limits: BTreeMap<OrgId, u32>,
    actions: Vec<Action>,
}

/// Number of priority classes: resumed work and the priorities of the schema.
const CLASSES: usize = 2 + OrgDecl::LOWEST_PRIORITY as usize;

/// Returns the priority class of a ticket: 0 for resumed work, then the priorities.
fn class(ticket: &Ticket) -> usize {
    match ticket.work {
        Work::Resumed => 0,
        Work::New => 1 + usize::from(ticket.priority.min(OrgDecl::LOWEST_PRIORITY)),
    }
}

impl Admission {
    /// Creates an instance without capacity; see [`Admission::set_capacity`].
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            estimates: TokenEstimates::new(cfg.initial_estimate_tokens, cfg.max_estimates),
            pipelines: BTreeMap::new(),
            entries: BTreeMap::new(),
            queued: 0,
            in_system: BTreeMap::new(),
            org_limits: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Sets this instance's share of a pipeline's capacity, in tokens per second and in requests
    /// in flight. Both are adapted to measurements; 0 in flight means no capacity. Call
    /// [`Self::poll`] afterwards.
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

    /// Sets the maximum number of an organisation's requests in this instance, queued or in
    /// flight; `None` removes the limit. See [`share_of`].
    pub fn set_share(&mut self, org: OrgId, max_requests: Option<u32>) {
        match max_requests {
            Some(max) => self.org_limits.insert(org, max),
            None => self.org_limits.remove(&org),
        };
    }

    /// Admits, queues or refuses a request.
    pub fn offer(&mut self, now: Millis, ticket: Ticket, rng: &mut impl Rng) -> Decision {
        let expected = self.estimates.expect(ticket.org, ticket.pipeline);
        let expected = Expected {
            tokens: expected.tokens.min(ticket.cost_tokens).max(1),
            upper_bound: expected.upper_bound.min(ticket.cost_tokens).max(1),
        };
        match self.refusal(now, &ticket, expected) {
            Some(code) => Decision::Refuse(self.refuse(now, code, &ticket, expected.tokens, rng)),
            None => self.enter(now, ticket, expected),
        }
    }

    /// Removes a request in flight that has ended. Call [`Self::poll`] afterwards.
    pub fn release(&mut self, now: Millis, slot: Slot, measurement: Measurement) {
        let Some(entry) = self.entries.get(&slot).copied() else {
            return;
        };
        if matches!(entry.state, SlotState::Queued { .. }) {
            return;
        }
        self.remove_entry(slot, &entry);
        let ticket = entry.ticket;
        if let Some(pipeline) = self.pipelines.get_mut(&ticket.pipeline) {
            pipeline.finished(now, &ticket, entry.tokens, measurement);
        }
        if measurement.tokens > 0 {
            self.estimates
                .record(ticket.org, ticket.pipeline, measurement.tokens);
        }
    }

    /// Removes a request whose caller disconnected, queued or in flight, without a measurement.
    /// Call [`Self::poll`] afterwards.
    pub fn cancel(&mut self, now: Millis, slot: Slot) {
        let Some(entry) = self.entries.get(&slot).copied() else {
            return;
        };
        match entry.state {
            SlotState::InFlight => self.release(now, slot, Measurement::default()),
            SlotState::Queued { .. } => self.dequeue(slot, &entry),
        }
    }

    /// Returns requests that are now admitted, and queued ones that can't meet their deadline.
    pub fn poll(&mut self, now: Millis, rng: &mut impl Rng) -> Vec<Action> {
        let pipelines: Vec<PipelineId> = self.pipelines.keys().copied().collect();
        for pipeline in pipelines {
            self.poll_pipeline(now, pipeline, rng);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when to call [`Self::poll`] next if nothing else happens before.
    pub fn next_poll(&self) -> Option<Millis> {
        self.pipelines
            .values()
            .filter_map(PipelineState::first_latest_start)
            .min()
    }

    /// Returns the time until a pipeline's queues have drained, in milliseconds; `None` without
    /// capacity.
    pub fn drain_time(&self, pipeline: PipelineId) -> Option<Millis> {
        self.pipelines.get(&pipeline)?.drain_ms()
    }

    /// Returns the number of an organisation's requests in this instance, queued or in flight: its
    /// demand, as [`share_of`] takes it.
    pub fn in_system(&self, org: OrgId) -> u32 {
        self.in_system.get(&org).copied().unwrap_or(0)
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.entries.len() - self.queued
    }

    /// Returns the state for operators.
    pub fn dump(&self) -> AdmissionDump {
        AdmissionDump {
            queued: self.queued,
            in_flight: self.in_flight(),
            estimates: self.estimates.len(),
            pipelines: self.pipelines.iter().map(|(id, p)| p.dump(*id)).collect(),
        }
    }

    /// Returns why a ticket has to be refused, if it has to.
    fn refusal(&self, now: Millis, ticket: &Ticket, expected: Expected) -> Option<RefuseCode> {
        let Some(pipeline) = self.pipelines.get(&ticket.pipeline) else {
            return Some(RefuseCode::NoCapacity);
        };
        if !pipeline.has_capacity() {
            return Some(RefuseCode::NoCapacity);
        }
        let over_limit = self
            .org_limits
            .get(&ticket.org)
            .is_some_and(|max| self.in_system(ticket.org) >= *max);
        if over_limit && ticket.work == Work::New {
            return Some(RefuseCode::OrganisationLimit);
        }
        let full = self.queued >= self.cfg.max_queued && !pipeline.is_free();
        let misses_deadline = !pipeline.can_meet(now, ticket, expected);
        (full || misses_deadline).then_some(RefuseCode::Overloaded)
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
            // A slot offered twice would be counted twice and released once, which would reduce
            // the pipeline's concurrency permanently. The first offer stays in effect.
            return Decision::Queue;
        }
        let Some(pipeline) = self.pipelines.get_mut(&ticket.pipeline) else {
            return Decision::Queue;
        };
        *self.in_system.entry(ticket.org).or_default() += 1;
        let state = pipeline.enter(now, &ticket, expected);
        let entry = Entry {
            ticket,
            tokens: expected.tokens,
            state,
        };
        self.entries.insert(slot, entry);
        self.queued += 1;
        self.start_queued(ticket.pipeline);
        match self.actions.pop_if(|a| *a == Action::Admit(slot)) {
            Some(_) => Decision::Admit,
            None => Decision::Queue,
        }
    }

    /// Starts the queued requests that may run, and keeps the actions for the next poll.
    fn start_queued(&mut self, id: PipelineId) {
        while let Some(slot) = self.pipelines.get_mut(&id).and_then(PipelineState::next) {
            self.queued -= 1;
            if let Some(entry) = self.entries.get_mut(&slot) {
                entry.state = SlotState::InFlight;
            }
            self.actions.push(Action::Admit(slot));
        }
    }

    fn poll_pipeline(&mut self, now: Millis, id: PipelineId, rng: &mut impl Rng) {
        let pipeline = self.pipelines.get_mut(&id);
        let infeasible = pipeline.map(|p| p.infeasible_after_decrease(now));
        for slot in infeasible.unwrap_or_default() {
            self.refuse_queued(now, slot, rng);
        }
        while let Some(slot) = self.pipelines.get(&id).and_then(|p| p.overdue(now)) {
            self.refuse_queued(now, slot, rng);
        }
        self.start_queued(id);
    }

    fn refuse_queued(&mut self, now: Millis, slot: Slot, rng: &mut impl Rng) {
        let Some(entry) = self.entries.get(&slot).copied() else {
            return;
        };
        self.dequeue(slot, &entry);
        let ticket = entry.ticket;
        let code = match self.pipelines.get(&ticket.pipeline) {
            Some(pipeline) if pipeline.has_capacity() => RefuseCode::Overloaded,
            _ => RefuseCode::NoCapacity,
        };
        let refusal = self.refuse(now, code, &ticket, entry.tokens, rng);
        self.actions.push(Action::Refuse { slot, refusal });
    }

    fn dequeue(&mut self, slot: Slot, entry: &Entry) {
        let SlotState::Queued {
            sequence,
            latest_start,
        } = entry.state
        else {
            return;
        };
        if let Some(pipeline) = self.pipelines.get_mut(&entry.ticket.pipeline) {
            pipeline.remove(&entry.ticket, sequence, latest_start);
        }
        self.queued -= 1;
        self.remove_entry(slot, entry);
    }

    fn remove_entry(&mut self, slot: Slot, entry: &Entry) {
        self.entries.remove(&slot);
        let org = entry.ticket.org;
        let remaining = self.in_system(org).saturating_sub(1);
        match remaining {
            0 => self.in_system.remove(&org),
            _ => self.in_system.insert(org, remaining),
        };
    }
}
