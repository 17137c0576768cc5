//! Runs that broke off: what ran where when a runner ended.

use jacinthweir_policy::prelude::*;

use crate::node::Node;
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

/// A run of a request at `runner` broke off.
pub(crate) fn note(node: &Node, rq: &Proxied, runner: &Name, progress: Progress, cause: &str) {
    log::info!(
        request = rq.id.as_ref(),
        fingerprint:% = rq.fingerprint(),
        runner = runner.as_ref(),
        begun = progress != Progress::Waited,
        ran_ms:? = progress.ran_ms(),
        after_ms = node.now() - rq.received_ms,
        cause;
        "run broke off"
    );
    metrics::counter!("jacinthweir_runs_broken_total").increment(1);
}
