//! Pauses between calls to the store that bring an instance no further.

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::store_pacing::{ListPacing, PartialLists, WatchPacing, WatchResult};

const IDLE: WatchResult = WatchResult {
    changes: 0,
    got_on: false,
    lasted_ms: 1,
    timeout_ms: 2_000,
};

/// Guards against lists without a pause where the history of each is gone at once, and against a pause after an
/// ordinary loss of history.
#[gtest]
fn lists_that_follow_each_other_pause_longer_and_a_single_one_does_not() {
    let mut pacing = ListPacing::default();
    let mut now = 0;
    let pauses: Vec<Millis> = (0..7)
        .map(|_| {
            let pause_ms = pacing.next_pause_ms(now);
            now += pause_ms + 1;
            pause_ms
        })
        .collect();
    expect_that!(pauses, eq(&[0, 100, 200, 400, 800, 800, 800]));
    expect_that!(pacing.next_pause_ms(now + 60_000), eq(0));
    expect_that!(pacing.next_pause_ms(now + 60_001), eq(100));
}

/// Guards against a list that is read again and again because an object of another writer keeps it from its end.
#[gtest]
fn partial_lists_are_repeated_ever_more_rarely_until_one_is_whole() {
    let mut lists = PartialLists::default();
    let repeats: Vec<Option<Millis>> = (0..7).map(|_| lists.record(false)).collect();
    let expected = [1_000, 2_000, 4_000, 8_000, 16_000, 30_000, 30_000].map(Some);
    expect_that!(repeats, eq(&expected));
    expect_that!(lists.record(true), none());
    expect_that!(lists.record(false), some(eq(1_000)));
}

/// Guards against watches without a pause, and against one that delays changes that do come.
#[gtest]
fn watches_that_bring_nothing_pause_longer_until_one_does() {
    let stuck = WatchResult { changes: 3, ..IDLE };
    for idle in [
        IDLE,
        WatchResult {
            got_on: true,
            ..IDLE
        },
        stuck,
    ] {
        let mut pacing = WatchPacing::default();
        let pauses: Vec<Millis> = (0..10).map(|_| pacing.record(idle)).collect();
        let expected = [0, 0, 0, 20, 40, 80, 160, 320, 640, 640];
        expect_that!(pauses, eq(&expected), "{idle:?}");
        expect_that!(pacing.idle(), eq(10));
        let changed = WatchResult {
            got_on: true,
            ..stuck
        };
        expect_that!(pacing.record(changed), eq(0), "{idle:?}");
        expect_that!(pacing.record(idle), eq(0), "{idle:?}");
    }
    let mut pacing = WatchPacing::default();
    let ended = WatchResult {
        lasted_ms: 2_000,
        ..IDLE
    };
    let pauses: Vec<Millis> = (0..10).map(|_| pacing.record(ended)).collect();
    expect_that!(pauses, each(eq(&0)));
    for _ in 0..100 {
        pacing.record(IDLE);
    }
    expect_that!(pacing.record(IDLE), eq(640));
}
