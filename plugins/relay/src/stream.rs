//! Streams of events through a chain of runners.
//!
//! Until a runner's head has come, another chain may take the request. Afterwards the caller has a
//! status and a receipt: a run that breaks is then gone on with by another one inside the same
//! answer, from the event behind the last whole one, or the caller's connection is cut.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::unfold;
use http::{Response, StatusCode};
use jacinthweir_clients::direct::AnswerBody;
use jacinthweir_platform::{header, runner};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::chain_selection;
use jacinthweir_policy::retry_priority::RetryPriority;
use tokio::time::{sleep, timeout};

use crate::admit::{self, Place};
use crate::answer::{Cause, Cut, Journal, RelayBody};
use crate::breaks::{self, BrokenOff, Progress};
use crate::events::Events;
use crate::live_chains::{InFlight, LiveChain};
use crate::node::Node;
use crate::quarantine;
use crate::request::{Proxied, count};
use crate::tried::{Opened, Tried};

/// Part of its caller's patience after the last event within which a run must be gone on with: the
/// first event of the new run has to come within the rest.
const PATIENCE_SHARE: f64 = 0.85;

/// Part of it up to which a run waits for a holder of the layers that its chain lost: most are loaded
/// within a second, and a new run must still fit within [`PATIENCE_SHARE`] if they are not.
const REROUTE_SHARE: f64 = 0.65;

/// Time that a new run takes to its first event, in milliseconds: 40 to 80 where a chain is not
/// reading much else.
const READ_MS: Millis = 80;

/// Time that a runner has to answer the order to go on along another chain.
const REROUTE_ANSWER: Duration = Duration::from_millis(250);

/// Longest pause between looks for a chain that can go on with a run: loads of other instances
/// change without a notice.
const LOOK: Duration = Duration::from_millis(20);

/// Serves a request through a chain.
pub(crate) async fn serve(node: &Rc<Node>, rq: Proxied) -> Response<RelayBody> {
    node.count_request(&rq.service);
    let mut tried = Tried::default();
    let cause = loop {
        let until = admit::until(node, &rq, tried.journal);
        if let Some(held_ms) = quarantine::quarantined_ms(node, &rq, until).await {
            return rq.not_answered(node, tried.journal, Cause::Held, held_ms);
        }
        let may_take = |live: &LiveChain| tried.may_take(node, &rq, live);
        let live = match admit::wait(node, &rq, may_take, until).await {
            Ok(live) => live,
            Err(cause) => break cause,
        };
        // It may have become known while this waited for room.
        if let Some(held_ms) = quarantine::quarantined_ms(node, &rq, until).await {
            return rq.not_answered(node, tried.journal, Cause::Held, held_ms);
        }
        if tried.journal.sends > 0 && !node.take_retry(&rq.service, tried.journal.need()) {
            break Cause::RunnerFailed;
        }
        match tried.open(node, &rq, &live, rq.last_event).await {
            Opened::Stream(in_flight, res) => return pass_on(node, rq, in_flight, res, tried),
            Opened::Timeout => break Cause::Timeout,
            Opened::NotRun | Opened::Unreached | Opened::Broken | Opened::Lost => {}
        }
        if tried.journal.may_have_run() && !rq.class.repeatable() {
            break Cause::RunnerFailed;
        }
    };
    refuse(node, &rq, tried.journal, cause)
}

fn refuse(node: &Node, rq: &Proxied, journal: Journal, cause: Cause) -> Response<RelayBody> {
    let retry_after_ms = node
        .shortage
        .borrow_mut()
        .record_refused(node.now(), node.random_f64());
    rq.not_answered(node, journal, cause, retry_after_ms)
}

/// Passes a runner's answer on.
fn pass_on(
    node: &Rc<Node>,
    rq: Proxied,
    in_flight: InFlight,
    res: Response<AnswerBody>,
    tried: Tried,
) -> Response<RelayBody> {
    let (parts, body) = res.into_parts();
    let now = node.now();
    in_flight.record_bytes();
    metrics::histogram!("jacinthweir_first_event_seconds")
        .record((now - rq.received_ms) as f64 / 1e3);
    let run = Run {
        events: Events::after(rq.last_event),
        ok: parts.status.is_success(),
        heard_ms: now,
        first_ms: now,
        began_ms: now,
        longest_gap_ms: 0,
        resumed: 0,
        tried,
        in_flight: Some(in_flight),
        body: Some(body),
        node: Rc::clone(node),
        rq,
        ended: false,
    };
    let stream = unfold(run, |mut run| async {
        let item = run.next().await?;
        Some((item, run))
    });
    let mut out = Response::new(RelayBody::stream(stream));
    *out.status_mut() = parts.status;
    *out.headers_mut() = header::passed_on(&parts.headers);
    out
}

