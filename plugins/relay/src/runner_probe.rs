//! Probes of a single runner, and confirmation of its silence with witnesses.
//!
//! A runner's report needs no slot and is sent however long its queue is, so a runner that
//! repeatedly does not answer is dead or cut off, not busy. But the cause may also be the link of
//! this instance, for example if other traffic fills it. Silence alone is therefore no proof.
//! Healthy runners are probed at the same time as [witnesses](ProbeRound), and a runner is declared
//! dead only if it stays silent for far longer than they take to answer, or refuses connections
//! while they answer, and if no other instance reaches it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use jacinthweir_clients::direct::{DirectError, RequestTimeouts};
use jacinthweir_platform::runner::{self, Report, RunnerError};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::reachability::Verdict;
use jacinthweir_policy::relay::runners::{DeathEvidence, RunnerEntry};
use jacinthweir_policy::relay::silence::ProbeRound;
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};

use crate::failure_detector;
use crate::node::Node;
use crate::reachability;
use crate::runner_connections::Outcome;

/// Time limits of a probe. A live runner accepts a connection within two round trips of at most a
/// millisecond each, however slow it is. One that runs at a tenth of its pace takes ten times as
/// long to answer, and would be declared dead if the connection's limit applied to the whole
/// answer.
pub(crate) const PROBE_TIMEOUTS: RequestTimeouts = RequestTimeouts {
    connect: Duration::from_millis(14),
    answer: Duration::from_millis(250),
};

/// Number of probes after which a runner counts as silent. A lost packet in each of four probes is
/// rare even on a link that loses one packet in forty.
pub(crate) const MAX_PROBES: usize = 4;

/// Number of probes if the runner was already silent shortly before.
const MAX_REPEAT_PROBES: usize = 2;

/// Time after which the next probe starts while the previous one is pending (hedging). An
/// unreachable runner costs 30 ms.
const HEDGE_DELAY: Duration = Duration::from_millis(5);

/// Number of witnesses probed at a time. Two answers are enough, and half of the fleet may be
/// unreachable.
const WITNESSES: usize = 5;

/// Upper bound of the round size that the quorum is computed from: half of it, two, must answer.
/// With fewer witnesses it is half of those.
const MAX_ROUND_SIZE: usize = 4;

/// Number of rounds with answering witnesses in which a runner must be silent to be declared dead.
/// One is not enough, since the link of this instance may fill up between their answers and the
/// runner's.
const MIN_SILENT_ROUNDS: u32 = 2;

/// Maximum wait for witnesses, after which others are probed, in milliseconds.
const WITNESS_TIMEOUT_MS: Millis = 150;

/// Interval at which a round of probes is evaluated, in milliseconds.
const EVALUATION_INTERVAL_MS: Millis = 8;
const EVALUATION_INTERVAL: Duration = Duration::from_millis(EVALUATION_INTERVAL_MS);

/// Time after which a runner that accepts connections but sends no report is declared dead, in
/// milliseconds. It may have too many connections for a moment.
const NO_REPORT_TIMEOUT_MS: Millis = 250;

/// Pause between two rounds of probes to such a runner.
const NO_REPORT_PAUSE: Duration = Duration::from_millis(60);

/// Pause after a round in which no witness answered.
const UNWITNESSED_PAUSE: Duration = Duration::from_millis(150);

/// Maximum duration of an examination with witnesses, in milliseconds. Callers wait for two
/// seconds.
const MAX_EXAMINATION_MS: Millis = 1_000;

/// Result of the probes of a runner.
#[derive(Debug)]
pub(crate) enum ProbeResult {
    /// The runner sent its report.
    Report(Report),
    /// The connection was refused: nothing listens there, or the path refuses it.
    Refused,
    /// It accepts connections; runners of its service send no reports.
    Listening,
    /// It accepted a connection but sent no valid report.
    NoReport(String),
    /// There was no response at all.
    Silent(String),
}

/// Target of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ProbeTarget {
    address: SocketAddr,
    sends_reports: bool,
}

impl ProbeTarget {
    pub(crate) fn of(node: &Node, e: &RunnerEntry) -> ProbeTarget {
        ProbeTarget {
            address: node.runner_address(e.address),
            sends_reports: node.holds_layers(&e.service),
        }
    }
}

impl ProbeResult {
    fn of(answer: Result<Report, RunnerError>, target: ProbeTarget) -> ProbeResult {
        match answer {
            Ok(report) => ProbeResult::Report(report),
            Err(RunnerError::NoAnswer(DirectError::Refused)) => ProbeResult::Refused,
            Err(RunnerError::NoAnswer(e)) if e.is_unanswered() => {
                ProbeResult::Silent(e.to_string())
            }
            Err(_) if !target.sends_reports => ProbeResult::Listening,
            Err(e) => ProbeResult::NoReport(e.to_string()),
        }
    }

