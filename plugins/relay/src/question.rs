//! Asking one runner for its report, and what its silence is worth.
//!
//! A runner's report needs no slot and is answered however long its queue is, so one that does not
//! answer several times is dead or cut off, not busy. Or it is this instance that hears nobody: its
//! link may be full of something else. So silence is not believed by itself. Runners that nobody
//! doubts are asked at the same time as [witnesses](Round), and a runner is dead only if it stays
//! silent for far longer than they take to answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_clients::direct::{AskTime, DirectError};
use jacinthweir_platform::runner::{self, Report, RunnerError};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::runners::RunnerEntry;
use jacinthweir_policy::relay::silence::Round;
use rand::seq::IteratorRandom;
use tokio::time::timeout;

use crate::node::Node;
use crate::probe;

/// Time that a question has. A runner that is there takes a connection within two round trips of a
/// millisecond or less, however slow it is. One that runs at a tenth of its pace takes ten times as
/// long to answer, and would count as dead if the whole answer had the connection's time.
pub(crate) const QUESTION: AskTime = AskTime {
    connect: Duration::from_millis(14),
    answer: Duration::from_millis(250),
};

/// Time of a question that is asked beside witnesses: it ends by their answers, not by itself.
const PATIENT: AskTime = AskTime {
    connect: Duration::from_millis(1_000),
    answer: Duration::from_millis(1_000),
};

/// Times that a runner is asked before it counts as silent: a packet lost in each of four questions
/// is rare even on a link that loses one in forty.
const TRIES: usize = 4;

/// Time after which the next question begins while the one before is open. A runner that has crashed
/// refuses all of them within a few milliseconds, one that is dark costs 30.
const STAGGER: Duration = Duration::from_millis(5);

/// Witnesses that are asked beside silent runners.
const WITNESSES: usize = 4;

/// Period of looking whether the witnesses speak against a runner, in milliseconds.
const LOOK_MS: Millis = 8;

/// The least silence beside witnesses that counts, in milliseconds: all tries have begun by then,
/// and the last of them has had as long as a question's connection.
const LEAST_MS: Millis = 30;

/// The longest wait for witnesses, in milliseconds.
const LONGEST_MS: Millis = 1_000;

/// What questions showed of a runner.
#[derive(Debug)]
pub(crate) enum Finding {
    /// Its report.
    Report(Report),
    /// Its machine says that nobody listens there.
    Gone,
    /// A connection came about, and no report: it was broken off, or something else came.
    NoReport(String),
    /// Nothing was heard.
    Silent(String),
}

impl Finding {
    fn of(answer: Result<Report, RunnerError>) -> Finding {
        match answer {
            Ok(report) => Finding::Report(report),
            Err(RunnerError::NoAnswer(DirectError::Refused)) => Finding::Gone,
            Err(RunnerError::NoAnswer(e)) if e.is_silence() => Finding::Silent(e.to_string()),
            Err(e) => Finding::NoReport(e.to_string()),
        }
    }

    /// Whether this instance heard anything.
    pub(crate) fn is_heard(&self) -> bool {
        !matches!(self, Finding::Silent(_))
    }
}

/// Asks a runner for its report several times, the next time as soon as one failed or took long.
pub(crate) async fn ask(address: SocketAddr, time: AskTime) -> Finding {
    let mut open = FuturesUnordered::new();
    let mut left = TRIES;
    let mut found = Finding::Silent("not asked".to_owned());
    loop {
        if left > 0 {
            metrics::counter!("jacinthweir_probes_total").increment(1);
            open.push(runner::report(address, time));
            left -= 1;
        }
        let next = async {
            match left {
                0 => open.next().await,
                _ => timeout(STAGGER, open.next()).await.unwrap_or(None),
            }
        };
        match next.await.map(Finding::of) {
            Some(settled @ (Finding::Report(_) | Finding::Gone)) => return settled,
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
    pub(crate) address: SocketAddr,
}

impl From<&RunnerEntry> for Suspect {
    fn from(e: &RunnerEntry) -> Suspect {
        Suspect {
            id: e.id.clone(),
            born_ms: e.born_ms,
            address: e.address,
        }
    }
}

/// Whom a question beside witnesses is for.
enum Asked {
    Suspect(Suspect),
    Witness,
}

async fn ask_as(asked: Asked, address: SocketAddr) -> (Asked, Finding) {
    (asked, ask(address, PATIENT).await)
}

/// Time that an instance watched a round of questions, in milliseconds. While it is held up itself
/// it hears nobody, so that time does not count.
struct Watched {
    looked_ms: Millis,
    passed_ms: Millis,
}

impl Watched {
    fn look(&mut self, now: Millis) -> Millis {
        self.passed_ms += (now - self.looked_ms).min(2 * LOOK_MS);
        self.looked_ms = now;
        self.passed_ms
    }
}

/// Asks silent runners once more beside witnesses; those that these speak against are dead.
pub(crate) async fn examine(node: &Rc<Node>, mut suspects: Vec<Suspect>) {
    let witnesses = witnesses(node, &suspects);
    let mut round = Round::new(witnesses.len());
    let suspected = suspects
        .iter()
        .map(|s| ask_as(Asked::Suspect(s.clone()), s.address));
    let mut open: FuturesUnordered<_> = suspected
        .chain(witnesses.iter().map(|a| ask_as(Asked::Witness, *a)))
        .collect();
    let mut watched = Watched {
        looked_ms: node.now(),
        passed_ms: 0,
    };
    while !suspects.is_empty() {
        let next = async {
            match open.is_empty() {
                true => std::future::pending().await,
                false => open.next().await,
            }
        };
        let next = timeout(Duration::from_millis(LOOK_MS), next).await;
        let passed = watched.look(node.now());
        match next {
            Ok(Some((Asked::Witness, found))) if found.is_heard() => round.answered(passed),
            Ok(Some((Asked::Suspect(s), Finding::Report(report)))) => {
                suspects.retain(|other| *other != s);
                probe::take_report(node, &s.id, s.born_ms, &report);
            }
            Ok(Some((Asked::Suspect(s), Finding::Gone))) => {
                suspects.retain(|other| *other != s);
                probe::name_dead(node, &s.id, s.born_ms, probe::REFUSED);
            }
            Ok(Some(_) | None) | Err(_) => {}
        }
        if passed >= LEAST_MS && round.speaks_against(passed) {
            for s in suspects.drain(..) {
                probe::name_dead(node, &s.id, s.born_ms, "no report, and witnesses answer");
            }
        }
        if passed >= LONGEST_MS {
            log::info!(
                silent = suspects.len(),
                witnesses = witnesses.len();
                "nobody is heard, nobody is taken for dead"
            );
            break;
        }
    }
}

/// Runners that nobody doubts, of all services and domains.
fn witnesses(node: &Node, suspects: &[Suspect]) -> Vec<SocketAddr> {
    let runners = node.runners.borrow();
    let doubted = |e: &RunnerEntry| {
        runners.standing(&e.id).dead || suspects.iter().any(|s| s.address == e.address)
    };
    let sound = runners.entries().filter(|e| !e.draining && !doubted(e));
    node.with_rng(|rng| sound.map(|e| e.address).sample(rng, WITNESSES))
}
