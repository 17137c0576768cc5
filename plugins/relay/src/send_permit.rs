//! Permission to send a request to a runner.
//!
//! A send that is not the first of its request takes a retry out of the budget that all instances share.
//! The instance that sends takes it, at the moment of the send, also when it sends for another
//! instance. A retry that is asked for before a wait may be gone after it, and one that is taken after a
//! wait is missing if the wait is broken off.
//!
//! Invariant: no request is sent to a runner without a [`SendPermit`], and each permits one send.

use jacinthweir_policy::retry_priority::RetryPriority;

use crate::answer::{PriorSends, SendRecord};
use crate::node::Node;
use crate::request::ProxiedRequest;

/// Permission for one send of a request to a runner.
#[must_use]
pub(crate) struct SendPermit(());

impl SendPermit {
    /// Returns a permit for the next send of a request that this instance has sent as `record` says. Returns
    /// `None` if it needs a retry and there is none.
    pub(crate) fn take(
        node: &Node,
        rq: &ProxiedRequest,
        record: &SendRecord,
    ) -> Option<SendPermit> {
        if !rq.is_resend(record) {
            return Some(SendPermit(()));
        }
        let priority = match rq.prior_sends() {
            PriorSends::MayHaveRun => RetryPriority::Committed,
            PriorSends::None | PriorSends::NotRun => record.retry_priority(),
        };
        if !node.take_retry(&rq.service, priority) {
            return None;
        }
        node.retry_budgets.record_resend(&rq.service, node.now());
        Some(SendPermit(()))
    }
}
