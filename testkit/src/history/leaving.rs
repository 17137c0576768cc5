//! Checks that an upstream that is leaving gets no new work after the limit.
//!
//! The limit runs from the time at which the leaving notice was first readable. A notice that only
//! the platform's list carries is unreadable during a platform outage; the limit then runs from the
//! end of the outage.

use super::Limits;
use super::record::{History, LeavingNotice, ReceivedAttempt};
use super::violation::Violation;

/// Lag of the simulated platform's list plus the poll interval of its readers, in milliseconds: a
/// notice younger than this at the start of an outage may not have been read by any instance.
const LIST_LAG_MS: u64 = 3_500;

pub(super) fn check(history: &History, limits: &Limits, found: &mut Vec<Violation>) {
    for left in &history.left {
        let readable_ms = readable_ms(history, left);
        let late = |a: &&ReceivedAttempt| {
            a.first
                && a.upstream == left.upstream
                && readable_ms.is_some_and(|at| a.at_ms > at.saturating_add(limits.leaving_ms))
                && left.until_ms.is_none_or(|until| a.at_ms < until)
        };
        for arrived in history.arrived.iter().filter(late) {
            found.push(Violation::NewWorkAfterLeaving {
                upstream: left.upstream.clone(),
                request: arrived.request.clone(),
                late_ms: arrived.at_ms - left.at_ms,
            });
        }
    }
}

/// Returns the Unix time from which the notice was readable, in milliseconds, or `None` if it never
/// was.
fn readable_ms(history: &History, left: &LeavingNotice) -> Option<u64> {
    let mut at_ms = left.at_ms;
    if !left.by_list {
        return Some(at_ms);
    }
    for gap in &history.unreadable {
        let until_ms = gap.until_ms?;
        if gap.from_ms <= at_ms.saturating_add(LIST_LAG_MS) && at_ms < until_ms {
            at_ms = until_ms;
        }
    }
    Some(at_ms)
}
