//! Start of an instance beside others that run.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_relay::RelaySettings;
use tokio::time::{sleep, timeout};

use crate::standin::{
    Cluster, Seed, SeedAnswer, TEST_TIMEOUT, get, run_single_threaded, wait_for_chains,
};

/// Kind of the runners' entries.
const ENTRIES: &str = "servers";

/// Guards against a list of all runners for each instance that starts: the store's link would be
/// occupied for as many times the list as there are instances.
#[gtest]
fn starting_instances_take_the_runners_over_from_others() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let before = cluster.store.lists(ENTRIES);
        let mut started = Vec::new();
        for name in ["two", "three", "four", "five"] {
            started.push(cluster.start_instance(name).await);
        }
        expect_that!(cluster.store.lists(ENTRIES), eq(before));
    });
}

/// Guards against an instance that took the runners over and does not follow them.
#[gtest]
fn an_instance_that_took_the_runners_over_follows_their_changes() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (two, _relay) = cluster.start_instance("two").await;
        cluster.store.remove(ENTRIES, "a1");
        let forgotten = async {
            while dump(&two).await.contains("\"a1\"") {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TEST_TIMEOUT, forgotten)
            .await
            .expect("the runner to be gone");
    });
}

/// Guards against two instances of a failure domain that each wait for the runners of the other, since
/// a seed that has them told both to come back: neither is ready.
#[gtest]
fn instances_that_a_busy_seed_put_off_do_not_wait_for_each_other() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.store.withheld_list.set(Some(ENTRIES));
        let (seed, address) = Seed::spawn(SeedAnswer::Busy).await;
        let (two, _relay) = cluster.start_seeded_instance("two", &[address]).await;
        let seeds = [address, two.listen.peers];
        let (three, _relay) = cluster.start_seeded_instance("three", &seeds).await;
        wait_until_known(&two, "three").await;
        wait_until_known(&three, "two").await;

        seed.answer
            .set(SeedAnswer::Of(cluster.settings.listen.peers));
        wait_for_chains(&two, 2).await;
        wait_for_chains(&three, 2).await;
    });
}

/// Guards against an instance that asks nobody any more once it reads the list, and is not ready while
/// the store does not answer.
#[gtest]
fn an_instance_takes_the_runners_over_while_the_store_withholds_their_list() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let before = cluster.store.lists(ENTRIES);
        cluster.store.withheld_list.set(Some(ENTRIES));
        let (seed, address) = Seed::spawn(SeedAnswer::Nothing).await;
        let (two, _relay) = cluster.start_seeded_instance("two", &[address]).await;
        // The first page, and the whole list.
        let reads = async {
            while cluster.store.lists(ENTRIES) < before + 2 {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(TEST_TIMEOUT, reads).await.expect("two reads");

        seed.answer
            .set(SeedAnswer::Of(cluster.settings.listen.peers));
        wait_for_chains(&two, 2).await;
    });
}

/// Requests to a seed that has the runners and does not send them, before the store is read: far more
/// than the wait for a copy allows, and far fewer than fit into the time after which every instance
/// reads the list.
const MAX_REQUESTS: usize = 12;

/// Guards against an instance that waits for a copy that never comes, while the store would answer.
#[gtest]
fn an_instance_reads_the_store_if_its_seed_stays_busy() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let (seed, address) = Seed::spawn(SeedAnswer::Busy).await;
        let (two, _relay) = cluster.start_seeded_instance("two", &[address]).await;
        wait_for_chains(&two, 2).await;
        expect_that!(seed.asked(), lt(MAX_REQUESTS));
    });
}

/// Guards against an instance that waits for its seed, which sends only runners of an era of the store
/// that is over, while the store would answer.
#[gtest]
fn an_instance_reads_the_store_if_its_seed_has_runners_of_an_earlier_era() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        cluster.store.restore(&cluster.store.snapshot());
        cluster.runners.iter().for_each(|r| r.register("ready"));
        let (seed, address) = Seed::spawn(SeedAnswer::BusyThenFirstEra).await;
        let (two, _relay) = cluster.start_seeded_instance("two", &[address]).await;
        wait_for_chains(&two, 2).await;
        expect_that!(seed.asked(), lt(MAX_REQUESTS));
    });
}

/// Guards against a start that depends on a seed which hangs, or sends bytes that are no reply.
#[gtest]
fn an_instance_reads_the_store_if_its_seeds_give_no_answer() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        for answer in [SeedAnswer::Silent, SeedAnswer::Garbage] {
            let (seed, address) = Seed::spawn(answer).await;
            let name = format!("{answer:?}");
            let (settings, _relay) = cluster.start_seeded_instance(&name, &[address]).await;
            wait_for_chains(&settings, 2).await;
            expect_that!(seed.asked(), lt(MAX_REQUESTS));
        }
    });
}

/// Guards against instances that start while the store is silent, take over runners of the era before, and
/// are not ready once it is back from an older copy, or keep these runners.
#[gtest]
fn instances_that_start_before_the_store_is_restored_follow_it_afterwards() {
    run_single_threaded(async {
        let cluster = Cluster::open().await;
        let snapshot = cluster.store.snapshot();
        cluster.store.remove(ENTRIES, "p2");
        while dump(&cluster.settings).await.contains("\"p2\"") {
            sleep(Duration::from_millis(20)).await;
        }
        cluster.store.unresponsive.set(true);
        let (two, _relay) = cluster.start_unready_instance("two").await;
        let seeds = [two.listen.peers];
        let (three, _relay) = cluster.start_seeded_instance("three", &seeds).await;
        wait_until_known(&three, "two").await;

        cluster.store.restore(&snapshot);
        cluster.store.unresponsive.set(false);
        cluster.runners.iter().for_each(|r| r.register("ready"));
        for settings in [&two, &three] {
            wait_for_chains(settings, 2).await;
            wait_until_listed(settings, "\"p2\"").await;
        }
    });
}

async fn wait_until_listed(settings: &RelaySettings, text: &str) {
    let listed = async {
        while !dump(settings).await.contains(text) {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, listed)
        .await
        .expect("the text in the dump");
}

async fn wait_until_known(settings: &RelaySettings, name: &str) {
    wait_until_listed(settings, &format!("\"name\": \"{name}\"")).await;
}

async fn dump(settings: &RelaySettings) -> String {
    get(settings.listen.operators, "GET /dump HTTP/1.1")
        .await
        .body
}
