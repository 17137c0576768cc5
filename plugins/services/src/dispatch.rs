//! Sends a call to upstreams of its service: each attempt is in the journal as handed over before
//! its first byte may go out, and only the policy gives it another one.

use std::time::Duration;

use jacinthweir_clients::ClientError;
use jacinthweir_clients::service::{ServiceAnswer, ServiceCall};
use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::journal::{Event, Idempotency};
use jacinthweir_policy::listed::ListedInstance;
use jacinthweir_policy::retry::{self, AttemptFailure, Decision, GiveUp, TimeLeft};
use jacinthweir_policy::schema::compiled::GroupServes;
use jacinthweir_wire::caller::ErrorCode;
use rand::seq::IndexedRandom;

use crate::answer::{NoReply, ServiceReply};
use crate::driver::Driver;

/// Least time left for which another attempt is made, in milliseconds.
const LEAST_TIME_MS: u64 = 10;

/// How the dispatch of a call ended.
pub(crate) enum Sent {
    /// The service gave its whole answer.
    Replied {
        /// Upstream's name.
        upstream: Name,
        reply: ServiceReply,
    },
    /// It did not; whether any of it ran is in the journal.
    NoReply {
        /// Upstream of the last attempt, if there was one.
        upstream: Option<Name>,
        why: NoReply,
    },
}

/// How one attempt ended.
enum AttemptEnd {
    Replied(ServiceReply),
    Bad(AttemptFailure, String),
}

impl Driver {
    /// Sends the call until an upstream answers or no further attempt may be made.
    pub(crate) async fn dispatch(&mut self) -> Sent {
        let mut tried: Vec<Name> = Vec::new();
        let mut attempt = 1;
        let mut last = NoReply::new(ErrorCode::NoCapacity, "no upstream of the service is there")
            .come_back(None);
        loop {
            let Some(upstream) = self.pick(&tried) else {
                return no_reply(tried.pop(), last);
            };
            let name = upstream.name.clone();
            let (end, cause) = match self.attempt(attempt, &upstream).await {
                AttemptEnd::Replied(reply) => {
                    self.shared.budget().record_success();
                    let upstream = name;
                    return Sent::Replied { upstream, reply };
                }
                AttemptEnd::Bad(end, cause) => (end, cause),
            };
            info!(request = self.running.request.as_ref(); "attempt {attempt} at {name}: {cause}");
            last = self.no_reply_after(end, &name, &cause);
            tried.push(name);
            match self.decide(end) {
                Decision::Retry { attempt: next, .. } => attempt = next,
                Decision::GiveUp(why) => return no_reply(tried.pop(), given_up(why, last)),
            }
        }
    }

    fn decide(&self, end: AttemptFailure) -> Decision {
        let time = TimeLeft {
            left_ms: self.remaining_ms(),
            needed_ms: LEAST_TIME_MS,
        };
        let now = self.cx.clock.now();
        let mut budget = self.shared.budget();
        retry::decide(now, &self.running.journal(), end, time, &mut budget)
    }

    /// An upstream of the service that is open for new work and was not tried.
    fn pick(&self, tried: &[Name]) -> Option<ListedInstance> {
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

    /// Makes one attempt.
    async fn attempt(&mut self, attempt: u32, upstream: &ListedInstance) -> AttemptEnd {
        let handed = Event::Dispatched {
            attempt,
            upstream: upstream.name.clone(),
        };
        if let Err(fault) = self.running.record(handed) {
            error!(request = self.running.request.as_ref(); "not sent: {fault}");
            return AttemptEnd::Bad(AttemptFailure::BrokenOff, fault.to_string());
        }
        fault_point::reach(Step::CallHanded).await;
        // The time left is read after the hand-over was recorded, on both clocks: an instance that
        // was frozen until after the deadline sends nothing.
        let call = self.service_call(attempt, upstream);
        if call.timeout.is_zero() {
            self.running.note(Event::NeverSent { attempt });
            return AttemptEnd::Bad(AttemptFailure::NeverSent, "deadline passed".to_owned());
        }
        let result = self.cx.services.call(&call).await;
        self.settle(attempt, result)
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

    fn settle(&self, attempt: u32, result: Result<ServiceAnswer, ClientError>) -> AttemptEnd {
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
                (refused, AttemptEnd::Bad(end, "refused".to_owned()))
            }
            Err(e @ ClientError::NoEffect { .. }) => {
                let never = Event::NeverSent { attempt };
                (
                    never,
                    AttemptEnd::Bad(AttemptFailure::NeverSent, e.to_string()),
                )
            }
            Err(e) => {
                let cause = e.to_string();
                let lost = Event::Lost {
                    attempt,
                    cause: cause.as_str().into(),
                };
                (lost, AttemptEnd::Bad(AttemptFailure::BrokenOff, cause))
            }
        };
        self.running.note(event);
        end
    }

    fn no_reply_after(&self, end: AttemptFailure, upstream: &Name, cause: &str) -> NoReply {
        match end {
            AttemptFailure::Refused { retry_after_ms } => {
                let after = Some(retry_after_ms).filter(|ms| *ms > 0);
                NoReply::new(ErrorCode::NoCapacity, "the service refused the call").come_back(after)
            }
            AttemptFailure::NeverSent => {
                NoReply::new(ErrorCode::NoCapacity, format!("{upstream} is not reached"))
                    .come_back(None)
            }
            AttemptFailure::BrokenOff => match (self.accepted.repeat, self.remaining_ms()) {
                (Idempotency::NonIdempotent, _) => {
                    let instance = &self.cx.settings.name;
                    let msg = format!(
                        "{instance} sent the call to {upstream} and its answer is lost: {cause}"
                    );
                    NoReply::new(ErrorCode::OutcomeUnknown, msg)
                }
                (Idempotency::Idempotent, 0) => {
                    NoReply::new(ErrorCode::DeadlineExceeded, "the deadline passed")
                }
                (Idempotency::Idempotent, _) => {
                    let msg = format!("the answer of {upstream} is lost: {cause}");
                    NoReply::new(ErrorCode::UpstreamFailed, msg)
                }
            },
        }
    }
}

fn no_reply(upstream: Option<Name>, why: NoReply) -> Sent {
    Sent::NoReply { upstream, why }
}

/// What the last attempt said stands, but for a deadline that passed before any of it ran.
fn given_up(why: GiveUp, last: NoReply) -> NoReply {
    match (why, last.code) {
        (GiveUp::Deadline, ErrorCode::NoCapacity) => {
            let msg = "the deadline passed before an upstream took the call";
            NoReply::new(ErrorCode::Overloaded, msg).come_back(None)
        }
        _ => last,
    }
}
