//! Table of the attempts that were received, are running or were cancelled.
//!
//! Invariants: a stage of an attempt begins once; its token indices only grow; after a cancel of
//! attempt `n` of a request, no attempt up to `n` begins or continues.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use tokio_util::sync::CancellationToken;

use super::slots::Slot;

/// Idle time without a token after which the slot of a later stage is released, in seconds.
const IDLE_S: u64 = 15;
/// Retention of ended and cancelled attempts, in seconds.
const RETENTION_S: u64 = 600;

/// One stage of one attempt: request, attempt number, first layer.
pub(crate) type StageKey = (Name, u32, u32);

/// The attempts of one runner.
#[derive(Debug, Default)]
pub struct Attempts {
    stages: BTreeMap<StageKey, StageState>,
    cancelled: BTreeMap<Name, (u32, Instant)>,
}

#[derive(Debug)]
struct StageState {
    /// Released when the stage ends; the rest is retained to detect duplicates.
    slot: Option<Slot>,
    token: CancellationToken,
    /// Smallest token index that may run next.
    next: u32,
    used: Instant,
}

/// Error: the stage was received or cancelled before, or has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stale;

impl Attempts {
    /// Checks that the stage may begin: neither received nor cancelled before.
    pub(crate) fn check(&self, key: &StageKey) -> Result<(), Stale> {
        let cancelled = self.cancelled.get(&key.0);
        if self.stages.contains_key(key) || cancelled.is_some_and(|(up_to, _)| key.1 <= *up_to) {
            return Err(Stale);
        }
        Ok(())
    }

    /// Begins a stage that was not received before, with its slot.
    pub(crate) fn begin(
        &mut self,
        key: StageKey,
        slot: Slot,
        token: CancellationToken,
    ) -> Result<(), Stale> {
        self.check(&key)?;
        let stage = StageState {
            slot: Some(slot),
            token,
            next: 0,
            used: Instant::now(),
        };
        self.stages.insert(key, stage);
        Ok(())
    }

    /// Returns the cancellation token of a stage that holds a slot.
    pub(crate) fn token(&self, key: &StageKey) -> Result<CancellationToken, Stale> {
        match self.stages.get(key) {
            Some(stage) if stage.slot.is_some() => Ok(stage.token.clone()),
            _ => Err(Stale),
        }
    }

    /// Admits the token at `index` at most once; returns the stage's cancellation token.
    pub(crate) fn step(&mut self, key: &StageKey, index: u32) -> Result<CancellationToken, Stale> {
        match self.stages.get_mut(key) {
            Some(s) if s.slot.is_some() && !s.token.is_cancelled() && index >= s.next => {
                s.next = index + 1;
                s.used = Instant::now();
                Ok(s.token.clone())
            }
            _ => Err(Stale),
        }
    }

    /// Ends one stage; the caller drops the returned slot outside the lock.
    pub(crate) fn end(&mut self, key: &StageKey) -> Option<Slot> {
        let stage = self.stages.get_mut(key)?;
        stage.token.cancel();
        stage.slot.take()
    }

    /// Cancels all attempts of a request up to and including `attempt`.
    pub(crate) fn cancel(&mut self, request: &Name, attempt: u32) -> Vec<Slot> {
        let now = Instant::now();
        let up_to = self.cancelled.entry(request.clone()).or_insert((0, now));
        *up_to = (up_to.0.max(attempt), now);
        let first = (request.clone(), 0, 0);
        let last = (request.clone(), attempt, u32::MAX);
        let stages = self.stages.range_mut(first..=last);
        stages
            .filter_map(|(_, stage)| {
                stage.token.cancel();
                stage.slot.take()
            })
            .collect()
    }

    /// Ends idle stages and evicts expired entries.
    pub(crate) fn sweep(&mut self) -> Vec<Slot> {
        let idle = Duration::from_secs(IDLE_S);
        let retention = Duration::from_secs(RETENTION_S);
        let mut slots = Vec::new();
        for stage in self.stages.values_mut() {
            if stage.slot.is_some() && stage.used.elapsed() > idle {
                stage.token.cancel();
                slots.extend(stage.slot.take());
            }
        }
        self.stages
            .retain(|_, s| s.slot.is_some() || s.used.elapsed() < retention);
        self.cancelled.retain(|_, (_, at)| at.elapsed() < retention);
        slots
    }
}
