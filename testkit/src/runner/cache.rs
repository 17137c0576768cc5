//! The cache of prompt prefixes, and its events, which are late and have gaps.
//!
//! A prompt enters by the hashes of its prefixes ([`crate::text::prefixes`]). Only a first block
//! is named in events; the further ones save work and are not reported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use jacinthweir_wire::runner::{CacheEvent, CacheEvents, PREFIX_BYTES};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::RunnerCfg;
use crate::text::BYTES_PER_TOKEN;

/// Tokens of one block of a prefix.
const BLOCK_TOKENS: usize = PREFIX_BYTES / BYTES_PER_TOKEN;
/// Events that are kept for reading.
const KEPT_EVENTS: usize = 4_096;

/// Least recently used prefixes leave first.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    lag: Duration,
    gap_percent: u8,
    rng: ChaCha8Rng,
    uses: u64,
    /// Last use of each prefix.
    held: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    /// Prefixes of one block, which events name.
    firsts: BTreeSet<u64>,
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
            firsts: BTreeSet::new(),
            numbers: 0,
            events: VecDeque::new(),
        }
    }

    /// Tokens of the prompt that the cache holds; all its prefixes are held from now on.
    pub(crate) fn enter(&mut self, prefixes: &[u64]) -> u32 {
        let blocks = prefixes
            .iter()
            .take_while(|p| self.held.contains_key(p))
            .count();
        for prefix in prefixes {
            self.touch(*prefix);
        }
        if let Some(first) = prefixes.first()
            && self.firsts.insert(*first)
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
            if self.firsts.remove(&prefix) {
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
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after the number `after` that are old enough to show.
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
