//! Client of the platform's service, as documented in [`jacinthweir_wire::platform`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::header::CONTENT_TYPE;
use http::{Method, StatusCode};
use jacinthweir_wire::platform::*;
use serde::de::DeserializeOwned;

use crate::direct::JSON;
use crate::pooled::{self, Answer, PooledClient};
use crate::{ClientError, Target};

/// Result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// The object was written and has this version.
    Written(u64),
    /// The condition did not hold. The object has this version; 0 if absent.
    Conflict(u64),
}

/// The platform's service. A trait, so that tests can use an in-memory implementation.
pub trait Platform: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, ClientError>>;
    /// Writes an object under a condition.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: String,
        condition: Condition,
    ) -> BoxFuture<'a, Result<PutResult, ClientError>>;
    /// Deletes an object at a version. Returns `false` if it was absent or had another version.
    fn delete<'a>(&'a self, key: &'a str, version: u64)
    -> BoxFuture<'a, Result<bool, ClientError>>;
    /// Lists the keys with a prefix and their versions.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<ObjectList, ClientError>>;
    /// Waits for changes of keys with a prefix, by long polling.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchAnswer, ClientError>>;
    /// Reads the list of instances, which may be stale.
    fn instances(&self) -> BoxFuture<'_, Result<InstanceList, ClientError>>;
}

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: PooledClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`. Each call ends within `timeout`, except for a
    /// watch, which ends within its wait plus `timeout`.
    #[must_use]
    pub fn open(address: SocketAddr, timeout: Duration) -> HttpPlatform {
        let client = PooledClient::open();
        HttpPlatform {
            client,
            address,
            timeout,
        }
    }

    async fn send(
        &self,
        method: Method,
        target: &Target,
        timeout: Duration,
    ) -> Result<Answer, ClientError> {
        let req = pooled::request(method, self.address, target, Bytes::new())?;
        self.client.send(req, timeout).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        target: &Target,
        timeout: Duration,
    ) -> Result<Option<T>, ClientError> {
        let answer = self.send(Method::GET, target, timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.read_json().await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    async fn put_object(
        &self,
        key: &str,
        value: String,
        condition: Condition,
    ) -> Result<PutResult, ClientError> {
        let target = object_target(key);
        let body = serde_json::to_vec(&PutObject { value, condition });
        let body = body.map_err(pooled::no_effect)?;
        let mut req = pooled::request(Method::PUT, self.address, &target, body.into())?;
        req.headers_mut().insert(CONTENT_TYPE, JSON);
        let answer = self.client.send(req, self.timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(PutResult::Written(written_version(answer).await?)),
            StatusCode::PRECONDITION_FAILED => {
                Ok(PutResult::Conflict(written_version(answer).await?))
            }
            status => Err(status_error(status)),
        }
    }

    async fn delete_object(&self, key: &str, version: u64) -> Result<bool, ClientError> {
        let target = object_target(key).field("version", &version);
        let answer = self.send(Method::DELETE, &target, self.timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND | StatusCode::PRECONDITION_FAILED => Ok(false),
            status => Err(status_error(status)),
        }
    }
}

/// Returns the target of an object.
///
/// The slashes of a key separate the parts of a path. Servers drop empty parts, so that the slashes of a key
/// that has one are escaped.
fn object_target(key: &str) -> Target {
    let target = Target::new("/objects");
    if key.split('/').any(str::is_empty) {
        return target.segment(key);
    }
    key.split('/').fold(target, Target::segment)
}

/// Reads the version from the answer to a write. If the body is truncated after the status line,
/// the status is known but the version is not.
async fn written_version(answer: Answer) -> Result<u64, ClientError> {
    let body: Written = answer.read_json().await?;
    Ok(body.version)
}

fn status_error(status: StatusCode) -> ClientError {
    let cause = format!("platform answered {status}");
    match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::PAYLOAD_TOO_LARGE
        | StatusCode::BAD_REQUEST => ClientError::NoEffect { cause },
        s if s.is_server_error() => ClientError::Unknown { cause },
        _ => ClientError::BadAnswer { cause },
    }
}

impl Platform for HttpPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, ClientError>> {
        Box::pin(async move { self.read(&object_target(key), self.timeout).await })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: String,
        condition: Condition,
    ) -> BoxFuture<'a, Result<PutResult, ClientError>> {
        Box::pin(self.put_object(key, value, condition))
    }

    fn delete<'a>(
        &'a self,
        key: &'a str,
        version: u64,
    ) -> BoxFuture<'a, Result<bool, ClientError>> {
        Box::pin(self.delete_object(key, version))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<ObjectList, ClientError>> {
        Box::pin(async move {
            let target = Target::new("/objects").field("prefix", prefix);
            let list = self.read(&target, self.timeout).await?;
            list.ok_or_else(|| ClientError::bad_answer("no list"))
        })
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchAnswer, ClientError>> {
        Box::pin(async move {
            let target = Target::new("/watch")
                .field("prefix", prefix)
                .field("after", &after)
                .field("wait_ms", &wait.as_millis());
            let answer = self.read(&target, wait + self.timeout).await?;
            answer.ok_or_else(|| ClientError::bad_answer("no watch"))
        })
    }

    fn instances(&self) -> BoxFuture<'_, Result<InstanceList, ClientError>> {
        Box::pin(async move {
            let target = Target::new("/instances");
            let list = self.read(&target, self.timeout).await?;
            list.ok_or_else(|| ClientError::bad_answer("no instance list"))
        })
    }
}
