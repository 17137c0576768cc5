//! Stand-in service: echoed headers, the record of runs, and lost answers.

use googletest::prelude::*;
use jacinthweir_testkit::service::{CallAnswer, Knobs};
use jacinthweir_testkit::{Service, ServiceCfg};
use jacinthweir_wire::header;
use reqwest::{Client, Response};
use tokio_util::sync::CancellationToken;

async fn bind() -> Service {
    let bound = Service::bind(ServiceCfg::default(), CancellationToken::new()).await;
    bound.expect("binds on loopback")
}

async fn call(service: &Service) -> reqwest::Result<Response> {
    let url = format!("http://{}/call/confirm", service.address);
    let call = Client::new().post(url).body("shift 7");
    let call = call
        .header(header::REQUEST, "q1")
        .header(header::ATTEMPT, "2");
    call.header(header::IDEMPOTENCY_KEY, "k1").send().await
}

#[gtest]
#[tokio::test]
async fn a_call_runs_and_echoes_its_headers() {
    let service = bind().await;
    let answer = call(&service).await.expect("an answer");
    expect_that!(
        answer.headers()[header::REQUEST].to_str().expect("text"),
        eq("q1")
    );
    expect_that!(
        answer.headers()[header::ATTEMPT].to_str().expect("text"),
        eq("2")
    );
    let answer: CallAnswer = answer.json().await.expect("an answer");
    expect_that!(answer.echo, eq("shift 7"));
    let ran = service.ran();
    expect_that!(ran.len(), eq(1));
    expect_that!(ran[0].key.as_deref(), some(eq("k1")));
    expect_that!(ran[0].request.as_deref(), some(eq("q1")));
}

#[gtest]
#[tokio::test]
async fn a_refused_call_reports_that_it_did_not_run() {
    let service = bind().await;
    service.set(&Knobs {
        refuse: Some(true),
        ..Knobs::default()
    });
    let answer = call(&service).await.expect("an answer");
    expect_that!(answer.status().as_u16(), eq(503));
    expect_that!(
        answer.headers()[header::RAN].to_str().expect("text"),
        eq("no")
    );
    expect_that!(service.ran().len(), eq(0));
}

// The caller's connection closes without an answer although the call ran.
#[gtest]
#[tokio::test]
async fn a_call_whose_answer_is_lost_has_run() {
    let service = bind().await;
    service.set(&Knobs {
        lose_answers: Some(1),
        ..Knobs::default()
    });
    expect_that!(call(&service).await, err(anything()));
    expect_that!(service.ran().len(), eq(1));
    expect_that!(call(&service).await, ok(anything()));
}
