//! Requests that end each runner which begins to run them.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{sleep, timeout};

use crate::standin::{LETHAL, LONG, Seen, Site, on_one_thread, request, wait_for_chains};
use crate::{LOOKUP, NOTES, TOKENS};

/// Ends of runners after which a request may be sent no more, and sends that may be under way by then.
const ENDS: usize = 3;
const SENDS_AFTER: usize = 3;

/// Attempts at the request, each at another instance than the one before.
const ATTEMPTS: usize = 12;

fn lethal_runs(site: &Site) -> usize {
    let all = site.runners.iter().chain(&site.plain);
    all.map(|r| r.lethal_runs()).sum()
}

/// Each attempt at a request is new to the instance that it comes to, and ends one runner after the other.
#[gtest]
fn a_request_under_which_three_runners_ended_is_sent_to_no_more() {
    on_one_thread(async {
        let site = Site::open().await;
        let (other, _relay) = site.another("two").await;
        for i in 0..ATTEMPTS {
            let at = if i % 2 == 0 { &site.settings } else { &other };
            wait_for_chains(at, 1).await;
            request(at.listen.callers, NOTES, TOKENS, LETHAL).await;
            sleep(Duration::from_millis(200)).await;
        }
        expect_that!(lethal_runs(&site), le(ENDS + SENDS_AFTER));

        wait_for_chains(&site.settings, 2).await;
        let got = request(site.callers(), NOTES, TOKENS, "another prompt").await;
        expect_true!(got.whole);
        expect_that!(got.events(), eq(&[1, 2, 3, 4, 5, 6]));
    });
}

/// All instances are lost at once, and what they knew with them.
#[gtest]
fn a_held_request_is_held_by_instances_that_start_later() {
    on_one_thread(async {
        let mut site = Site::open().await;
        let held = async {
            while site.store.names("jacinthweir-quarantine").is_empty() {
                wait_for_chains(&site.settings, 1).await;
                request(site.callers(), NOTES, TOKENS, LETHAL).await;
                sleep(Duration::from_millis(200)).await;
            }
        };
        timeout(LONG, held).await.expect("the store has it");
        let runs = lethal_runs(&site);
        drop(site.relay.take());

        let (new, _relay) = site.another_alone("new").await;
        let got = request(new.listen.callers, NOTES, TOKENS, LETHAL).await;
        expect_that!(got.status, eq(503));
        expect_that!(lethal_runs(&site), eq(runs));
    });
}

/// The same request as a call of a plain service, which is answered in one piece.
#[gtest]
fn a_call_under_which_three_runners_ended_is_sent_to_no_more() {
    on_one_thread(async {
        let site = Site::open().await;
        let (other, _relay) = site.another("two").await;
        let call = |at| request(at, LOOKUP, "", LETHAL);
        let mut last: Option<Seen> = None;
        for i in 0..ATTEMPTS {
            let at = if i % 2 == 0 { &site.settings } else { &other };
            last = Some(call(at.listen.callers).await);
            // Longer than a runner is away.
            sleep(Duration::from_millis(600)).await;
        }
        expect_that!(lethal_runs(&site), le(ENDS + SENDS_AFTER));
        let last = last.expect("an answer");
        expect_that!(last.status, eq(503));
        expect_that!(last.header("retry-after"), some(anything()));

        let got = request(site.callers(), LOOKUP, "", "").await;
        expect_that!(got.status, eq(200));
    });
}