/// A stream that is passed on.
struct Run {
    node: Rc<Node>,
    rq: Proxied,
    in_flight: Option<InFlight>,
    body: Option<AnswerBody>,
    events: Events,
    /// Whether it is a success: only then are its bytes events.
    ok: bool,
    heard_ms: Millis,
    /// When the head of the answer came.
    first_ms: Millis,
    /// When the head of the run that is passed on came.
    began_ms: Millis,
    /// Longest time between two reads of events: what makes a whole answer late.
    longest_gap_ms: Millis,
    resumed: u32,
    tried: Tried,
    ended: bool,
}

/// Why no other run went on with a stream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
enum GivenUp {
    #[display("it must not run again")]
    NotRepeatable,
    #[display("no repeat left")]
    NoRepeat,
    #[display("no attempt left")]
    NoAttempt,
    #[display("no chain took it in time")]
    NoChain,
    #[display("the next chain did not take it")]
    NextRefused,
    #[display("the next chain broke")]
    NextBroke,
    #[display("the next run was lost")]
    NextLost,
    #[display("the next run failed")]
    NextFailed,
    #[display("its runners end under it")]
    Held,
    #[display("out of time")]
    OutOfTime,
}

/// What came next.
enum Next {
    Bytes(Bytes),
    End,
    Broke(String),
    ChainBroke,
    Timeout,
}