    /// Returns why there is no report.
    fn cause(&self) -> &str {
        match self {
            ProbeResult::NoReport(cause) | ProbeResult::Silent(cause) => cause,
            ProbeResult::Refused => "connection refused",
            ProbeResult::Report(_) | ProbeResult::Listening => "",
        }
    }

    /// Returns whether there was any response.
    pub(crate) fn is_response(&self) -> bool {
        !matches!(self, ProbeResult::Silent(_) | ProbeResult::Refused)
    }
}

/// Probes a runner up to `max_probes` times. The next probe starts as soon as one fails or takes
/// long.
pub(crate) async fn probe(node: &Node, target: ProbeTarget, max_probes: usize) -> ProbeResult {
    let mut open = FuturesUnordered::new();
    let mut left = max_probes;
    let mut found = ProbeResult::Silent("not asked".to_owned());
    loop {
        if left > 0 {
            metrics::counter!("jacinthweir_probes_total").increment(1);
            open.push(report(node, target.address));
            left -= 1;
        }
        let next = async {
            match left {
                0 => open.next().await,
                _ => timeout(HEDGE_DELAY, open.next()).await.unwrap_or(None),
            }
        };
        match next.await.map(|answer| ProbeResult::of(answer, target)) {
            Some(
                settled @ (ProbeResult::Report(_) | ProbeResult::Listening | ProbeResult::Refused),
            ) => {
                return settled;
            }
            Some(ProbeResult::Silent(_)) if found.is_response() => {}
            Some(failed) => found = failed,
            None => {}
        }
        if left == 0 && open.is_empty() {
            return found;
        }
    }
}

/// Asks a runner for its report once.
async fn report(node: &Node, address: SocketAddr) -> Result<Report, RunnerError> {
    let report = runner::report(address, PROBE_TIMEOUTS).await;
    let outcome = match &report {
        Err(RunnerError::NoAnswer(e)) => Outcome::of::<()>(&Err(e.clone())),
        _ => Outcome::Accepted,
    };
    node.runner_connections.record(outcome, node.now());
    report
}

/// A lifetime of a runner that may be dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspect {
    pub(crate) id: Name,
    pub(crate) born_ms: u64,
    pub(crate) target: ProbeTarget,
}

impl Suspect {
    pub(crate) fn of(node: &Node, e: &RunnerEntry) -> Suspect {
        Suspect {
            id: e.id.clone(),
            born_ms: e.born_ms,
            target: ProbeTarget::of(node, e),
        }
    }
}

/// Result of a probe in a round, by its target's role.
enum RoundResult {
    Suspect(ProbeResult),
    Witness(ProbeResult),
}

/// Time for which this instance observed a round of probes. Time in which the instance itself was
/// delayed does not count, since it cannot receive answers then.
struct ObservedTime {
    last_ms: Millis,
    observed_ms: Millis,
}

impl ObservedTime {
    fn begin(now: Millis) -> ObservedTime {
        ObservedTime {
            last_ms: now,
            observed_ms: 0,
        }
    }

    fn advance(&mut self, now: Millis) -> Millis {
        self.observed_ms += (now - self.last_ms).min(2 * EVALUATION_INTERVAL_MS);
        self.last_ms = now;
        self.observed_ms
    }
}

/// Probes a runner together with witnesses until it answers or there is a verdict. It was silent
/// `silent_rounds` times already. While the link of this instance is full there is none; the
/// examination then ends after [`MAX_EXAMINATION_MS`].
pub(crate) async fn examine(node: Rc<Node>, s: Suspect, mut silent_rounds: u32) {
    let began = node.now();
    let mut max_probes = if silent_rounds == 0 {
        MAX_PROBES
    } else {
        MAX_REPEAT_PROBES
    };
    while node.now() < began + MAX_EXAMINATION_MS {
        let (found, witnessed) = probe_with_witnesses(&node, &s, max_probes).await;
        max_probes = MAX_REPEAT_PROBES;
        silent_rounds += u32::from(witnessed);
        let pause = pause_after(&found, witnessed);
        let is_silent_for_long = witnessed && silent_rounds >= MIN_SILENT_ROUNDS;
        let (evidence, is_certain) = match &found {
            ProbeResult::Report(report) => {
                return failure_detector::process_report(&node, &s.id, s.born_ms, report);
            }
            ProbeResult::Listening => {
                return failure_detector::record_answer(&node, &s.id, s.born_ms);
            }
            ProbeResult::Refused => (DeathEvidence::Refused, witnessed),
            ProbeResult::Silent(_) => (DeathEvidence::Silent, is_silent_for_long),
            ProbeResult::NoReport(_) => {
                let is_over = node.now() >= began + NO_REPORT_TIMEOUT_MS;
                (DeathEvidence::NoReport, is_silent_for_long && is_over)
            }
        };
        log::debug!(
            runner = s.id.as_ref(),
            witnessed,
            cause = found.cause();
            "runner does not answer"
        );
        // Without witnesses only another instance can tell.
        if (is_certain || !witnessed) && settle(&node, &s, is_certain, evidence).await {
            return;
        }
        sleep(pause).await;
    }
    log::info!(runner = s.id.as_ref(), strikes = silent_rounds; "too few witnesses answer, runner is not declared dead");
}

