//! One attempt at a route of model runners.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_clients::runner::{Frames, RunStart};
use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::journal::{self, Event, Verdict};
use jacinthweir_policy::route::Route;
use jacinthweir_wire::runner::*;
use tokio::time::timeout;

use crate::driver::{Driver, Told};

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// The whole answer is with the caller.
    Whole(EndFrame),
    /// The runner refused before anything ran.
    Refused(Refused),
    /// No byte of the attempt was sent.
    NeverSent,
    /// It broke off; the runner at fault, where known.
    Broken(Option<Name>),
    /// No frame came in time.
    Stalled,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller went away.
    CallerLeft,
}

/// The route as operators read it: each runner with its layers, in order.
fn describe(route: &Route) -> Name {
    let stages = route.stages.iter();
    let stages: Vec<String> = stages.map(|s| format!("{} {}", s.name, s.layers)).collect();
    Name::from(stages.join(", "))
}

/// What to do after a frame.
enum Next {
    Frame,
    End(AttemptEnd),
}

impl Driver {
    /// Runs attempt `number` along `route`.
    ///
    /// The attempt is in the journal as handed over before the first byte may go out.
    pub(crate) async fn attempt(&mut self, number: u32, route: &Route) -> AttemptEnd {
        let handed = Event::Dispatched {
            attempt: number,
            upstream: describe(route),
        };
        if let Err(fault) = self.running.record(handed) {
            error!(request = self.running.request.as_ref(); "not sent: {fault}");
            return AttemptEnd::NeverSent;
        }
        fault_point::reach(Step::Handed).await;
        let req = self.run_request(number, route);
        self.await_first();
        let end = self.run(&req, route).await;
        self.settle(number, &end);
        if !matches!(
            end,
            AttemptEnd::Whole(_) | AttemptEnd::Refused(_) | AttemptEnd::NeverSent
        ) {
            self.cancel(&req);
        }
        end
    }

    fn run_request(&self, attempt: u32, route: &Route) -> RunRequest {
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

    async fn run(&mut self, req: &RunRequest, route: &Route) -> AttemptEnd {
        let cx = Arc::clone(&self.cx);
        let started = timeout(self.frame_wait(), cx.runners.run(req)).await;
        let mut frames = match started {
            Err(_) if self.remaining() == Duration::ZERO => return AttemptEnd::DeadlinePassed,
            Err(_) => {
                self.note_stall();
                return AttemptEnd::Stalled;
            }
            Ok(Err(e)) => return self.not_started(&e, route),
            Ok(Ok(RunStart::Refused(refused))) => return AttemptEnd::Refused(refused),
            Ok(Ok(RunStart::Accepted(frames))) => frames,
        };
        loop {
            match self.next_frame(&mut frames, req, route).await {
                Next::Frame => {}
                Next::End(end) => return end,
            }
        }
    }

    fn not_started(&self, e: &ClientError, route: &Route) -> AttemptEnd {
        let first = route.stages.first().map(|s| s.name.clone());
        info!(request = self.running.request.as_ref(); "attempt not started: {e}");
        match e {
            ClientError::NoEffect { .. } => AttemptEnd::NeverSent,
            ClientError::Unknown { .. } | ClientError::BadAnswer { .. } => {
                AttemptEnd::Broken(first)
            }
        }
    }

    async fn next_frame(&mut self, frames: &mut Frames, req: &RunRequest, route: &Route) -> Next {
        let wait = self.frame_wait();
        let received = tokio::select! {
            received = timeout(wait, frames.next()) => received,
            () = self.tx.closed() => return Next::End(AttemptEnd::CallerLeft),
        };
        let first = || route.stages.first().map(|s| s.name.clone());
        match received {
            Err(_) if self.remaining() == Duration::ZERO => Next::End(AttemptEnd::DeadlinePassed),
            Err(_) => {
                info!(request = req.request.as_ref(); "no frame for {} ms", wait.as_millis());
                self.note_stall();
                Next::End(AttemptEnd::Stalled)
            }
            Ok(Err(e)) => {
                info!(request = req.request.as_ref(); "attempt {} lost: {e}", req.attempt);
                Next::End(AttemptEnd::Broken(first()))
            }
            Ok(Ok(None)) => {
                info!(request = req.request.as_ref(); "attempt {} ended early", req.attempt);
                Next::End(AttemptEnd::Broken(first()))
            }
            Ok(Ok(Some(frame))) => self.take_frame(frame, route).await,
        }
    }

    /// Takes one frame. A frame of another request, attempt or index ends the attempt: the
    /// connection it came on can no longer be trusted to carry this answer.
    async fn take_frame(&mut self, frame: Frame, route: &Route) -> Next {
        match frame {
            Frame::Token(token) => {
                let id = journal::Frame {
                    request: &token.request,
                    attempt: token.attempt,
                };
                let verdict = self.running.journal().accept(id, token.index);
                if let Verdict::Drop(reason) = verdict {
                    return self.dropped(&reason.to_string());
                }
                self.take_token(token, route).await
            }
            Frame::End(end) => {
                let id = journal::Frame {
                    request: &end.request,
                    attempt: end.attempt,
                };
                let verdict = self.running.journal().accept_end(id, end.tokens);
                match verdict {
                    Verdict::Accept => Next::End(AttemptEnd::Whole(end)),
                    Verdict::Drop(reason) => self.dropped(&reason.to_string()),
                }
            }
            Frame::Broken(broken) => {
                let id = journal::Frame {
                    request: &broken.request,
                    attempt: broken.attempt,
                };
                let verdict = self.running.journal().accept_other(id);
                match verdict {
                    Verdict::Accept => Next::End(AttemptEnd::Broken(broken.runner)),
                    Verdict::Drop(reason) => self.dropped(&reason.to_string()),
                }
            }
        }
    }

    async fn take_token(&mut self, token: TokenFrame, route: &Route) -> Next {
        let event = Event::Token {
            attempt: token.attempt,
            index: token.index,
        };
        self.running.note(event);
        self.token_came();
        self.paces.token(route);
        self.cx.router().record_token(self.cx.clock.now(), route);
        self.tokens.push(token.text.clone());
        fault_point::reach(Step::Streaming).await;
        let sent = self.tx.send(Told::Token(token.text)).await;
        self.token_passed_on();
        match sent {
            Ok(()) => Next::Frame,
            Err(_) => Next::End(AttemptEnd::CallerLeft),
        }
    }

    fn dropped(&self, reason: &str) -> Next {
        warn!(request = self.running.request.as_ref(); "frame dropped: {reason}");
        metrics::counter!("jacinthweir_frames_dropped_total").increment(1);
        Next::End(AttemptEnd::Broken(None))
    }

    fn settle(&self, attempt: u32, end: &AttemptEnd) {
        let event = match end {
            AttemptEnd::Whole(end) => Event::Ended {
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
            AttemptEnd::Stalled => Event::Lost {
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
        self.running.note(event);
    }

    /// Tells the first stage to stop; it drives the others. Best effort: the attempt number
    /// already keeps its late frames out.
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
                debug!(request = msg.request.as_ref(); "cancel of attempt {}: {e}", msg.attempt);
            }
        });
    }
}
