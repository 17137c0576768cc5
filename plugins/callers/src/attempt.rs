//! Runs one attempt of a request along a route of model runners.

use jacinthweir_clients::ClientError;
use jacinthweir_clients::runner::{Frames, RunStart};
use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::journal::{self, Event, Verdict};
use jacinthweir_policy::route::Route;
use jacinthweir_wire::runner::*;

use crate::driver::{AnswerPart, Driver};

/// An attempt that was accepted while the one before it was silent.
#[derive(derive_more::Debug)]
pub(crate) struct Successor {
    /// What was sent.
    pub(crate) req: RunRequest,
    /// Its route.
    pub(crate) route: Route,
    /// Its frames.
    #[debug(skip)]
    pub(crate) frames: Frames,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The answer was generated in full and passed to the handler.
    Completed(EndFrame),
    /// A runner refused the attempt before anything ran.
    Refused(Refused),
    /// Nothing of the attempt was sent.
    NeverSent,
    /// The attempt failed midway; holds the runner at fault, if known.
    Broken(Option<Name>),
    /// No frame arrived within the stall threshold, and another attempt was accepted meanwhile.
    Stalled(Box<Successor>),
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerLeft,
}

/// Formats a route for the journal: each runner with its layers, in order.
fn describe_route(route: &Route) -> Name {
    let stages = route.stages.iter();
    let stages: Vec<String> = stages.map(|s| format!("{} {}", s.name, s.layers)).collect();
    Name::from(stages.join(", "))
}

/// Whether an attempt goes on after a frame.
enum Progress {
    Continue,
    End(AttemptEnd),
}

impl Driver {
    /// Runs attempt `number` along `route`.
    pub(crate) async fn run_attempt(&mut self, number: u32, route: &Route) -> AttemptEnd {
        if !self.hand_over(number, route).await {
            return AttemptEnd::NeverSent;
        }
        let req = self.build_run_request(number, route);
        self.evidence.record_sent(&self.cx, route);
        self.start_first_token_wait();
        let end = match self.start_attempt(&req, route).await {
            Ok(frames) => self.stream_frames(frames, &req, route).await,
            Err(end) => end,
        };
        self.finish_attempt(&req, end)
    }

    /// Goes on with an attempt that was accepted while the one before it was silent.
    pub(crate) async fn continue_attempt(&mut self, successor: Box<Successor>) -> AttemptEnd {
        let Successor { req, route, frames } = *successor;
        self.evidence.record_sent(&self.cx, &route);
        self.start_first_token_wait();
        let end = self.stream_frames(frames, &req, &route).await;
        self.finish_attempt(&req, end)
    }

    /// Records the hand-over of attempt `number` in the journal, before the first byte may be sent.
    /// Returns whether it may be.
    pub(crate) async fn hand_over(&mut self, number: u32, route: &Route) -> bool {
        let handed = Event::Dispatched {
            attempt: number,
            upstream: describe_route(route),
        };
        if let Err(fault) = self.running.record(handed) {
            error!(
                request = self.running.request.as_ref();
                "attempt not sent: the journal refused its hand-over: {fault}"
            );
            return false;
        }
        fault_point::reach(Step::Handed).await;
        true
    }

    /// Records the end of an attempt, and cancels it where it may still run.
    fn finish_attempt(&mut self, req: &RunRequest, end: AttemptEnd) -> AttemptEnd {
        self.record_end(req.attempt, &end);
        if !matches!(
            end,
            AttemptEnd::Completed(_) | AttemptEnd::Refused(_) | AttemptEnd::NeverSent
        ) {
            self.cancel(req);
        }
        end
    }

    pub(crate) fn build_run_request(&self, attempt: u32, route: &Route) -> RunRequest {
        let stages = route.stages.iter().map(|s| Stage {
            runner: s.name.clone(),
            address: s.address,
            layers: s.layers,
        });
        RunRequest {
            request: self.running.request.clone(),
            attempt,
            model: self.model_name(),
            route: stages.collect(),
            prompt: self.accepted.prompt.text.clone(),
            resume: self.tokens.clone(),
            max_tokens: self.accepted.max_tokens,
            priority: self.accepted.caller.priority,
            deadline_ms: self.remaining_ms(),
            kv_from: None,
        }
    }

    async fn start_attempt(
        &mut self,
        req: &RunRequest,
        route: &Route,
    ) -> Result<Frames, AttemptEnd> {
        let cx = Arc::clone(&self.cx);
        let start = cx.runners.run(req);
        match self.wait_for_output(req.attempt, route, start).await? {
            Err(e) => Err(self.start_failure(&e, route)),
            Ok(RunStart::Refused(refused)) => Err(AttemptEnd::Refused(refused)),
            Ok(RunStart::Accepted(frames)) => Ok(frames),
        }
    }

    async fn stream_frames(
        &mut self,
        mut frames: Frames,
        req: &RunRequest,
        route: &Route,
    ) -> AttemptEnd {
        loop {
            match self.next_frame(&mut frames, req, route).await {
                Progress::Continue => {}
                Progress::End(end) => return end,
            }
        }
    }

