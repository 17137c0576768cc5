//! Which runners a stall speaks against.
//!
//! A route that has gone silent does not say which of its stages is at fault, and until the
//! observers have suspected a runner that stands still (two polls that time out, and a
//! confirmation) new requests keep going there, each to a stall of its own. A token proves every
//! stage of its route alive, so a runner that gave tokens to another request in the second half of
//! the silence is not to blame; the others are, and new work avoids them for a while where it can.
//! A token through a blamed runner, or a load report that is newer than the silence's middle, ends
//! the blame: a runner that was blamed for its neighbour is back after one report.

use crate::prelude::*;
use std::collections::BTreeMap;

/// How long a runner is blamed at most, in milliseconds: longer than the observers need to suspect
/// one that stands still.
const BLAME_MS: Millis = 6_000;

/// A runner that new work avoids.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blame {
    /// Its name.
    pub name: Name,
    /// A report of a later time than this proves it alive, in milliseconds.
    pub silent_from: Millis,
    /// End of the blame, in milliseconds.
    pub until: Millis,
}

/// Last signs of life of the runners, as this instance's own streams show them.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    token_at: BTreeMap<RunnerId, Millis>,
    blamed: BTreeMap<RunnerId, Blame>,
}

impl Silences {
    /// A token came over a route with these runners.
    pub fn token(&mut self, now: Millis, runners: impl Iterator<Item = RunnerId>) {
        for id in runners {
            self.token_at.insert(id, now);
            self.blamed.remove(&id);
        }
    }

    /// A route with these runners was silent from `since` until now and is given up; returns those
    /// that are to blame.
    pub fn stalled(
        &mut self,
        now: Millis,
        since: Millis,
        runners: impl Iterator<Item = (RunnerId, Name)>,
    ) -> Vec<RunnerId> {
        // Tokens that other streams had right after this one's last prove nothing: the runner
        // stopped after them.
        let silent_from = since + now.saturating_sub(since) / 2;
        let alive = |id: &RunnerId| self.token_at.get(id).is_some_and(|at| *at > silent_from);
        let blamed: Vec<_> = runners.filter(|(id, _)| !alive(id)).collect();
        let ids = blamed.iter().map(|(id, _)| *id).collect();
        for (id, name) in blamed {
            let blame = Blame {
                name,
                silent_from,
                until: now + BLAME_MS,
            };
            self.blamed.insert(id, blame);
        }
        ids
    }

    /// Runners that new work avoids where it can. `reported` gives the time for which a runner's
    /// newest load report holds.
    pub fn avoided(
        &mut self,
        now: Millis,
        reported: impl Fn(&Name) -> Option<Millis>,
    ) -> Vec<RunnerId> {
        self.blamed.retain(|_, blame| {
            let alive = reported(&blame.name).is_some_and(|at| at > blame.silent_from);
            now < blame.until && !alive
        });
        self.blamed.keys().copied().collect()
    }
}
