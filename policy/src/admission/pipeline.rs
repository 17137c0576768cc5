//! Admission state of one pipeline.

use super::dump::{PipelineDump, QueueDump};
use super::limit::{Limit, LimitConfig};
use super::queue::FairQueue;
use super::rate::DrainRate;
use super::retry_after::{self, Debt};
use super::{AdmissionConfig, CLASSES, Place, Seen, Slot, Ticket, class};
use crate::prelude::*;
use rand::Rng;
use std::collections::BTreeSet;

/// Admission state of one pipeline.
#[derive(Debug)]
pub(super) struct PipelineState {
    limit: Limit,
    rate: DrainRate,
    in_flight: u32,
    queues: [FairQueue; CLASSES],
    /// Waiting requests by the latest time at which they can start and meet their deadline.
    by_latest_start: BTreeSet<(Millis, Slot)>,
    debt: Debt,
}

impl PipelineState {
    pub(super) fn new(cfg: LimitConfig, now: Millis) -> Self {
        Self {
            limit: Limit::new(cfg, now),
            rate: DrainRate::new(now),
            in_flight: 0,
            queues: std::array::from_fn(|_| FairQueue::default()),
            by_latest_start: BTreeSet::new(),
            debt: Debt::default(),
        }
    }

    pub(super) fn set_bound(&mut self, now: Millis, tokens_per_s: f64, in_flight: u32) {
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
    pub(super) fn can_meet(&self, now: Millis, ticket: &Ticket, tokens: u32) -> bool {
        let left = ticket.deadline.saturating_sub(now) as f64;
        let wait = self.wait_ms(ticket, tokens);
        match wait > 0.0 {
            true => wait + self.service_ms(tokens) <= left,
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

    /// Puts a request in flight (`None`) or into the queue.
    pub(super) fn enter(&mut self, now: Millis, ticket: &Ticket, tokens: u32) -> Option<Place> {
        let class = class(ticket);
        let waits_before = self.queues[..=class].iter().any(|q| q.len() > 0);
        if self.is_free() && !waits_before {
            self.in_flight += 1;
            return None;
        }
        self.limit.reached();
        let service = self.service_ms(tokens) as Millis;
        let latest_start = ticket.deadline.saturating_sub(service).max(now);
        let number = self.queues[class].push(ticket, tokens, latest_start);
        self.by_latest_start.insert((latest_start, ticket.slot));
        Some(Place::Queued {
            number,
            latest_start,
        })
    }

    /// Takes the waiting request that goes on next, if one may.
    pub(super) fn next(&mut self) -> Option<Slot> {
        if !self.is_free() {
            return None;
        }
        let popped = self.queues.iter_mut().find_map(FairQueue::pop)?;
        self.by_latest_start
            .remove(&(popped.latest_start, popped.slot));
        self.in_flight += 1;
        Some(popped.slot)
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
    }

    /// Takes in a request that is over.
    pub(super) fn finished(&mut self, now: Millis, ticket: &Ticket, expected: u32, seen: Seen) {
        self.in_flight = self.in_flight.saturating_sub(1);
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