    pub(crate) fn start_failure(&self, e: &ClientError, route: &Route) -> AttemptEnd {
        let first = route.stages.first().map(|s| s.name.clone());
        info!(request = self.running.request.as_ref(); "attempt could not be started: {e}");
        match e {
            ClientError::NoEffect { .. } => AttemptEnd::NeverSent,
            ClientError::Unknown { .. } | ClientError::BadAnswer { .. } => {
                AttemptEnd::Broken(first)
            }
        }
    }

    async fn next_frame(
        &mut self,
        frames: &mut Frames,
        req: &RunRequest,
        route: &Route,
    ) -> Progress {
        let next = frames.next();
        let received = self.wait_for_output(req.attempt, route, next).await;
        let first = || route.stages.first().map(|s| s.name.clone());
        match received {
            Err(end) => Progress::End(end),
            Ok(Err(e)) => {
                info!(request = req.request.as_ref(); "attempt {} lost: {e}", req.attempt);
                Progress::End(AttemptEnd::Broken(first()))
            }
            Ok(Ok(None)) => {
                info!(
                    request = req.request.as_ref();
                    "attempt {}: stream ended before the end frame", req.attempt
                );
                Progress::End(AttemptEnd::Broken(first()))
            }
            Ok(Ok(Some(frame))) => self.handle_frame(frame, route).await,
        }
    }

    /// Handles one frame.
    ///
    /// A frame of another request or attempt, or with an unexpected index, ends the attempt: its
    /// connection can no longer be trusted to carry this answer.
    async fn handle_frame(&mut self, frame: Frame, route: &Route) -> Progress {
        match frame {
            Frame::Token(token) => {
                let id = journal::Frame {
                    request: &token.request,
                    attempt: token.attempt,
                };
                let verdict = self.running.journal().accept(id, token.index);
                if let Verdict::Drop(reason) = verdict {
                    return self.reject_frame(&reason.to_string());
                }
                self.handle_token(token, route).await
            }
            Frame::End(end) => {
                let id = journal::Frame {
                    request: &end.request,
                    attempt: end.attempt,
                };
                let verdict = self.running.journal().accept_end(id, end.tokens);
                match verdict {
                    Verdict::Accept => Progress::End(AttemptEnd::Completed(end)),
                    Verdict::Drop(reason) => self.reject_frame(&reason.to_string()),
                }
            }
            Frame::Broken(broken) => {
                let id = journal::Frame {
                    request: &broken.request,
                    attempt: broken.attempt,
                };
                let verdict = self.running.journal().accept_other(id);
                match verdict {
                    Verdict::Accept => Progress::End(AttemptEnd::Broken(broken.runner)),
                    Verdict::Drop(reason) => self.reject_frame(&reason.to_string()),
                }
            }
        }
    }

    async fn handle_token(&mut self, token: TokenFrame, route: &Route) -> Progress {
        let event = Event::Token {
            attempt: token.attempt,
            index: token.index,
        };
        self.running.record_or_log(event);
        self.on_token_received();
        self.retry_states.record_token(route);
        self.cx.router().record_token(self.cx.clock.now(), route);
        self.tokens.push(token.text.clone());
        fault_point::reach(Step::Streaming).await;
        let sent = self.tx.send(AnswerPart::Token(token.text)).await;
        self.on_token_forwarded();
        match sent {
            Ok(()) => Progress::Continue,
            Err(_) => Progress::End(AttemptEnd::CallerLeft),
        }
    }

    fn reject_frame(&self, reason: &str) -> Progress {
        warn!(request = self.running.request.as_ref(); "frame rejected: {reason}");
        metrics::counter!("jacinthweir_frames_dropped_total").increment(1);
        Progress::End(AttemptEnd::Broken(None))
    }

    pub(crate) fn record_end(&self, attempt: u32, end: &AttemptEnd) {
        let event = match end {
            AttemptEnd::Completed(end) => Event::Ended {
                attempt,
                tokens: end.tokens,
            },
            AttemptEnd::Refused(_) => Event::RefusedByUpstream { attempt },
            AttemptEnd::NeverSent => Event::NeverSent { attempt },
            AttemptEnd::Broken(runner) => {
                let cause = runner
                    .clone()
                    .unwrap_or_else(|| Name::from("stream broke off"));
                Event::Lost { attempt, cause }
            }
            AttemptEnd::Stalled(_) => Event::Lost {
                attempt,
                cause: "no frame in time".into(),
            },
            AttemptEnd::DeadlinePassed => Event::Lost {
                attempt,
                cause: "deadline".into(),
            },
            AttemptEnd::CallerLeft => Event::Lost {
                attempt,
                cause: "caller left".into(),
            },
        };
        self.running.record_or_log(event);
    }

    /// Asks the runner of the first stage, which drives the others, to cancel the attempt.
    ///
    /// This is best effort: late frames are rejected by their attempt number anyway.
    fn cancel(&self, req: &RunRequest) {
        let Some(first) = req.route.first().map(|s| s.address) else {
            return;
        };
        let msg = CancelRequest {
            request: req.request.clone(),
            attempt: req.attempt,
        };
        let cx = Arc::clone(&self.cx);
        self.cx.tasks.spawn(async move {
            if let Err(e) = cx.runners.cancel(first, &msg).await {
                debug!(
                    request = msg.request.as_ref();
                    "cancelling attempt {} failed: {e}", msg.attempt
                );
            }
        });
    }
}
