//! The program `jwctl` against an instance over a stand-in platform: what it prints and its exit
//! codes.

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

struct Rig {
    platform: Platform,
    operators: SocketAddr,
    folder: PathBuf,
    _kernel: Arc<Kernel>,
    _listening: Vec<RunningListener>,
}

/// What the program did.
struct Run {
    exit: i32,
    out: String,
    err: String,
}

/// An address that nothing else uses: on a loopback address of this process's own, below the
/// range of ports from which outgoing connections take theirs.
fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from(([127, 64 + (a & 63), b, c], port))
}

async fn rig(name: &str) -> Rig {
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
    // The upstreams' plug-in, which says when the upstreams are known, is not linked here.
    kernel.set_ready();
    for plugin in sorted() {
        (plugin.spawn)(&kernel).unwrap();
    }
    let mut listening = Vec::new();
    for kind in [ListenerKind::Callers, ListenerKind::Operators] {
        listening.push(RunningListener::bind(&kernel, kind).await.unwrap());
    }
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&folder).unwrap();
    Rig {
        platform,
        operators,
        folder,
        _kernel: kernel,
        _listening: listening,
    }
}

impl Rig {
    fn file(&self, name: &str, weight: u32) -> String {
        let path = self.folder.join(name);
        let text = format!(
            r#"{{"organisations": [
                {{"name": "atelier", "priority": 1, "weight": {weight}, "key_sha256": []}}]}}"#
        );
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    async fn run(&self, words: &[&str]) -> Run {
        let mut call = tokio::process::Command::new(env!("CARGO_BIN_EXE_jwctl"));
        call.env("JWCTL_SERVER", self.operators.to_string())
            .env("JWCTL_TOKEN", TOKEN);
        run(call.args(["--operator", "ana"]).args(words)).await
    }
}

async fn run(call: &mut tokio::process::Command) -> Run {
    let done = call.stdin(Stdio::null()).output().await.unwrap();
    Run {
        exit: done.status.code().unwrap(),
        out: String::from_utf8(done.stdout).unwrap(),
        err: String::from_utf8(done.stderr).unwrap(),
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_apply_history_and_status_read_as_a_migration() {
    let rig = rig("migration").await;
    let (one, two) = (rig.file("one", 1), rig.file("two", 2));
    let first = rig.run(&["apply", &one, "--wait"]).await;
    expect_that!(first.exit, eq(0));
    expect_that!(
        first.out,
        ends_with("revision 1 is committed, in force on every live instance\n")
    );
    let plan = rig.run(&["plan", &two]).await;
    let wanted = "changes against revision 1:\n  ~ organisation atelier: weight 1 -> 2\n";
    expect_that!(plan.out, eq(wanted));
    let second = rig
        .run(&["--json", "apply", &two, "--base", "1", "--change", "c2"])
        .await;
    let reply: serde_json::Value = serde_json::from_str(&second.out).unwrap();
    expect_that!(reply["revision"].as_u64(), some(eq(2)));
    let history = rig.run(&["history"]).await.out;
    expect_that!(
        history.lines().nth(1).unwrap(),
        contains_substring("ana       c2")
    );
    let status = rig.run(&["status"]).await.out;
    let wanted = "revision 2 in force on 1 of 1 live instances, 0 suspected; platform reached\n";
    expect_that!(status, starts_with(wanted));
    let entry = rig.run(&["entry"]).await;
    expect_that!(entry.out, contains_substring("recife"));
    let dump = rig.run(&["dump"]).await;
    expect_that!(dump.out, contains_substring("\"schema\""));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_say_why_and_exit_with_their_code() {
    let rig = rig("refusals").await;
    let (bad, one, two) = (rig.file("bad", 0), rig.file("one", 1), rig.file("two", 2));
    let check = rig.run(&["check", &bad]).await;
    expect_that!(check.exit, eq(1));
    expect_that!(
        check.err,
        contains_substring("line 2: organisations[0].weight")
    );
    expect_that!(rig.run(&["apply", &one]).await.exit, eq(0));
    let conflict = rig.run(&["apply", &two, "--base", "0"]).await;
    expect_that!(conflict.exit, eq(1));
    expect_that!(
        conflict.err,
        contains_substring("conflict: revision 1 was committed first")
    );
    expect_that!(rig.run(&["request", "entry-1.0"]).await.exit, eq(1));
    expect_that!(rig.run(&["plan", "absent.jsonc"]).await.exit, eq(2));
    expect_that!(rig.run(&["migrate"]).await.exit, eq(2));
    let token = rig.folder.join("token");
    std::fs::write(&token, "guess").unwrap();
    let guess = rig
        .run(&["--token-file", &token.display().to_string(), "status"])
        .await;
    expect_that!(guess.exit, eq(2));
    expect_that!(guess.err, contains_substring("token is missing or wrong"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_apply_without_an_answer_is_not_known() {
    // The platform is slow, and the operator's time is over before it has answered; the instance
    // goes on. The operator is told that the commit is not known, and asks again with the same
    // change id: it stands once.
    let rig = rig("no_answer").await;
    let (one, two) = (rig.file("one", 1), rig.file("two", 2));
    expect_that!(rig.run(&["apply", &one]).await.exit, eq(0));
    rig.platform.set_fault(Fault::Slow { ms: 2_000 });
    let late = rig
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
    expect_that!(late.exit, eq(3));
    expect_that!(
        late.err,
        contains_substring("the same apply with --change c2")
    );
    rig.platform.set_fault(Fault::None);
    let again = rig
        .run(&["apply", &two, "--base", "1", "--change", "c2"])
        .await;
    expect_that!(again.exit, eq(0), "{}", again.err);
    let history = rig.run(&["history"]).await.out;
    expect_that!(history.lines().count(), eq(3));
    let nobody = rig
        .run(&["--server", &free_address().to_string(), "status"])
        .await;
    expect_that!(nobody.exit, eq(1));
}
