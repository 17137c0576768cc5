//! Pages of the soak's store, and histories of calls to it that the check must reject or accept.

use std::net::SocketAddr;
use std::sync::Arc;

use googletest::prelude::*;
use jacinthweir_testkit::soak::INSTANCES;
use jacinthweir_testkit::soak::check::{Violation, check};
use jacinthweir_testkit::soak::observed::{Observed, Read, Record};
use jacinthweir_testkit::soak::site::READS_PER_S;
use jacinthweir_testkit::soak::store::Store;
use serde_json::{Value, json};

/// Returns reads of one instance that are spread over a second.
fn reads(instance: usize, count: usize) -> Vec<Read> {
    let at_ms = (0..count).map(|n| (n * 1_000 / count) as u64);
    at_ms.map(|at_ms| Read { at_ms, instance }).collect()
}

fn history(reads: Vec<Read>) -> Observed {
    Observed {
        reads,
        ..Observed::default()
    }
}

/// Guards against a list that never ends and uses up the calls that the others need.
#[gtest]
fn an_instance_that_uses_up_the_reads_of_others_is_found() {
    let allowed = READS_PER_S / INSTANCES;
    expect_that!(check(&history(reads(2, allowed))), is_empty());
    let found = Violation::Reads {
        instance: Some(2),
        from_ms: 0,
        reads: allowed + 1,
        allowed,
    };
    let o = history(reads(2, allowed + 1));
    expect_that!(check(&o), elements_are![eq(&found)]);
    // The same reads over more than a second are within the rate.
    let mut o = history(reads(2, allowed + 1));
    for read in &mut o.reads {
        read.at_ms *= 2;
    }
    expect_that!(check(&o), is_empty());
}

#[gtest]
fn more_reads_than_the_store_allows_all_instances_are_found() {
    let each = READS_PER_S / INSTANCES;
    let of_all: Vec<Read> = (0..INSTANCES).flat_map(|i| reads(i, each)).collect();
    expect_that!(check(&history(of_all.clone())), is_empty());
    // Reads beyond the number of instances are those of all together only.
    let beyond = reads(INSTANCES, READS_PER_S - of_all.len() + 1);
    let o = history([of_all, beyond].concat());
    let found = check(&o);
    expect_that!(
        found,
        elements_are![matches_pattern!(Violation::Reads {
            instance: none(),
            ..
        })]
    );
}

async fn get(address: SocketAddr, target: &str) -> Value {
    let answer = reqwest::get(format!("http://{address}/api/objects/{target}"));
    let body = answer.await.expect("an answer").bytes().await;
    serde_json::from_slice(&body.expect("a body")).expect("JSON")
}

/// Guards against a store that is kinder than the users' one: it would hide names that are sent as they are.
#[gtest]
#[tokio::test]
async fn the_store_decodes_cursors_as_a_form_and_paths_as_paths() {
    let address: SocketAddr = "127.0.0.9:7900".parse().expect("an address");
    let record = Arc::new(Record::default());
    let store = Store::bind(vec![address], Some(1), Arc::clone(&record));
    let store = store.await.expect("it binds");
    for name in ["a b", "a+b", "aé"] {
        store.put("servers", name, &json!("x"));
    }
    let pages = [
        ("servers", "a b", true),
        ("servers?after=a+b", "a+b", true),
        ("servers?after=a%2Bb", "aé", false),
    ];
    for (target, name, truncated) in pages {
        let page = get(address, target).await;
        expect_that!(page["items"][0]["metadata"]["name"], eq(name));
        expect_that!(page["items"].as_array(), some(len(eq(1))));
        expect_that!(page["truncated"], eq(truncated));
    }
    for (target, name) in [("a+b", "a+b"), ("a%20b", "a b"), ("a%C3%A9", "aé")] {
        let object = get(address, &format!("servers/{target}")).await;
        expect_that!(object["metadata"]["name"], eq(name));
    }
    expect_that!(record.with(|o| o.reads.len()), eq(6));
}
