//! Sends a call to upstreams of its service.
//!
//! The hand-over of each attempt is recorded in the journal before its first byte may be sent, and
//! only the policy decides on a retry.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_clients::service::{ServiceAnswer, ServiceCall};
use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::fingerprint::Fingerprint;
use jacinthweir_policy::journal::{Event, Idempotency};
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::listed::ListedInstance;
use jacinthweir_policy::quarantine::{BrokenRun, RunSubject};
use jacinthweir_policy::retry::{self, AttemptFailure, Decision, GiveUp, TimeLeft};
use jacinthweir_policy::schema::compiled::GroupServes;
use jacinthweir_wire::caller::ErrorCode;
use rand::seq::IndexedRandom;

use crate::answer::{CallFailure, ServiceReply};
use crate::driver::Driver;

/// Minimum time before the deadline for another attempt, in milliseconds.
const MIN_ATTEMPT_TIME_MS: u64 = 10;

/// Result of dispatching a call.
pub(crate) enum DispatchResult {
    /// The service answered in full.
    Replied { upstream: Name, reply: ServiceReply },
    /// There is no answer; the journal tells whether any of the call ran.
    Failed {
        /// Upstream of the last attempt, if any was made.
        upstream: Option<Name>,
        failure: CallFailure,
    },
}

/// Result of one attempt.
enum AttemptEnd {
    Replied(ServiceReply),
    Failed(AttemptFailure, String),
}

impl Driver {
    /// Sends the call until an upstream answers or no further attempt may be made.
    pub(crate) async fn dispatch(&mut self) -> DispatchResult {
        let mut tried: Vec<Name> = Vec::new();
        let mut attempt = 1;
        let mut last_failure =
            CallFailure::new(ErrorCode::NoCapacity, "no upstream of the service is there")
                .with_retry_after(None);
        let subject = self.subject();
        loop {
            let deadline = self.accepted.deadline.mono_ms;
            if let Some(ms) = self.cx.quarantined_ms(&subject, deadline).await {
                let msg = "upstreams crash when they run this call";
                let failure = CallFailure::new(ErrorCode::Quarantined, msg);
                return failed(tried.pop(), failure.with_retry_after(Some(ms)));
            }
            let Some(upstream) = self.pick_upstream(&tried) else {
                return failed(tried.pop(), last_failure);
            };
            let name = upstream.name.clone();
            let sent_ms = self.cx.clock.now();
            let (end, cause) = match self.run_attempt(attempt, &upstream).await {
                AttemptEnd::Replied(reply) => {
                    self.cx.record_survival(&subject);
                    self.limits.budget().record_success();
                    let upstream = name;
                    return DispatchResult::Replied { upstream, reply };
                }
                AttemptEnd::Failed(end, cause) => (end, cause),
            };
            info!(
                request = self.running.request.as_ref();
                "attempt {attempt} at {name} failed: {cause}"
            );
            if end == AttemptFailure::BrokenOff {
                self.record_broken_run(&subject, &upstream, sent_ms);
            }
            last_failure = self.failure_after(end, &name, &cause);
            tried.push(name);
            match self.decide(end) {
                Decision::Retry { attempt: next, .. } => attempt = next,
                Decision::GiveUp(reason) => {
                    return failed(tried.pop(), final_failure(reason, last_failure));
                }
            }
        }
    }

    /// Returns what is counted against the call if it crashes an upstream.
    fn subject(&self) -> RunSubject {
        let accepted = &self.accepted;
        let org = Some(&*accepted.caller.organisation);
        RunSubject {
            request: Fingerprint::of(org, "", &accepted.target(), &accepted.body),
            parts: Arc::default(),
        }
    }

    fn record_broken_run(&self, subject: &RunSubject, upstream: &ListedInstance, sent_ms: Millis) {
        self.cx.record_broken_run(BrokenRun {
            subject: subject.clone(),
            through: vec![Lifetime {
                runner: upstream.name.clone(),
                born_ms: upstream.incarnation,
            }],
            seen_by: self.cx.settings.name.clone(),
            sent_ms,
            ran_ms: None,
            at_ms: self.cx.clock.now(),
        });
    }

    fn decide(&self, failure: AttemptFailure) -> Decision {
        let time = TimeLeft {
            left_ms: self.remaining_ms(),
            needed_ms: MIN_ATTEMPT_TIME_MS,
        };
        let now = self.cx.clock.now();
        let mut budget = self.limits.budget();
        retry::decide(now, &self.running.journal(), failure, time, &mut budget)
    }

    /// Picks an upstream of the service that is open for new work and was not tried yet.
    fn pick_upstream(&self, tried: &[Name]) -> Option<ListedInstance> {
        let schema = &self.accepted.config.schema;
        let serves = GroupServes::Service(self.accepted.service);
        let groups = schema.groups().values().filter(|g| g.serves == serves);
        let upstreams = self.cx.upstreams();
        let open: Vec<&ListedInstance> = groups
            .flat_map(|g| upstreams.open_in(&g.name))
            .filter(|listed| !tried.contains(&listed.name))
            .collect();
        open.choose(&mut rand::rng())
            .map(|listed| (*listed).clone())
    }

