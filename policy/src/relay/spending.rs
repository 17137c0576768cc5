//! How many requests may be sent once more.
//!
//! A dead failure domain makes every request fail, and each that is sent again is load on what is
//! left. All instances together may add a share of the requests plus a fixed number in a window.
//! They do not agree on it: each takes the share of its own requests, and its part of the fixed
//! number, so that the sum holds whatever the others do.

use std::collections::VecDeque;

use crate::prelude::*;

/// Bound over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpendingConfig {
    /// Further sends for each request.
    pub ratio: f64,
    /// Further sends besides, over all instances.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
}

/// Part of the bound that is used: requests are counted where they arrive, and the bound's window
/// may begin anywhere. With 0.7 half of the streams of a chain that broke twice in ten seconds
/// were cut for want of it.
const USED_SHARE: f64 = 0.88;

/// The least number of instances that the fixed number is divided by: instances that are not known
/// yet spend as well.
const LEAST_INSTANCES: usize = 6;

/// Requests and further sends of this instance in the window, for one service.
#[derive(Clone, Debug, Default)]
pub struct Spending {
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl Spending {
    /// A request came for the service.
    pub fn request(&mut self, now: Millis, cfg: &SpendingConfig) {
        self.requests.push_back(now);
        drop_old(&mut self.requests, now, cfg.window_ms);
    }

    /// Takes one further send, if there is one among `instances` instances.
    pub fn take(&mut self, now: Millis, cfg: &SpendingConfig, instances: usize) -> bool {
        drop_old(&mut self.requests, now, cfg.window_ms);
        drop_old(&mut self.repeats, now, cfg.window_ms);
        let part = cfg.slack / instances.max(LEAST_INSTANCES) as f64;
        let bound = USED_SHARE * (cfg.ratio * self.requests.len() as f64 + part);
        if self.repeats.len() as f64 + 1.0 > bound {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn drop_old(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|t| t + window_ms < now) {
        times.pop_front();
    }
}
