//! Runs `jwctl shares`, `demand` and `overload` against a stand-in for a relay's operators' listener
//! and checks output and exit codes.

use std::net::SocketAddr;
use std::process::Stdio;

use googletest::prelude::*;
use jacinthweir_policy::membership::MembershipCounts;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const COMMANDS: [&str; 3] = ["shares", "demand", "overload"];

/// Exit code and output of a run of `jwctl`.
struct Output {
    exit: i32,
    out: String,
    err: String,
}

/// Starts a listener that answers every request with a state dump.
async fn serve(dump: &Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = dump.to_string();
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                match connection.read_u8().await {
                    Ok(byte) => head.push(byte),
                    Err(_) => break,
                }
            }
            assert!(head.starts_with(b"GET /dump HTTP/1.1\r\n"));
            let _ = connection.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Runs `jwctl` without a token, which a relay does not require.
async fn run(args: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_jwctl"));
    command.env_remove("JWCTL_TOKEN").env_remove("JWCTL_SERVER");
    let output = command.args(args).stdin(Stdio::null()).output().await;
    let output = output.unwrap();
    Output {
        exit: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

/// Returns the state dump of a relay without contention control.
fn dump() -> Value {
    json!({
        "instance": "front-1", "at_ms": 60_000, "ready": true, "draining": false, "version": 4,
        "confirmed_ms_ago": 100, "gives_orders": null, "orders_pending": 0, "chains": [],
        "runners": [],
        "members": {"round": 7, "rows": [], "counts": MembershipCounts::default()},
    })
}

fn dump_with(contention: Value) -> Value {
    let mut dump = dump();
    dump["contention"] = contention;
    dump
}

fn status(state: &str) -> Value {
    json!({
        "state": state, "supply_tokens_per_s": null, "demand_tokens_per_s": 0.0, "age_ms": 0,
        "known_share": 0.0, "overload": null, "levels": [], "organisations": [], "chains": [],
        "domains": [],
    })
}

/// Returns the state of an overloaded service, and of another one with a single priority.
fn overloaded() -> Value {
    let priority = |priority: u8, demand: f64, share: f64, below_one_ms: Option<u64>| {
        json!({
            "level": 4 + priority, "demand_tokens_per_s": demand, "share": share,
            "below_one_ms": below_one_ms,
            "decisions": {"admitted_per_s": 2.0, "refused_per_s": 1.25},
        })
    };
    let organisation = |name: &str, demand: f64, share: f64, below_level_ms: Option<u64>| {
        json!({
            "organisation": name, "level": 5, "demand_tokens_per_s": demand, "share": share,
            "below_one_ms": 1_200, "below_level_ms": below_level_ms,
            "decisions": {"admitted_per_s": 0.5, "refused_per_s": 0.75},
        })
    };
    dump_with(json!({
        "mode": "auto",
        "disabled": ["flow"],
        "services": [
            {"service": "chat", "status": {
                "state": "in_force", "supply_tokens_per_s": 9_000.0, "demand_tokens_per_s": 12_000.0,
                "age_ms": 420, "known_share": 0.97,
                "overload": {"lasted_ms": 1_700, "began_share": 0.81},
                "levels": [
                    priority(0, 4_000.0, 1.0, None),
                    priority(1, 8_000.0, 0.625, Some(1_900)),
                ],
                "organisations": [
                    organisation("atelier", 1_000.0, 0.5, None),
                    organisation("bakery", 5_000.0, 0.4, Some(900)),
                ],
                "chains": [{
                    "head": "i-1", "domain": "east", "room_tokens": 100_000.0,
                    "used_tokens": 85_000.0, "inflow_tokens_per_s": 2_500.0, "refusal_factor": 0.9,
                    "timeliness": 0.75, "flow_share": 0.25,
                }],
                "domains": [{"domain": "east", "demand_tokens_per_s": 7_000.0}],
            }},
            {"service": "drafts", "status": status("one_priority")},
        ],
    }))
}

/// Returns the cells of the first row that begins with `start`.
fn row<'a>(text: &'a str, start: &str) -> Vec<&'a str> {
    let line = text.lines().find(|l| l.starts_with(start));
    let cells = line.unwrap_or("").split("  ").map(str::trim);
    cells.filter(|cell| !cell.is_empty()).collect()
}

