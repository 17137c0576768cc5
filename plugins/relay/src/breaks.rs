//! Runs that broke off: what ran where when a runner ended.

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::quarantine::{Lifetime, SURVIVED_MS};

use crate::node::Node;
use crate::quarantine;
use crate::request::Proxied;

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
    node: &Node,
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
    match progress {
        Progress::Ran(ms) if ms >= SURVIVED_MS => quarantine::survived(node, rq),
        Progress::Ran(_) => quarantine::broke(node, rq, through, true),
        Progress::Waited => quarantine::broke(node, rq, through, false),
    }
}
