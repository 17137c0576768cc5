//! Caller client: asks for the entry addresses, submits requests and reads streamed answers.
//!
//! It never retries and follows no redirect, so for a checker each call is exactly one submission.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::caller::{
    ChatMessage, ChatRequest, Completion, CompletionRequest, EntryAnswer, ErrorBody, ErrorCode,
};
use jacinthweir_wire::header;
use reqwest::{RequestBuilder, Response};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Time-out for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Data line that terminates a stream after a complete answer.
const STREAM_END: &str = "[DONE]";

/// Client that authenticates as one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    client: reqwest::Client,
    key: String,
}

/// What a caller observed of one submission.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Observation {
    /// HTTP status; `None` if no response head was received.
    pub status: Option<u16>,
    /// Request id from the response header.
    pub request: Option<Name>,
    /// Final outcome reported by the system; `None` if none was reported.
    pub outcome: Option<Outcome>,
    /// Error code, if the answer is an error.
    pub code: Option<ErrorCode>,
    /// Delay before a retry that the error asks for, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Text of a model's answer, or body of a service's answer.
    pub text: String,
    /// Arrival time of each token since the submission, in microseconds.
    pub token_us: Vec<u64>,
    /// Time from the submission to the end of the answer, in microseconds.
    pub end_us: u64,
    /// Error that interrupted the submission, as a one-sentence message.
    pub broken: Option<String>,
    /// Whether the connection failed to establish, so that nothing was sent.
    pub not_connected: bool,
}

/// A submission to a model.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Pipeline.
    pub pipeline: Name,
    /// Prompt.
    pub prompt: String,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Deadline, in milliseconds; `None` for the pipeline's default.
    pub deadline_ms: Option<u64>,
}

/// A submission to a model as a conversation.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// Pipeline.
    pub pipeline: Name,
    /// Messages.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens.
    pub max_tokens: u32,
    /// Deadline, in milliseconds; `None` for the pipeline's default.
    pub deadline_ms: Option<u64>,
}

/// A submission to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Service.
    pub service: Name,
    /// Call.
    pub call: Name,
    /// Idempotency key.
    pub key: Option<String>,
    /// Body.
    pub body: String,
    /// Deadline, in milliseconds; `None` for the call's default.
    pub deadline_ms: Option<u64>,
}

