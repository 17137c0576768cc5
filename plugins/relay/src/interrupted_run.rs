//! Interrupted runs: records which request ran on which runners when a run failed.

use std::rc::Rc;

use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::prompt_part;
use jacinthweir_policy::quarantine::{BrokenRun, LifetimeState, SURVIVED_MS};

use crate::node::Node;
use crate::request::ProxiedRequest;
use crate::{failure_detector, quarantine};

/// Progress of a run when it was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Nothing had arrived: the request may still have been queued at the runner.
    NothingReceived,
    /// The run had begun, and the runner had sent data for this many milliseconds.
    Received(Millis),
}

impl Progress {
    fn ran_ms(self) -> Option<Millis> {
        match self {
            Progress::NothingReceived => None,
            Progress::Received(ms) => Some(ms),
        }
    }
}

/// An interrupted run.
pub(crate) struct InterruptedRun<'a> {
    pub(crate) rq: &'a ProxiedRequest,
    /// Lifetimes of the runners along the chain, in order.
    pub(crate) lifetimes: Vec<Lifetime>,
    pub(crate) sent_ms: Millis,
    pub(crate) progress: Progress,
    pub(crate) cause: &'a str,
}

/// Logs and counts an interrupted run, has the first runner probed, and updates the quarantine
/// state.
pub(crate) fn record(node: &Rc<Node>, interrupted_run: InterruptedRun<'_>) {
    let InterruptedRun {
        rq,
        lifetimes,
        sent_ms,
        progress,
        cause,
    } = interrupted_run;
    log::info!(
        request = rq.id.as_ref(),
        fingerprint:% = rq.fingerprint(),
        parts = prompt_part::list(&rq.prompt_parts),
        runner = lifetimes.first().map_or("", |l| &l.runner),
        begun = progress != Progress::NothingReceived,
        ran_ms:? = progress.ran_ms(),
        after_ms = node.now() - rq.received_ms,
        cause;
        "run broke off"
    );
    metrics::counter!("jacinthweir_runs_broken_total").increment(1);
    probe_first(node, &lifetimes);
    match progress {
        Progress::Received(ms) if ms >= SURVIVED_MS => quarantine::record_survival(node, rq),
        Progress::Received(_) | Progress::NothingReceived => {
            node.quarantine.borrow_mut().record_broken_run(BrokenRun {
                subject: rq.subject(),
                through: lifetimes,
                seen_by: node.settings.name.clone(),
                sent_ms,
                ran_ms: progress.ran_ms(),
                at_ms: node.now(),
            });
        }
    }
}

/// Probes the first runner of an interrupted run, unless one of its runners already counts as dead.
fn probe_first(node: &Rc<Node>, lifetimes: &[Lifetime]) {
    let is_explained = {
        let runners = node.runners.borrow();
        let is_dead = |l| {
            let state = runners.lifetime_state(l);
            matches!(state, LifetimeState::Ended | LifetimeState::Silent)
        };
        lifetimes.iter().any(is_dead)
    };
    if let Some(first) = lifetimes.first().filter(|_| !is_explained) {
        failure_detector::connection_lost(node, &first.runner, first.born_ms);
    }
}
