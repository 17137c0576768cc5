//! The watch of the head at a platform that answers each call at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::BoxFuture;
use googletest::prelude::*;
use jacinthweir_clients::ClientError;
use jacinthweir_clients::platform::{Platform, PutResult};
use jacinthweir_kernel::plugin::sorted;
use jacinthweir_kernel::{Kernel, Settings};
use jacinthweir_schema as _;
use jacinthweir_wire::platform::*;
use serde_json::json;

type Answer<'a, T> = BoxFuture<'a, std::result::Result<T, ClientError>>;

/// What a watch brings at once, while the head never changes.
#[derive(Clone, Copy, Debug)]
enum Watch {
    Nothing,
    SameChange,
    LaterChange,
    Refused,
}

struct Hasty {
    watch: Watch,
    calls: AtomicUsize,
}

impl Platform for Hasty {
    fn get<'a>(&'a self, _: &'a str) -> Answer<'a, Option<Object>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        async { Ok(None) }.boxed()
    }

    fn put<'a>(&'a self, _: &'a str, _: String, _: Condition) -> Answer<'a, PutResult> {
        async { Ok(PutResult::Conflict(0)) }.boxed()
    }

    fn delete<'a>(&'a self, _: &'a str, _: u64) -> Answer<'a, bool> {
        async { Ok(false) }.boxed()
    }

    fn list<'a>(&'a self, _: &'a str) -> Answer<'a, ObjectList> {
        async { Ok(ObjectList::default()) }.boxed()
    }

    fn watch<'a>(&'a self, key: &'a str, after: u64, _: Duration) -> Answer<'a, WatchAnswer> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let change = ObjectVersion {
            key: key.to_owned(),
            version: 7,
        };
        let (changes, next) = match self.watch {
            Watch::Nothing => (Vec::new(), after),
            Watch::SameChange => (vec![change], 7),
            Watch::LaterChange => (vec![change], after + 1),
            Watch::Refused => {
                let cause = "platform answered 429".to_owned();
                return async { Err(ClientError::NoEffect { cause }) }.boxed();
            }
        };
        async move { Ok(WatchAnswer { changes, next }) }.boxed()
    }

    fn instances(&self) -> Answer<'_, InstanceList> {
        async { Ok(InstanceList::default()) }.boxed()
    }
}

fn start(platform: Arc<Hasty>) -> Arc<Kernel> {
    let settings = json!({
        "name": "entry-1",
        "failure_domain": "recife",
        "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
        "peers": [],
        "platform": {"address": "127.0.0.1:4"},
        "tokens": {
            "operators_sha256": jacinthweir_kernel::auth::fingerprint("t"),
            "peers": "a token between instances",
        },
    });
    let settings = Settings::parse(&settings.to_string()).expect("settings");
    let mut kernel = Kernel::open(settings).expect("a kernel");
    let inner = Arc::get_mut(&mut kernel).expect("not shared yet");
    inner.platform = platform;
    for plugin in sorted() {
        (plugin.spawn)(&kernel).expect("starts");
    }
    kernel
}

/// Guards against an instance that uses up the calls of all to a platform whose watches bring nothing new.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn watches_that_bring_nothing_are_paced() {
    for watch in [
        Watch::Nothing,
        Watch::SameChange,
        Watch::LaterChange,
        Watch::Refused,
    ] {
        let platform = Arc::new(Hasty {
            watch,
            calls: AtomicUsize::new(0),
        });
        let started = Instant::now();
        let kernel = start(Arc::clone(&platform));
        tokio::time::sleep(Duration::from_secs(2)).await;
        kernel.stop.cancel();
        let calls = platform.calls.load(Ordering::Relaxed);
        let seconds = started.elapsed().as_secs_f64();
        expect_that!(calls as f64, le(20.0 + 6.0 * seconds), "{watch:?}");
    }
}
