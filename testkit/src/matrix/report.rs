//! Report of a run as a Markdown page: `docs/FAULTS.md`.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::cell::{Cell, Fault, Step, work_of};
use super::{MatrixCfg, MatrixResult, Verdict};

/// Facts on the page that are not part of the result.
#[derive(Clone, Debug)]
pub struct PageCfg {
    /// Command line of the run.
    pub command: String,
    /// Duration of the run, in seconds.
    pub seconds: u64,
}

/// Returns the page of a run.
#[must_use]
pub fn page(cfg: &MatrixCfg, page: &PageCfg, end: &MatrixResult) -> String {
    let mut out = String::from(INTRO);
    let count = |is: fn(&Verdict) -> bool| end.cells.iter().filter(|c| is(&c.verdict)).count();
    let impossible = count(|v| matches!(v, Verdict::Impossible(_)));
    let rows = [
        ("cells", end.cells.len()),
        ("run", end.cells.len() - impossible),
        ("proved", count(|v| *v == Verdict::Proved)),
        ("impossible, with a reason", impossible),
        (
            "not reached",
            count(|v| matches!(v, Verdict::NotReached(_))),
        ),
        ("open", count(|v| matches!(v, Verdict::Open(_)))),
        ("submissions", end.submissions),
        ("events checked", end.events),
        ("fleets side by side", cfg.fleets),
    ];
    let _ = writeln!(out, "## The run\n\n| | |\n|---|---|");
    for (what, n) in rows {
        let _ = writeln!(out, "| {what} | {n} |");
    }
    let _ = writeln!(
        out,
        "| seed | {} |\n| seconds | {} |",
        cfg.seed, page.seconds
    );
    let _ = writeln!(out, "\nCommand: `{}`\n", page.command);
    write_grid(&mut out, end);
    write_reasons(&mut out, end);
    out
}

const INTRO: &str = "# Fault matrix

Written by the example `fault_matrix` from its own run; not edited by hand.

Each cell is a short scripted run on real processes: a platform, 8 runners, 2 service instances
and 3 entry instances built with fault points. Work takes one instance to the step, where the
fault comes. The same work (a call with the same idempotency key, a change with the same change
id) is sent to a second instance while the fault lasts and to a third after it. All is healed, and
the history as callers, operators and upstreams saw it is checked against the promises.

A cell is **proved** only where the instance was seen at the step (its log, and for a kill or
freeze its process state) with the fault present, and the checks found nothing. One run of a cell
shows one interleaving. A write that is lost or late was seen to be one of the instance under test.
Racing operators have committed before the step goes on. Upstreams that die are the fast holders
of the first and of the last layers, or one of two service instances; that the request at the step
was using one of them is not forced. A model request after healing must be answered. A violation that shows late counts for the cell after which it was seen.
Not in the matrix: steps of an order to a runner, which do not exist yet, and pairs other than
those listed. A frozen instance that wakes before a service that ignores keys is covered up to the
service's own network: see PROMISES.md for what remains possible.

";

fn write_grid(out: &mut String, end: &MatrixResult) {
    let verdicts: BTreeMap<Cell, &Verdict> =
        end.cells.iter().map(|c| (c.cell, &c.verdict)).collect();
    let _ = writeln!(
        out,
        "## Cells\n\n+ proved, · impossible, n not reached, **O** open, blank: not run\n"
    );
    let head: Vec<String> = Step::ALL.iter().map(ToString::to_string).collect();
    let _ = writeln!(out, "| | {} |", head.join(" | "));
    let work_kinds: Vec<String> = Step::ALL.iter().map(|s| work_of(*s).to_string()).collect();
    let _ = writeln!(out, "|---|{}", "---|".repeat(head.len()));
    let _ = writeln!(
        out,
        "| *{}* |",
        ["of a"]
            .into_iter()
            .chain(work_kinds.iter().map(String::as_str))
            .collect::<Vec<_>>()
            .join("* | *")
    );
    for fault in Fault::ALL {
        let marks = Step::ALL.map(|step| match verdicts.get(&Cell { step, fault }) {
            Some(Verdict::Proved) => "+",
            Some(Verdict::Impossible(_)) => "·",
            Some(Verdict::NotReached(_)) => "n",
            Some(Verdict::Open(_)) => "**O**",
            None => "",
        });
        let _ = writeln!(out, "| {fault} | {} |", marks.join(" | "));
    }
}

fn write_reasons(out: &mut String, end: &MatrixResult) {
    let mut impossible = BTreeMap::<&str, Vec<String>>::new();
    let mut unproved = Vec::new();
    for c in &end.cells {
        match &c.verdict {
            Verdict::Proved => {}
            Verdict::Impossible(reason) => {
                impossible
                    .entry(reason)
                    .or_default()
                    .push(c.cell.to_string());
            }
            Verdict::NotReached(_) | Verdict::Open(_) => {
                unproved.push(format!("- {}: {}", c.cell, c.verdict.summary()));
            }
        }
    }
    let _ = writeln!(out, "\n## Impossible cells\n");
    for (reason, cells) in impossible {
        let _ = writeln!(out, "- {reason}: {}", cells.join(", "));
    }
    let _ = writeln!(out, "\n## Open and not reached\n");
    match unproved.is_empty() {
        true => out.push_str("None.\n"),
        false => unproved.iter().for_each(|line| {
            let _ = writeln!(out, "{line}");
        }),
    }
}
