//! A caller as the users have them: asks which address to use, connects there, reads a stream.
//!
//! It repeats nothing by itself and follows no redirect, so a checker knows that one call here is
//! one submission.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::StreamExt;
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::caller::{Completion, CompletionRequest, EntryAnswer, ErrorBody, ErrorCode};
use jacinthweir_wire::header;
use reqwest::{RequestBuilder, Response};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Longest wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(1);
/// The line that ends a stream whose answer is whole.
const DONE: &str = "[DONE]";

/// A caller of one organisation.
#[derive(Clone, Debug)]
pub struct Caller {
    client: reqwest::Client,
    key: String,
}

/// What a caller saw of one submission.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// HTTP status; `None`: no answer came, or not a whole one.
    pub status: Option<u16>,
    /// Request id, as the header said.
    pub request: Option<Name>,
    /// Final outcome as the system told it; `None`: it told none.
    pub outcome: Option<Outcome>,
    /// Error code, where there is one.
    pub code: Option<ErrorCode>,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Text of the answer, or body of a service's answer.
    pub text: String,
    /// Times of the tokens after the submission, in microseconds.
    pub token_us: Vec<u64>,
    /// Time of the end after the submission, in microseconds.
    pub end_us: u64,
    /// Error of the connection, in one sentence.
    pub broken: Option<String>,
    /// Whether no connection came about: nothing was sent.
    pub not_connected: bool,
}

/// A submission to a model.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Pipeline.
    pub pipeline: Name,
    /// Prompt.
    pub prompt: String,
    /// The most tokens.
    pub max_tokens: u32,
    /// Deadline, in milliseconds; `None`: the pipeline's own.
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
    /// Deadline, in milliseconds; `None`: the call's own.
    pub deadline_ms: Option<u64>,
}

impl Caller {
    /// A caller with an organisation's key.
    ///
    /// # Errors
    ///
    /// Where no HTTP client can be made.
    pub fn open(key: &str) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_WAIT)
            // A fresh connection for each call: whether a call on a kept one was lost before or
            // after it was read can't be told.
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .build()?;
        Ok(Self {
            client,
            key: key.to_owned(),
        })
    }

    /// Asks which addresses to use.
    ///
    /// # Errors
    ///
    /// Where the instance doesn't answer.
    pub async fn entry(&self, at: SocketAddr) -> Result<EntryAnswer> {
        let call = self.client.get(format!("http://{at}/v1/entry"));
        let answer = call.bearer_auth(&self.key).send().await?;
        Ok(answer.error_for_status()?.json().await?)
    }

    /// Asks a model and reads the stream to its end.
    pub async fn complete(&self, at: SocketAddr, call: &ModelCall) -> Seen {
        self.complete_with(at, call, &mut |_| {}).await
    }

    /// The same, showing each piece of the answer as it comes.
    pub async fn complete_with(
        &self,
        at: SocketAddr,
        call: &ModelCall,
        show: &mut impl FnMut(&str),
    ) -> Seen {
        let body = CompletionRequest {
            model: call.pipeline.clone(),
            prompt: call.prompt.clone(),
            stream: true,
            max_tokens: Some(call.max_tokens),
        };
        let req = self.client.post(format!("http://{at}/v1/completions"));
        let req = with_deadline(req.json(&body), call.deadline_ms);
        self.submit(req, Form::Stream, show).await
    }

    /// Calls a plain service.
    pub async fn call(&self, at: SocketAddr, call: &ServiceCall) -> Seen {
        let url = format!("http://{at}/v1/services/{}/{}", call.service, call.call);
        let mut req = self.client.post(url).body(call.body.clone());
        if let Some(key) = &call.key {
            req = req.header(header::IDEMPOTENCY_KEY, key);
        }
        let req = with_deadline(req, call.deadline_ms);
        self.submit(req, Form::Body, &mut |_| {}).await
    }

    async fn submit(&self, req: RequestBuilder, form: Form, show: &mut impl FnMut(&str)) -> Seen {
        let started = Instant::now();
        let mut seen = Seen::default();
        let read = async {
            let answer = req.bearer_auth(&self.key).send().await?;
            seen.read_head(&answer);
            if form == Form::Stream && answer.status().is_success() {
                seen.read_stream(answer, started, show).await
            } else {
                seen.read_body(answer).await
            }
        };
        if let Err(err) = read.await {
            seen.not_connected = matches!(&err, Error::Http(err) if err.is_connect());
            seen.broken = Some(format!("{:#}", eyre::Report::new(err)));
        }
        seen.end_us = micros(started);
        seen
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Form {
    Stream,
    Body,
}

fn with_deadline(req: RequestBuilder, deadline_ms: Option<u64>) -> RequestBuilder {
    match deadline_ms {
        Some(ms) => req.header(header::DEADLINE_MS, ms),
        None => req,
    }
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

impl Seen {
    /// Whether the system said that the whole answer was given.
    #[must_use]
    pub fn answered(&self) -> bool {
        self.outcome == Some(Outcome::Answered)
    }

    fn read_head(&mut self, answer: &Response) {
        let text = |name| answer.headers().get(name).and_then(|v| v.to_str().ok());
        self.status = Some(answer.status().as_u16());
        self.request = text(header::REQUEST).map(Name::from);
        self.outcome = text(header::OUTCOME).and_then(outcome);
    }

    async fn read_body(&mut self, answer: Response) -> Result<()> {
        let failed = !answer.status().is_success();
        self.text = answer.text().await?;
        if failed && let Ok(body) = serde_json::from_str(&self.text) {
            self.take_error(&body);
        }
        Ok(())
    }

    /// Reads server-sent events to the end. Only an end event tells of a whole answer: a stream
    /// that closes without one leaves the outcome open.
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
                self.take_line(line.trim_end(), started, show)?;
            }
        }
        Ok(())
    }

    fn take_line(
        &mut self,
        line: &str,
        started: Instant,
        show: &mut impl FnMut(&str),
    ) -> Result<()> {
        let Some(data) = line.strip_prefix("data: ").filter(|d| *d != DONE) else {
            return Ok(());
        };
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            self.take_error(&error);
            return Ok(());
        }
        let event: Completion = serde_json::from_str(data)?;
        for choice in event.choices {
            let piece = choice.text.or(choice.delta.and_then(|d| d.content));
            if let Some(piece) = piece.filter(|p| !p.is_empty()) {
                show(&piece);
                self.text.push_str(&piece);
                self.token_us.push(micros(started));
            }
        }
        if event.outcome.is_some() {
            self.outcome = event.outcome;
        }
        Ok(())
    }

    fn take_error(&mut self, body: &ErrorBody) {
        self.outcome = Some(body.error.outcome);
        self.code = Some(body.error.code);
        self.retry_after_ms = body.error.retry_after_ms;
    }
}

fn outcome(text: &str) -> Option<Outcome> {
    serde_json::from_value(serde_json::Value::String(text.to_owned())).ok()
}

/// Turns a reading that broke off into an error.
///
/// # Errors
///
/// Where the submission broke off.
pub fn unbroken(seen: Seen) -> Result<Seen> {
    match &seen.broken {
        Some(broken) => Err(Error::Other(broken.clone())),
        None => Ok(seen),
    }
}
