//! Bad input on the operators' listener is refused with a clear answer, and nothing is written.

use googletest::prelude::*;
use reqwest::{Client, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{TOKEN, start_cluster};

struct Case {
    method: Method,
    path: &'static str,
    body: String,
    status: u16,
    message: &'static str,
}

fn case(path: &'static str, body: &str, status: u16, message: &'static str) -> Case {
    let (method, body) = (Method::POST, body.to_owned());
    Case {
        method,
        path,
        body,
        status,
        message,
    }
}

fn apply(text: &str) -> String {
    let req = serde_json::json!({"text": text, "base": 0, "change": "c", "operator": "ana"});
    req.to_string()
}

fn cases() -> Vec<Case> {
    let deep = "[".repeat(50_000);
    let escapes = r#"{"a\u001b[2J": 1}"#;
    vec![
        case("apply", "", 400, "EOF"),
        case("apply", "{", 400, "EOF"),
        case("apply", "{}", 400, "missing field `text`"),
        case("apply", r#"{"text": 1}"#, 400, "text: invalid type"),
        case(
            "apply",
            r#"{"text": "{}", "base": -1}"#,
            400,
            "base: invalid value",
        ),
        case(
            "apply",
            &apply("{}").replace("\"c\"", "\"\""),
            400,
            "change must not be empty",
        ),
        case(
            "apply",
            &apply("{}").replace("ana", &"a".repeat(65)),
            400,
            "operator is longer",
        ),
        case(
            "apply",
            &apply("{}").replace("ana", "a\\u001b"),
            400,
            "operator has control",
        ),
        case("apply", &(apply("{}") + "x"), 400, "trailing characters"),
        case("apply", &apply(""), 400, "there is nothing in it"),
        case("apply", &apply(&deep), 400, "line 1"),
        case("apply", &apply(escapes), 400, "unknown field"),
        case("plan", &apply(r#"{"models": 1}"#), 400, "models"),
        case("rollback", "{}", 404, "no such path"),
        Case {
            method: Method::GET,
            ..case("apply", "", 405, "does not take GET")
        },
        Case {
            method: Method::DELETE,
            ..case("status", "", 405, "does not take DELETE")
        },
    ]
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_is_refused_with_a_clear_answer() {
    let cluster = start_cluster(1).await;
    let client = Client::new();
    for case in cases() {
        let url = format!(
            "http://{}/operator/{}",
            cluster.instances[0].operators, case.path
        );
        let call = client
            .request(case.method.clone(), url)
            .bearer_auth(TOKEN)
            .body(case.body);
        let answer = call.send().await.unwrap();
        let status = answer.status().as_u16();
        let text = answer.text().await.unwrap().replace("\"line\":", "line ");
        let label = format!("{} {}", case.method, case.path);
        expect_that!(status, eq(case.status), "{label}: {text}");
        expect_that!(text, contains_substring(case.message), "{label}");
        expect_that!(text.len(), lt(2_000), "{label}");
        expect_that!(text.contains("\\u001b"), eq(false), "{label}");
    }
    expect_that!(cluster.platform.counts().puts, eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_oversized_body_is_refused_by_its_declared_length() {
    // The request declares a body above the limit and never sends it. The answer must come at once,
    // without waiting for the body or buffering it. The test sends no body because a client that goes on sending
    // may find the connection closed before it reads the answer.
    let cluster = start_cluster(1).await;
    let address = cluster.instances[0].operators;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /operator/plan HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: 200001\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    expect_that!(answer, starts_with("HTTP/1.1 413 "));
    expect_that!(answer, contains_substring("exceeds 200000 bytes"));
}
