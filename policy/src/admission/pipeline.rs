//! Admission state of one pipeline.

use super::dump::{PipelineDump, QueueDump};
use super::estimate::Expected;
use super::limit::Limit;
use super::queue::FairQueue;
use super::rate::DrainRate;
use super::retry_after::{self, Debt};
use super::{AdmissionConfig, CLASSES, Place, Seen, Slot, Ticket, class};
use crate::prelude::*;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// What one organisation has in a pipeline.
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
    /// Whether the bound fell since waiting requests were last looked at.
    shrank: bool,
    /// What each organisation has here; those without anything are left out.
    orgs: BTreeMap<OrgId, OrgLoad>,
    queues: [FairQueue; CLASSES],
    /// Waiting requests by the latest time at which they can start and meet their deadline.
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
            shrank: false,
            orgs: BTreeMap::new(),
            queues: std::array::from_fn(|_| FairQueue::default()),
            by_latest_start: BTreeSet::new(),
            debt: Debt::default(),
        }
    }

    pub(super) fn set_bound(&mut self, now: Millis, tokens_per_s: f64, in_flight: u32) {
        self.shrank |= tokens_per_s < self.rate.get();
        self.limit.set_bound(in_flight);
        self.rate.set_bound(now, tokens_per_s);
    }

    pub(super) fn has_capacity(&self) -> bool {
        self.limit.get() > 0 && self.rate.get() > 0.0
    }

    /// Whether a request may go on now, apart from those waiting.
    pub(super) fn is_free(&self) -> bool {
        self.in_flight < self.limit.get()
    }

    /// Time until all that waits has drained, in milliseconds.
    pub(super) fn drain_ms(&self) -> Option<Millis> {
        let tokens: u64 = self.queues.iter().map(FairQueue::tokens).sum();
        self.has_capacity()
            .then(|| (tokens as f64 * 1_000.0 / self.rate.get()) as Millis)
    }

    /// Whether a ticket can meet its deadline behind what waits before it.
    ///
    /// With nothing before it, it may try whatever the estimate says: a wrong estimate is only
    /// ever corrected by requests that run.
    pub(super) fn can_meet(&self, now: Millis, ticket: &Ticket, it: Expected) -> bool {
        let left = ticket.deadline.saturating_sub(now) as f64;
        let wait = self.wait_ms(ticket, it.tokens);
        match wait > 0.0 {
            true => wait + self.service_ms(it.most) <= left,
            false => left > 0.0,
        }
    }

    /// Time to come back for a ticket that is refused, in milliseconds.
    pub(super) fn retry_after_ms(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        tokens: u32,
        cfg: &AdmissionConfig,
        rng: &mut impl Rng,
    ) -> u64 {
        let wait = self.wait_ms(ticket, tokens);
        let spread = self.debt.add(now, tokens, self.rate.get());
        retry_after::spread(wait, spread, cfg, rng)
    }

    /// Puts a request into the queue; [`Self::next`] says which goes on.
    pub(super) fn enter(&mut self, now: Millis, ticket: &Ticket, it: Expected) -> Place {
        if !self.is_free() {
            self.limit.reached();
        }
        let service = self.service_ms(it.most) as Millis;
        let latest_start = ticket.deadline.saturating_sub(service).max(now);
        let number = self.queues[class(ticket)].push(ticket, it.tokens, latest_start);
        self.by_latest_start.insert((latest_start, ticket.slot));
        self.orgs.entry(ticket.org).or_default().queued += 1;
        Place::Queued {
            number,
            latest_start,
        }
    }

    /// Takes the waiting request that goes on next, if one may: of the best class that waits, the
    /// first organisation that may take a place.
    pub(super) fn next(&mut self) -> Option<Slot> {
        if !self.is_free() {
            return None;
        }
        let class = self.queues.iter().position(|q| q.len() > 0)?;
        let org = self.queues[class].first_that(|org| self.may_take_place(org))?;
        let popped = self.queues[class].pop(org)?;
        self.by_latest_start
            .remove(&(popped.latest_start, popped.slot));
        self.in_flight += 1;
        let load = self.orgs.entry(org).or_default();
        load.queued = load.queued.saturating_sub(1);
        load.in_flight += 1;
        Some(popped.slot)
    }

    /// Whether a place is left for an organisation: the last ones are for those that have less
    /// than an even part.
    fn may_take_place(&self, org: OrgId) -> bool {
        let limit = self.limit.get();
        let headroom = (f64::from(limit) * self.headroom_share) as u32;
        if self.in_flight < limit.saturating_sub(headroom) {
            return true;
        }
        let has = self.orgs.get(&org).map_or(0, |load| load.in_flight);
        let orgs = u32::try_from(self.orgs.len()).unwrap_or(u32::MAX);
        has.saturating_mul(orgs) < limit
    }

    /// Waiting requests that a bound that fell has put out of reach of their deadlines. They are
    /// refused now: their callers would only wait in vain. Where nothing is left of the bound
    /// they stay, as no drain time is known and capacity may come back.
    pub(super) fn take_out_of_reach(&mut self, now: Millis) -> Vec<Slot> {
        if !std::mem::take(&mut self.shrank) || !self.has_capacity() {
            return Vec::new();
        }
        let tokens_per_ms = self.rate.get() / 1_000.0;
        let mut tokens_ahead = 0;
        let mut slots = Vec::new();
        for queue in &self.queues {
            slots.extend(queue.out_of_reach(now, tokens_ahead, tokens_per_ms));
            tokens_ahead += queue.tokens();
        }
        slots
    }

    /// A waiting request whose latest start is over.
    pub(super) fn overdue(&self, now: Millis) -> Option<Slot> {
        let (latest_start, slot) = self.by_latest_start.first()?;
        (*latest_start < now).then_some(*slot)
    }

    pub(super) fn earliest_latest_start(&self) -> Option<Millis> {
        self.by_latest_start.first().map(|(at, _)| at + 1)
    }

    /// Takes out a waiting request that waits no longer.
    pub(super) fn remove(&mut self, ticket: &Ticket, number: u64, latest_start: Millis) {
        self.queues[class(ticket)].remove(ticket.org, number);
        self.by_latest_start.remove(&(latest_start, ticket.slot));
        if let Some(load) = self.orgs.get_mut(&ticket.org) {
            load.queued = load.queued.saturating_sub(1);
        }
        self.drop_empty(ticket.org);
    }

    fn drop_empty(&mut self, org: OrgId) {
        let empty = |load: &OrgLoad| load.in_flight == 0 && load.queued == 0;
        if self.orgs.get(&org).is_some_and(empty) {
            self.orgs.remove(&org);
        }
    }

    /// Takes in a request that is over.
    pub(super) fn finished(&mut self, now: Millis, ticket: &Ticket, expected: u32, seen: Seen) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = self.orgs.get_mut(&ticket.org) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
        self.drop_empty(ticket.org);
        let others_wait = !self.by_latest_start.is_empty();
        self.rate.learn(now, seen.tokens, others_wait);
        if seen.tokens == 0 {
            return;
        }
        self.limit
            .learn(now, seen.latency_ms as f64 / f64::from(seen.tokens));
        let beyond = i64::from(seen.tokens) - i64::from(expected);
        self.queues[class(ticket)].charge(ticket.org, beyond);
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
        let waiting = self.queues.iter().enumerate().filter(|(_, q)| q.len() > 0);
        waiting
            .map(|(class, q)| QueueDump {
                class: class_name(class),
                queued: q.len(),
                tokens: q.tokens(),
                organisations: q.flows(),
            })
            .collect()
    }

    /// Time before a new request would start, in milliseconds: what waits in better classes, and
    /// its organisation's part of its own class.
    fn wait_ms(&self, ticket: &Ticket, tokens: u32) -> f64 {
        if self.is_free() && self.by_latest_start.is_empty() {
            return 0.0;
        }
        let class = class(ticket);
        let better: u64 = self.queues[..class].iter().map(FairQueue::tokens).sum();
        let own = self.queues[class].tokens_before(ticket.org, ticket.weight, tokens);
        (better as f64 + own) * 1_000.0 / self.rate.get()
    }

    /// Time that a request takes once it started, in milliseconds; 0 before any was seen.
    fn service_ms(&self, tokens: u32) -> f64 {
        self.limit.ms_per_token().unwrap_or(0.0) * f64::from(tokens)
    }
}
