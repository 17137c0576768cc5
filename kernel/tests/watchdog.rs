//! When the watchdog takes an event loop for stalled.

use googletest::prelude::*;
use jacinthweir_kernel::watchdog::{StallCounter, Verdict};

/// Guards against a process that hangs for good: nothing ended it, so nothing started it again.
#[gtest]
fn a_loop_without_progress_is_told_and_then_ended() {
    let mut stall = StallCounter::default();
    expect_that!(stall.tick(1), eq(Verdict::Sound));
    let verdicts: Vec<Verdict> = (0..10).map(|_| stall.tick(1)).collect();
    expect_that!(verdicts[..2], each(eq(&Verdict::Sound)));
    expect_that!(verdicts[2], eq(Verdict::Stalled(3)));
    expect_that!(verdicts[8], eq(Verdict::Stalled(9)));
    expect_that!(verdicts[9], eq(Verdict::Ended));
}

/// Guards against the end of a process that was stopped and continued, or whose machine was frozen: it has
/// beaten no more than the watchdog has ticked.
#[gtest]
fn a_stopped_process_is_no_stalled_one() {
    let mut stall = StallCounter::default();
    for beat in 1..=100 {
        expect_that!(stall.tick(beat), eq(Verdict::Sound));
        // The tick that was due when the process was stopped comes before the next beat.
        expect_that!(stall.tick(beat), eq(Verdict::Sound));
    }
}

/// Guards against the end of a process on a starved machine whose beats come late.
#[gtest]
fn a_loop_that_goes_on_is_sound_again() {
    let mut stall = StallCounter::default();
    for _ in 0..9 {
        stall.tick(0);
    }
    expect_that!(stall.tick(1), eq(Verdict::Resumed(9)));
    let verdicts: Vec<Verdict> = (0..9).map(|_| stall.tick(1)).collect();
    expect_that!(verdicts, not(contains(eq(&Verdict::Ended))));
}