impl Run {
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        while !self.ended {
            match self.read().await {
                Next::Bytes(bytes) if !self.ok => return Some(Ok(bytes)),
                Next::Bytes(bytes) => {
                    self.heard();
                    let pushed = self.events.push(&bytes);
                    self.count_tokens();
                    match pushed {
                        Ok(whole) if whole.is_empty() => {}
                        Ok(whole) => return Some(Ok(whole)),
                        Err(e) => return self.cut(e.to_string(), None),
                    }
                }
                Next::End if !(self.ok && self.events.holds_part()) => return self.end(),
                Next::End => {
                    let cause = "ended within an event".to_owned();
                    self.broke(&cause);
                    if let Err(given_up) = self.go_on(&cause).await {
                        return self.cut(cause, Some(given_up));
                    }
                }
                Next::Broke(cause) => {
                    self.broke(&cause);
                    if let Err(given_up) = self.go_on(&cause).await {
                        return self.cut(cause, Some(given_up));
                    }
                }
                Next::ChainBroke => {
                    let cause = "chain broke".to_owned();
                    self.broke(&cause);
                    if self.reroute().await.is_some() {
                        continue;
                    }
                    if let Err(given_up) = self.go_on(&cause).await {
                        return self.cut(cause, Some(given_up));
                    }
                }
                Next::Timeout => return self.cut("out of time".to_owned(), None),
            }
        }
        None
    }

    async fn read(&mut self) -> Next {
        let left = Duration::from_millis(self.rq.left_ms(&self.node));
        let (Some(body), Some(in_flight)) = (&mut self.body, &self.in_flight) else {
            return Next::Broke("no run".to_owned());
        };
        tokio::select! {
            biased;
            bytes = body.next() => match bytes {
                Some(Ok(bytes)) => Next::Bytes(bytes),
                Some(Err(e)) => Next::Broke(e.to_string()),
                None => Next::End,
            },
            () = in_flight.live.broken.cancelled() => Next::ChainBroke,
            () = sleep(left) => Next::Timeout,
        }
    }

    /// The run broke off.
    fn broke(&self, cause: &str) {
        if let Some(in_flight) = &self.in_flight {
            let progress = Progress::Ran(self.heard_ms.saturating_sub(self.began_ms));
            let through = quarantine::lifetimes(&in_flight.live.chain);
            let broken = BrokenOff {
                rq: &self.rq,
                through,
                sent_ms: in_flight.sent_ms,
                progress,
                cause,
            };
            breaks::note(&self.node, broken);
        }
    }

    fn heard(&mut self) {
        let now = self.node.now();
        let gap = now - self.heard_ms;
        self.heard_ms = now;
        self.longest_gap_ms = self.longest_gap_ms.max(gap);
        if let Some(in_flight) = &self.in_flight {
            in_flight.record_bytes();
            in_flight.live.gaps.borrow_mut().record(now, gap);
        }
    }

    /// Tells the chain how much of the answer is written.
    fn count_tokens(&mut self) {
        let per_event = self.rq.engine().map_or(1, |e| e.event_tokens);
        let (prompt, _) = admit::declared(&self.rq);
        let written = self.events.count() * u64::from(per_event);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.raise_tokens(f64::from(prompt) + written as f64);
        }
    }

    /// Has the run itself go on past a dead part, through the chain that takes the broken one's
    /// place behind the same first runner. That spends no repeat and needs no room elsewhere, but
    /// the new part reads the tokens of one run after the other, and the last of many waits for
    /// long. So they are spread, and a new run comes first where it begins sooner and in time.
    /// `None`: a new run is needed.
    async fn reroute(&mut self) -> Option<()> {
        let decided = self.heard_ms + self.patience_ms(REROUTE_SHARE);
        if quarantine::quarantined_ms(&self.node, &self.rq, decided)
            .await
            .is_some()
        {
            return None;
        }
        let broken = Rc::clone(&self.in_flight.as_ref()?.live);
        let in_time = self.heard_ms + self.rq.pause_ms.saturating_sub(READ_MS);
        let until = self.heard_ms + self.patience_ms(REROUTE_SHARE);
        while self.node.now() < until && self.node.is_head_alive(&broken) {
            // Without a further send a chain elsewhere is of no use: the lost layers are waited for.
            let elsewhere = self.next_chain().filter(|_| self.may_run_again());
            let elsewhere = elsewhere.map(|l| l.prefill_tokens());
            let in_time = self.node.now() < in_time;
            match (self.node.successor(&broken), elsewhere) {
                (Some(live), Some(tokens)) if in_time && live.prefill_tokens() > tokens => {
                    return None;
                }
                (Some(live), _) => return self.send_along(live).await,
                (None, Some(_)) => return None,
                (None, None) => {}
            }
            let _ = timeout(LOOK, self.node.room_freed.notified()).await;
        }
        None
    }

    fn may_run_again(&self) -> bool {
        self.rq.class.repeatable()
            && self
                .node
                .has_retry(&self.rq.service, RetryPriority::Committed)
    }

    /// A share of the caller's patience, in milliseconds.
    fn patience_ms(&self, share: f64) -> Millis {
        (self.rq.patience_ms as f64 * share) as Millis
    }

    async fn send_along(&mut self, live: Rc<LiveChain>) -> Option<()> {
        self.in_flight.as_mut()?.move_to(Rc::clone(&live));
        let ordered = runner::reroute(&live.chain, &self.rq.id, REROUTE_ANSWER).await;
        let outcome = match &ordered {
            Ok(_) => "ordered".to_owned(),
            Err(e) => e.to_string(),
        };
        log::info!(
            request = self.rq.id.as_ref(),
            chain = live.label(),
            runner = live.chain.head().id.as_ref(),
            silent_ms = self.node.now() - self.heard_ms,
            outcome;
            "rerouted"
        );
        metrics::counter!("jacinthweir_reroutes_total").increment(1);
        ordered.ok().map(drop)
    }

    /// Goes on with another run behind the last whole event. What one try lacks may be there at the
    /// next, so it is tried for as long as the caller waits.
    async fn go_on(&mut self, cause: &str) -> Result<(), GivenUp> {
        self.body = None;
        // A runner that broke off is most likely dead, and not yet known to be.
        self.tried.left = self
            .in_flight
            .take()
            .iter()
            .map(|p| Rc::clone(&p.live))
            .collect();
        if !self.ok || !self.rq.class.repeatable() {
            return Err(GivenUp::NotRepeatable);
        }
        self.events.resume();
        let until = self.heard_ms + self.patience_ms(PATIENCE_SHARE);
        let in_time = self.heard_ms + self.rq.pause_ms;
        let mut place = Some(Place::ahead(&self.node));
        let mut lacking = GivenUp::NoChain;
        while self.node.now() < until {
            if quarantine::quarantined_ms(&self.node, &self.rq, until)
                .await
                .is_some()
            {
                return Err(GivenUp::Held);
            }
            if self.tried.is_spent(&self.rq) {
                return Err(GivenUp::NoAttempt);
            }
            // New work waits behind those that can still be in time, and lack nothing but room.
            if self.node.now() >= in_time || lacking == GivenUp::NoRepeat {
                place = None;
            }
            lacking = match self.try_on().await {
                Ok((in_flight, res)) => {
                    drop(place);
                    self.resumed(in_flight, res, cause);
                    return Ok(());
                }
                Err(GivenUp::OutOfTime) => return Err(GivenUp::OutOfTime),
                Err(lacking) => lacking,
            };
            if matches!(lacking, GivenUp::NoChain | GivenUp::NoRepeat) {
                let _ = timeout(LOOK, self.node.room_freed.notified()).await;
            }
        }
        Err(lacking)
    }

    /// One try to go on with another run.
    async fn try_on(&mut self) -> Result<(InFlight, Response<AnswerBody>), GivenUp> {
        let live = self.next_chain().ok_or(GivenUp::NoChain)?;
        // Each send counts, also one that a runner refuses.
        if !self
            .node
            .take_retry(&self.rq.service, RetryPriority::Committed)
        {
            return Err(GivenUp::NoRepeat);
        }
        let after = self.events.last();
        match self.tried.open(&self.node, &self.rq, &live, after).await {
            Opened::Stream(in_flight, res) if res.status() == StatusCode::OK => {
                Ok((in_flight, res))
            }
            Opened::Stream(..) => Err(GivenUp::NextFailed),
            Opened::NotRun | Opened::Unreached => Err(GivenUp::NextRefused),
            Opened::Broken => Err(GivenUp::NextBroke),
            Opened::Lost => Err(GivenUp::NextLost),
            Opened::Timeout => Err(GivenUp::OutOfTime),
        }
    }

    fn next_chain(&self) -> Option<Rc<LiveChain>> {
        let may_take = |live: &LiveChain| self.tried.may_take(&self.node, &self.rq, live);
        self.node
            .choose_chain(&self.rq, chain_selection::MAX_FILL_RESUMED, may_take)
    }

    fn resumed(&mut self, in_flight: InFlight, res: Response<AnswerBody>, cause: &str) {
        self.resumed += 1;
        self.began_ms = self.node.now();
        count("resumed");
        log::info!(
            request = self.rq.id.as_ref(),
            chain = in_flight.live.label(),
            after:? = self.events.last(),
            silent_ms = self.node.now() - self.heard_ms,
            cause;
            "resumed"
        );
        self.in_flight = Some(in_flight);
        self.body = Some(res.into_body());
    }

    fn end(&mut self) -> Option<Result<Bytes, Cut>> {
        self.ended = true;
        quarantine::record_survival(&self.node, &self.rq);
        let after_ms = self.node.now() - self.rq.received_ms;
        count("answered");
        log::info!(
            request = self.rq.id.as_ref(),
            route = self.rq.route.as_ref(),
            chain = self.in_flight.as_ref().map_or_else(String::new, |p| p.live.label()),
            resumed = self.resumed,
            first_after_ms = self.first_ms - self.rq.received_ms,
            longest_gap_ms = self.longest_gap_ms,
            events = self.events.count(),
            after_ms;
            "answered"
        );
        self.in_flight = None;
        self.body = None;
        None
    }

    fn cut(&mut self, cause: String, given_up: Option<GivenUp>) -> Option<Result<Bytes, Cut>> {
        self.ended = true;
        self.in_flight = None;
        self.body = None;
        count("cut");
        log::warn!(
            request = self.rq.id.as_ref(),
            route = self.rq.route.as_ref(),
            cause = cause.as_str(),
            given_up = given_up.map_or_else(String::new, |g| g.to_string()),
            sends = self.tried.journal.sends,
            silent_ms = self.node.now() - self.heard_ms,
            last_event:? = self.events.last(),
            after_ms = self.node.now() - self.rq.received_ms;
            "stream cut"
        );
        Some(Err(Cut { cause }))
    }
}

impl Drop for Run {
    /// A caller that leaves drops its answer, and with it the run: nothing else tells of it.
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.node.now();
        count("left");
        log::info!(
            request = self.rq.id.as_ref(),
            chain = self.in_flight.as_ref().map_or_else(String::new, |p| p.live.label()),
            events = self.events.count(),
            silent_ms = now - self.heard_ms,
            after_ms = now - self.rq.received_ms;
            "caller left"
        );
    }
}