impl Caller {
    /// Returns a client that authenticates with an organisation's key.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub fn open(key: &str) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            // One connection per call: on a reused one, a lost call can't be classified as lost
            // before or after the server read it.
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self {
            client,
            key: key.to_owned(),
        })
    }

    /// Returns the entry addresses that the instance advertises.
    ///
    /// # Errors
    ///
    /// Fails if the instance doesn't answer.
    pub async fn entry(&self, at: SocketAddr) -> Result<EntryAnswer> {
        let call = self.client.get(format!("http://{at}/v1/entry"));
        let answer = call.bearer_auth(&self.key).send().await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    /// Submits a model request and reads the stream to its end.
    pub async fn complete(&self, at: SocketAddr, call: &ModelCall) -> Observation {
        self.complete_with(at, call, &mut |_| {}).await
    }

    /// Like [`Self::complete`], and passes each piece of the answer to `show` as it arrives.
    pub async fn complete_with(
        &self,
        at: SocketAddr,
        call: &ModelCall,
        show: &mut impl FnMut(&str),
    ) -> Observation {
        let body = CompletionRequest {
            model: call.pipeline.clone(),
            prompt: call.prompt.clone(),
            stream: true,
            max_tokens: Some(call.max_tokens),
        };
        let req = self.client.post(format!("http://{at}/v1/completions"));
        let req = with_deadline(req.json(&body), call.deadline_ms);
        self.submit(req, BodyKind::Stream, show).await
    }

    /// Submits a conversation and reads the stream to its end.
    pub async fn chat(&self, at: SocketAddr, call: &ChatCall) -> Observation {
        let body = ChatRequest {
            model: call.pipeline.clone(),
            messages: call.messages.clone(),
            stream: true,
            max_tokens: Some(call.max_tokens),
        };
        let req = self.client.post(format!("http://{at}/v1/chat/completions"));
        let req = with_deadline(req.json(&body), call.deadline_ms);
        self.submit(req, BodyKind::Stream, &mut |_| {}).await
    }

    /// Calls a plain service.
    pub async fn call(&self, at: SocketAddr, call: &ServiceCall) -> Observation {
        let url = format!("http://{at}/v1/services/{}/{}", call.service, call.call);
        let mut req = self.client.post(url).body(call.body.clone());
        if let Some(key) = &call.key {
            req = req.header(header::IDEMPOTENCY_KEY, key);
        }
        let req = with_deadline(req, call.deadline_ms);
        self.submit(req, BodyKind::Body, &mut |_| {}).await
    }

    async fn submit(
        &self,
        req: RequestBuilder,
        kind: BodyKind,
        show: &mut impl FnMut(&str),
    ) -> Observation {
        let started = Instant::now();
        let mut seen = Observation::default();
        let read = async {
            let answer = req.bearer_auth(&self.key).send().await?;
            seen.read_headers(&answer);
            if kind == BodyKind::Stream && answer.status().is_success() {
                seen.read_stream(answer, started, show).await
            } else {
                seen.read_body(answer).await
            }
        };
        if let Err(err) = read.await {
            seen.not_connected = matches!(&err, Error::Http(err) if err.is_connect());
            seen.broken = Some(format!("{:#}", eyre::Report::new(err)));
        }
        seen.end_us = elapsed_us(started);
        seen
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum BodyKind {
    Stream,
    Body,
}

fn with_deadline(req: RequestBuilder, deadline_ms: Option<u64>) -> RequestBuilder {
    match deadline_ms {
        Some(ms) => req.header(header::DEADLINE_MS, ms),
        None => req,
    }
}

fn elapsed_us(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Observation {
    /// Returns whether the system reported a complete answer.
    #[must_use]
    pub fn answered(&self) -> bool {
        self.outcome == Some(Outcome::Answered)
    }

    fn read_headers(&mut self, answer: &Response) {
        let text = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
        self.status = Some(answer.status().as_u16());
        self.request = text(header::REQUEST).map(Name::from);
        self.outcome = text(header::OUTCOME).and_then(parse_outcome);
    }

    async fn read_body(&mut self, answer: Response) -> Result<()> {
        let failed = !answer.status().is_success();
        self.text = answer.text().await?;
        if failed && let Ok(body) = serde_json::from_str(&self.text) {
            self.record_error(&body);
        }
        Ok(())
    }

    /// Reads server-sent events to the end of the stream.
    ///
    /// Only an end event confirms a complete answer; a stream that closes without one leaves the
    /// outcome unset.
    async fn read_stream(
        &mut self,
        answer: Response,
        started: Instant,
        show: &mut impl FnMut(&str),
    ) -> Result<()> {
        self.outcome = None;
        let mut chunks = answer.bytes_stream();
        let mut buf = Vec::new();
        while let Some(chunk) = chunks.next().await {
            buf.extend_from_slice(&chunk?);
            while let Some(end) = buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = buf.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line);
                self.parse_line(line.trim_end(), started, show)?;
            }
        }
        Ok(())
    }

    fn parse_line(
        &mut self,
        line: &str,
        started: Instant,
        show: &mut impl FnMut(&str),
    ) -> Result<()> {
        let Some(data) = line.strip_prefix("data: ").filter(|d| *d != STREAM_END) else {
            return Ok(());
        };
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            self.record_error(&error);
            return Ok(());
        }
        let event: Completion = serde_json::from_str(data)?;
        for choice in event.choices {
            let piece = choice.text.or(choice.delta.and_then(|d| d.content));
            if let Some(piece) = piece.filter(|p| !p.is_empty()) {
                show(&piece);
                self.text.push_str(&piece);
                self.token_us.push(elapsed_us(started));
            }
        }
        if event.outcome.is_some() {
            self.outcome = event.outcome;
        }
        Ok(())
    }

    fn record_error(&mut self, body: &ErrorBody) {
        self.outcome = Some(body.error.outcome);
        self.code = Some(body.error.code);
        self.retry_after_ms = body.error.retry_after_ms;
    }
}

fn parse_outcome(text: &str) -> Option<Outcome> {
    serde_json::from_value(serde_json::Value::String(text.to_owned())).ok()
}

/// Turns an interrupted submission into an error.
///
/// # Errors
///
/// Fails if the submission was interrupted.
pub fn ensure_uninterrupted(seen: Observation) -> Result<Observation> {
    match &seen.broken {
        Some(broken) => Err(Error::Other(broken.clone())),
        None => Ok(seen),
    }
}
