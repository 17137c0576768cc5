//! End-to-end path of the quickstart with separate processes, for each deployment.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jacinthweir_policy::prelude::*;
use jacinthweir_testkit::caller::{ModelCall, Observation, ServiceCall};
use jacinthweir_testkit::fleet::deployment::{Deployment, LAYERS};
use jacinthweir_testkit::{Fleet, FleetCfg, text};
use jacinthweir_wire::runner::LayerRange;

const PROMPT: &str = "Which billets match the back set of the last order?";
const MAX_TOKENS: u32 = 24;

/// Returns the layer ranges that ran each token of a request, sorted by layer.
async fn ranges_by_token(fleet: &Fleet, request: &Name) -> BTreeMap<u32, Vec<LayerRange>> {
    let mut ranges = BTreeMap::<u32, Vec<LayerRange>>::new();
    for i in 0..fleet.runners.len() {
        let witness = fleet.runner_admin(i).witness().await;
        for ran in witness.expect("the runner answers").ran {
            if ran.request == *request {
                ranges.entry(ran.index).or_default().push(ran.layers);
            }
        }
    }
    for list in ranges.values_mut() {
        list.sort();
    }
    ranges
}

fn cover_each_layer_once(list: &[LayerRange]) -> bool {
    let contiguous = list.windows(2).all(|pair| pair[0].end == pair[1].start);
    let first = list.first().is_some_and(|range| range.start == 0);
    let last = list.last().is_some_and(|range| range.end == LAYERS);
    contiguous && first && last
}

async fn check_answer(fleet: &Fleet, seen: &Observation) {
    expect_that!(seen.outcome, some(eq(Outcome::Answered)));
    expect_that!(seen.text, eq(&text::answer(PROMPT, MAX_TOKENS)));
    let request = seen.request.as_ref().expect("a request id");
    let ranges = ranges_by_token(fleet, request).await;
    let (tokens, _) = text::length(PROMPT, MAX_TOKENS);
    expect_that!(ranges.len(), eq(tokens as usize));
    for list in ranges.values() {
        expect_that!(list.len(), ge(3));
        expect_that!(cover_each_layer_once(list), eq(true), "{list:?}");
    }
}

async fn check_booking(fleet: &Fleet, seen: &Observation, key: &str) {
    expect_that!(seen.outcome, some(eq(Outcome::Answered)), "{seen:?}");
    let mut runs = 0;
    for i in 0..fleet.services.len() {
        let ran = fleet.service_admin(i).ran().await;
        let ran = ran.expect("the service answers");
        runs += ran.iter().filter(|r| r.key.as_deref() == Some(key)).count();
    }
    expect_that!(runs, eq(1));
}

async fn check_trace(fleet: &Fleet, seen: &Observation) {
    let request = seen.request.as_ref().expect("a request id");
    // Every instance can look up the request, by forwarding to the one that has the record.
    for i in 0..fleet.instances.len() {
        let shown = fleet.jwctl(i, &["request", request]).await;
        let shown = shown.expect("jwctl runs");
        expect_that!(shown.code, some(eq(0)), "{shown:?}");
        expect_that!(shown.out, contains_substring(&**request));
        expect_that!(shown.out, contains_substring("answered"));
    }
}

async fn check_end_to_end(deployment: Deployment) {
    let fleet = Fleet::start(FleetCfg::small(deployment)).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.apply().await.expect("the sample schema is applied");
    let caller = fleet
        .caller(deployment.organisations()[0])
        .expect("a caller");
    let entry = caller
        .entry(fleet.entries()[0])
        .await
        .expect("an entry answer");
    let at = entry.addresses[0].address;
    let ask = ModelCall {
        pipeline: deployment.pipeline().into(),
        prompt: PROMPT.to_owned(),
        max_tokens: MAX_TOKENS,
        deadline_ms: None,
    };
    let answer = caller.complete(at, &ask).await;
    check_answer(&fleet, &answer).await;
    check_trace(&fleet, &answer).await;
    let key = uuid::Uuid::now_v7().to_string();
    let book = ServiceCall {
        service: deployment.service().into(),
        call: deployment.non_idempotent_call().into(),
        key: Some(key.clone()),
        body: "item 7".to_owned(),
        deadline_ms: None,
    };
    let booking = caller.call(at, &book).await;
    check_booking(&fleet, &booking, &key).await;
    check_trace(&fleet, &booking).await;
    // A repeat through another instance returns the recorded answer and runs nothing.
    let other = entry.addresses.last().expect("an address").address;
    let again = caller.call(other, &book).await;
    expect_that!(again.text, eq(&booking.text));
    check_booking(&fleet, &again, &key).await;
    fleet.stop().await.expect("the fleet stops");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn associacao_is_served_from_schema_to_booking() {
    check_end_to_end(Deployment::Associacao).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn tallinna_is_served_from_schema_to_booking() {
    check_end_to_end(Deployment::Tallinna).await;
}
