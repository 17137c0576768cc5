//! Tests that the fault matrix is complete, and runs a few of its cells on real processes.

use googletest::prelude::*;
use jacinthweir_testkit::matrix::cell::{Cell, Fault, Step, all, impossible};
use jacinthweir_testkit::matrix::report::{PageCfg, page};
use jacinthweir_testkit::matrix::{self, CellResult, MatrixCfg, MatrixResult, Verdict};

const CFG: MatrixCfg = MatrixCfg {
    seed: 7,
    fleets: 1,
    program: None,
    verbose: false,
};

async fn run_cell(fault: Fault, step: Step) -> Verdict {
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
    // A process can be killed, frozen or slow at any step, and the platform can be unavailable.
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
    let cells = ends.map(|(fault, verdict)| CellResult {
        cell: cell(fault),
        verdict,
    });
    let end = MatrixResult {
        cells: cells.to_vec(),
        ..MatrixResult::default()
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

// The claimant is killed after its claim is stored and before the call is dispatched. The caller
// sees a broken connection and sends its key to a second instance at once and to a third one later.
// The service must run the call at most once: an instance that took over the claim could not tell
// whether the claimant had dispatched the call.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_between_claim_and_dispatch() {
    expect_that!(
        run_cell(Fault::Kill, Step::Claimed).await,
        eq(&Verdict::Proved)
    );
}

// The claimant is frozen after its claim is stored and resumes after the deadline of the caller.
// Meanwhile the key is sent to a second instance, which must report the true outcome. The service
// must run the call at most once: a dispatch after the deadline would run a call that was already
// reported as over.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn frozen_between_claim_and_dispatch_and_woken_after_the_deadline() {
    expect_that!(
        run_cell(Fault::Freeze, Step::Claimed).await,
        eq(&Verdict::Proved)
    );
}

// The instance is killed after it has written all parts and before it sends the head. The operator
// sees a broken connection and applies the same change at other instances, where it is committed
// once and comes into force everywhere. Parts without a head must neither count as a commit nor
// block the next one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn killed_between_parts_and_head() {
    let found = run_cell(Fault::Kill, Step::PartsWritten).await;
    expect_that!(found, eq(&Verdict::Proved));
}
