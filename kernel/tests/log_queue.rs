//! Lines that wait for the reader of standard output.

use googletest::prelude::*;
use jacinthweir_kernel::logs::queue::{self, Line, MAX_QUEUED_BYTES, MAX_QUEUED_LINES};

/// Guards against memory that grows to thousands of long lines while nobody reads the log.
#[gtest]
fn waiting_lines_are_bounded_in_number_and_bytes() {
    let (tx, rx) = queue::open();
    let long = "x".repeat(64 << 10);
    let fitting = MAX_QUEUED_BYTES / long.len();
    for _ in 0..fitting {
        expect_that!(tx.try_send(Line::Text(long.clone())), ok(anything()));
    }
    expect_that!(tx.try_send(Line::Text(long.clone())), err(anything()));
    for _ in 0..fitting {
        expect_true!(rx.recv().is_some());
    }
    for _ in 0..MAX_QUEUED_LINES {
        expect_that!(tx.try_send(Line::Text("short".to_owned())), ok(anything()));
    }
    expect_that!(tx.try_send(Line::Text("short".to_owned())), err(anything()));
}
