//! A store that answers at once, always the same, refuses at once, or lists in short pages what others wrote.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::RelaySettings;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, Runner, TEST_TIMEOUT, Watches, get, run_single_threaded, send_raw, send_request,
    wait_for_chains,
};
use crate::{LOOKUP, NOTES, TOKENS};

/// Kind of the runners' entries.
const ENTRIES: &str = "servers";

/// Time for which calls are counted.
const WINDOW: Duration = Duration::from_secs(3);

/// Calls in this time of an instance whose calls are paced. The configuration and the runners are each listed
/// and watched at most once in 0.8 s, after four faster turns, or watched once in 0.6 s, after eight faster
/// ones; the configuration is confirmed and the lease renewed.
const MAX_PACED_CALLS: usize = 48;

/// The same of an instance that follows changes without end: those within 20 ms of the configuration, and 60 ms
/// of the runners, are read with one call.
const MAX_DEBOUNCED_CALLS: usize = 150 + 50 + MAX_PACED_CALLS;

/// Names of other writers, with characters that mean something in an address. They sort before the runners'.
const ODD_NAMES: [&str; 6] = ["a00 ", "a01%", "a02&b=", "a03+", "a04é", "a05#?/"];

/// Guards against calls without a pause to a store whose answers bring an instance no further, and against
/// callers that are refused meanwhile.
#[gtest]
fn a_store_that_answers_at_once_gets_paced_calls_and_callers_are_served() {
    run_single_threaded(async {
        for (watches, most) in [
            (Watches::HistoryGone, MAX_PACED_CALLS),
            (Watches::Nothing, MAX_PACED_CALLS),
            (Watches::SameChanges, MAX_PACED_CALLS),
            (Watches::Backwards, MAX_PACED_CALLS),
            (Watches::ChangesForEver, MAX_DEBOUNCED_CALLS),
        ] {
            let cluster = Cluster::open().await;
            cluster.store.watches.set(watches);
            let calls = calls_while_serving(&cluster).await;
            expect_that!(calls, le(most), "{watches:?}");
            cluster.store.watches.set(Watches::Changes);
            Runner::spawn(&cluster.store, "new", "orders", "a").await;
            cluster.wait_for_dump("\"new\"").await;
        }
    });
}

/// Guards against calls without a pause to a store that refuses each of them at once.
#[gtest]
fn a_store_that_refuses_at_once_gets_paced_calls_and_callers_are_served() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.store.refuses.set(true);
        let calls = calls_while_serving(&cluster).await;
        expect_that!(calls, le(MAX_PACED_CALLS));
        cluster.store.refuses.set(false);
        Runner::spawn(&cluster.store, "new", "orders", "a").await;
        cluster.wait_for_dump("\"new\"").await;
    });
}

/// Returns the calls to the store in [`WINDOW`], in which callers are served.
async fn calls_while_serving(cluster: &Cluster) -> usize {
    const TURNS: u32 = 6;
    let before = cluster.store.calls();
    for _ in 0..TURNS {
        expect_served(cluster).await;
        sleep(WINDOW / TURNS).await;
    }
    cluster.store.calls() - before
}

async fn expect_served(cluster: &Cluster) {
    let call = send_request(cluster.callers(), LOOKUP, "", "").await;
    expect_that!(call.status, eq(200));
    let stream = send_request(cluster.callers(), NOTES, TOKENS, "").await;
    expect_that!(stream.status, eq(200));
}

/// Guards against instances that are never ready: the same page was asked for again and again, since its last
/// name was read as another one.
#[gtest]
fn an_instance_is_ready_where_odd_names_fill_pages() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for name in ODD_NAMES {
            cluster.store.put(ENTRIES, name, &json!({ "service": [] }));
        }
        for page in [1, 2, 3, 6] {
            cluster.store.page.set(Some(page));
            let name = format!("pages-of-{page}");
            let (settings, _relay) = cluster.start_seeded_instance(&name, &[]).await;
            wait_for_chains(&settings, 2).await;
        }
    });
}

/// An object that the store lists without a name.
fn nameless() -> Value {
    json!({ "metadata": null, "spec": null })
}

