//! Writes a change to the platform: parts first, then the head by compare-and-set.

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

use crate::head::{self, Standing};
use crate::keys;

/// Parts written at a time.
const PARTS_AT_A_TIME: usize = 8;
/// Time in which a commit is tried and confirmed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Tries of one part.
const PART_TRIES: u32 = 4;
/// First pause between two tries; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// What became of a commit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Committed {
    /// The head stands.
    Yes,
    /// Another commit came first; nothing was committed.
    Overtaken,
    /// No write of the head had an effect.
    No {
        /// Cause.
        cause: String,
    },
    /// A write of the head may have had its effect, or may have it later.
    Unconfirmed,
}

/// Writes parts; those that stand already are the same, since the hash names the text.
///
/// A part that stands, though the head does not name it, is written once more: its version
/// thereby exceeds the head's, which tells the clean-up that a commit in progress needs it.
pub(crate) async fn write_parts(cx: &Kernel, parts: Vec<PartText>) -> Result<(), ClientError> {
    let writes = parts.into_iter().map(|part| write_part(cx, part));
    let mut writes = stream::iter(writes).buffer_unordered(PARTS_AT_A_TIME);
    while writes.try_next().await?.is_some() {}
    Ok(())
}

async fn write_part(cx: &Kernel, part: PartText) -> Result<(), ClientError> {
    let key = keys::part(&part.part.hash);
    let mut pause = FIRST_PAUSE;
    let mut tries = 1;
    loop {
        match cx
            .platform
            .put(&key, part.text.to_string(), Condition::Any)
            .await
        {
            Ok(_) => return Ok(()),
            Err(e) if tries == PART_TRIES => return Err(e),
            Err(_) => {}
        }
        tries += 1;
        tokio::time::sleep(pause).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

/// Replaces the head that stands at `expected` (0: absent) and says what is known of it.
///
/// A write whose answer is lost is read back. While the old head still stands the write may land
/// later, so the same compare-and-set is repeated: at most one of the copies finds the version
/// it expects.
pub(crate) async fn write_head(cx: &Kernel, head: &Head, expected: u64) -> Committed {
    fault_point::reach(Step::HeadSending).await;
    let mut lost = false;
    let tried = tokio::time::timeout(COMMIT_TIMEOUT, try_head(cx, head, expected, &mut lost)).await;
    match tried {
        Ok(committed) => committed,
        Err(_) if lost => Committed::Unconfirmed,
        Err(_) => Committed::No {
            cause: "the platform refuses writes".to_owned(),
        },
    }
}

async fn try_head(cx: &Kernel, head: &Head, expected: u64, lost: &mut bool) -> Committed {
    let Ok(value) = serde_json::to_string(head) else {
        return Committed::No {
            cause: "the head cannot be encoded".to_owned(),
        };
    };
    let condition = match expected {
        0 => Condition::Absent,
        version => Condition::Version(version),
    };
    let mut pause = FIRST_PAUSE;
    loop {
        // From the send on and until the answer, a time-out leaves the effect unknown.
        let earlier = std::mem::replace(lost, true);
        match cx.platform.put(keys::HEAD, value.clone(), condition).await {
            Ok(PutResult::Written(_)) => return Committed::Yes,
            Err(e) if e.had_no_effect() => *lost = earlier,
            Ok(PutResult::Conflict(_)) | Err(_) => {}
        }
        if *lost && let Some(known) = told(cx, head, expected).await {
            return known;
        }
        tokio::time::sleep(pause).await;
        pause = LONGEST_PAUSE.min(pause * 2);
    }
}

/// What the head that stands tells of the write; `None`: nothing yet.
async fn told(cx: &Kernel, sent: &Head, expected: u64) -> Option<Committed> {
    let Standing { head, version } = head::read(cx).await.ok()?;
    match read_back(sent, expected, head.as_deref().map(|head| (head, version))) {
        ReadBack::Committed => Some(Committed::Yes),
        ReadBack::Superseded { .. } => Some(Committed::Overtaken),
        ReadBack::Indeterminate => Some(Committed::Unconfirmed),
        ReadBack::Pending => None,
    }
}
