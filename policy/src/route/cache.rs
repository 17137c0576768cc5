//! Index of the prompt prefixes that the runners have reported as cached.
//!
//! Cache events arrive late and with gaps, so entries are hints without any guarantee. A gap
//! invalidates all hints of the runner: the lost events may include an eviction, and a wrong hint
//! would keep routing requests to a runner that has to prefill them.
//!
//! Hints are invalidated by advancing the runner's epoch. Entries of older epochs are removed once
//! they outnumber the live ones, so a gap is cheap and memory stays within twice the live entries.

use super::records::PrefixCacheEvent;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use std::collections::BTreeMap;

/// Maximum number of prefixes indexed per runner; further ones are ignored.
const MAX_PREFIXES_PER_RUNNER: u32 = 512;

/// Cached-prefix hints of all runners.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    entries: BTreeMap<(u64, RunnerId), u32>,
    runners: SecondaryMap<RunnerId, EventState>,
}

/// Event sequence state of one runner.
#[derive(Clone, Copy, Debug, Default)]
struct EventState {
    newest_event: u64,
    epoch: u32,
    live: u32,
    gaps: u64,
}

impl CacheIndex {
    /// Applies a cache event of runner `id`; duplicates and late events have no effect.
    pub fn observe(&mut self, id: RunnerId, event: &PrefixCacheEvent) {
        let newest_event = self.runners[id].newest_event;
        if event.number <= newest_event {
            return;
        }
        if newest_event != 0 && event.number != newest_event + 1 {
            self.runners[id].gaps += 1;
            self.invalidate(id);
        }
        let runner = &mut self.runners[id];
        runner.newest_event = event.number;
        let key = (event.prefix, id);
        let known = self.entries.get(&key) == Some(&runner.epoch);
        if known && !event.cached {
            self.entries.remove(&key);
            runner.live -= 1;
        } else if !known && event.cached && runner.live < MAX_PREFIXES_PER_RUNNER {
            self.entries.insert(key, runner.epoch);
            runner.live += 1;
        }
    }

    /// Resets a runner whose new incarnation has an empty cache and restarts its event numbers.
    pub fn reset(&mut self, id: RunnerId) {
        self.invalidate(id);
        self.runners[id].newest_event = 0;
    }

    fn invalidate(&mut self, id: RunnerId) {
        let runner = &mut self.runners[id];
        runner.epoch = runner.epoch.wrapping_add(1);
        runner.live = 0;
        let live: usize = self.runners.values().map(|r| r.live as usize).sum();
        if live * 2 < self.entries.len() {
            let runners = &self.runners;
            self.entries
                .retain(|(_, id), epoch| runners[*id].epoch == *epoch);
        }
    }

    /// Returns whether the runner last reported the prefix as cached.
    pub fn has(&self, id: RunnerId, prefix: u64) -> bool {
        self.entries.get(&(prefix, id)) == Some(&self.runners[id].epoch)
    }

    /// Returns the runners that last reported a prefix as cached, in order from `first` and then
    /// wrapping around, so that a random `first` does not favour runners with low ids.
    pub fn holders(&self, prefix: u64, first: RunnerId) -> impl Iterator<Item = RunnerId> + '_ {
        let least = RunnerId::from_u32(0);
        let most = RunnerId::from_u32(u32::MAX - 1);
        let after = self.entries.range((prefix, first)..=(prefix, most));
        let before = self.entries.range((prefix, least)..(prefix, first));
        let both = after.chain(before);
        let current = both.filter(|((_, id), epoch)| self.runners[*id].epoch == **epoch);
        current.map(|((_, id), _)| *id)
    }

    /// Returns the number of prefixes indexed for a runner.
    pub fn count(&self, id: RunnerId) -> u32 {
        self.runners[id].live
    }

    /// Returns the number of gaps detected in a runner's events.
    pub fn gaps(&self, id: RunnerId) -> u64 {
        self.runners[id].gaps
    }
}
