//! The fault matrix: every cell is there, and a chosen few hold on real processes.

use googletest::prelude::*;
use jacinthweir_testkit::matrix::cell::{Cell, Fault, Step, all, impossible};
use jacinthweir_testkit::matrix::report::{PageCfg, page};
use jacinthweir_testkit::matrix::{self, CellEnd, MatrixCfg, MatrixEnd, Verdict};

const CFG: MatrixCfg = MatrixCfg {
    seed: 7,
    fleets: 1,
    program: None,
    verbose: false,
};

async fn verdict(fault: Fault, step: Step) -> Verdict {
    let cell = Cell { step, fault };
    let end = matrix::run(&CFG, &[cell]).await.expect("runs");
    end.cells[0].verdict.clone()
}

#[gtest]
fn every_fault_meets_every_step_once_or_has_a_reason() {
    let cells = all();
    for step in Step::ALL {
        for fault in Fault::ALL {
            let cell = Cell { step, fault };
            let times = cells.iter().filter(|c| **c == cell).count();
            expect_that!(times, eq(1), "{cell}");
            if let Some(reason) = impossible(cell) {
                expect_that!(reason, not(eq("")), "{cell}");
            }
        }
    }
    expect_that!(cells.len(), eq(Step::ALL.len() * Fault::ALL.len()));
    // A process can end, stand still and be slow anywhere.
    for step in Step::ALL {
        for fault in [Fault::Kill, Fault::Freeze, Fault::Slow, Fault::PlatformOut] {
            expect_that!(
                impossible(Cell { step, fault }),
                none(),
                "{fault} at {step}"
            );
        }
    }
}

#[gtest]
fn a_cell_that_was_not_reached_is_not_counted_as_proved() {
    let cell = |fault| Cell {
        step: Step::Claimed,
        fault,
    };
    let ends = [
        (Fault::Kill, Verdict::Proved),
        (Fault::Freeze, Verdict::NotReached("not seen".to_owned())),
        (Fault::Slow, Verdict::Open("call x: ran 2 times".to_owned())),
    ];
    let cells = ends.map(|(fault, verdict)| CellEnd {
        cell: cell(fault),
        verdict,
    });
    let end = MatrixEnd {
        cells: cells.to_vec(),
        ..MatrixEnd::default()
    };
    let cfg = PageCfg {
        command: "command".to_owned(),
        seconds: 1,
    };
    let text = page(&CFG, &cfg, &end);
    expect_that!(text, contains_substring("| proved | 1 |"));
    expect_that!(text, contains_substring("| not reached | 1 |"));
    expect_that!(text, contains_substring("| open | 1 |"));
    expect_that!(
        text,
        contains_substring("slow at claimed: open: call x: ran 2 times")
    );
}

// The caller sees a broken connection, sends its key again elsewhere at once and later, and the
// service has run the call at most once.
// Order: the claim stands; its instance ends before anything is dispatched; the key comes to a
// second instance, then to a third.
// Why: a second instance that took the claim over could not tell whether the first dispatched.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_between_claim_and_dispatch() {
    expect_that!(
        verdict(Fault::Kill, Step::Claimed).await,
        eq(&Verdict::Proved)
    );
}

// The caller's deadline passes without an answer, the key sent again elsewhere is told the truth,
// and the service has run the call at most once.
// Order: the claim stands; its instance stands still over the deadline; the key comes to a second
// instance; the first wakes and would dispatch.
// Why: a dispatch after the deadline would run a call that others were told is over.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn frozen_between_claim_and_dispatch_and_woken_after_the_deadline() {
    expect_that!(
        verdict(Fault::Freeze, Step::Claimed).await,
        eq(&Verdict::Proved)
    );
}

// The operator sees a broken connection and applies the same change elsewhere; it is committed
// once and comes into force everywhere.
// Order: all parts stand; the instance ends before it sends the head; the change comes to others.
// Why: parts without a head must neither count as a commit nor block the next one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_between_parts_and_head() {
    let found = verdict(Fault::Kill, Step::PartsWritten).await;
    expect_that!(found, eq(&Verdict::Proved));
}
