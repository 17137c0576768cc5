//! An upstream that is leaving gets no new work after a few seconds.

use super::Limits;
use super::record::History;
use super::violation::Violation;

pub(super) fn check(history: &History, limits: &Limits, found: &mut Vec<Violation>) {
    for left in &history.left {
        let late = history.arrived.iter().filter(|a| {
            a.first
                && a.upstream == left.upstream
                && a.at_ms > left.at_ms.saturating_add(limits.leaving_ms)
                && left.until_ms.is_none_or(|until| a.at_ms < until)
        });
        for arrived in late {
            found.push(Violation::NewWorkAfterLeaving {
                upstream: left.upstream.clone(),
                request: arrived.request.clone(),
                late_ms: arrived.at_ms - left.at_ms,
            });
        }
    }
}
