//! Which attempts were seen, which run, and which may run no more.
//!
//! Invariants: a stage of an attempt begins once; its token indices only grow; after a cancel of
//! attempt `n` of a request, no attempt up to `n` begins or goes on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use tokio_util::sync::CancellationToken;

use super::seats::Seat;

/// After this time without a token a place at a later stage is given back, in seconds.
const IDLE_S: u64 = 15;
/// Seen attempts are remembered that long, in seconds.
const REMEMBER_S: u64 = 600;

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
    /// Given back at the end; the rest is remembered.
    seat: Option<Seat>,
    token: CancellationToken,
    /// Least index that may run next.
    next: u32,
    used: Instant,
}

/// It was seen or cancelled before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Stale;

impl Attempts {
    /// Whether the stage may begin: neither seen nor cancelled before.
    pub(crate) fn check(&self, key: &StageKey) -> Result<(), Stale> {
        let cancelled = self.cancelled.get(&key.0);
        if self.stages.contains_key(key) || cancelled.is_some_and(|(upto, _)| key.1 <= *upto) {
            return Err(Stale);
        }
        Ok(())
    }

    /// Begins a stage that was not seen before, with its place.
    pub(crate) fn begin(
        &mut self,
        key: StageKey,
        seat: Seat,
        token: CancellationToken,
    ) -> Result<(), Stale> {
        self.check(&key)?;
        let stage = StageState {
            seat: Some(seat),
            token,
            next: 0,
            used: Instant::now(),
        };
        self.stages.insert(key, stage);
        Ok(())
    }

    /// Cancellation of a stage that has its place.
    pub(crate) fn token(&self, key: &StageKey) -> Result<CancellationToken, Stale> {
        match self.stages.get(key) {
            Some(stage) if stage.seat.is_some() => Ok(stage.token.clone()),
            _ => Err(Stale),
        }
    }

    /// Lets the token at `index` run once; answers with the stage's cancellation.
    pub(crate) fn step(&mut self, key: &StageKey, index: u32) -> Result<CancellationToken, Stale> {
        match self.stages.get_mut(key) {
            Some(s) if s.seat.is_some() && !s.token.is_cancelled() && index >= s.next => {
                s.next = index + 1;
                s.used = Instant::now();
                Ok(s.token.clone())
            }
            _ => Err(Stale),
        }
    }

    /// Ends one stage; the caller drops its place outside the lock.
    pub(crate) fn end(&mut self, key: &StageKey) -> Option<Seat> {
        let stage = self.stages.get_mut(key)?;
        stage.token.cancel();
        stage.seat.take()
    }

    /// Cancels all attempts of a request up to `attempt`.
    pub(crate) fn cancel(&mut self, request: &Name, attempt: u32) -> Vec<Seat> {
        let now = Instant::now();
        let upto = self.cancelled.entry(request.clone()).or_insert((0, now));
        *upto = (upto.0.max(attempt), now);
        let first = (request.clone(), 0, 0);
        let last = (request.clone(), attempt, u32::MAX);
        let stages = self.stages.range_mut(first..=last);
        stages
            .filter_map(|(_, stage)| {
                stage.token.cancel();
                stage.seat.take()
            })
            .collect()
    }

    /// Ends stages that nobody drives any more and forgets old ones.
    pub(crate) fn sweep(&mut self) -> Vec<Seat> {
        let idle = Duration::from_secs(IDLE_S);
        let remember = Duration::from_secs(REMEMBER_S);
        let mut seats = Vec::new();
        for stage in self.stages.values_mut() {
            if stage.seat.is_some() && stage.used.elapsed() > idle {
                stage.token.cancel();
                seats.extend(stage.seat.take());
            }
        }
        self.stages
            .retain(|_, s| s.seat.is_some() || s.used.elapsed() < remember);
        self.cancelled.retain(|_, (_, at)| at.elapsed() < remember);
        seats
    }
}
