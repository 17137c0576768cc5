//! Checks that a caller gets the complete answer to its own request, that an outcome of "not run"
//! is correct, and that a graceful shutdown interrupts no request.

use std::collections::BTreeMap;

use jacinthweir_policy::prelude::*;

use super::record::{History, Shutdown, Submission, Work};
use super::violation::Violation;

/// Status of an answer or of a started stream; with any other status, the text is an error message.
const OK: u16 = 200;

pub(super) fn check(history: &History, found: &mut Vec<Violation>) {
    let ran = upstream_by_request(history);
    for s in &history.submissions {
        let request = s.seen.request.clone().unwrap_or_else(|| "no id".into());
        check_text(s, &request, found);
        if s.seen.outcome == Some(Outcome::NotRun)
            && let Some(upstream) = ran.get(&request)
        {
            found.push(Violation::RanDespiteNotRun {
                number: s.number,
                request,
                upstream: upstream.clone(),
            });
        }
    }
    for shutdown in &history.shutdowns {
        check_shutdown(history, shutdown, found);
    }
}

fn upstream_by_request(history: &History) -> BTreeMap<Name, Name> {
    let models = history
        .ran
        .iter()
        .map(|r| (r.request.clone(), r.runner.clone()));
    let calls = history.calls.iter().filter_map(|c| {
        let request = c.request.clone()?;
        Some((request, c.service.clone()))
    });
    models.chain(calls).collect()
}

fn check_text(s: &Submission, request: &Name, found: &mut Vec<Violation>) {
    let Work::Model { expected } = &s.work else {
        return;
    };
    let number = s.number;
    let request = request.clone();
    if s.seen.outcome == Some(Outcome::Answered) {
        if s.seen.text != *expected {
            found.push(Violation::WrongAnswer { number, request });
        }
    } else if s.seen.status == Some(OK) && !expected.starts_with(&s.seen.text) {
        found.push(Violation::MismatchedPrefix { number, request });
    }
}

/// Checks the exit code of a shutdown, and that no submission accepted by the instance before its
/// exit lost its connection.
fn check_shutdown(history: &History, shutdown: &Shutdown, found: &mut Vec<Violation>) {
    let instance = shutdown.instance.clone();
    if shutdown.code != Some(0) {
        let what = format!("the exit code was {:?}", shutdown.code);
        found.push(Violation::InterruptedByShutdown {
            instance: instance.clone(),
            what,
        });
    }
    let interrupted = history.submissions.iter().filter(|s| {
        s.instance == instance
            && s.sent_ms < shutdown.ended_ms
            && s.ended_ms >= shutdown.signal_ms
            && s.seen.broken.is_some()
    });
    for s in interrupted {
        let what = format!(
            "submission {} was interrupted: {:?}",
            s.number, s.seen.broken
        );
        found.push(Violation::InterruptedByShutdown {
            instance: instance.clone(),
            what,
        });
    }
}
