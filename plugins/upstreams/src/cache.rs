//! Reads the cache events of runners, which serve the route plan as hints: they arrive late and
//! with gaps.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::route::PrefixCacheEvent;
use jacinthweir_policy::upstreams::Poll;
use jacinthweir_wire::runner::CacheEvent;

/// Position up to which the events of each runner were read.
#[derive(Default)]
struct Positions {
    by_runner: Mutex<BTreeMap<Name, Position>>,
}

#[derive(Clone, Copy, Default)]
struct Position {
    incarnation: u64,
    number: u64,
}

/// Reads the new events of a runner that has just answered a poll. A failure loses only hints.
pub(crate) async fn read(cx: &Kernel, poll: &Poll, incarnation: u64) {
    let positions = cx.plugin_state(Positions::default);
    let after = positions.after(&poll.name, incarnation);
    let events = match cx.runners.cache_events(poll.address, after).await {
        Ok(events) => events,
        Err(e) => return debug!("cache events of {} could not be read: {e}", poll.name),
    };
    let position = Position {
        incarnation,
        number: events.newest,
    };
    positions.set(&poll.name, position);
    let now = cx.clock.now();
    let mut router = cx.router();
    for event in &events.events {
        router.observe_cache(now, &cache_event(poll, incarnation, event));
    }
}

fn cache_event(poll: &Poll, incarnation: u64, event: &CacheEvent) -> PrefixCacheEvent {
    PrefixCacheEvent {
        runner: poll.name.clone(),
        incarnation,
        number: event.number,
        prefix: event.prefix,
        cached: event.cached,
    }
}

impl Positions {
    /// Returns the number after which the events of an incarnation are to be read.
    fn after(&self, runner: &Name, incarnation: u64) -> u64 {
        let by_runner = self.by_runner.lock();
        let by_runner = by_runner.unwrap_or_else(PoisonError::into_inner);
        let position = by_runner.get(runner).copied().unwrap_or_default();
        if position.incarnation == incarnation {
            position.number
        } else {
            0
        }
    }

    fn set(&self, runner: &Name, position: Position) {
        let by_runner = self.by_runner.lock();
        let mut by_runner = by_runner.unwrap_or_else(PoisonError::into_inner);
        by_runner.insert(runner.clone(), position);
    }
}
