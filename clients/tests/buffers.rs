//! The memory that all bodies share.

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use jacinthweir_clients::buffers::{
    CollectError, Purpose, Reservation, collect, reserved_bytes, set_pool_bytes,
};

const POOL_BYTES: usize = 1 << 20;
const LIMIT: usize = POOL_BYTES;

async fn read_for(purpose: Purpose, length: usize) -> std::result::Result<Bytes, CollectError> {
    collect(Full::new(Bytes::from(vec![1; length])), LIMIT, purpose).await
}

async fn read(length: usize) -> std::result::Result<Bytes, CollectError> {
    read_for(Purpose::Data, length).await
}

/// Guards against bodies that are each within their limit and together exceed the memory of the process,
/// and against long ones that leave no memory to short ones and to the messages of other instances.
#[gtest]
#[tokio::test]
async fn all_bodies_share_one_bound() {
    set_pool_bytes(POOL_BYTES);
    let mut held = Vec::new();
    while let Ok(body) = read(100_000).await {
        held.push(body);
    }
    expect_that!(held.len(), eq(7));
    expect_that!(reserved_bytes(), le(POOL_BYTES * 3 / 4));
    let refused = read(100_000).await;
    expect_that!(refused, err(matches_pattern!(CollectError::NoBuffer(_))));
    expect_that!(read(10_000).await.map(|b| b.len()), ok(eq(&10_000)));
    let message = read_for(Purpose::Control, 100_000).await;
    expect_that!(message.map(|b| b.len()), ok(eq(&100_000)));
    let too_long = read(LIMIT + 1).await;
    expect_that!(too_long, err(matches_pattern!(CollectError::TooLong)));

    // A clone keeps the memory, and so its reservation.
    let last = held.last().cloned();
    held.clear();
    expect_that!(reserved_bytes(), eq(100_000));
    drop(last);
    expect_that!(reserved_bytes(), eq(0));

    let mut reservation = Reservation::default();
    expect_that!(reservation.resize(5_000), ok(anything()));
    expect_that!(reservation.resize(POOL_BYTES), err(anything()));
    expect_that!(reserved_bytes(), eq(5_000));
    drop(reservation);
    expect_that!(reserved_bytes(), eq(0));
}
