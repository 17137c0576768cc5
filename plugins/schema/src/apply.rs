//! Plans and applies a schema.

use std::time::Duration;

use jacinthweir_kernel::fault_point::Step;
use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::commit::{Decision, Proposal, decide};
use jacinthweir_policy::config::lineage::{Relation, relation};
use jacinthweir_policy::config::parts::{PartText, split};
use jacinthweir_policy::schema::{Schema, diff, parse_schema};
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, Fault, Head, PlanReply, PlanRequest,
};

use crate::commit::{self, CommitOutcome};
use crate::head::{self, StoredHead};
use crate::worker::SchemaWorker;

/// Longest time an apply waits for the stored head to be in force here, to diff against it.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between checks during that wait.
const CATCH_UP_POLL: Duration = Duration::from_millis(20);

/// A valid schema with its parts.
struct PreparedSchema {
    schema: Schema,
    parts: Vec<PartText>,
}

/// Returns what applying a schema would change against the revision in force here.
pub(crate) async fn plan(cx: &Kernel, req: &PlanRequest) -> Result<PlanReply, ApplyRefused> {
    let prepared = prepare(cx, &req.text).await?;
    let (base, changes) = diff_in_force(cx, &prepared.schema);
    Ok(PlanReply { base, changes })
}

/// Commits a schema; returns only once the commit is confirmed or has failed.
pub(crate) async fn apply(
    cx: &Arc<Kernel>,
    req: &ApplyRequest,
) -> Result<ApplyReply, ApplyRefused> {
    let PreparedSchema { schema, parts } = prepare(cx, &req.text).await?;
    let stored = head::read(cx)
        .await
        .map_err(|e| platform_down(&e.to_string()))?;
    check_not_rolled_back(cx, stored.head.as_deref())?;
    let changes = diff_stored(cx, &stored, &schema).await;
    let proposal = Proposal {
        base: req.base,
        change: req.change.clone(),
        operator: req.operator.clone(),
        at_ms: cx.clock.unix_ms(),
        parts: parts.iter().map(|part| part.part.clone()).collect(),
        summary: changes.clone(),
    };
    match decide(stored.head.as_deref(), &proposal) {
        Decision::Commit(next) => {
            fault_point::reach(Step::ChangeReceived).await;
            write_commit(cx, &stored, &next, parts).await?;
            info!(
                "change {} of {} committed as revision {}",
                req.change, req.operator, next.revision
            );
            Ok(ApplyReply {
                revision: next.revision,
                changes,
            })
        }
        Decision::AlreadyCommitted { revision } => Ok(ApplyReply {
            revision,
            changes: Vec::new(),
        }),
        Decision::Unchanged { revision } => Ok(ApplyReply {
            revision,
            changes: Vec::new(),
        }),
        Decision::ChangeReused { revision } => Err(ApplyRefused::ChangeReused { revision }),
        Decision::Conflict { .. } => Err(conflict(stored.head.as_deref(), req.base)),
    }
}

/// Parses, validates and splits a schema on the schema worker.
async fn prepare(cx: &Kernel, text: &str) -> Result<PreparedSchema, ApplyRefused> {
    let text = text.to_owned();
    let prepared = SchemaWorker::of(cx)
        .run(move || parse_and_split(&text))
        .await;
    let internal = "internal error, see the instance's log";
    prepared.unwrap_or_else(|| Err(invalid(internal)))
}

fn parse_and_split(text: &str) -> Result<PreparedSchema, ApplyRefused> {
    let schema = parse_schema(text).map_err(|faults| ApplyRefused::Invalid { faults })?;
    let parts = split(&schema).map_err(|e| invalid(&e.to_string()))?;
    Ok(PreparedSchema { schema, parts })
}

fn invalid(message: &str) -> ApplyRefused {
    ApplyRefused::Invalid {
        faults: vec![Fault::new(1, "document", message)],
    }
}

/// Returns the revision in force here and the difference of `schema` against it.
fn diff_in_force(cx: &Kernel, schema: &Schema) -> (u64, Vec<String>) {
    let applied = cx.convergence().in_force().cloned();
    let empty = Schema::default();
    let (base, old) = match &applied {
        Some(applied) => (applied.head.revision, &**applied.schema.source()),
        None => (0, &empty),
    };
    let changes = diff(old, schema).iter().map(ToString::to_string).collect();
    (base, changes)
}

