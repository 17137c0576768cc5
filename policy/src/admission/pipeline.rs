//! Admission state of one pipeline.

use super::dump::{PipelineDump, QueueDump};
use super::estimate::Expected;
use super::limit::Limit;
use super::queue::FairQueue;
use super::rate::DrainRate;
use super::retry_after::{self, Debt};
use super::{AdmissionConfig, CLASSES, Measurement, Slot, SlotState, Ticket, class};
use crate::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Number of one organisation's requests in a pipeline.
#[derive(Clone, Copy, Debug, Default)]
struct OrgLoad {
    in_flight: u32,
    queued: u32,
}

/// Admission state of one pipeline.
#[derive(Debug)]
pub(super) struct PipelineState {
    limit: Limit,
    rate: DrainRate,
    in_flight: u32,
    headroom_share: f64,
    /// Whether the drain rate decreased since queued requests were last checked.
    rate_decreased: bool,
    /// Load of each organisation that has queued requests or requests in flight.
    orgs: BTreeMap<OrgId, OrgLoad>,
    queues: [FairQueue; CLASSES],
    /// Queued requests by the latest time at which they can start and still meet their deadline.
    by_latest_start: BTreeSet<(Millis, Slot)>,
    debt: Debt,
}

impl PipelineState {
    pub(super) fn new(cfg: &AdmissionConfig, now: Millis) -> Self {
        Self {
            limit: Limit::new(cfg.limit, now),
            rate: DrainRate::new(now),
            in_flight: 0,
            headroom_share: cfg.headroom_share,
            rate_decreased: false,
            orgs: BTreeMap::new(),
            queues: std::array::from_fn(|_| FairQueue::default()),
            by_latest_start: BTreeSet::new(),
            debt: Debt::default(),
        }
    }

    pub(super) fn set_bound(&mut self, now: Millis, tokens_per_s: f64, in_flight: u32) {
        self.rate_decreased |= tokens_per_s < self.rate.get();
        self.limit.set_bound(in_flight);
        self.rate.set_bound(now, tokens_per_s);
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.limit.get() > 0 && self.rate.get() > 0.0
    }

    /// Whether the number of requests in flight is below the limit, regardless of the queues.
    pub(super) fn is_free(&self) -> bool {
        self.in_flight < self.limit.get()
    }

    /// Returns the time until all queues have drained, in milliseconds; `None` without capacity.
    pub(super) fn drain_ms(&self) -> Option<Millis> {
        let tokens: u64 = self.queues.iter().map(FairQueue::tokens).sum();
        self.has_capacity()
            .then(|| (tokens as f64 * 1_000.0 / self.rate.get()) as Millis)
    }

    /// Whether a ticket can meet its deadline behind the queue ahead of it.
    ///
    /// With an empty queue it is allowed whatever the estimate, as only requests that run can
    /// correct a wrong estimate.
    pub(super) fn can_meet(&self, now: Millis, ticket: &Ticket, expected: Expected) -> bool {
        let remaining = ticket.deadline.saturating_sub(now) as f64;
        let wait_ms = self.wait_ms(ticket, expected.tokens);
        match wait_ms > 0.0 {
            true => wait_ms + self.service_ms(expected.upper_bound) <= remaining,
            false => remaining > 0.0,
        }
    }

    /// Returns the retry delay of a ticket that is refused, in milliseconds.
    pub(super) fn retry_after_ms(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        tokens: u32,
        cfg: &AdmissionConfig,
        rng: &mut impl Rng,
    ) -> u64 {
        let wait_ms = self.wait_ms(ticket, tokens);
        let spread_ms = self.debt.add(now, tokens, self.rate.get());
        retry_after::spread(wait_ms, spread_ms, cfg, rng)
    }

    /// Queues a request; [`Self::next`] then selects the one to start.
    pub(super) fn enter(&mut self, now: Millis, ticket: &Ticket, expected: Expected) -> SlotState {
        if !self.is_free() {
            self.limit.note_reached();
        }
        let service = self.service_ms(expected.upper_bound) as Millis;
        let latest_start = ticket.deadline.saturating_sub(service).max(now);
        let sequence = self.queues[class(ticket)].push(ticket, expected.tokens, latest_start);
        self.by_latest_start.insert((latest_start, ticket.slot));
        self.orgs.entry(ticket.org).or_default().queued += 1;
        SlotState::Queued {
            sequence,
            latest_start,
        }
    }

    /// Removes the queued request that starts next, if one may: in the best non-empty class, that
    /// of the first eligible organisation.
    pub(super) fn next(&mut self) -> Option<Slot> {
        if !self.is_free() {
            return None;
        }
        let class = self.queues.iter().position(|q| q.len() > 0)?;
        let org = self.queues[class].first_eligible(|org| self.may_start(org))?;
        let popped = self.queues[class].pop(org)?;
        self.by_latest_start
            .remove(&(popped.latest_start, popped.slot));
        self.in_flight += 1;
        let load = self.orgs.entry(org).or_default();
        load.queued = load.queued.saturating_sub(1);
        load.in_flight += 1;
        Some(popped.slot)
    }

