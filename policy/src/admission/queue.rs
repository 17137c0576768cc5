//! Fair queue of one priority class: start-time fair queueing by organisation.
//!
//! Each organisation with waiting requests is a flow with a start tag, in virtual tokens; the flow
//! with the least tag is served next, and its tag then grows by the request's tokens divided by
//! the organisation's weight. Virtual time is the tag of the last flow served; a flow that comes
//! back starts there, so that idling earns nothing. One operation costs O(log n) in the number
//! of flows.

use super::{Slot, Ticket};
use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Virtual time units per token at weight 1.
const UNITS_PER_TOKEN: u64 = 1 << 16;

/// Organisations that are looked at for the next place.
const MOST_LOOKS: usize = 32;

/// One waiting request.
#[derive(Clone, Copy, Debug)]
struct Item {
    slot: Slot,
    tokens: u32,
    latest_start: Millis,
}

/// One organisation's waiting requests.
#[derive(Debug, Default)]
struct Flow {
    weight: u32,
    /// Start tag of the first item, or of the next one where nothing waits.
    tag: u64,
    items: BTreeMap<u64, Item>,
    tokens: u64,
}

/// What the queue gave out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Popped {
    pub(super) slot: Slot,
    pub(super) latest_start: Millis,
}

/// Fair queue of one priority class.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    virtual_time: u64,
    flows: BTreeMap<OrgId, Flow>,
    /// Flows with waiting requests by tag.
    ready: BTreeSet<(u64, OrgId)>,
    /// Flows without, whose tag lies ahead of virtual time, by tag.
    idle: BTreeSet<(u64, OrgId)>,
    tokens: u64,
    weight: u64,
    len: usize,
    next_number: u64,
}

impl FairQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Tokens of all waiting requests.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Number of organisations with waiting requests.
    pub(super) fn flows(&self) -> usize {
        self.ready.len()
    }

    /// Tokens that are served before a new request of an organisation would be over, itself
    /// counted, if every other waiting organisation uses its share meanwhile.
    pub(super) fn tokens_before(&self, org: OrgId, weight: u32, tokens: u32) -> f64 {
        let flow = self.flows.get(&org);
        let own = flow.map_or(0, |f| f.tokens) + u64::from(tokens);
        let waits = flow.is_some_and(|f| !f.items.is_empty());
        let weight = u64::from(weight.max(1));
        let all_weights = self.weight + if waits { 0 } else { weight };
        let by_share = own as f64 * all_weights as f64 / weight as f64;
        let by_all = (self.tokens + u64::from(tokens)) as f64;
        by_share.min(by_all)
    }

    /// Puts a request at the end of its organisation's flow; gives its number there.
    pub(super) fn push(&mut self, ticket: &Ticket, tokens: u32, latest_start: Millis) -> u64 {
        let org = ticket.org;
        let number = self.next_number;
        self.next_number += 1;
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(org).or_default();
        if flow.items.is_empty() {
            self.idle.remove(&(flow.tag, org));
            flow.tag = flow.tag.max(virtual_time);
            flow.weight = ticket.weight.max(1);
            self.weight += u64::from(flow.weight);
            self.ready.insert((flow.tag, org));
        }
        let item = Item {
            slot: ticket.slot,
            tokens,
            latest_start,
        };
        flow.items.insert(number, item);
        flow.tokens += u64::from(tokens);
        self.tokens += u64::from(tokens);
        self.len += 1;
        number
    }

    /// The organisation that is served next of those that `may` be served. Looks at a few only:
    /// one that may not holds more than its part, and there are never many of those.
    pub(super) fn first_that(&self, may: impl Fn(OrgId) -> bool) -> Option<OrgId> {
        let first = self.ready.iter().take(MOST_LOOKS);
        first.map(|(_, org)| *org).find(|org| may(*org))
    }

    /// Takes the oldest request of an organisation.
    pub(super) fn pop(&mut self, org: OrgId) -> Option<Popped> {
        let flow = self.flows.get(&org)?;
        let number = *flow.items.keys().next()?;
        self.virtual_time = self.virtual_time.max(flow.tag);
        let item = self.take(org, number)?;
        self.charge(org, i64::from(item.tokens));
        self.drop_idle();
        Some(Popped {
            slot: item.slot,
            latest_start: item.latest_start,
        })
    }

    /// Requests that can't start in time any longer when tokens drain at `tokens_per_ms` and
    /// `tokens_ahead` of better classes go first: of each organisation the newest ones, until the
    /// rest is short enough. In the order of organisations.
    pub(super) fn out_of_reach(
        &self,
        now: Millis,
        tokens_ahead: u64,
        tokens_per_ms: f64,
    ) -> Vec<Slot> {
        let mut slots = Vec::new();
        for flow in self.flows.values() {
            let mut own = flow.tokens;
            for item in flow.items.values().rev() {
                let by_share = own as f64 * self.weight as f64 / f64::from(flow.weight.max(1));
                let before = by_share.min(self.tokens as f64) - f64::from(item.tokens);
                let start = now as f64 + (tokens_ahead as f64 + before) / tokens_per_ms;
                if start <= item.latest_start as f64 {
                    break;
                }
                slots.push(item.slot);
                own -= u64::from(item.tokens);
            }
        }
        slots
    }

    /// Takes out a request that waits no longer; it costs its organisation nothing.
    pub(super) fn remove(&mut self, org: OrgId, number: u64) {
        self.take(org, number);
        self.drop_idle();
    }

    /// Moves an organisation's tag by tokens that it used beyond (or below) the estimate.
    pub(super) fn charge(&mut self, org: OrgId, tokens: i64) {
        let Some(flow) = self.flows.get_mut(&org) else {
            return;
        };
        let waits = !flow.items.is_empty();
        let set = if waits {
            &mut self.ready
        } else {
            &mut self.idle
        };
        set.remove(&(flow.tag, org));
        let units = tokens.unsigned_abs() * UNITS_PER_TOKEN / u64::from(flow.weight.max(1));
        flow.tag = match tokens >= 0 {
            true => flow.tag.saturating_add(units),
            false => flow.tag.saturating_sub(units).max(self.virtual_time),
        };
        set.insert((flow.tag, org));
    }

    fn take(&mut self, org: OrgId, number: u64) -> Option<Item> {
        let flow = self.flows.get_mut(&org)?;
        let item = flow.items.remove(&number)?;
        flow.tokens -= u64::from(item.tokens);
        self.tokens -= u64::from(item.tokens);
        self.len -= 1;
        if flow.items.is_empty() {
            self.ready.remove(&(flow.tag, org));
            self.idle.insert((flow.tag, org));
            self.weight -= u64::from(flow.weight);
        }
        Some(item)
    }

    /// Forgets idle flows that virtual time has reached. With nothing waiting all are forgotten:
    /// a busy period is over, and who was served in it has no debt in the next.
    fn drop_idle(&mut self) {
        while let Some((tag, org)) = self.idle.first().copied() {
            if tag > self.virtual_time && self.len > 0 {
                break;
            }
            self.idle.pop_first();
            self.flows.remove(&org);
        }
    }
}