/// Returns the difference of `schema` against the stored head.
///
/// It is recorded in the history for good, so a difference against an older revision, which this
/// instance may still have in force, would be wrong.
async fn diff_stored(cx: &Arc<Kernel>, stored: &StoredHead, schema: &Schema) -> Vec<String> {
    let revision = stored.head.as_ref().map_or(0, |head| head.revision);
    let caught_up = async {
        while revision_in_force(cx) < revision {
            tokio::time::sleep(CATCH_UP_POLL).await;
        }
    };
    let _ = tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
    match diff_in_force(cx, schema) {
        (base, changes) if base == revision => changes,
        _ => vec![format!("not compared with revision {revision}")],
    }
}

fn revision_in_force(cx: &Kernel) -> u64 {
    let convergence = cx.convergence();
    convergence
        .in_force()
        .map_or(0, |applied| applied.head.revision)
}

fn platform_down(cause: &str) -> ApplyRefused {
    ApplyRefused::PlatformDown {
        cause: cause.to_owned(),
    }
}

/// Refuses a commit over a stored head that is older than the accepted one.
///
/// Such a commit would start a second history with the same revision numbers, which every instance
/// that has the first one refuses for good. Meanwhile, the accepted head is written back.
fn check_not_rolled_back(cx: &Kernel, stored: Option<&Head>) -> Result<(), ApplyRefused> {
    let stored_revision = stored.map_or(0, |head| head.revision);
    let peers = cx
        .membership()
        .peers()
        .map(|s| s.revision)
        .max()
        .unwrap_or(0);
    let applied = cx.convergence().in_force().cloned();
    let ours = applied.as_ref().map_or(0, |applied| applied.head.revision);
    let accepted = peers.max(ours);
    let foreign = match (&applied, stored) {
        (Some(applied), Some(head)) => relation(&applied.head, head) == Relation::Foreign,
        _ => false,
    };
    if accepted > stored_revision || foreign {
        return Err(ApplyRefused::WentBack {
            standing: stored_revision,
            accepted,
        });
    }
    Ok(())
}

fn conflict(stored: Option<&Head>, base: u64) -> ApplyRefused {
    let Some(head) = stored else {
        return ApplyRefused::Conflict {
            standing: 0,
            changes: Vec::new(),
        };
    };
    let since = head
        .history
        .iter()
        .rev()
        .filter(|commit| commit.revision > base);
    let changes = since
        .flat_map(|commit| commit.summary.iter().cloned())
        .collect();
    ApplyRefused::Conflict {
        standing: head.revision,
        changes,
    }
}

async fn write_commit(
    cx: &Arc<Kernel>,
    stored: &StoredHead,
    next: &Head,
    parts: Vec<PartText>,
) -> Result<(), ApplyRefused> {
    let is_stored = |part: &PartText| {
        let head = stored.head.as_ref();
        head.is_some_and(|head| head.parts.contains(&part.part))
    };
    let missing: Vec<PartText> = parts
        .iter()
        .filter(|part| !is_stored(part))
        .cloned()
        .collect();
    let written = commit::write_parts(cx, missing).await;
    written.map_err(|e| platform_down(&format!("parts not written: {e}")))?;
    fault_point::reach(Step::PartsWritten).await;
    match commit::write_head(cx, next, stored.version).await {
        CommitOutcome::Committed => {
            fault_point::reach(Step::Committed).await;
            put_in_force(cx, next, parts).await;
            Ok(())
        }
        CommitOutcome::NotCommitted { cause } => Err(platform_down(&cause)),
        CommitOutcome::Unconfirmed => Err(ApplyRefused::Unconfirmed {
            change: next.history[0].change.clone(),
        }),
        CommitOutcome::Superseded => {
            let stored = head::read(cx).await.ok().and_then(|stored| stored.head);
            Err(conflict(stored.as_deref(), next.revision - 1))
        }
    }
}

/// Puts the commit in force here at once, without fetching the parts that this instance has just
/// written.
async fn put_in_force(cx: &Arc<Kernel>, next: &Head, parts: Vec<PartText>) {
    {
        let mut convergence = cx.convergence();
        for part in parts {
            convergence.insert_part(&part.part, part.text);
        }
    }
    let asked_at = cx.elapsed_ms();
    match head::read(cx).await {
        Ok(stored) => head::handle_head(cx, stored, asked_at).await,
        Err(e) => debug!(
            "head could not be read back after committing revision {}: {e}",
            next.revision
        ),
    }
}