/// Returns the pause after a round of probes.
fn pause_after(found: &ProbeResult, witnessed: bool) -> Duration {
    match found {
        ProbeResult::NoReport(_) => NO_REPORT_PAUSE,
        _ if witnessed => EVALUATION_INTERVAL,
        _ => UNWITNESSED_PAUSE,
    }
}

/// Acts on the verdict on a runner that does not answer. Returns whether there is one.
async fn settle(node: &Rc<Node>, s: &Suspect, is_certain: bool, evidence: DeathEvidence) -> bool {
    match reachability::verdict(node, s, is_certain).await {
        Verdict::Dead => {
            failure_detector::report_dead(node, &s.id, s.born_ms, evidence);
            true
        }
        Verdict::Unreachable => {
            reachability::confirm_unreachable(node, &s.id, s.born_ms);
            reachability::check_paths(node).await;
            true
        }
        Verdict::Undecided => {
            reachability::check_paths(node).await;
            false
        }
    }
}

/// Probes a runner and witnesses at the same time. Returns the result for the runner, and whether
/// enough witnesses answered while it did not.
async fn probe_with_witnesses(node: &Node, s: &Suspect, max_probes: usize) -> (ProbeResult, bool) {
    let witnesses = witnesses(node, s);
    let mut open: FuturesUnordered<LocalBoxFuture<'_, RoundResult>> = FuturesUnordered::new();
    open.push(
        probe(node, s.target, max_probes)
            .map(RoundResult::Suspect)
            .boxed_local(),
    );
    let mut round = ProbeRound::new(MAX_ROUND_SIZE.min(witnesses.len()));
    for witness in witnesses {
        open.push(
            probe(node, witness, 1)
                .map(RoundResult::Witness)
                .boxed_local(),
        );
    }
    let mut observed = ObservedTime::begin(node.now());
    let mut found = None;
    loop {
        let next = timeout(EVALUATION_INTERVAL, open.next()).await;
        let passed = observed.advance(node.now());
        match next {
            Ok(Some(RoundResult::Suspect(
                settled @ (ProbeResult::Report(_) | ProbeResult::Listening),
            ))) => return (settled, false),
            Ok(Some(RoundResult::Suspect(failed))) => found = Some(failed),
            Ok(Some(RoundResult::Witness(result))) if result.is_response() => {
                round.answered(passed);
            }
            // No probe is pending any more; only the passing of time can still decide the round.
            Ok(None) => sleep(EVALUATION_INTERVAL).await,
            Ok(Some(RoundResult::Witness(_))) | Err(_) => {}
        }
        let is_confirmed = match found {
            Some(ProbeResult::Refused) => round.has_quorum(),
            _ => round.indicates_dead(passed),
        };
        // Witnesses that have failed cannot confirm a refusal any more.
        let is_over = matches!(found, Some(ProbeResult::Refused)) && open.is_empty();
        let is_over = is_over || passed >= WITNESS_TIMEOUT_MS;
        if let Some(failed) = found.take_if(|_| is_confirmed || is_over) {
            return (failed, is_confirmed);
        }
    }
}

/// Returns a random sample of healthy runners, of all services and failure domains.
fn witnesses(node: &Node, suspect: &Suspect) -> Vec<ProbeTarget> {
    let runners = node.runners.borrow();
    let healthy = runners.entries().filter(|e| {
        let is_unhealthy = e.draining || runners.health(&e.id).dead;
        let is_avoided = is_unhealthy || runners.is_unreachable(&e.id);
        !is_avoided && e.id != suspect.id
    });
    node.with_rng(|rng| {
        healthy
            .map(|e| ProbeTarget::of(node, e))
            .sample(rng, WITNESSES)
    })
}
