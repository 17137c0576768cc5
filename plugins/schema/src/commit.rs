//! Writes a commit to the platform: first the parts, then the head by compare-and-set.

use std::time::Duration;

use futures::{StreamExt, TryStreamExt, stream};
use jacinthweir_clients::ClientError;
use jacinthweir_clients::platform::PutResult;
use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::commit::{ReadBack, read_back};
use jacinthweir_policy::config::parts::PartText;
use jacinthweir_wire::peer::Head;
use jacinthweir_wire::platform::Condition;

use crate::head::{self, StoredHead};
use crate::keys;

/// Maximum number of parts written concurrently.
const MAX_CONCURRENT_PART_WRITES: usize = 8;
/// Time within which the head must be written and confirmed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Attempts to write one part.
const MAX_PART_ATTEMPTS: u32 = 4;
/// Initial delay between two attempts; doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Outcome of writing a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CommitOutcome {
    /// The head is stored.
    Committed,
    /// Another commit was stored first; nothing was committed.
    Superseded,
    /// No write of the head had an effect.
    NotCommitted { cause: String },
    /// A write of the head may have taken effect, or may still do so.
    Unconfirmed,
}

/// Writes parts. Overwriting a stored part is harmless, as its key is the hash of its text.
///
/// A stored part that the head does not reference is written again: its version then exceeds the
/// head's, which tells garbage collection that a commit in progress needs it.
pub(crate) async fn write_parts(cx: &Kernel, parts: Vec<PartText>) -> Result<(), ClientError> {
    let writes = parts.into_iter().map(|part| write_part(cx, part));
    let mut writes = stream::iter(writes).buffer_unordered(MAX_CONCURRENT_PART_WRITES);
    while writes.try_next().await?.is_some() {}
    Ok(())
}

async fn write_part(cx: &Kernel, part: PartText) -> Result<(), ClientError> {
    let key = keys::part(&part.part.hash);
    let mut backoff = INITIAL_BACKOFF;
    let mut attempts = 1;
    loop {
        match cx
            .platform
            .put(&key, part.text.to_string(), Condition::Any)
            .await
        {
            Ok(_) => return Ok(()),
            Err(e) if attempts == MAX_PART_ATTEMPTS => return Err(e),
            Err(_) => {}
        }
        attempts += 1;
        tokio::time::sleep(backoff).await;
        backoff = MAX_BACKOFF.min(backoff * 2);
    }
}

/// Replaces the head stored at version `expected` (0 if absent) and returns the outcome.
///
/// If the answer to a write is lost, the head is read back. While the old head is still stored, the
/// write may take effect later, so the same compare-and-set is repeated: at most one of the copies
/// finds the version that it expects.
pub(crate) async fn write_head(cx: &Kernel, head: &Head, expected: u64) -> CommitOutcome {
    fault_point::reach(Step::HeadSending).await;
    let mut effect_unknown = false;
    let result = tokio::time::timeout(
        COMMIT_TIMEOUT,
        try_write_head(cx, head, expected, &mut effect_unknown),
    )
    .await;
    match result {
        Ok(outcome) => outcome,
        Err(_) if effect_unknown => CommitOutcome::Unconfirmed,
        Err(_) => CommitOutcome::NotCommitted {
            cause: "the platform refuses writes".to_owned(),
        },
    }
}

async fn try_write_head(
    cx: &Kernel,
    head: &Head,
    expected: u64,
    effect_unknown: &mut bool,
) -> CommitOutcome {
    let Ok(value) = serde_json::to_string(head) else {
        return CommitOutcome::NotCommitted {
            cause: "the head cannot be encoded".to_owned(),
        };
    };
    let condition = match expected {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let mut backoff = INITIAL_BACKOFF;
    loop {
        // A time-out between sending the write and receiving the answer leaves the effect unknown.
        let was_unknown = std::mem::replace(effect_unknown, true);
        match cx.platform.put(keys::HEAD, value.clone(), condition).await {
            Ok(PutResult::Written(_)) => return CommitOutcome::Committed,
            Err(e) if e.had_no_effect() => *effect_unknown = was_unknown,
            Ok(PutResult::Conflict(_)) | Err(_) => {}
        }
        if *effect_unknown && let Some(outcome) = read_outcome(cx, head, expected).await {
            return outcome;
        }
        tokio::time::sleep(backoff).await;
        backoff = MAX_BACKOFF.min(backoff * 2);
    }
}

/// Reads the stored head back to find the outcome of a write; `None` if it is still pending.
async fn read_outcome(cx: &Kernel, sent: &Head, expected: u64) -> Option<CommitOutcome> {
    let StoredHead { head, version } = head::read(cx).await.ok()?;
    match read_back(sent, expected, head.as_deref().map(|head| (head, version))) {
        ReadBack::Committed => Some(CommitOutcome::Committed),
        ReadBack::Superseded { .. } => Some(CommitOutcome::Superseded),
        ReadBack::Indeterminate => Some(CommitOutcome::Unconfirmed),
        ReadBack::Pending => None,
    }
}
