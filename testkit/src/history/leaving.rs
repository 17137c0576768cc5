//! An upstream that is leaving gets no new work after a few seconds.
//!
//! The time runs from the word that anybody could hear. What only the platform's list says can't
//! be heard while the platform answers nobody; the time then runs from its first answer.

use super::Limits;
use super::record::{Arrived, History, Left};
use super::violation::Violation;

/// Lag of the stand-in's list and period of its readers: a word that is younger than this when
/// the platform falls silent may have been read by nobody, in milliseconds.
const LIST_READ_MS: u64 = 3_500;

pub(super) fn check(history: &History, limits: &Limits, found: &mut Vec<Violation>) {
    for left in &history.left {
        let heard_ms = heard_ms(history, left);
        let late = |a: &&Arrived| {
            a.first
                && a.upstream == left.upstream
                && heard_ms.is_some_and(|at| a.at_ms > at.saturating_add(limits.leaving_ms))
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

/// Unix time at which the word could be heard, in milliseconds; `None`: it could not.
fn heard_ms(history: &History, left: &Left) -> Option<u64> {
    let mut at_ms = left.at_ms;
    if !left.by_list {
        return Some(at_ms);
    }
    for gap in &history.unreadable {
        let until_ms = gap.until_ms?;
        if gap.from_ms <= at_ms.saturating_add(LIST_READ_MS) && at_ms < until_ms {
            at_ms = until_ms;
        }
    }
    Some(at_ms)
}