    /// Whether an organisation may start another request. Headroom is reserved for those with less
    /// than an even share of the limit.
    fn may_start(&self, org: OrgId) -> bool {
        let limit = self.limit.get();
        let headroom = (f64::from(limit) * self.headroom_share) as u32;
        if self.in_flight < limit.saturating_sub(headroom) {
            return true;
        }
        let in_flight = self.orgs.get(&org).map_or(0, |load| load.in_flight);
        let orgs = u32::try_from(self.orgs.len()).unwrap_or(u32::MAX);
        in_flight.saturating_mul(orgs) < limit
    }

    /// Returns queued requests that can't meet their deadlines any more since the rate decreased.
    ///
    /// They are to be refused at once, rather than when their deadlines have passed. Without any
    /// capacity they stay queued, as no drain time is known and capacity may return.
    pub(super) fn infeasible_after_decrease(&mut self, now: Millis) -> Vec<Slot> {
        if !std::mem::take(&mut self.rate_decreased) || !self.has_capacity() {
            return Vec::new();
        }
        let tokens_per_ms = self.rate.get() / 1_000.0;
        let mut tokens_ahead = 0;
        let mut slots = Vec::new();
        for queue in &self.queues {
            slots.extend(queue.infeasible(now, tokens_ahead, tokens_per_ms));
            tokens_ahead += queue.tokens();
        }
        slots
    }

    /// Returns a queued request whose latest start has passed.
    pub(super) fn overdue(&self, now: Millis) -> Option<Slot> {
        let (latest_start, slot) = self.by_latest_start.first()?;
        (*latest_start < now).then_some(*slot)
    }

    pub(super) fn first_latest_start(&self) -> Option<Millis> {
        self.by_latest_start.first().map(|(at, _)| at + 1)
    }

    /// Removes a request from the queue.
    pub(super) fn remove(&mut self, ticket: &Ticket, sequence: u64, latest_start: Millis) {
        self.queues[class(ticket)].remove(ticket.org, sequence);
        self.by_latest_start.remove(&(latest_start, ticket.slot));
        if let Some(load) = self.orgs.get_mut(&ticket.org) {
            load.queued = load.queued.saturating_sub(1);
        }
        self.remove_if_empty(ticket.org);
    }

    fn remove_if_empty(&mut self, org: OrgId) {
        let empty = |load: &OrgLoad| load.in_flight == 0 && load.queued == 0;
        if self.orgs.get(&org).is_some_and(empty) {
            self.orgs.remove(&org);
        }
    }

    /// Removes a request in flight that has ended and records its measurements.
    pub(super) fn finished(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        expected: u32,
        measurement: Measurement,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = self.orgs.get_mut(&ticket.org) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
        self.remove_if_empty(ticket.org);
        let others_queued = !self.by_latest_start.is_empty();
        self.rate.record(now, measurement.tokens, others_queued);
        if measurement.tokens == 0 {
            return;
        }
        self.limit.record(
            now,
            measurement.latency_ms as f64 / f64::from(measurement.tokens),
        );
        let excess = i64::from(measurement.tokens) - i64::from(expected);
        self.queues[class(ticket)].charge(ticket.org, excess);
    }

    pub(super) fn dump(&self, id: PipelineId) -> PipelineDump {
        PipelineDump {
            pipeline: id.to_string(),
            in_flight: self.in_flight,
            limit: self.limit.get(),
            tokens_per_s: self.rate.get(),
            ms_per_token: self.limit.ms_per_token(),
            drain_ms: self.drain_ms(),
            queues: self.dump_queues(),
        }
    }

    fn dump_queues(&self) -> Vec<QueueDump> {
        let class_name = |class: usize| match class.checked_sub(1) {
            None => "resumed".to_owned(),
            Some(priority) => priority.to_string(),
        };
        let non_empty = self.queues.iter().enumerate().filter(|(_, q)| q.len() > 0);
        non_empty
            .map(|(class, q)| QueueDump {
                class: class_name(class),
                queued: q.len(),
                tokens: q.tokens(),
                organisations: q.flows(),
            })
            .collect()
    }

    /// Returns the time before a new request would start, in milliseconds: that of better classes,
    /// and of its organisation's share of its own class.
    fn wait_ms(&self, ticket: &Ticket, tokens: u32) -> f64 {
        if self.is_free() && self.by_latest_start.is_empty() {
            return 0.0;
        }
        let class = class(ticket);
        let better: u64 = self.queues[..class].iter().map(FairQueue::tokens).sum();
        let own = self.queues[class].tokens_before(ticket.org, ticket.weight, tokens);
        (better as f64 + own) * 1_000.0 / self.rate.get()
    }

    /// Returns the time that a started request takes, in milliseconds; 0 without a measurement.
    fn service_ms(&self, tokens: u32) -> f64 {
        self.limit.ms_per_token().unwrap_or(0.0) * f64::from(tokens)
    }
}
