//! Runs `jwctl` against an instance on a stand-in platform and checks its output and exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

use googletest::prelude::*;
use jacinthweir_kernel::listener::RunningListener;
use jacinthweir_kernel::plugin::{ListenerKind, sorted};
use jacinthweir_kernel::{Kernel, Settings};
use jacinthweir_operators as _;
use jacinthweir_peers as _;
use jacinthweir_schema as _;
use jacinthweir_testkit::platform::fault::Fault;
use jacinthweir_testkit::{Platform, PlatformCfg};
use serde_json::json;
use tokio_util::sync::CancellationToken;

const TOKEN: &str = "operators";

struct TestInstance {
    platform: Platform,
    operators: SocketAddr,
    directory: PathBuf,
    _kernel: Arc<Kernel>,
    _listening: Vec<RunningListener>,
}

/// Exit code and output of a run of `jwctl`.
struct Output {
    exit: i32,
    out: String,
    err: String,
}

/// Returns an unused address.
///
/// The loopback address is derived from the process id, so that concurrent test processes do not
/// collide, and the port lies below the ephemeral range of outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 + (a & 63), b, c], port))
}

async fn start_instance(name: &str) -> TestInstance {
    let platform = Platform::bind(PlatformCfg::default(), CancellationToken::new())
        .await
        .unwrap();
    let operators = free_address();
    let settings = json!({
        "name": "entry-1",
        "failure_domain": "recife",
        "listen": {"callers": free_address(), "peers": free_address(), "operators": operators},
        "platform": {"address": platform.address, "timeout_ms": 10_000},
        "tokens": {
            "operators_sha256": jacinthweir_kernel::auth::fingerprint(TOKEN),
            "peers": "a token between instances",
        },
    });
    let kernel = Kernel::open(Settings::parse(&settings.to_string()).unwrap()).unwrap();
    // The upstreams plug-in, which reports readiness once the upstreams are known, is not linked.
    kernel.set_ready();
    for plugin in sorted() {
        (plugin.spawn)(&kernel).unwrap();
    }
    let mut listening = Vec::new();
    for kind in [ListenerKind::Callers, ListenerKind::Operators] {
        listening.push(RunningListener::bind(&kernel, kind).await.unwrap());
    }
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).unwrap();
    TestInstance {
        platform,
        operators,
        directory,
        _kernel: kernel,
        _listening: listening,
    }
}

impl TestInstance {
    fn write_schema(&self, name: &str, weight: u32) -> String {
        let path = self.directory.join(name);
        let text = format!(
            r#"{{"organisations": [
                {{"name": "atelier", "priority": 1, "weight": {weight}, "key_sha256": []}}]}}"#
        );
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn run(&self, args: &[&str]) -> Output {
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_jwctl"));
        command
            .env("JWCTL_SERVER", self.operators.to_string())
            .env("JWCTL_TOKEN", TOKEN);
        run(command.args(["--operator", "ana"]).args(args)).await
    }
}

