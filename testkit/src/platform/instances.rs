//! The list of instances, in which a change becomes visible only after a lag.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::{InstanceList, ListedInstance};

use super::admin::InstancesChange;

/// The visible list and the changes that are not visible yet.
#[derive(Debug)]
pub struct Instances {
    lag: Duration,
    visible: BTreeMap<Name, ListedInstance>,
    /// Changes that are not visible yet with the time they become so, oldest first.
    pending: VecDeque<(Instant, InstancesChange)>,
}

impl Instances {
    /// Returns an empty list.
    #[must_use]
    pub fn new(lag_ms: u64) -> Self {
        Self {
            lag: Duration::from_millis(lag_ms),
            visible: BTreeMap::new(),
            pending: VecDeque::new(),
        }
    }

    /// Queues a change, which becomes visible after the lag or, with `at_once`, without it.
    pub fn change(&mut self, change: InstancesChange) {
        let lag = if change.at_once {
            Duration::ZERO
        } else {
            self.lag
        };
        self.pending.push_back((Instant::now() + lag, change));
    }

    /// Returns the list as currently visible.
    pub fn visible(&mut self) -> InstanceList {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, change)) = self.pending.pop_front() {
                self.apply(change);
            }
        }
        InstanceList {
            instances: self.visible.values().cloned().collect(),
            rejected: 0,
        }
    }

    fn apply(&mut self, change: InstancesChange) {
        if change.replace {
            self.visible.clear();
        }
        for name in &change.remove {
            self.visible.remove(name);
        }
        for instance in change.set {
            self.visible.insert(instance.name.clone(), instance);
        }
    }
}
