//! Asking one runner for its report, and what its silence is worth.
//!
//! A runner's report needs no slot and is answered however long its queue is, so one that does not
//! answer several times is dead or cut off, not busy. Or it is this instance that hears nobody: its
//! link may be full of something else. So silence is not believed by itself. Runners that nobody
//! doubts are asked at the same time as [witnesses](ProbeRound), and a runner is dead only if it stays
//! silent for far longer than they take to answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_clients::direct::{DirectError, RequestTimeouts};
use jacinthweir_platform::runner::{self, Report, RunnerError};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use jacinthweir_policy::relay::silence::ProbeRound;
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::probe;

/// Time that a question has. A runner that is there takes a connection within two round trips of a
/// millisecond or less, however slow it is. One that runs at a tenth of its pace takes ten times as
/// long to answer, and would count as dead if the whole answer had the connection's time.
pub(crate) const QUESTION: RequestTimeouts = RequestTimeouts {
    connect: Duration::from_millis(14),
    answer: Duration::from_millis(250),
};

/// Times that a runner is asked before it counts as silent: a packet lost in each of four questions
/// is rare even on a link that loses one in forty.
pub(crate) const TRIES: usize = 4;

/// The same where it was silent a moment ago.
const TRIES_AGAIN: usize = 2;

/// Time after which the next question begins while the one before is open. A runner that is dark costs
/// 30 milliseconds.
const STAGGER: Duration = Duration::from_millis(5);

/// Witnesses that are asked at a time: two that answer are enough, and half of the fleet may be dark.
const WITNESSES: usize = 5;

/// Number of witnesses of which half, two, must answer; of fewer that there are, half as well.
const QUORUM_OF: usize = 4;

/// Times that a runner must be silent beside witnesses to be dead: this instance's link may fill up
/// between their answers and its own.
const STRIKES: u32 = 2;

/// Longest wait for witnesses, after which others are asked, in milliseconds.
const WITNESS_MS: Millis = 150;

/// Period of looking whether the witnesses speak against a runner, in milliseconds.
const LOOK_MS: Millis = 8;

/// Time for which a runner that takes connections must give no report to count as dead, and pause
/// between questions to it, in milliseconds: it may have too many connections for a moment.
const NO_REPORT_MS: Millis = 250;
const NO_REPORT_PAUSE_MS: Millis = 60;

/// The longest that a runner is asked beside witnesses, in milliseconds: callers wait for two seconds.
const LONGEST_MS: Millis = 1_000;

/// What questions showed of a runner.
#[derive(Debug)]
pub(crate) enum Finding {
    /// Its report.
    Report(Report),
    /// Its machine says that nobody listens there.
    Gone,
    /// It takes connections, and need not give reports.
    Listens,
    /// A connection came about, and no report: it was broken off, or something else came.
    NoReport(String),
    /// Nothing was heard.
    Silent(String),
}

/// Whom a question goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Asked {
    address: SocketAddr,
    gives_reports: bool,
}

impl Asked {
    pub(crate) fn of(node: &Node, e: &RunnerEntry) -> Asked {
        Asked {
            address: e.address,
            gives_reports: node.holds_layers(&e.service),
        }
    }
}

impl Finding {
    fn of(answer: Result<Report, RunnerError>, asked: Asked) -> Finding {
        match answer {
            Ok(report) => Finding::Report(report),
            Err(RunnerError::NoAnswer(DirectError::Refused)) => Finding::Gone,
            Err(RunnerError::NoAnswer(e)) if e.is_unanswered() => Finding::Silent(e.to_string()),
            Err(_) if !asked.gives_reports => Finding::Listens,
            Err(e) => Finding::NoReport(e.to_string()),
        }
    }

    /// Whether this instance heard anything.
    pub(crate) fn is_heard(&self) -> bool {
        !matches!(self, Finding::Silent(_))
    }
}

/// Asks a runner for its report up to `tries` times, the next time as soon as one failed or took long.
pub(crate) async fn ask(asked: Asked, tries: usize) -> Finding {
    let mut open = FuturesUnordered::new();
    let mut left = tries;
    let mut found = Finding::Silent("not asked".to_owned());
    loop {
        if left > 0 {
            metrics::counter!("jacinthweir_probes_total").increment(1);
            open.push(runner::report(asked.address, QUESTION));
            left -= 1;
        }
        let next = async {
            match left {
                0 => open.next().await,
                _ => timeout(STAGGER, open.next()).await.unwrap_or(None),
            }
        };
        match next.await.map(|answer| Finding::of(answer, asked)) {
            Some(settled @ (Finding::Report(_) | Finding::Listens | Finding::Gone)) => {
                return settled;
            }
            Some(Finding::Silent(_)) if found.is_heard() => {}
            Some(failed) => found = failed,
            None => {}
        }
        if left == 0 && open.is_empty() {
            return found;
        }
    }
}

