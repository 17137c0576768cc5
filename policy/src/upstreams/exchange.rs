//! Anti-entropy exchange of upstream records and loads: digests and deltas.

use super::message::{BUCKETS, LoadSample, RecordHash, UpstreamDelta, UpstreamDigest};
use super::record::fnv1a;
use super::{KnownLoad, Upstream, Upstreams};
use crate::region::region_of;
use crate::time::{Millis, Name, Now};
use std::collections::{BTreeMap, BTreeSet};

impl Upstreams {
    /// Returns the first message of an exchange.
    ///
    /// `salt` is the salt of the keys in all messages of the exchange. `domain` is the peer's
    /// failure domain, if known; loads are included only if it is in the region of this instance.
    #[must_use]
    pub fn digest(&self, now: Now, salt: u32, domain: Option<&str>) -> UpstreamDigest {
        let near = domain.is_some_and(|d| region_of(d) == region_of(&self.domain));
        let loads = if near {
            self.loads(now, salt)
        } else {
            Vec::new()
        };
        UpstreamDigest {
            salt,
            buckets: self.buckets(),
            near,
            loads,
        }
    }

    /// Returns the hash of each bucket: the sum of its records' hashes, which is independent of
    /// their order.
    fn buckets(&self) -> Vec<u32> {
        let mut buckets = vec![0u32; BUCKETS];
        for (name, u) in &self.upstreams {
            let bucket = &mut buckets[bucket(name)];
            *bucket = bucket.wrapping_add(u.hash);
        }
        buckets
    }

    fn loads(&self, now: Now, salt: u32) -> Vec<LoadSample> {
        let region = region_of(&self.domain);
        let near = self
            .upstreams
            .values()
            .filter(|u| region_of(&u.listed().domain) == region);
        near.filter_map(|u| load_sample(u, now, salt)).collect()
    }

    /// Processes a peer's digest; returns the response.
    pub fn receive_digest(&mut self, now: Now, digest: &UpstreamDigest) -> UpstreamDelta {
        self.detect_suspension(now);
        let salt = digest.salt;
        let mut delta = UpstreamDelta {
            salt,
            ..UpstreamDelta::default()
        };
        if digest.near {
            let theirs: BTreeMap<u32, u64> =
                digest.loads.iter().map(|b| (b.key, b.number)).collect();
            self.apply_loads(now, salt, &digest.loads);
            let newer =
                |sample: &LoadSample| theirs.get(&sample.key).is_none_or(|n| *n < sample.number);
            delta.loads = self.loads(now, salt);
            delta.loads.retain(newer);
        }
        let ours = self.buckets();
        let differs = |i: &usize| digest.buckets.get(*i) != ours.get(*i);
        delta.differing = (0..BUCKETS).filter(differs).map(|i| i as u32).collect();
        delta.hashes = self.hashes(salt, &delta.differing);
        if delta.differing.is_empty() {
            self.clear_stale();
        }
        delta
    }

    fn hashes(&self, salt: u32, buckets: &[u32]) -> Vec<RecordHash> {
        let chosen = self.in_buckets(buckets);
        chosen
            .map(|(name, u)| RecordHash {
                key: upstream_key(salt, name),
                hash: u.hash,
            })
            .collect()
    }

    fn in_buckets(&self, buckets: &[u32]) -> impl Iterator<Item = (&Name, &Upstream)> {
        let buckets: BTreeSet<u32> = buckets.iter().copied().collect();
        let all = self.upstreams.iter();
        all.filter(move |(name, _)| buckets.contains(&(bucket(name) as u32)))
    }

    /// Processes the response to a digest, a push, or the response to a push; returns the message
    /// to send back, if any.
    pub fn receive_delta(&mut self, now: Now, delta: &UpstreamDelta) -> Option<UpstreamDelta> {
        self.detect_suspension(now);
        self.apply_loads(now, delta.salt, &delta.loads);
        for record in &delta.records {
            self.merge(record);
        }
        let mut next = UpstreamDelta {
            salt: delta.salt,
            ..UpstreamDelta::default()
        };
        self.compare(delta, &mut next);
        self.add_wanted(delta, &mut next);
        if delta.differing.is_empty() {
            self.clear_stale();
        }
        let is_needed = !next.records.is_empty() || !next.wants.is_empty();
        is_needed.then_some(next)
    }

