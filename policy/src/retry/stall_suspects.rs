//! Attribution of stalls to runners.
//!
//! A stalled route does not show which of its stages is at fault. Until the failure detector
//! suspects an unresponsive runner (two poll time-outs and a confirmation), new requests would
//! still be routed to it and stall in turn. A token proves that all stages of its route are alive,
//! so a runner that delivered tokens of another request in the second half of the silence is
//! cleared. The other runners of the route become suspects, and new work avoids them for a limited
//! time where possible. A token through a suspect, or a load report newer than the middle of the
//! silence, clears it, so a runner suspected only because of its neighbour is used again after one
//! report.

use crate::prelude::*;
use std::collections::BTreeMap;

/// Maximum duration of a suspicion, in milliseconds; longer than the failure detector needs to
/// suspect an unresponsive runner.
const SUSPICION_MS: Millis = 6_000;

/// Suspicion against a runner, which new work avoids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Name of the runner.
    pub name: Name,
    /// Time in milliseconds; a later load report clears the suspicion.
    pub silence_middle: Millis,
    /// Expiry of the suspicion, in milliseconds.
    pub until: Millis,
}

/// Time of this instance's latest token through each runner, and the runners suspected of stalls.
#[derive(Clone, Debug, Default)]
pub struct StallSuspects {
    last_token_at: BTreeMap<RunnerId, Millis>,
    suspects: BTreeMap<RunnerId, Suspicion>,
}

impl StallSuspects {
    /// Records a token received over a route with these runners.
    pub fn record_token(&mut self, now: Millis, runners: impl Iterator<Item = RunnerId>) {
        for id in runners {
            self.last_token_at.insert(id, now);
            self.suspects.remove(&id);
        }
    }

    /// Records that a route with these runners was silent from `since` until now and was abandoned;
    /// returns the runners that become suspects.
    pub fn record_stall(
        &mut self,
        now: Millis,
        since: Millis,
        runners: impl Iterator<Item = (RunnerId, Name)>,
    ) -> Vec<RunnerId> {
        // Tokens of other streams shortly after this stream's last one are no proof: the runner
        // may have stopped after them.
        let silence_middle = since + now.saturating_sub(since) / 2;
        let alive = |id: &RunnerId| {
            self.last_token_at
                .get(id)
                .is_some_and(|at| *at > silence_middle)
        };
        let suspects: Vec<_> = runners.filter(|(id, _)| !alive(id)).collect();
        let ids = suspects.iter().map(|(id, _)| *id).collect();
        for (id, name) in suspects {
            let suspicion = Suspicion {
                name,
                silence_middle,
                until: now + SUSPICION_MS,
            };
            self.suspects.insert(id, suspicion);
        }
        ids
    }

    /// Returns the runners that new work should avoid where possible. `reported` returns the time
    /// at which a runner's newest load report was sampled.
    pub fn suspects(
        &mut self,
        now: Millis,
        reported: impl Fn(&Name) -> Option<Millis>,
    ) -> Vec<RunnerId> {
        self.suspects.retain(|_, suspicion| {
            let alive = reported(&suspicion.name).is_some_and(|at| at > suspicion.silence_middle);
            now < suspicion.until && !alive
        });
        self.suspects.keys().copied().collect()
    }
}