/// Starts a cluster whose list of runners ends after all but one of them, `zz`, which the instance knows. The
/// instance has read it at least once.
async fn with_partial_list() -> Cluster {
    let cluster = Cluster::open().await;
    Runner::spawn(&cluster.store, "zz", "orders", "a").await;
    cluster.wait_for_dump("\"zz\"").await;
    cluster.store.page.set(Some(1));
    cluster.store.put_unseen(ENTRIES, "z", nameless());
    let before = cluster.store.lists(ENTRIES);
    cluster.store.watches.set(Watches::HistoryGone);
    // The second list begins after the first one was applied. A list without its first page is none.
    let listed = async {
        while cluster.store.lists(ENTRIES) < before + 2 * ENTRIES_LISTED {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, listed).await.expect("two lists");
    cluster.store.watches.set(Watches::Changes);
    cluster
}

/// Pages of a list that ends with the object without a name: six runners, and that object.
const ENTRIES_LISTED: usize = 7;

async fn wait_until_gone(settings: &RelaySettings, id: &str) {
    let id = format!("\"{id}\"");
    let gone = async {
        while dump(settings).await.contains(&id) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, gone)
        .await
        .expect("the runner to be gone");
}

async fn dump(settings: &RelaySettings) -> String {
    get(settings.listen.operators, "GET /dump HTTP/1.1")
        .await
        .body
}

/// Guards against runners that are taken for gone since a list did not reach them, and against ones that are
/// kept for good.
#[gtest]
fn a_partial_list_removes_no_runner_and_a_later_change_does() {
    run_single_threaded(async {
        let cluster = with_partial_list().await;
        expect_that!(dump(&cluster.settings).await, contains_substring("\"zz\""));
        expect_served(&cluster).await;
        follow_changes(&cluster).await;
        cluster.store.remove(ENTRIES, "zz");
        wait_until_gone(&cluster.settings, "zz").await;
    });
}

/// Waits until the instance watches the runners again.
async fn follow_changes(cluster: &Cluster) {
    follow_changes_of(cluster, "zy").await;
}

/// Waits until the instance has seen a change of a runner, whose name is behind the object without one, so that
/// only a watch shows it.
async fn follow_changes_of(cluster: &Cluster, id: &str) {
    let runner = Runner::spawn(&cluster.store, id, "orders", "a").await;
    let quoted = format!("\"{id}\"");
    let seen = async {
        while !dump(&cluster.settings).await.contains(&quoted) {
            runner.register("ready");
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, seen).await.expect("a change");
}

/// Guards against a part of the runners that is passed on as all of them, and against an instance that waits for
/// others to have all.
#[gtest]
fn an_instance_with_a_partial_list_gives_no_copy_and_one_that_starts_is_ready() {
    #[derive(serde::Serialize)]
    enum Message {
        Runners,
    }
    run_single_threaded(async {
        let cluster = with_partial_list().await;
        let body = rmp_serde::to_vec(&Message::Runners).expect("a message");
        let head = format!(
            "POST /peer HTTP/1.1\r\nHost: one\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), &body].concat();
        let got = send_raw(cluster.settings.listen.peers, &bytes).await;
        expect_that!(got.body, contains_substring("Done"));
        let (_settings, _relay) = cluster.start_instance("two").await;
    });
}

/// Guards against a runner that is kept for good, and sent requests, though it left while the store refused an
/// instance whose lists are partial: the list that follows does not reach its entry, and the watch from there
/// begins after its removal, which the store would still tell of.
#[gtest]
fn a_partial_list_hides_no_removal_that_the_store_would_tell_of() {
    run_single_threaded(async {
        let cluster = with_partial_list().await;
        follow_changes(&cluster).await;
        cluster.store.refuses.set(true);
        let before = cluster.store.calls();
        let refused = async {
            while cluster.store.calls() < before + 8 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, refused).await.expect("refused calls");
        cluster.store.remove(ENTRIES, "zz");
        cluster.store.refuses.set(false);
        wait_until_gone(&cluster.settings, "zz").await;
    });
}

/// Guards against an instance that follows no change any more: an answer of the watch is larger than it reads,
/// and partial lists keep the revision from which it watches.
#[gtest]
fn a_watch_answer_that_is_too_large_does_not_end_the_following_of_changes() {
    const ENTRY_BYTES: usize = 500_000;
    run_single_threaded(async {
        let cluster = with_partial_list().await;
        follow_changes(&cluster).await;
        let entry = json!({ "service": [], "padding": "x".repeat(ENTRY_BYTES) });
        for n in 0..12 {
            cluster.store.put(ENTRIES, &format!("a{n:02}"), &entry);
        }
        follow_changes_of(&cluster, "zx").await;
    });
}
