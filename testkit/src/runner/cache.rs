//! Prompt prefix cache and its events, which are delayed and lossy.
//!
//! A prompt is keyed by the hashes of its prefixes ([`crate::text::prefixes`]). Only a first block
//! is named in events; later blocks save work and are not reported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use jacinthweir_wire::runner::{CacheEvent, CacheEvents, PREFIX_BYTES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RunnerCfg;
use crate::text::BYTES_PER_TOKEN;

/// Tokens per prefix block.
const BLOCK_TOKENS: usize = PREFIX_BYTES / BYTES_PER_TOKEN;
/// Maximum number of events retained.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// LRU cache of prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    gap_percent: u8,
    rng: ChaCha8Rng,
    uses: u64,
    /// Sequence number of each prefix's last use.
    held: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    /// Prefixes of one block; only these are reported in events.
    first_blocks: BTreeSet<u64>,
    numbers: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    pub(crate) fn new(cfg: &RunnerCfg) -> Self {
        Self {
            capacity: cfg.cache_blocks,
            lag: Duration::from_millis(cfg.cache_lag_ms),
            gap_percent: cfg.cache_gap_percent,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            uses: 0,
            held: BTreeMap::new(),
            by_use: BTreeMap::new(),
            first_blocks: BTreeSet::new(),
            numbers: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of cached tokens of the prompt, then caches all its prefixes.
    pub(crate) fn lookup_and_insert(&mut self, prefixes: &[u64]) -> u32 {
        let blocks = prefixes
            .iter()
            .take_while(|p| self.held.contains_key(p))
            .count();
        for prefix in prefixes {
            self.touch(*prefix);
        }
        if let Some(first) = prefixes.first()
            && self.first_blocks.insert(*first)
        {
            self.event(*first, true);
        }
        while self.held.len() > self.capacity {
            self.evict();
        }
        u32::try_from(blocks * BLOCK_TOKENS).unwrap_or(u32::MAX)
    }

    fn touch(&mut self, prefix: u64) {
        self.uses += 1;
        if let Some(old) = self.held.insert(prefix, self.uses) {
            self.by_use.remove(&old);
        }
        self.by_use.insert(self.uses, prefix);
    }

    fn evict(&mut self) {
        if let Some((_, prefix)) = self.by_use.pop_first() {
            self.held.remove(&prefix);
            if self.first_blocks.remove(&prefix) {
                self.event(prefix, false);
            }
        }
    }

    fn event(&mut self, prefix: u64, cached: bool) {
        self.numbers += 1;
        if self.rng.random_range(0..100) < self.gap_percent {
            return;
        }
        let event = CacheEvent {
            number: self.numbers,
            prefix,
            cached,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events numbered above `after` that are at least the configured lag old.
    pub(crate) fn events(&self, after: u64) -> CacheEvents {
        let old_enough = |(at, _): &&(Instant, CacheEvent)| at.elapsed() >= self.lag;
        let shown = || self.events.iter().take_while(old_enough);
        let later = shown().filter(|(_, event)| event.number > after);
        CacheEvents {
            events: later.map(|(_, event)| event.clone()).collect(),
            newest: shown().last().map_or(0, |(_, event)| event.number),
        }
    }
}
