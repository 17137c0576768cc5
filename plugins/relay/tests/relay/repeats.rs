//! How a stream goes on whose chain broke, and who gets the few further sends that there are.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::standin::{LONG, Manner, Runner, Seen, Site, on_one_thread, request};
use crate::{NOTES, TOKENS};

/// A stream, once one of `runners` has begun to work on it.
async fn begun_stream(site: &Site, runners: &[Rc<Runner>]) -> JoinHandle<Seen> {
    let callers = site.callers();
    let streaming = spawn_local(async move { request(callers, NOTES, TOKENS, "one").await });
    until_one_runs(runners).await;
    streaming
}

async fn until_one_runs(runners: &[Rc<Runner>]) {
    let begun = async {
        while runners.iter().all(|r| r.runs() == 0) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(LONG, begun).await.expect("it runs");
}

async fn expect_whole(streaming: JoinHandle<Seen>) {
    let got = streaming.await.expect("it ends");
    expect_that!(got.status, eq(200));
    expect_true!(got.whole);
    expect_that!(got.events(), eq(&[1, 2, 3, 4, 5, 6]));
}

/// Bounds in which an instance has one further send for certain.
async fn site_with_one_repeat() -> Site {
    let site = Site::bound_by(|bounds| {
        bounds.repeat_ratio = 0.0;
        bounds.repeat_slack = 7.0;
    });
    site.await
}

/// A caller's answer ended in the middle while runners were replaced beside a change of the
/// configuration. Chains were full, and each new request that one refused took a further send to try
/// the next: 2,023 times in all. When a part exited, its streams needed one each and there was none:
/// `stream cut cause="chain broke" given_up="no repeat left" sends=1 silent_ms=20`. A new request can
/// be told the truth, that it has not run; a caller that has half an answer cannot.
#[gtest]
fn a_stream_under_way_has_a_repeat_though_new_requests_are_refused() {
    on_one_thread(async {
        let site = site_with_one_repeat().await;
        let near = &site.runners[..2];
        near.iter().for_each(|r| r.held.set(true));
        let streaming = begun_stream(&site, near).await;
        near.iter().for_each(|r| r.manner.set(Manner::NotRun));
        let refused = request(site.callers(), NOTES, TOKENS, "two").await;
        expect_that!(refused.status, eq(503));
        expect_that!(refused.header("retry-after"), some(anything()));

        near.iter().for_each(|r| r.manner.set(Manner::BreaksOff));
        near.iter().for_each(|r| r.held.set(false));
        expect_whole(streaming).await;
    });
}

/// A part of a chain was gone and its layers were being loaded elsewhere. The stream could have gone
/// on along the new holder, which takes no further send, but another chain was there, so it was to go
/// there by a new run; for that there was no further send, and it was cut at once: `stream cut
/// cause="chain broke" given_up="no repeat left" silent_ms=20`. Its caller would have waited.
#[gtest]
fn a_stream_without_a_repeat_waits_for_the_layers_that_its_chain_lost() {
    on_one_thread(async {
        let site = Site::patient(|bounds| {
            bounds.repeat_ratio = 0.0;
            bounds.repeat_slack = 0.0;
        });
        let site = site.await;
        let head = site.near((0, 2));
        head.manner.set(Manner::Stalls);
        let part = site.near((2, 4));
        part.manner.set(Manner::Silent);
        let streaming = begun_stream(&site, &site.runners).await;
        site.dead_are(1).await;
        let _spare = Runner::spawn(&site.store, "a3", "pool", "a").await;

        expect_whole(streaming).await;
        expect_that!(site.runs(), eq(1));
        let rerouted = head.rerouted.borrow();
        // Whoever was told to hold them, the spare runner or the first one itself.
        let lost = part.address.to_string();
        expect_that!(rerouted.len(), eq(1));
        expect_true!(rerouted.iter().all(|(_, path)| !path.contains(&lost)));
    });
}

/// A stream's chain broke, and so did the next one before it had answered. The stream was cut within
/// milliseconds, though its caller waits for two seconds and more and the first chain was being
/// repaired: a failed try to go on counted as the end, unlike a failed try to begin.
#[gtest]
fn a_stream_whose_next_chain_breaks_too_goes_on_when_there_is_one() {
    on_one_thread(async {
        let site = Site::patient(|_| {}).await;
        let head = site.near((0, 2));
        head.manner.set(Manner::Stalls);
        site.near((2, 4)).manner.set(Manner::Silent);
        let far = &site.runners[2..];
        far.iter().for_each(|r| r.manner.set(Manner::Mute));
        let streaming = begun_stream(&site, &site.runners).await;
        until_one_runs(far).await;
        let part = far.iter().find(|r| r.held() == Some((2, 4)));
        part.expect("a part").manner.set(Manner::Silent);
        site.dead_are(2).await;
        head.manner.set(Manner::Well);
        let _spare = Runner::spawn(&site.store, "a3", "pool", "a").await;

        expect_whole(streaming).await;
    });
}

/// Nobody asks a runner whose connections broke until the next request is sent there.
#[gtest]
fn a_runner_whose_connections_break_is_found_dead_without_another_request() {
    on_one_thread(async {
        let site = Site::patient(|_| {}).await;
        let head = site.near((0, 2));
        head.manner.set(Manner::Stalls);
        let streaming = begun_stream(&site, &site.runners).await;
        head.end();

        expect_whole(streaming).await;
        site.dead_are(1).await;
    });
}

/// A runner leaves without a word: its entry is gone, it serves on for seconds and exits. Nothing was
/// kept of a runner without an entry, so it could not be found dead; the chain that passed through it
/// never counted as broken, and its streams waited until their callers left.
#[gtest]
fn a_stream_goes_on_past_a_part_whose_entry_went_before_it_exited() {
    on_one_thread(async {
        let site = Site::patient(|_| {}).await;
        let head = site.near((0, 2));
        head.manner.set(Manner::Stalls);
        let part = site.near((2, 4));
        let streaming = begun_stream(&site, &site.runners).await;
        site.store.remove("servers", &part.id);
        part.manner.set(Manner::Silent);

        expect_whole(streaming).await;
    });
}
