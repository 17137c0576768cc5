//! Runs that broke off: what ran where when a runner ended.

use std::rc::Rc;

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::lifetime::Lifetime;
use jacinthweir_policy::relay::quarantine::{Life, SURVIVED_MS};

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

/// A run of a request that passed `through` these lifetimes, the first one first, broke off.
pub(crate) fn note(
    node: &Rc<Node>,
    rq: &Proxied,
    through: Vec<Lifetime>,
    progress: Progress,
    cause: &str,
) {
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
        Progress::Ran(ms) if ms >= SURVIVED_MS => quarantine::survived(node, rq),
        Progress::Ran(_) => quarantine::broke(node, rq, through, true),
        Progress::Waited => quarantine::broke(node, rq, through, false),
    }
}

/// Asks the first runner that a broken run passed through, unless it is known already which of them ended.
fn ask_first(node: &Rc<Node>, through: &[Lifetime]) {
    let is_explained = {
        let runners = node.runners.borrow();
        through.iter().any(|l| runners.life(l) == Life::Ended)
    };
    if let Some(first) = through.first().filter(|_| !is_explained) {
        probe::broke_off(node, &first.runner, first.born_ms);
    }
}
