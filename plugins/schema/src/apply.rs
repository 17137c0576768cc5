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

use crate::commit::{self, Committed};
use crate::head::{self, Standing};
use crate::long::LongSteps;

/// How long an apply waits until the standing head is in force here, to compare with it.
const CATCH_UP: Duration = Duration::from_secs(3);
/// Period of looking whether it is.
const CATCH_UP_POLL: Duration = Duration::from_millis(20);

/// A schema that was found valid.
struct Prepared {
    schema: Schema,
    parts: Vec<PartText>,
}

/// What applying a schema would change against what is in force here.
pub(crate) async fn plan(cx: &Kernel, req: &PlanRequest) -> Result<PlanReply, ApplyRefused> {
    let prepared = prepare(cx, &req.text).await?;
    let (base, changes) = changes(cx, &prepared.schema);
    Ok(PlanReply { base, changes })
}

/// Commits a schema; answers only once the commit is confirmed.
pub(crate) async fn apply(
    cx: &Arc<Kernel>,
    req: &ApplyRequest,
) -> Result<ApplyReply, ApplyRefused> {
    let Prepared { schema, parts } = prepare(cx, &req.text).await?;
    let standing = head::read(cx).await.map_err(|e| down(&e.to_string()))?;
    check_not_gone_back(cx, standing.head.as_deref())?;
    let changes = changes_since(cx, &standing, &schema).await;
    let proposal = Proposal {
        base: req.base,
        change: req.change.clone(),
        operator: req.operator.clone(),
        at_ms: cx.clock.unix_ms(),
        parts: parts.iter().map(|part| part.part.clone()).collect(),
        summary: changes.clone(),
    };
    match decide(standing.head.as_deref(), &proposal) {
        Decision::Commit(next) => {
            fault_point::reach(Step::ChangeReceived).await;
            write(cx, &standing, &next, parts).await?;
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
        Decision::Conflict { .. } => Err(conflict(standing.head.as_deref(), req.base)),
    }
}

/// Reads, checks and splits a schema, on the thread for long steps.
async fn prepare(cx: &Kernel, text: &str) -> Result<Prepared, ApplyRefused> {
    let text = text.to_owned();
    let prepared = LongSteps::of(cx).run(move || prepare_now(&text)).await;
    let internal = "internal error, see the instance's log";
    prepared.unwrap_or_else(|| Err(invalid(internal)))
}

fn prepare_now(text: &str) -> Result<Prepared, ApplyRefused> {
    let schema = parse_schema(text).map_err(|faults| ApplyRefused::Invalid { faults })?;
    let parts = split(&schema).map_err(|e| invalid(&e.to_string()))?;
    Ok(Prepared { schema, parts })
}

fn invalid(message: &str) -> ApplyRefused {
    ApplyRefused::Invalid {
        faults: vec![Fault::new(1, "document", message)],
    }
}

/// Revision in force here, and the difference against it.
fn changes(cx: &Kernel, schema: &Schema) -> (u64, Vec<String>) {
    let applied = cx.convergence().in_force().cloned();
    let empty = Schema::default();
    let (base, old) = match &applied {
        Some(applied) => (applied.head.revision, &**applied.schema.source()),
        None => (0, &empty),
    };
    let changes = diff(old, schema).iter().map(ToString::to_string).collect();
    (base, changes)
}

/// The difference against the standing head. It goes into the history, so a difference against an
/// older revision, which this instance may still have in force, would be untrue there for good.
async fn changes_since(cx: &Arc<Kernel>, standing: &Standing, schema: &Schema) -> Vec<String> {
    let revision = standing.head.as_ref().map_or(0, |head| head.revision);
    let caught_up = async {
        while in_force(cx) < revision {
            tokio::time::sleep(CATCH_UP_POLL).await;
        }
    };
    let _ = tokio::time::timeout(CATCH_UP, caught_up).await;
    match changes(cx, schema) {
        (base, changes) if base == revision => changes,
        _ => vec![format!("not compared with revision {revision}")],
    }
}

fn in_force(cx: &Kernel) -> u64 {
    let convergence = cx.convergence();
    convergence
        .in_force()
        .map_or(0, |applied| applied.head.revision)
}

fn down(cause: &str) -> ApplyRefused {
    ApplyRefused::PlatformDown {
        cause: cause.to_owned(),
    }
}

/// A commit over a head that is older than the accepted one would make a second history under
/// the same numbers, which every instance that has the first one refuses for good. It is refused
/// here, and the accepted head is written back meanwhile.
fn check_not_gone_back(cx: &Kernel, standing: Option<&Head>) -> Result<(), ApplyRefused> {
    let shown = standing.map_or(0, |head| head.revision);
    let peers = cx
        .membership()
        .peers()
        .map(|s| s.revision)
        .max()
        .unwrap_or(0);
    let applied = cx.convergence().in_force().cloned();
    let ours = applied.as_ref().map_or(0, |applied| applied.head.revision);
    let accepted = peers.max(ours);
    let foreign = match (&applied, standing) {
        (Some(applied), Some(head)) => relation(&applied.head, head) == Relation::Foreign,
        _ => false,
    };
    if accepted > shown || foreign {
        return Err(ApplyRefused::WentBack {
            standing: shown,
            accepted,
        });
    }
    Ok(())
}

fn conflict(standing: Option<&Head>, base: u64) -> ApplyRefused {
    let Some(head) = standing else {
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

async fn write(
    cx: &Arc<Kernel>,
    standing: &Standing,
    next: &Head,
    parts: Vec<PartText>,
) -> Result<(), ApplyRefused> {
    let stands = |part: &PartText| {
        let head = standing.head.as_ref();
        head.is_some_and(|head| head.parts.contains(&part.part))
    };
    let missing: Vec<PartText> = parts.iter().filter(|part| !stands(part)).cloned().collect();
    let written = commit::write_parts(cx, missing).await;
    written.map_err(|e| down(&format!("parts not written: {e}")))?;
    fault_point::reach(Step::PartsWritten).await;
    match commit::write_head(cx, next, standing.version).await {
        Committed::Yes => {
            fault_point::reach(Step::Committed).await;
            take_up(cx, next, parts).await;
            Ok(())
        }
        Committed::No { cause } => Err(down(&cause)),
        Committed::Unconfirmed => Err(ApplyRefused::Unconfirmed {
            change: next.history[0].change.clone(),
        }),
        Committed::Overtaken => {
            let standing = head::read(cx).await.ok().and_then(|standing| standing.head);
            Err(conflict(standing.as_deref(), next.revision - 1))
        }
    }
}

/// Puts the commit in force here at once, without fetching what this instance just wrote.
async fn take_up(cx: &Arc<Kernel>, next: &Head, parts: Vec<PartText>) {
    {
        let mut convergence = cx.convergence();
        for part in parts {
            convergence.insert_part(&part.part, part.text);
        }
    }
    let asked_at = cx.elapsed_ms();
    match head::read(cx).await {
        Ok(standing) => head::take(cx, standing, asked_at).await,
        Err(e) => debug!("revision {} not read back: {e}", next.revision),
    }
}