async fn run(command: &mut tokio::process::Command) -> Output {
    let output = command.stdin(Stdio::null()).output().await.unwrap();
    Output {
        exit: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_apply_history_and_status_report_each_revision() {
    let instance = start_instance("migration").await;
    let (one, two) = (
        instance.write_schema("one", 1),
        instance.write_schema("two", 2),
    );
    let first = instance.run(&["apply", &one, "--wait"]).await;
    expect_that!(first.exit, eq(0));
    expect_that!(
        first.out,
        ends_with("revision 1 is committed, in force on every live instance\n")
    );
    let plan = instance.run(&["plan", &two]).await;
    let wanted = "changes against revision 1:\n  ~ organisation atelier: weight 1 -> 2\n";
    expect_that!(plan.out, eq(wanted));
    let second = instance
        .run(&["--json", "apply", &two, "--base", "1", "--change", "c2"])
        .await;
    let reply: serde_json::Value = serde_json::from_str(&second.out).unwrap();
    expect_that!(reply["revision"].as_u64(), some(eq(2)));
    let history = instance.run(&["history"]).await.out;
    expect_that!(
        history.lines().nth(1).unwrap(),
        contains_substring("ana       c2")
    );
    let status = instance.run(&["status"]).await.out;
    let wanted = "revision 2 in force on 1 of 1 live instances, 0 suspected; platform reached\n";
    expect_that!(status, starts_with(wanted));
    let entry = instance.run(&["entry"]).await;
    expect_that!(entry.out, contains_substring("recife"));
    let dump = instance.run(&["dump"]).await;
    expect_that!(dump.out, contains_substring("\"schema\""));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_commands_print_the_reason_and_exit_with_its_code() {
    let instance = start_instance("refusals").await;
    let (bad, one, two) = (
        instance.write_schema("bad", 0),
        instance.write_schema("one", 1),
        instance.write_schema("two", 2),
    );
    let check = instance.run(&["check", &bad]).await;
    expect_that!(check.exit, eq(1));
    expect_that!(
        check.err,
        contains_substring("line 2: organisations[0].weight")
    );
    expect_that!(instance.run(&["apply", &one]).await.exit, eq(0));
    let conflict = instance.run(&["apply", &two, "--base", "0"]).await;
    expect_that!(conflict.exit, eq(1));
    expect_that!(
        conflict.err,
        contains_substring("conflict: revision 1 was committed first")
    );
    expect_that!(instance.run(&["request", "entry-1.0"]).await.exit, eq(1));
    expect_that!(instance.run(&["plan", "absent.jsonc"]).await.exit, eq(2));
    expect_that!(instance.run(&["migrate"]).await.exit, eq(2));
    let token = instance.directory.join("token");
    std::fs::write(&token, "guess").unwrap();
    let wrong_token = instance
        .run(&["--token-file", &token.display().to_string(), "status"])
        .await;
    expect_that!(wrong_token.exit, eq(2));
    expect_that!(
        wrong_token.err,
        contains_substring("token is missing or wrong")
    );
}

/// Guards against a call of another path than that of a request.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_id_that_cannot_be_one_part_of_a_path_is_a_wrong_use() {
    let instance = start_instance("ids").await;
    for id in [
        "", "a00 ", "a01%", "a02&b=", "a03+", "a04é", "a05#", "a06?b", "a/b", ".", "..",
    ] {
        let refused = instance.run(&["request", id]).await;
        expect_that!(refused.exit, eq(2), "{id:?}: {}", refused.err);
    }
}

/// Guards against an id that is decoded twice, or as a form.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_operators_listener_decodes_an_id_once() {
    let instance = start_instance("decoding").await;
    for (sent, read) in [
        ("a%2525", "a%25"),
        ("a+", "a+"),
        ("%C3%A9%3F%23", "é?#"),
        ("a%2Fb", "a/b"),
    ] {
        let url = format!("http://{}/operator/requests/{sent}.1", instance.operators);
        let call = reqwest::Client::new().get(url).bearer_auth(TOKEN);
        let text = call.send().await.unwrap().text().await.unwrap();
        let told = format!("no live instance {read} that could know it");
        expect_that!(text, contains_substring(told));
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_without_a_response_reports_an_unknown_outcome() {
    // The platform is slow, so `jwctl` times out while the instance is still committing. It must
    // report the outcome as unknown, and a retry with the same change id must commit only once.
    let instance = start_instance("no_answer").await;
    let (one, two) = (
        instance.write_schema("one", 1),
        instance.write_schema("two", 2),
    );
    expect_that!(instance.run(&["apply", &one]).await.exit, eq(0));
    instance.platform.set_fault(Fault::Slow { ms: 2_000 });
    let timed_out = instance
        .run(&[
            "--timeout",
            "1",
            "apply",
            &two,
            "--base",
            "1",
            "--change",
            "c2",
        ])
        .await;
    expect_that!(timed_out.exit, eq(3));
    expect_that!(
        timed_out.err,
        contains_substring("the same apply with --change c2")
    );
    instance.platform.set_fault(Fault::None);
    let retry = instance
        .run(&["apply", &two, "--base", "1", "--change", "c2"])
        .await;
    expect_that!(retry.exit, eq(0), "{}", retry.err);
    let history = instance.run(&["history"]).await.out;
    expect_that!(history.lines().count(), eq(3));
    let unreachable = instance
        .run(&["--server", &free_address().to_string(), "status"])
        .await;
    expect_that!(unreachable.exit, eq(1));
}
