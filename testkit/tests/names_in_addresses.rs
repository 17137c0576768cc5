//! Keys, request ids and calls with characters that mean something in an address, at servers that decode each
//! address once.

use std::time::Duration;

use googletest::prelude::*;
use jacinthweir_clients::platform::{HttpPlatform, Platform as _, PutResult};
use jacinthweir_clients::service::{ServiceAnswer, ServiceCall, ServiceClient};
use jacinthweir_testkit::{Platform, PlatformCfg, Service, ServiceCfg};
use jacinthweir_wire::platform::Condition;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Names with characters that mean something in an address, and plain ones.
const NAMES: [&str; 12] = [
    "a00 ",
    "a01%",
    "a01%25",
    "a02&b=",
    "a03+",
    "a04é",
    "a05#",
    "a06?b",
    "a07//c",
    "a08/",
    "a09/claims/org.1/7f-3_a~b:c",
    "a10",
];

async fn platform() -> (Platform, HttpPlatform) {
    let bound = Platform::bind(PlatformCfg::default(), CancellationToken::new()).await;
    let bound = bound.expect("binds on loopback");
    let client = HttpPlatform::open(bound.address, TIMEOUT);
    (bound, client)
}

async fn put(platform: &HttpPlatform, key: &str) -> u64 {
    let written = platform
        .put(key, key.to_owned(), Condition::Absent)
        .await
        .expect("an answer");
    match written {
        PutResult::Written(version) => version,
        PutResult::Conflict(version) => panic!("{key:?} exists at version {version}"),
    }
}

/// Guards against a read, write or deletion of another object than the one that is named.
#[gtest]
#[tokio::test]
async fn an_object_is_the_one_that_its_key_names() {
    let (_server, platform) = platform().await;
    for name in NAMES {
        let key = format!("quarantine/{name}");
        let version = put(&platform, &key).await;
        let got = platform.get(&key).await.expect("an answer");
        let got = got.map(|object| (object.key, object.value));
        expect_that!(got, some(eq(&(key.clone(), key.clone()))), "{name:?}");
        let listed = platform.list(&key).await.expect("a list");
        let listed: Vec<&str> = listed.objects.iter().map(|o| &*o.key).collect();
        expect_that!(listed, elements_are![eq(&key)], "{name:?}");
        let after = version - 1;
        let watched = platform.watch(&key, after, Duration::ZERO).await;
        let watched = watched.expect("an answer").changes;
        let watched: Vec<&str> = watched.iter().map(|o| &*o.key).collect();
        expect_that!(watched, elements_are![eq(&key)], "{name:?}");
        let deleted = platform.delete(&key, version).await;
        expect_that!(deleted, ok(eq(&true)), "{name:?}");
        expect_that!(platform.get(&key).await, ok(none()), "{name:?}");
    }
}

/// Guards against the deletion of a part that is in force for another writer's object beside it.
#[gtest]
#[tokio::test]
async fn a_key_that_reads_as_a_query_deletes_nothing_else() {
    let (_server, platform) = platform().await;
    let version = put(&platform, "config/parts/7f").await;
    let odd = format!("config/parts/7f?version={version}&");
    let _ = platform.delete(&odd, version + 1).await;
    let kept = platform.get("config/parts/7f").await.expect("an answer");
    expect_that!(kept, some(anything()));
}

/// Guards against another call of a service than the one that is named.
#[gtest]
#[tokio::test]
async fn a_call_is_the_one_that_its_name_says() {
    let service = Service::bind(ServiceCfg::default(), CancellationToken::new()).await;
    let service = service.expect("binds on loopback");
    for name in NAMES {
        let call = ServiceCall {
            address: service.address,
            call: name.to_owned(),
            request: "r".to_owned(),
            attempt: 1,
            key: None,
            content_type: None,
            body: bytes::Bytes::new(),
            timeout: TIMEOUT,
        };
        let got = ServiceClient::open().call(&call).await;
        let answered = matches_pattern!(ServiceAnswer::Answered {
            status: eq(&200),
            ..
        });
        expect_that!(got, ok(answered), "{name:?}");
        let ran = service.ran();
        expect_that!(ran.last().map(|r| &*r.call), some(eq(name)), "{name:?}");
    }
}
