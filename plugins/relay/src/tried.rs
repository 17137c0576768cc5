//! Sending a request into chains, one after the other, and what each attempt leaves behind.

use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode};
use jacinthweir_clients::direct::AnswerBody;
use jacinthweir_platform::header;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::attempts::Attempts;
use tokio::time::timeout;

use crate::admit;
use crate::answer::Journal;
use crate::attempt::{self, Sent};
use crate::breaks::{self, BrokenOff, Progress};
use crate::live_chains::{InFlight, LiveChain};
use crate::node::Node;
use crate::probe;
use crate::quarantine::lifetimes;
use crate::request::Proxied;

/// What came of sending a request into a chain.
pub(crate) enum Opened {
    /// The head of an answer.
    Stream(InFlight, Response<AnswerBody>),
    /// A runner says that it did not run the request.
    NotRun,
    /// No connection to the first runner.
    Unreached,
    /// A part is known to be dead.
    Broken,
    /// No answer, or not this request's: it may have run.
    Lost,
    /// The request's time is over.
    Timeout,
}

/// Which chains one request has tried.
#[derive(Default)]
pub(crate) struct Tried {
    pub(crate) journal: Journal,
    attempts: Attempts,
    /// Chains that refused it, or broke under it.
    pub(crate) left: Vec<Rc<LiveChain>>,
}

impl Tried {
    /// Whether the request may be sent through a chain.
    pub(crate) fn may_take(&self, node: &Node, rq: &Proxied, live: &LiveChain) -> bool {
        let left = self.left.iter().any(|l| std::ptr::eq(&raw const **l, live));
        let runners = node.runners.borrow();
        let ended = |id: &Name, born_ms: u64| {
            // One that does not answer us may live: only its entry's end is certain.
            runners.entry(id).is_none_or(|e| e.born_ms != born_ms)
        };
        let (id, born_ms) = live.head();
        !left && self.attempts.allows(id, born_ms, rq.max_attempts, ended)
    }

    /// Whether the request may not be sent any more, whatever chain there is.
    pub(crate) fn is_spent(&self, rq: &Proxied) -> bool {
        self.attempts.is_exhausted(rq.max_attempts)
    }

    /// Sends the request through a chain, and notes what came of it.
    pub(crate) async fn open(
        &mut self,
        node: &Rc<Node>,
        rq: &Proxied,
        live: &Rc<LiveChain>,
        after: Option<u64>,
    ) -> Opened {
        let (id, born_ms) = live.head();
        let ran_before = self.attempts.may_have_run(id, born_ms);
        self.journal.hand();
        self.attempts.record_sent(id, born_ms);
        let opened = open(node, rq, live, after).await;
        match opened {
            Opened::NotRun | Opened::Unreached => {
                match opened {
                    Opened::Unreached => self.journal.unreached(),
                    _ => self.journal.not_run(),
                }
                self.attempts.record_not_run(id, born_ms, ran_before);
                self.left.push(Rc::clone(live));
            }
            Opened::Broken => self.left.push(Rc::clone(live)),
            // A lost answer says nothing against the chain.
            Opened::Lost | Opened::Stream(..) | Opened::Timeout => {}
        }
        opened
    }
}

/// Sends a request into a chain and waits for the head.
async fn open(node: &Rc<Node>, rq: &Proxied, live: &Rc<LiveChain>, after: Option<u64>) -> Opened {
    let in_flight = InFlight::open(node, Rc::clone(live), admit::tokens(rq));
    let head = live.chain.head();
    let mut req = rq.to_send(node, &head.id);
    if let Some(value) = header::value(&header::chain(&live.chain)) {
        req.headers_mut().insert(header::CHAIN, value);
    }
    if let Some(after) = after {
        req.headers_mut().insert(header::LAST_EVENT, after.into());
    }
    log_sent(node, rq, live);
    let left = Duration::from_millis(rq.left_ms(node));
    let sent = tokio::select! {
        sent = timeout(left, attempt::send(node, head, &rq.id, req)) => sent,
        () = live.broken.cancelled() => {
            log_attempt(rq, live, "chain broke", "");
            note_waiting(node, rq, &in_flight, "chain broke");
            return Opened::Broken;
        }
    };
    match sent {
        Ok(Sent::Answer(res)) => {
            live.refusals.borrow_mut().record_accepted(node.now());
            Opened::Stream(in_flight, res)
        }
        Ok(Sent::NotRun { status, at_fault }) => {
            let at_fault_shown = at_fault.map_or_else(String::new, |a| a.to_string());
            let cause = format!("{status} at {at_fault_shown}");
            log_attempt(rq, live, "not run", &cause);
            live.refusals.borrow_mut().record_refused(node.now());
            if let Some(address) = at_fault.filter(|_| status == StatusCode::MISDIRECTED_REQUEST) {
                misreported(node, address);
            }
            Opened::NotRun
        }
        Ok(Sent::Unreached(e)) => {
            log_attempt(rq, live, "not reached", &e.to_string());
            probe::not_reached(node, head, &e);
            Opened::Unreached
        }
        Ok(Sent::Lost(cause)) => {
            log_attempt(rq, live, "lost", &cause);
            note_waiting(node, rq, &in_flight, &cause);
            Opened::Lost
        }
        Err(_) => {
            log_attempt(rq, live, "timeout", "");
            Opened::Timeout
        }
    }
}

/// A run broke off of which nothing had come.
fn note_waiting(node: &Rc<Node>, rq: &Proxied, in_flight: &InFlight, cause: &str) {
    let broken = BrokenOff {
        rq,
        through: lifetimes(&in_flight.live.chain),
        sent_ms: in_flight.sent_ms,
        progress: Progress::Waited,
        cause,
    };
    breaks::note(node, broken);
}

/// What the choice of a chain was made from.
fn log_sent(node: &Node, rq: &Proxied, live: &LiveChain) {
    log::info!(
        request = rq.id.as_ref(),
        route = rq.route.as_ref(),
        version = rq.version(),
        chain = live.label(),
        runner = live.chain.head().id.as_ref(),
        tokens = admit::tokens(rq) as u64,
        used = live.used_tokens() as u64,
        room = live.chain.room_tokens as u64,
        after_ms = node.now() - rq.received_ms;
        "sent"
    );
}

/// A runner does not hold what its entry says: it is passed over until its entry changes.
fn misreported(node: &Node, address: std::net::SocketAddr) {
    let found = {
        let runners = node.runners.borrow();
        runners.at(address).map(|e| (e.id.clone(), e.layers))
    };
    let Some((id, layers)) = found else {
        return;
    };
    if let Some(s) = node.runners.borrow_mut().health_mut(&id) {
        s.misreported = layers;
    }
    log::warn!(runner = id.as_ref(), layers:? = layers; "runner does not hold what its entry says");
    node.rebuild_chains();
}

fn log_attempt(rq: &Proxied, live: &LiveChain, outcome: &str, cause: &str) {
    log::info!(
        request = rq.id.as_ref(),
        chain = live.label(),
        runner = live.chain.head().id.as_ref(),
        outcome,
        cause;
        "attempt"
    );
}
