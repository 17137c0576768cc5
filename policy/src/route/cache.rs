//! Which prompt prefixes the runners have in their caches, as far as heard.
//!
//! Events come late and with gaps, so this is a hint and never a promise. After a gap all hints of
//! the runner are dropped: an eviction may be among the lost events, and a wrong hint would go on
//! drawing requests to a runner that has to prefill them.
//!
//! Hints are dropped by moving the runner's epoch; entries of older epochs are swept out once they
//! are the greater part, so a gap costs little and memory stays within twice the live entries.

use super::records::CacheSeen;
use crate::prelude::*;
use cranelift_entity::SecondaryMap;
use std::collections::BTreeMap;

/// The most prefixes remembered of one runner; later ones are not remembered.
const MAX_PREFIXES: u32 = 512;

/// Hints on all runners.
#[derive(Clone, Debug, Default)]
pub struct CacheIndex {
    entries: BTreeMap<(u64, RunnerId), u32>,
    runners: SecondaryMap<RunnerId, RunnerCache>,
}

/// State of one runner's event sequence.
#[derive(Clone, Copy, Debug, Default)]
struct RunnerCache {
    newest: u64,
    epoch: u32,
    live: u32,
    gaps: u64,
}

impl CacheIndex {
    /// Takes an event of `id` in.
    pub fn observe(&mut self, id: RunnerId, seen: &CacheSeen) {
        let newest = self.runners[id].newest;
        if seen.number <= newest {
            return;
        }
        if newest != 0 && seen.number != newest + 1 {
            self.runners[id].gaps += 1;
            self.forget(id);
        }
        let runner = &mut self.runners[id];
        runner.newest = seen.number;
        let key = (seen.prefix, id);
        let known = self.entries.get(&key) == Some(&runner.epoch);
        if known && !seen.cached {
            self.entries.remove(&key);
            runner.live -= 1;
        } else if !known && seen.cached && runner.live < MAX_PREFIXES {
            self.entries.insert(key, runner.epoch);
            runner.live += 1;
        }
    }

    /// Starts anew with a runner, whose new incarnation has an empty cache and new numbers.
    pub fn restart(&mut self, id: RunnerId) {
        self.forget(id);
        self.runners[id].newest = 0;
    }

    fn forget(&mut self, id: RunnerId) {
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

    /// Whether the prefix was last heard to be in the runner's cache.
    pub fn has(&self, id: RunnerId, prefix: u64) -> bool {
        self.entries.get(&(prefix, id)) == Some(&self.runners[id].epoch)
    }

    /// Runners last heard to have a prefix in their cache, from `first` on and then from the start,
    /// so that a random `first` does not favour the runners seen first.
    pub fn holders(&self, prefix: u64, first: RunnerId) -> impl Iterator<Item = RunnerId> + '_ {
        let least = RunnerId::from_u32(0);
        let most = RunnerId::from_u32(u32::MAX - 1);
        let after = self.entries.range((prefix, first)..=(prefix, most));
        let before = self.entries.range((prefix, least)..(prefix, first));
        let both = after.chain(before);
        let current = both.filter(|((_, id), epoch)| self.runners[*id].epoch == **epoch);
        current.map(|((_, id), _)| *id)
    }

    /// Number of prefixes remembered of a runner.
    pub fn count(&self, id: RunnerId) -> u32 {
        self.runners[id].live
    }

    /// Gaps met in a runner's events.
    pub fn gaps(&self, id: RunnerId) -> u64 {
        self.runners[id].gaps
    }
}
