//! Plans and applies a schema.

use jacinthweir_kernel::prelude::*;
use jacinthweir_policy::config::commit::{Decision, Proposal, decide};
use jacinthweir_policy::config::converge::Event;
use jacinthweir_policy::config::lineage::{Relation, relation};
use jacinthweir_policy::config::parts::{PartText, split};
use jacinthweir_policy::schema::{Schema, diff, parse_schema};
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, Fault, Head, PlanReply, PlanRequest,
};

use crate::commit::{self, Committed};
use crate::drive::drive;
use crate::head::{self, Standing};

/// What applying a schema would change against what is in force here.
pub(crate) fn plan(cx: &Kernel, req: &PlanRequest) -> Result<PlanReply, ApplyRefused> {
    let schema = parse(&req.text)?;
    split_checked(&schema)?;
    let (base, changes) = changes(cx, &schema);
    Ok(PlanReply { base, changes })
}

/// Commits a schema; answers only once the commit is confirmed.
pub(crate) async fn apply(
    cx: &Arc<Kernel>,
    req: &ApplyRequest,
) -> Result<ApplyReply, ApplyRefused> {
    let schema = parse(&req.text)?;
    let parts = split_checked(&schema)?;
    let (_, changes) = changes(cx, &schema);
    let standing = head::read(cx).await.map_err(|e| down(&e.to_string()))?;
    check_not_gone_back(cx, standing.head.as_deref())?;
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
        Decision::Already { revision } => Ok(ApplyReply {
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

fn parse(text: &str) -> Result<Schema, ApplyRefused> {
    parse_schema(text).map_err(|faults| ApplyRefused::Invalid { faults })
}

fn split_checked(schema: &Schema) -> Result<Vec<PartText>, ApplyRefused> {
    split(schema).map_err(|e| ApplyRefused::Invalid {
        faults: vec![Fault::new(1, "document", &e.to_string())],
    })
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
    match commit::write_head(cx, next, standing.version).await {
        Committed::Yes => {
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
            convergence.hold(&part.part, part.text);
        }
    }
    let asked_at = cx.elapsed_ms();
    match head::read(cx).await {
        Ok(Standing { head, version }) => drive(
            cx,
            Event::PlatformHead {
                head,
                version,
                asked_at,
            },
        ),
        Err(e) => debug!("revision {} not read back: {e}", next.revision),
    }
}
