//! What a request does while the runners of its attempt are silent.
//!
//! A sound runner may fall silent for a second or so and go on, so a silence alone ends no attempt. It
//! stays open while the driver starts another one along a route that avoids the silent runners, if there
//! is one and the retry policy allows it. Whichever speaks first goes on: a frame of the silent attempt
//! ends the other, and the silent one is given up once the other is accepted. If the other fails, the
//! silent attempt is still there, and goes on until it speaks or ends, or the deadline passes.

use std::pin::Pin;
use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_clients::runner::RunStart;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::journal::Event;
use jacinthweir_policy::retry::AttemptFailure;
use jacinthweir_policy::route::{Route, RouteStage};
use jacinthweir_wire::runner::RunRequest;
use tokio::time::timeout;

use crate::attempt::{AttemptEnd, Successor};
use crate::driver::Driver;

/// Shortest interval between two searches for another route.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between two searches for another route; each one doubles it.
const MAX_SEARCH_INTERVAL: Duration = Duration::from_millis(800);

/// What came first after another attempt was started beside a silent one.
enum Race<T> {
    /// The silent attempt spoke.
    Output(T),
    /// The runners of the other one answered.
    Started(Result<RunStart, ClientError>),
    /// The runners of the other one are silent as well.
    BothSilent,
    /// The caller disconnected.
    CallerLeft,
}

/// Result of starting another attempt beside a silent one.
enum Tried<T> {
    /// The silent attempt spoke.
    Output(T),
    /// The silent attempt ends.
    End(AttemptEnd),
    /// The other one failed; the silent one is still open.
    Failed,
}

impl Driver {
    /// Waits for output of an attempt that runs along `route`, through any silence.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended if it ends without output.
    pub(crate) async fn wait_for_output<T>(
        &mut self,
        attempt: u32,
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
            self.record_stall(attempt);
            if let Some(runner) = self.evidence.restarted_runner(&self.cx) {
                return Err(AttemptEnd::Broken(Some(runner)));
            }
            if let Some(other) = self.find_other_route(route) {
                match self.try_other(other, output.as_mut()).await {
                    Tried::Output(output) => return Ok(output),
                    Tried::End(end) => return Err(end),
                    Tried::Failed => {}
                }
            }
            wait = interval.min(self.remaining());
            interval = MAX_SEARCH_INTERVAL.min(2 * interval);
        }
    }

    /// Returns a route along which another attempt may be started now, if there is one.
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

    /// Returns the runners that another attempt has to avoid.
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

    /// Starts another attempt along `route`, and waits until it or the silent one, whose output is
    /// `output`, speaks.
    async fn try_other<T>(
        &mut self,
        route: Route,
        output: Pin<&mut impl Future<Output = T>>,
    ) -> Tried<T> {
        let attempt = self.running.journal().next_attempt();
        if !self.hand_over(attempt, &route).await {
            return Tried::Failed;
        }
        self.cx.router().record_sent(self.cx.clock.now(), &route);
        let req = self.build_run_request(attempt, &route);
        match self.race(&req, output).await {
            Race::Output(output) => {
                self.drop_other(attempt, &route, "the attempt before it went on");
                Tried::Output(output)
            }
            Race::CallerLeft => {
                self.drop_other(attempt, &route, "caller left");
                Tried::End(AttemptEnd::CallerLeft)
            }
            Race::BothSilent => {
                self.drop_other(attempt, &route, "no frame in time");
                self.avoid_named_or_first(&route, None);
                Tried::Failed
            }
            Race::Started(Ok(RunStart::Accepted(frames))) => {
                let successor = Successor { req, route, frames };
                Tried::End(AttemptEnd::Stalled(Box::new(successor)))
            }
            Race::Started(Ok(RunStart::Refused(refused))) => {
                self.avoid_named_or_first(&route, refused.runner.as_ref());
                self.record_other_failed(attempt, &route, &AttemptEnd::Refused(refused))
            }
            Race::Started(Err(e)) => {
                self.avoid_named_or_first(&route, None);
                let end = self.start_failure(&e, &route);
                self.record_other_failed(attempt, &route, &end)
            }
        }
    }

    async fn race<T>(
        &self,
        req: &RunRequest,
        output: Pin<&mut impl Future<Output = T>>,
    ) -> Race<T> {
        tokio::select! {
            biased;
            output = output => Race::Output(output),
            () = self.tx.closed() => Race::CallerLeft,
            started = timeout(self.start_timeout(), self.cx.runners.run(req)) => match started {
                Ok(started) => Race::Started(started),
                Err(_) => Race::BothSilent,
            },
        }
    }

    /// Records that an attempt was dropped while it was started. Its connection is closed. It is not
    /// cancelled by its number, since runners cancel the earlier attempts as well.
    fn drop_other(&self, attempt: u32, route: &Route, cause: &str) {
        let cause = Name::from(cause);
        self.running.record_or_log(Event::Lost { attempt, cause });
        self.cx.router().record_finished(self.cx.clock.now(), route);
    }

    fn record_other_failed<T>(&self, attempt: u32, route: &Route, end: &AttemptEnd) -> Tried<T> {
        self.record_end(attempt, end);
        self.record_route_result(route, end);
        Tried::Failed
    }
}
