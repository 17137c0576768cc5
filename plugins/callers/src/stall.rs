//! What a request does while the runners of its attempt are silent.
//!
//! A sound runner may fall silent for a second or so and go on, so a silence alone ends no answer. The
//! attempt stays open, and the driver looks for another route meanwhile: one that avoids the silent
//! runners, and that the retry policy allows. The attempt is given up only once such a route is there.
//! Otherwise it goes on until its runner speaks or ends, or the deadline passes.

use std::time::Duration;

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::retry::AttemptFailure;
use jacinthweir_policy::route::{Route, RouteStage};

use crate::attempt::AttemptEnd;
use crate::driver::Driver;

/// Shortest interval between two searches for another route.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between two searches for another route; each one doubles it.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(800);

impl Driver {
    /// Waits for output of the attempt that runs along `route`, through any silence.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if it ends without output.
    pub(crate) async fn wait_for_output<T>(
        &mut self,
        route: &Route,
        output: impl Future<Output = T>,
    ) -> Result<T, AttemptEnd> {
        tokio::pin!(output);
        let mut interval = MIN_SEARCH_INTERVAL;
        let mut wait = self.frame_timeout();
        loop {
            tokio::select! {
                biased;
                output = &mut output => return Ok(output),
                () = self.tx.closed() => return Err(AttemptEnd::CallerLeft),
                () = tokio::time::sleep(wait) => {}
            }
            if self.remaining() == Duration::ZERO {
                return Err(AttemptEnd::DeadlinePassed);
            }
            self.record_stall();
            if let Some(runner) = self.evidence.restarted_runner(&self.cx) {
                return Err(AttemptEnd::Broken(Some(runner)));
            }
            if let Some(other) = self.find_other_route(route) {
                return Err(AttemptEnd::Stalled(other));
            }
            wait = interval.min(self.remaining());
            interval = MAX_SEARCH_INTERVAL.min(2 * interval);
        }
    }

    /// Returns a route to which the silent attempt may move now, if there is one.
    fn find_other_route(&mut self, silent: &Route) -> Option<Route> {
        if !self.cx.may_send(self.evidence.subject()) {
            return None;
        }
        let avoid = self.runners_to_avoid(silent);
        let Ok(other) = self.pick_route_avoiding(&avoid) else {
            self.avoid.clear();
            return None;
        };
        self.may_retry(AttemptFailure::BrokenOff).ok()?;
        Some(other)
    }

    /// Returns the runners that a silent attempt may not move to.
    ///
    /// A silence does not tell which runner of the route is at fault: those that have shown no progress
    /// since are avoided, or all of them if all have.
    fn runners_to_avoid(&self, silent: &Route) -> Vec<RunnerId> {
        self.retry_states.record_stall(silent, self.waiting_since);
        let mut avoid = self.retry_states.suspects(&self.cx);
        let is_suspect = |stage: &RouteStage| avoid.contains(&stage.runner);
        if !silent.stages.iter().any(is_suspect) {
            avoid.extend(silent.stages.iter().map(|s| s.runner));
        }
        avoid.extend(&self.avoid);
        avoid
    }
}
