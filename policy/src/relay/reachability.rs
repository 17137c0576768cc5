//! Whether this instance reaches the runners itself, and what it means that a runner does not answer.
//!
//! A runner that refuses connections or is silent may be dead, or only this instance's path to it
//! is lost: a cut may affect one instance, a whole failure domain, or some runners. Two kinds of
//! evidence tell these apart. Witnesses, other runners probed at the same time, show whether any
//! path of this instance works. Other instances show whether the runner is alive.
//!
//! Invariants:
//! - No runner is dead that another instance reaches.
//! - Without a working path of its own, an instance needs the finding of another one for a death.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// What another instance found of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerFinding {
    /// The runner answered it.
    Reached,
    /// It knows that this lifetime of the runner has ended.
    Dead,
    /// The runner did not answer it.
    NotReached,
}

/// What is known of a runner that does not answer this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its lifetime has ended, or nobody reaches it.
    Dead,
    /// It is alive, and this instance's path to it is lost.
    Unreachable,
    /// The evidence is not sufficient.
    Undecided,
}

impl Verdict {
    /// Returns the verdict on a runner that did not answer this instance. `witnessed` tells whether
    /// witnesses answered meanwhile; `findings` are those of other instances.
    #[must_use]
    pub fn of(witnessed: bool, findings: &[PeerFinding]) -> Verdict {
        if findings.contains(&PeerFinding::Reached) {
            Verdict::Unreachable
        } else if witnessed || findings.contains(&PeerFinding::Dead) {
            Verdict::Dead
        } else {
            Verdict::Undecided
        }
    }

    /// Returns whether further findings cannot change the verdict.
    #[must_use]
    pub fn is_settled(findings: &[PeerFinding]) -> bool {
        findings.contains(&PeerFinding::Reached)
    }
}

/// Which of the runners to which a service's requests are sent an instance reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// All of them.
    All,
    /// Some, so that others may be idle while the reached ones are full.
    Some,
    /// None, although there are such runners.
    Lost,
    /// There is no such runner.
    Nothing,
}

impl Reach {
    /// Returns the reach of a service. `runners` tells of each runner to which its requests are sent
    /// whether it is reachable.
    #[must_use]
    pub fn of(runners: impl IntoIterator<Item = bool>) -> Reach {
        let mut reach = Reach::Nothing;
        for reachable in runners {
            reach = match (reach, reachable) {
                (Reach::Nothing | Reach::All, true) => Reach::All,
                (Reach::Nothing | Reach::Lost, false) => Reach::Lost,
                (Reach::Some, _) | (Reach::All, false) | (Reach::Lost, true) => Reach::Some,
            };
        }
        reach
    }

    /// Returns whether another instance may have room for a request that has none here. A request that
    /// was forwarded already, or whose service is overloaded, waits for the runners that are reached
    /// here: while all chains are full, one more instance only adds its work to that of the others.
    #[must_use]
    pub fn may_have_room_elsewhere(self, is_forwarded: bool, is_overloaded: bool) -> bool {
        match self {
            Reach::Lost => true,
            Reach::Some => !is_forwarded && !is_overloaded,
            Reach::All | Reach::Nothing => false,
        }
    }

    /// Returns whether an instance with these reaches of its services reaches no runner at all.
    #[must_use]
    pub fn is_cut_off(services: impl IntoIterator<Item = Reach>) -> bool {
        let mut lost = false;
        for reach in services {
            match reach {
                Reach::All | Reach::Some => return false,
                Reach::Lost => lost = true,
                Reach::Nothing => {}
            }
        }
        lost
    }
}

/// Interval between two probes of an unreachable runner, in milliseconds. It does not grow, since
/// every request takes a detour until the path is back.
const PATH_PROBE_INTERVAL_MS: Millis = 700;

/// Runners that did not accept the last connection of this instance, by identity and lifetime.
#[derive(Clone, Debug, Default)]
pub struct UnreachableRunners(BTreeMap<Name, Unreachable>);

#[derive(Clone, Copy, Debug)]
struct Unreachable {
    born_ms: u64,
    probed_ms: Millis,
    /// Whether another instance reaches it.
    reached_by_others: bool,
}

impl UnreachableRunners {
    /// Records that a runner did not accept a connection. Returns whether that is new.
    pub fn insert(&mut self, id: &Name, born_ms: u64, now: Millis) -> bool {
        if self.contains(id, born_ms) {
            return false;
        }
        let unreachable = Unreachable {
            born_ms,
            probed_ms: now,
            reached_by_others: false,
        };
        self.0.insert(id.clone(), unreachable);
        true
    }

    /// Records that another instance reaches an unreachable runner.
    pub fn confirm(&mut self, id: &str) {
        if let Some(unreachable) = self.0.get_mut(id) {
            unreachable.reached_by_others = true;
        }
    }

    /// Returns whether a lifetime of a runner is unreachable and another instance reaches it, so that
    /// only the path is at fault.
    #[must_use]
    pub fn is_confirmed(&self, id: &str, born_ms: u64) -> bool {
        let unreachable = self.0.get(id).filter(|u| u.born_ms == born_ms);
        unreachable.is_some_and(|u| u.reached_by_others)
    }

    /// Records that a runner answered. Returns whether it was unreachable; all others are then due
    /// for a probe, since what restored one path may have restored all.
    pub fn remove(&mut self, id: &str) -> bool {
        let was_unreachable = self.0.remove(id).is_some();
        if was_unreachable {
            self.0.values_mut().for_each(|u| u.probed_ms = 0);
        }
        was_unreachable
    }

    /// Returns whether a lifetime of a runner is unreachable.
    #[must_use]
    pub fn contains(&self, id: &str, born_ms: u64) -> bool {
        self.0.get(id).is_some_and(|u| u.born_ms == born_ms)
    }

    /// Returns whether no runner is unreachable.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns up to `max` runners that are due for a probe, and records the probes. Those of which
    /// `is_current` is false are forgotten.
    pub fn due(
        &mut self,
        now: Millis,
        max: usize,
        is_current: impl Fn(&Name, u64) -> bool,
    ) -> Vec<Name> {
        self.0.retain(|id, u| is_current(id, u.born_ms));
        let is_due =
            |u: &Unreachable| u.probed_ms == 0 || now >= u.probed_ms + PATH_PROBE_INTERVAL_MS;
        let due = self.0.iter_mut().filter(|(_, u)| is_due(u)).take(max);
        due.map(|(id, u)| {
            u.probed_ms = now;
            id.clone()
        })
        .collect()
    }
}