    /// Compares the records in the differing buckets with the peer's hashes. Adds to `next` the
    /// records that the peer lacks or has with another hash, and requests those that this instance
    /// lacks or has with another hash.
    ///
    /// A hash does not show which of two versions is newer, so both are sent and merged.
    fn compare(&self, delta: &UpstreamDelta, next: &mut UpstreamDelta) {
        let mut theirs: BTreeMap<u32, u32> = delta.hashes.iter().map(|h| (h.key, h.hash)).collect();
        let max = self.cfg.max_records;
        for (name, u) in self.in_buckets(&delta.differing) {
            let key = upstream_key(delta.salt, name);
            let their_hash = theirs.remove(&key);
            if their_hash == Some(u.hash) {
                continue;
            }
            if next.records.len() < max {
                next.records.push(u.record.clone());
            }
            if their_hash.is_some() && next.wants.len() < max {
                next.wants.push(key);
            }
        }
        let room = max.saturating_sub(next.wants.len());
        next.wants.extend(theirs.into_keys().take(room));
    }

    fn add_wanted(&self, delta: &UpstreamDelta, next: &mut UpstreamDelta) {
        if delta.wants.is_empty() {
            return;
        }
        let wants: BTreeSet<u32> = delta.wants.iter().copied().collect();
        for (name, u) in &self.upstreams {
            let room = next.records.len() < self.cfg.max_records;
            if room && wants.contains(&upstream_key(delta.salt, name)) {
                next.records.push(u.record.clone());
            }
        }
    }

    /// Clears the stale mark of all upstreams.
    ///
    /// Called when a message lists no differing bucket: it is then the last one that this instance
    /// receives in the exchange, because the digests agree or because it is a push or the response
    /// to a push.
    fn clear_stale(&mut self) {
        for (name, u) in &mut self.upstreams {
            if std::mem::take(&mut u.stale) {
                self.changed.insert(name.clone());
            }
        }
    }

    fn apply_loads(&mut self, now: Now, salt: u32, samples: &[LoadSample]) {
        if samples.is_empty() {
            return;
        }
        let by_key: BTreeMap<u32, &LoadSample> = samples.iter().map(|s| (s.key, s)).collect();
        for (name, u) in &mut self.upstreams {
            let Some(sample) = by_key.get(&load_key(salt, u)) else {
                continue;
            };
            if u.load.is_none_or(|l| l.number < sample.number) {
                u.load = Some(known_load(sample, now.mono_ms));
                self.changed.insert(name.clone());
            }
        }
    }
}

fn bucket(name: &Name) -> usize {
    fnv1a(name.bytes()) as usize % BUCKETS
}

fn upstream_key(salt: u32, name: &Name) -> u32 {
    fnv1a(salt.to_le_bytes().into_iter().chain(name.bytes()))
}

fn load_key(salt: u32, u: &Upstream) -> u32 {
    let incarnation = u.listed().incarnation.to_le_bytes();
    let name = u.listed().name.bytes();
    fnv1a(
        salt.to_le_bytes()
            .into_iter()
            .chain(name)
            .chain(incarnation),
    )
}

fn load_sample(u: &Upstream, now: Now, salt: u32) -> Option<LoadSample> {
    let load = u.load?;
    let age = now.mono_ms.saturating_sub(load.sampled_ms);
    Some(LoadSample {
        key: load_key(salt, u),
        number: load.number,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        running: load.running,
        queued: load.queued,
        busy_token_layers_per_s: load.busy_token_layers_per_s as u32,
    })
}

fn known_load(sample: &LoadSample, mono_ms: Millis) -> KnownLoad {
    KnownLoad {
        number: sample.number,
        sampled_ms: mono_ms.saturating_sub(u64::from(sample.age_ms)),
        running: sample.running,
        queued: sample.queued,
        busy_token_layers_per_s: f64::from(sample.busy_token_layers_per_s),
    }
}
