//! Runs that broke off: what ran where when a runner ended.

use std::rc::Rc;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lifetime::Lifetime;
use jacinthweir_policy::relay::quarantine::{BrokenRun, LifetimeState, SURVIVED_MS};

use crate::node::Node;
use crate::request::Proxied;
use crate::{probe, quarantine};

/// How far a run had come when it broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Nothing had come of it: it may have waited at the runner.
    Waited,
    /// It had begun, and its runner wrote for so many milliseconds.
    Ran(Millis),
}

impl Progress {
    fn ran_ms(self) -> Option<Millis> {
        match self {
            Progress::Waited => None,
            Progress::Ran(ms) => Some(ms),
        }
    }
}

/// A run that broke off.
pub(crate) struct BrokenOff<'a> {
    pub(crate) rq: &'a Proxied,
    /// Lifetimes that it passed through, the first one first.
    pub(crate) through: Vec<Lifetime>,
    pub(crate) sent_ms: Millis,
    pub(crate) progress: Progress,
    pub(crate) cause: &'a str,
}

/// Takes note of a run that broke off.
pub(crate) fn note(node: &Rc<Node>, broken: BrokenOff<'_>) {
    let BrokenOff {
        rq,
        through,
        sent_ms,
        progress,
        cause,
    } = broken;
    log::info!(
        request = rq.id.as_ref(),
        fingerprint:% = rq.fingerprint(),
        runner = through.first().map_or("", |l| &l.runner),
        begun = progress != Progress::Waited,
        ran_ms:? = progress.ran_ms(),
        after_ms = node.now() - rq.received_ms,
        cause;
        "run broke off"
    );
    metrics::counter!("jacinthweir_runs_broken_total").increment(1);
    ask_first(node, &through);
    match progress {
        Progress::Ran(ms) if ms >= SURVIVED_MS => quarantine::record_survival(node, rq),
        Progress::Ran(_) | Progress::Waited => {
            node.quarantine.borrow_mut().record_broken_run(BrokenRun {
                request: rq.fingerprint(),
                through,
                seen_by: node.settings.name.clone(),
                sent_ms,
                begun: progress != Progress::Waited,
                at_ms: node.now(),
            });
        }
    }
}

/// Asks the first runner that a broken run passed through, unless it is known already which of them ended.
fn ask_first(node: &Rc<Node>, through: &[Lifetime]) {
    let is_explained = {
        let runners = node.runners.borrow();
        through
            .iter()
            .any(|l| runners.lifetime_state(l) == LifetimeState::Ended)
    };
    if let Some(first) = through.first().filter(|_| !is_explained) {
        probe::broke_off(node, &first.runner, first.born_ms);
    }
}