    async fn run_attempt(&mut self, attempt: u32, upstream: &ListedInstance) -> AttemptEnd {
        let handed = Event::Dispatched {
            attempt,
            upstream: upstream.name.clone(),
        };
        if let Err(fault) = self.running.record(handed) {
            error!(
                request = self.running.request.as_ref();
                "attempt not sent: the journal refused its hand-over: {fault}"
            );
            return AttemptEnd::Failed(AttemptFailure::BrokenOff, fault.to_string());
        }
        fault_point::reach(Step::CallHanded).await;
        // The remaining time is read on both clocks after the hand-over was recorded, so that an
        // instance that was suspended past the deadline sends nothing.
        let call = self.service_call(attempt, upstream);
        if call.timeout.is_zero() {
            self.running.record_or_log(Event::NeverSent { attempt });
            return AttemptEnd::Failed(AttemptFailure::NeverSent, "deadline passed".to_owned());
        }
        let result = self.cx.services.call(&call).await;
        self.record_end(attempt, result)
    }

    fn service_call(&self, attempt: u32, upstream: &ListedInstance) -> ServiceCall {
        let key = self.accepted.key.as_ref();
        ServiceCall {
            address: upstream.address,
            call: self.accepted.call.to_string(),
            request: self.running.request.to_string(),
            attempt,
            key: key.map(|key| key.key().to_string()),
            content_type: self.accepted.content_type.clone(),
            body: self.accepted.body.clone(),
            timeout: Duration::from_millis(self.remaining_ms()),
        }
    }

    fn record_end(&self, attempt: u32, result: Result<ServiceAnswer, ClientError>) -> AttemptEnd {
        let (event, end) = match result {
            Ok(ServiceAnswer::Answered {
                status,
                content_type,
                body,
            }) => {
                let reply = ServiceReply {
                    status,
                    content_type,
                    body,
                };
                let ended = Event::Ended { attempt, tokens: 0 };
                (ended, AttemptEnd::Replied(reply))
            }
            Ok(ServiceAnswer::Refused { retry_after_ms }) => {
                let retry_after_ms = retry_after_ms.unwrap_or(0);
                let end = AttemptFailure::Refused { retry_after_ms };
                let refused = Event::RefusedByUpstream { attempt };
                (refused, AttemptEnd::Failed(end, "refused".to_owned()))
            }
            Err(e @ ClientError::NoEffect { .. }) => {
                let never = Event::NeverSent { attempt };
                (
                    never,
                    AttemptEnd::Failed(AttemptFailure::NeverSent, e.to_string()),
                )
            }
            Err(e) => {
                let cause = e.to_string();
                let lost = Event::Lost {
                    attempt,
                    cause: cause.as_str().into(),
                };
                (lost, AttemptEnd::Failed(AttemptFailure::BrokenOff, cause))
            }
        };
        self.running.record_or_log(event);
        end
    }

    fn failure_after(&self, failure: AttemptFailure, upstream: &Name, cause: &str) -> CallFailure {
        match failure {
            AttemptFailure::Refused { retry_after_ms } => {
                let after = Some(retry_after_ms).filter(|ms| *ms > 0);
                CallFailure::new(ErrorCode::NoCapacity, "the service refused the call")
                    .with_retry_after(after)
            }
            AttemptFailure::NeverSent => {
                CallFailure::new(ErrorCode::NoCapacity, format!("{upstream} is not reached"))
                    .with_retry_after(None)
            }
            AttemptFailure::BrokenOff => match (self.accepted.repeat, self.remaining_ms()) {
                (Idempotency::NonIdempotent, _) => {
                    let instance = &self.cx.settings.name;
                    let msg = format!(
                        "{instance} sent the call to {upstream} and its answer is lost: {cause}"
                    );
                    CallFailure::new(ErrorCode::OutcomeUnknown, msg)
                }
                (Idempotency::Idempotent, 0) => {
                    CallFailure::new(ErrorCode::DeadlineExceeded, "the deadline passed")
                }
                (Idempotency::Idempotent, _) => {
                    let msg = format!("the answer of {upstream} is lost: {cause}");
                    CallFailure::new(ErrorCode::UpstreamFailed, msg)
                }
            },
        }
    }
}

fn failed(upstream: Option<Name>, failure: CallFailure) -> DispatchResult {
    DispatchResult::Failed { upstream, failure }
}

/// Returns the failure to report once no further attempt is made: that of the last attempt, unless
/// the deadline passed before anything ran.
fn final_failure(reason: GiveUp, last_failure: CallFailure) -> CallFailure {
    match (reason, last_failure.code) {
        (GiveUp::Deadline, ErrorCode::NoCapacity) => {
            let msg = "the deadline passed before an upstream took the call";
            CallFailure::new(ErrorCode::Overloaded, msg).with_retry_after(None)
        }
        _ => last_failure,
    }
}
