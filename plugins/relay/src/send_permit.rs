//! Permission to send a request to a runner.
//!
//! A send that is not the first of its request takes a retry out of the budget that all instances share.
//! The instance that sends takes it, at the moment of the send, also when it sends for another
//! instance. A retry that is asked for before a wait may be gone after it, and one that is taken after a
//! wait is missing if the wait is broken off.
//!
//! No send starts shortly before the end of this process: its answer would come too late.
//!
//! Invariant: no request is sent to a runner without a [`SendPermit`], and each permits one send.

use jacinthweir_policy::retry_priority::RetryPriority;

use crate::answer::{Cause, PriorSends, SendRecord};
use crate::node::Node;
use crate::request::ProxiedRequest;

/// Permission for one send of a request to a runner.
#[must_use]
pub(crate) struct SendPermit(());

impl SendPermit {
    /// Returns a permit for the next send of a request that this instance has sent as `record` says.
    ///
    /// # Errors
    /// The request needs a retry and there is none, or this instance stops.
    pub(crate) fn take(
        node: &Node,
        rq: &ProxiedRequest,
        record: &SendRecord,
    ) -> Result<SendPermit, Cause> {
        if !node.last_steps.may_send() {
            return Err(Cause::Stopping);
        }
        if !rq.is_resend(record) {
            return Ok(SendPermit(()));
        }
        let priority = match rq.prior_sends() {
            PriorSends::MayHaveRun => RetryPriority::Committed,
            PriorSends::None | PriorSends::NotRun => record.retry_priority(),
        };
        if !node.take_retry(&rq.service, priority) {
            return Err(Cause::NoRetry);
        }
        node.retry_budgets.record_resend(&rq.service, node.now());
        Ok(SendPermit(()))
    }
}