/// One lifetime of a runner that is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub(crate) id: Name,
    pub(crate) born_ms: u64,
    pub(crate) asked: Asked,
}

impl Suspect {
    pub(crate) fn of(node: &Node, e: &RunnerEntry) -> Suspect {
        Suspect {
            id: e.id.clone(),
            born_ms: e.born_ms,
            asked: Asked::of(node, e),
        }
    }
}

/// Whose answer came.
enum Answer {
    Suspect(Finding),
    Witness(Finding),
}

/// Time that an instance watched a round of questions, in milliseconds. While it is held up itself
/// it hears nobody, so that time does not count.
struct Watched {
    looked_ms: Millis,
    passed_ms: Millis,
}

impl Watched {
    fn begin(now: Millis) -> Watched {
        Watched {
            looked_ms: now,
            passed_ms: 0,
        }
    }

    fn look(&mut self, now: Millis) -> Millis {
        self.passed_ms += (now - self.looked_ms).min(2 * LOOK_MS);
        self.looked_ms = now;
        self.passed_ms
    }
}

/// Asks a runner that was silent `strikes` times beside witnesses, until it answers or is dead. Neither
/// shows while this instance's link is full; then nothing is said of it.
pub(crate) async fn examine(node: Rc<Node>, s: Suspect, mut strikes: u32) {
    let began = node.now();
    let mut tries = if strikes == 0 { TRIES } else { TRIES_AGAIN };
    while node.now() < began + LONGEST_MS {
        let (found, witnessed) = ask_beside_witnesses(&node, &s, tries).await;
        tries = TRIES_AGAIN;
        strikes += u32::from(witnessed);
        let is_certain = witnessed && strikes >= STRIKES;
        let passed = node.now() - began;
        let (cause, pause) = match found {
            Finding::Report(report) => return probe::take_report(&node, &s.id, s.born_ms, &report),
            Finding::Listens => return probe::hear_it(&node, &s.id, s.born_ms),
            Finding::Gone => return probe::name_dead(&node, &s.id, s.born_ms, probe::REFUSED),
            Finding::Silent(cause) if is_certain => (Some(cause), 0),
            Finding::NoReport(cause) if is_certain && passed >= NO_REPORT_MS => (Some(cause), 0),
            Finding::NoReport(_) => (None, NO_REPORT_PAUSE_MS),
            Finding::Silent(_) => (None, LOOK_MS),
        };
        if let Some(cause) = cause {
            let evidence = format!("{cause}, and witnesses answer");
            return probe::name_dead(&node, &s.id, s.born_ms, &evidence);
        }
        sleep(Duration::from_millis(pause)).await;
    }
    log::info!(runner = s.id.as_ref(), strikes; "too few are heard, the runner is not taken for dead");
}

/// What questions to a runner brought, and whether witnesses that were asked at the same time answered
/// while it did not.
async fn ask_beside_witnesses(node: &Node, s: &Suspect, tries: usize) -> (Finding, bool) {
    let witnesses = witnesses(node, s);
    let mut open: FuturesUnordered<LocalBoxFuture<'_, Answer>> = FuturesUnordered::new();
    open.push(ask(s.asked, tries).map(Answer::Suspect).boxed_local());
    let mut round = ProbeRound::new(QUORUM_OF.min(witnesses.len()));
    for witness in witnesses {
        open.push(ask(witness, 1).map(Answer::Witness).boxed_local());
    }
    let mut watched = Watched::begin(node.now());
    let mut found = None;
    loop {
        let next = timeout(Duration::from_millis(LOOK_MS), open.next()).await;
        let passed = watched.look(node.now());
        match next {
            Ok(Some(Answer::Suspect(
                settled @ (Finding::Report(_) | Finding::Listens | Finding::Gone),
            ))) => return (settled, false),
            Ok(Some(Answer::Suspect(failed))) => found = Some(failed),
            Ok(Some(Answer::Witness(heard))) if heard.is_heard() => round.answered(passed),
            // Nobody is awaited any more: only time may still speak.
            Ok(None) => sleep(Duration::from_millis(LOOK_MS)).await,
            Ok(Some(Answer::Witness(_))) | Err(_) => {}
        }
        let speaks = round.indicates_dead(passed);
        if let Some(failed) = found.take_if(|_| speaks || passed >= WITNESS_MS) {
            return (failed, speaks);
        }
    }
}

/// Runners that nobody doubts, of all services and domains.
fn witnesses(node: &Node, suspect: &Suspect) -> Vec<Asked> {
    let runners = node.runners.borrow();
    let sound = runners.entries().filter(|e| {
        let doubted = e.draining || runners.health(&e.id).dead;
        !doubted && e.address != suspect.asked.address
    });
    node.with_rng(|rng| sound.map(|e| Asked::of(node, e)).sample(rng, WITNESSES))
}