#[gtest]
#[tokio::test]
async fn shares_show_who_is_refused_the_most_first() {
    let address = serve(&overloaded()).await.to_string();
    let shares = run(&["shares", &address]).await;
    expect_that!(shares.exit, eq(0), "{}", shares.err);
    expect_that!(
        shares.out,
        starts_with("as seen by front-1; disabled in its settings: flow\n")
    );
    expect_that!(
        shares.out,
        contains_substring("chat: in force; overloaded for 1700 ms, began at share 0.81\n")
    );
    expect_that!(
        shares.out,
        contains_substring("supply 9000 of demand 12000 tokens/s, share of all 0.75;")
    );
    expect_that!(
        row(&shares.out, "1.0 "),
        eq(&["1.0", "4000", "1.00", "0", "-", "2.0", "1.2"])
    );
    expect_that!(
        row(&shares.out, "1.1 "),
        eq(&["1.1", "8000", "0.62", "3000", "1900 ms", "2.0", "1.2"])
    );
    expect_that!(
        row(&shares.out, "bakery"),
        eq(&[
            "bakery", "1.1", "5000", "0.40", "3000", "1200 ms", "900 ms", "0.5", "0.8"
        ])
    );
    let position = |name: &str| shares.out.find(name).unwrap();
    expect_that!(position("bakery"), lt(position("atelier")));
    expect_that!(
        shares.out,
        ends_with("drafts: does not apply: its streaming routes have fewer than two priorities\n")
    );
}

#[gtest]
#[tokio::test]
async fn demand_shows_failure_domains_and_chains() {
    let address = serve(&overloaded()).await.to_string();
    let demand = run(&["--server", &address, "demand"]).await;
    expect_that!(demand.exit, eq(0), "{}", demand.err);
    expect_that!(row(&demand.out, "east"), eq(&["east", "7000"]));
    expect_that!(
        row(&demand.out, "i-1"),
        eq(&[
            "i-1", "east", "100000", "85000", "0.85", "2500", "0.90", "0.75", "0.25"
        ])
    );
}

#[gtest]
#[tokio::test]
async fn overload_shows_since_when_and_the_share_at_its_beginning() {
    let address = serve(&overloaded()).await.to_string();
    let overload = run(&["overload", &address]).await;
    expect_that!(overload.exit, eq(0), "{}", overload.err);
    expect_that!(
        row(&overload.out, "chat"),
        eq(&[
            "chat", "in force", "1700 ms", "0.81", "0.75", "9000", "12000", "420 ms", "0.97"
        ])
    );
    expect_that!(overload.out, contains_substring("drafts: does not apply"));
}

/// A script reads the same state from each of the commands.
#[gtest]
#[tokio::test]
async fn json_output_has_the_whole_state() {
    let dump = overloaded();
    let address = serve(&dump).await.to_string();
    for command in COMMANDS {
        let output = run(&["--json", command, &address]).await;
        expect_that!(output.exit, eq(0), "{command}: {}", output.err);
        let mut state: Value = serde_json::from_str(&output.out).unwrap();
        let instance = state.as_object_mut().unwrap().remove("instance");
        expect_that!(instance, some(eq(&json!("front-1"))));
        expect_that!(state, eq(&dump["contention"]));
    }
}

/// Guards against figures that look like those of a calm fleet while contention control decides
/// nothing for lack of recent figures.
#[gtest]
#[tokio::test]
async fn a_service_without_recent_figures_is_shown_with_the_reason() {
    let services = json!([{"service": "chat", "status": status("figures_too_old")}]);
    let state = dump_with(json!({"mode": "on", "services": services}));
    let address = serve(&state).await.to_string();
    let shares = run(&["shares", &address]).await;
    expect_that!(shares.exit, eq(0), "{}", shares.err);
    let wanted = "chat: not in force: the figures of other instances are too old; not overloaded\n";
    expect_that!(shares.out, contains_substring(wanted));
    expect_that!(
        shares.out,
        contains_substring("supply - of demand 0 tokens/s, share of all -;")
    );
    let overload = run(&["overload", &address]).await;
    let wanted = "the figures of other instances are too old";
    expect_that!(row(&overload.out, "chat")[1], eq(wanted));
}

/// Guards against empty tables where contention control does not apply or does not exist.
#[gtest]
#[tokio::test]
async fn a_relay_without_contention_control_is_refused_with_the_reason() {
    let services = |state: &str| json!([{"service": "chat", "status": status(state)}]);
    let mut unconfigured = dump_with(json!({"mode": "auto", "services": []}));
    unconfigured["version"] = Value::Null;
    let cases = [
        (dump(), "runs a build without contention control"),
        (unconfigured, "has no configuration yet"),
        (
            dump_with(json!({"mode": "auto", "services": []})),
            "no service has runners that hold layers",
        ),
        (
            dump_with(json!({"mode": "auto", "services": services("one_priority")})),
            "chat: its streaming routes have fewer than two priorities",
        ),
        (
            dump_with(json!({"mode": "off", "services": services("off")})),
            "chat: contention.mode is off",
        ),
    ];
    for (dump, reason) in cases {
        let address = serve(&dump).await.to_string();
        for command in COMMANDS {
            let output = run(&[command, &address]).await;
            expect_that!(output.exit, eq(1), "{command}");
            expect_that!(output.out, eq(""), "{command}");
            let wanted = format!("front-1 at {address}");
            expect_that!(output.err, contains_substring(wanted), "{command}");
            expect_that!(output.err, contains_substring(reason), "{command}");
        }
    }
    let missing = run(&["shares"]).await;
    expect_that!(missing.exit, eq(2));
    expect_that!(missing.err, contains_substring("no server"));
}
