//! The list of instances, which shows a change only after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::{InstanceList, ListedInstance};

use super::admin::InstancesChange;

/// The list as it is and as it shows.
#[derive(Debug)]
pub struct Instances {
    lag: Duration,
    shown: BTreeMap<Name, ListedInstance>,
    /// Changes not shown yet, oldest first.
    pending: VecDeque<(Instant, InstancesChange)>,
}

impl Instances {
    /// An empty list.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            shown: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// Takes a change; it shows after the lag, or at once where it says so.
    pub fn change(&mut self, change: InstancesChange) {
        let lag = if change.at_once {
            Duration::ZERO
        } else {
            self.lag
        };
        self.pending.push_back((Instant::now() + lag, change));
    }

    /// The list as it shows now.
    pub fn shown(&mut self) -> InstanceList {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
            }
        }
        InstanceList {
            instances: self.shown.values().cloned().collect(),
        }
    }

    fn apply(&mut self, change: InstancesChange) {
        if change.replace {
            self.shown.clear();
        }
        for name in &change.remove {
            self.shown.remove(name);
        }
        for instance in change.set {
            self.shown.insert(instance.name.clone(), instance);
        }
    }
}
