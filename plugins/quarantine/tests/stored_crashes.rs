//! Reading of the stored crashes at the start, from a platform that others write to as well.

use std::collections::BTreeMap;
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
use jacinthweir_policy::lifetime::Lifetime;
use jacinthweir_policy::quarantine::CrashReport;
use jacinthweir_quarantine as _;
use jacinthweir_wire::platform::*;
use serde_json::json;

/// Time after which a wait fails the test. No test depends on a shorter wait.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Platform with these objects, in which `None` cannot be read.
#[derive(Default)]
struct Objects {
    by_key: BTreeMap<String, Option<String>>,
    reads: AtomicUsize,
}

type Answer<'a, T> = BoxFuture<'a, std::result::Result<T, ClientError>>;

impl Platform for Objects {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Object>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let got = match self.by_key.get(key).cloned() {
            Some(None) => Err(ClientError::BadAnswer {
                cause: "it cannot be read".to_owned(),
            }),
            Some(Some(value)) => Ok(Some(Object {
                key: key.to_owned(),
                version: 1,
                value,
            })),
            None => Ok(None),
        };
        async { got }.boxed()
    }

    fn put<'a>(&'a self, _: &'a str, _: String, _: Condition) -> Answer<'a, PutResult> {
        async { Ok(PutResult::Conflict(1)) }.boxed()
    }

    fn delete<'a>(&'a self, _: &'a str, _: u64) -> Answer<'a, bool> {
        async { Ok(false) }.boxed()
    }

    fn list<'a>(&'a self, _: &'a str) -> Answer<'a, ObjectList> {
        let keys = self.by_key.keys().cloned().zip(1..);
        let objects = keys.map(|(key, version)| ObjectVersion { key, version });
        let objects = objects.collect();
        async { Ok(ObjectList { objects }) }.boxed()
    }

    fn watch<'a>(&'a self, _: &'a str, _: u64, _: Duration) -> Answer<'a, WatchAnswer> {
        async { Ok(WatchAnswer::default()) }.boxed()
    }

    fn instances(&self) -> Answer<'_, InstanceList> {
        async { Ok(InstanceList::default()) }.boxed()
    }
}

fn report(runner: &str) -> CrashReport {
    CrashReport {
        lifetime: Lifetime {
            runner: runner.into(),
            born_ms: 1,
        },
        runs: BTreeMap::new(),
        cleared: [].into(),
        is_refuted: false,
        stored_era: None,
        age_ms: 0,
    }
}

fn stored(runner: &str) -> Option<String> {
    serde_json::to_string(&report(runner)).ok()
}

/// Starts an instance whose platform has these objects.
fn start(objects: Arc<Objects>) -> Arc<Kernel> {
    let address = "127.0.0.1:1";
    let settings = json!({
        "name": "entry-1",
        "failure_domain": "recife",
        "listen": {"callers": address, "peers": "127.0.0.1:2", "operators": "127.0.0.1:3"},
        "peers": [],
        "platform": {"address": address},
        "tokens": {"operators_sha256": jacinthweir_kernel::auth::fingerprint("t"), "peers": "a token between instances"},
    });
    let settings = Settings::parse(&settings.to_string()).expect("settings");
    let mut kernel = Kernel::open(settings).expect("a kernel");
    let inner = Arc::get_mut(&mut kernel).expect("not shared yet");
    inner.platform = objects;
    for plugin in sorted() {
        (plugin.spawn)(&kernel).expect("starts");
    }
    kernel
}

fn has_read(kernel: &Kernel, runner: &str) -> bool {
    let quarantine = kernel.quarantine();
    let now = kernel.clock.now();
    let mut reports = quarantine.updates(u64::from(u32::MAX), true, now);
    reports.any(|r| &*r.lifetime.runner == runner)
}

async fn wait_until_read(kernel: &Kernel, runner: &str) -> bool {
    let deadline = Instant::now() + TIMEOUT;
    while !has_read(kernel, runner) {
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    true
}

/// Guards against an instance that never learns what is quarantined, since one object cannot be read.
#[gtest]
#[tokio::test]
async fn an_object_that_cannot_be_read_holds_up_no_other_one() {
    let keys = [
        ("quarantine/a00 ", None),
        ("quarantine/a04é", Some("[1]".to_owned())),
        ("quarantine/b", stored("runner-b")),
        ("quarantine/c", stored("runner-c")),
    ];
    let by_key = keys.map(|(key, value)| (key.to_owned(), value)).into();
    let kernel = start(Arc::new(Objects {
        by_key,
        ..Objects::default()
    }));
    expect_true!(wait_until_read(&kernel, "runner-b").await);
    expect_true!(wait_until_read(&kernel, "runner-c").await);
    kernel.stop.cancel();
}

/// Guards against thousands of reads by each instance that starts, for objects that others left.
#[gtest]
#[tokio::test]
async fn only_the_newest_objects_are_read() {
    let many = (0..5_000).map(|i| (format!("quarantine/{i:04}"), Some(String::new())));
    let mut by_key: BTreeMap<_, _> = many.collect();
    by_key.insert("quarantine/newest".to_owned(), stored("newest"));
    let objects = Arc::new(Objects {
        by_key,
        ..Objects::default()
    });
    let kernel = start(Arc::clone(&objects));
    expect_true!(wait_until_read(&kernel, "newest").await);
    expect_that!(objects.reads.load(Ordering::Relaxed), le(500));
    kernel.stop.cancel();
}
