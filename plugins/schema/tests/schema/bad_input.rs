//! Bad input on the operators' listener: a clear refusal, and nothing is written.

use googletest::prelude::*;
use reqwest::{Client, Method};

use crate::rig::{TOKEN, rig};

struct Case {
    method: Method,
    path: &'static str,
    body: String,
    status: u16,
    says: &'static str,
}

fn case(path: &'static str, body: &str, status: u16, says: &'static str) -> Case {
    let (method, body) = (Method::POST, body.to_owned());
    Case {
        method,
        path,
        body,
        status,
        says,
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
            "change and operator",
        ),
        case("apply", &(apply("{}") + "x"), 400, "trailing characters"),
        case("apply", &apply(""), 400, "there is nothing in it"),
        case("apply", &apply(&deep), 400, "line 1"),
        case("apply", &apply(escapes), 400, "unknown field"),
        case("plan", &apply(r#"{"models": 1}"#), 400, "models"),
        case("plan", &" ".repeat(200_001), 413, "exceeds"),
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
    let rig = rig(1).await;
    let client = Client::new();
    for case in cases() {
        let url = format!(
            "http://{}/operator/{}",
            rig.instances[0].operators, case.path
        );
        let call = client
            .request(case.method.clone(), url)
            .bearer_auth(TOKEN)
            .body(case.body);
        let answer = call.send().await.unwrap();
        let status = answer.status().as_u16();
        let text = answer.text().await.unwrap().replace("\"line\":", "line ");
        let what = format!("{} {}", case.method, case.path);
        expect_that!(status, eq(case.status), "{what}: {text}");
        expect_that!(text, contains_substring(case.says), "{what}");
        expect_that!(text.len(), lt(2_000), "{what}");
        expect_that!(text.contains("\\u001b"), eq(false), "{what}");
    }
    expect_that!(rig.platform.counts().puts, eq(0));
}
