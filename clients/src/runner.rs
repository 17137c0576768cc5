//! Client of model runners, as documented in [`jacinthweir_wire::runner`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt, stream};
use http::header::CONTENT_TYPE;
use http::{Method, StatusCode, Uri};
use jacinthweir_wire::runner::*;
use serde::de::DeserializeOwned;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use crate::buffers::Purpose;
use crate::direct::{self, JSON, ResponseBody};
use crate::pooled::{self, PooledClient};
use crate::service::MAX_RETRY_AFTER_MS;
use crate::{CONNECT_TIMEOUT, ClientError, Target};

/// Maximum length of a line of a runner's answer, in bytes. A longer line fails the attempt.
const MAX_FRAME_BYTES: usize = 256 * 1024;

/// Client of model runners.
#[derive(Clone, Debug)]
pub struct RunnerClient {
    client: PooledClient,
    timeout: Duration,
}

/// Result of starting an attempt.
pub enum RunStart {
    /// The attempt was accepted; frames follow.
    Accepted(Frames),
    /// The runner refused before running any part of the attempt.
    Refused(Refused),
}

/// Frames of an accepted attempt.
pub struct Frames {
    lines: futures::stream::BoxStream<'static, Result<String, ClientError>>,
}

impl Frames {
    /// Returns the next frame, or `None` if the connection ended.
    ///
    /// # Errors
    /// Returns an error if the connection fails or a line is not a frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, ClientError> {
        let Some(line) = self.lines.next().await.transpose()? else {
            return Ok(None);
        };
        let frame = serde_json::from_str(&line).map_err(ClientError::bad_answer)?;
        Ok(Some(frame))
    }
}

impl RunnerClient {
    /// Creates a client whose calls end within `timeout`, except for runs, which end with the
    /// caller's deadline.
    #[must_use]
    pub fn open(timeout: Duration) -> RunnerClient {
        let client = PooledClient::open();
        RunnerClient { client, timeout }
    }

    /// Starts an attempt at the first stage of its route.
    ///
    /// # Errors
    /// See [`ClientError`]. Only [`ClientError::NoEffect`] means that nothing ran.
    pub async fn run(&self, req: &RunRequest) -> Result<RunStart, ClientError> {
        let Some(first) = req.route.first() else {
            return Err(ClientError::NoEffect {
                cause: "empty route".into(),
            });
        };
        let body = serde_json::to_vec(req).map_err(ClientError::bad_answer)?;
        let req = direct::post(
            first.address,
            Uri::from_static("/v1/run"),
            Some(JSON),
            body.into(),
        );
        let res = direct::send(first.address, req, CONNECT_TIMEOUT).await?;
        match res.status() {
            StatusCode::OK => Ok(RunStart::Accepted(frames(res.into_body()))),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let body = res
                    .into_body()
                    .collect(MAX_FRAME_BYTES, Purpose::Data)
                    .await?;
                let refused = serde_json::from_slice(&body).map_err(ClientError::bad_answer)?;
                Ok(RunStart::Refused(bounded(refused)))
            }
            status => Err(ClientError::bad_answer(format!("runner answered {status}"))),
        }
    }

    /// Stops an attempt.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn cancel(&self, runner: SocketAddr, msg: &CancelRequest) -> Result<(), ClientError> {
        let body = serde_json::to_vec(msg).map_err(ClientError::bad_answer)?;
        let target = Target::new("/v1/cancel");
        let mut req = pooled::request(Method::POST, runner, &target, body.into())?;
        req.headers_mut().insert(CONTENT_TYPE, JSON);
        let answer = self.client.send(req, self.timeout).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        let status = answer.status;
        Err(ClientError::bad_answer(format!("runner answered {status}")))
    }

    /// Fetches a runner's load report, which may be stale.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn load(&self, runner: SocketAddr) -> Result<LoadReport, ClientError> {
        let report: LoadReport = self.read(runner, &Target::new("/v1/load")).await?;
        report.checked().map_err(ClientError::bad_answer)
    }

    /// Fetches a runner's cache events after a sequence number.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn cache_events(
        &self,
        runner: SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, ClientError> {
        let target = Target::new("/v1/cache-events").field("after", &after);
        self.read(runner, &target).await
    }

    async fn read<T: DeserializeOwned>(
        &self,
        runner: SocketAddr,
        target: &Target,
    ) -> Result<T, ClientError> {
        let req = pooled::request(Method::GET, runner, target, Bytes::new())?;
        let answer = self.client.send(req, self.timeout).await?;
        match answer.status {
            StatusCode::OK => answer.read_json().await,
            status => Err(ClientError::bad_answer(format!("runner answered {status}"))),
        }
    }
}

/// Returns a refusal whose time to wait is no longer than a runner may ask for.
fn bounded(refused: Refused) -> Refused {
    Refused {
        retry_after_ms: refused.retry_after_ms.min(MAX_RETRY_AFTER_MS),
        ..refused
    }
}

fn frames(body: ResponseBody) -> Frames {
    let bytes = stream::unfold(body, async |mut body| Some((body.next().await?, body)));
    let reader = StreamReader::new(Box::pin(bytes.map_err(std::io::Error::other)));
    let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_FRAME_BYTES));
    let lines = lines.map_err(|e| ClientError::Unknown {
        cause: e.to_string(),
    });
    Frames {
        lines: lines.boxed(),
    }
}
