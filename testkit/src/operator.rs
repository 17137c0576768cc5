//! Client of the operators' interface, for tests that need more than `jwctl` prints.

use std::net::SocketAddr;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, HistoryReply, PlanReply, PlanRequest, RequestRecord,
    SchemaReply, StatusReply,
};
use reqwest::{RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Client of one instance's operators' listener; never retries.
#[derive(Clone, Debug)]
pub struct Operator {
    client: reqwest::Client,
    at: SocketAddr,
    token: String,
}

/// Result of an apply.
#[derive(Clone, Debug)]
pub enum Applied {
    /// The commit was confirmed.
    Committed(ApplyReply),
    /// The apply was refused or its result is unknown to the instance.
    Refused(ApplyRefused),
    /// No valid answer was received; the change may have been committed.
    Lost(String),
}

impl Operator {
    /// Returns a client that authenticates with the operators' token.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP client can't be built.
    pub fn open(at: SocketAddr, token: &str) -> Result<Self> {
        let client = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(0)
            .build()?;
        Ok(Self {
            client,
            at,
            token: token.to_owned(),
        })
    }

    /// Returns the difference between a schema text and the schema in force.
    ///
    /// # Errors
    ///
    /// Fails if the plan is refused or no answer is received.
    pub async fn plan(&self, text: &str) -> Result<PlanReply> {
        let body = PlanRequest {
            text: text.to_owned(),
        };
        read(self.post("plan").json(&body)).await
    }

    /// Commits a schema text on top of revision `base`.
    pub async fn apply(&self, text: &str, base: u64, change: &str) -> Applied {
        let body = ApplyRequest {
            text: text.to_owned(),
            base,
            change: change.into(),
            operator: "testkit".into(),
        };
        match self.post("apply").json(&body).send().await {
            Ok(answer) => applied(answer).await,
            Err(err) => Applied::Lost(err.to_string()),
        }
    }

    /// Returns the status: which revision is in force on which instance.
    ///
    /// # Errors
    ///
    /// Fails if no answer is received.
    pub async fn status(&self) -> Result<StatusReply> {
        read(self.get("status")).await
    }

    /// Returns the latest commits.
    ///
    /// # Errors
    ///
    /// Fails if no answer is received.
    pub async fn history(&self) -> Result<HistoryReply> {
        read(self.get("history")).await
    }

    /// Returns the schema in force.
    ///
    /// # Errors
    ///
    /// Fails if no schema is in force or no answer is received.
    pub async fn schema(&self) -> Result<SchemaReply> {
        read(self.get("schema")).await
    }

    /// Returns the record of a request.
    ///
    /// # Errors
    ///
    /// Fails if the request is unknown or no answer is received.
    pub async fn request(&self, id: &Name) -> Result<RequestRecord> {
        read(self.get(&format!("requests/{id}"))).await
    }

    /// Returns the state of the instance, with one field per plug-in.
    ///
    /// # Errors
    ///
    /// Fails if no answer is received.
    pub async fn dump(&self) -> Result<serde_json::Value> {
        read(self.get("dump")).await
    }

    /// Returns the text of the instance's `/metrics`.
    ///
    /// # Errors
    ///
    /// Fails if no answer is received.
    pub async fn metrics(&self) -> Result<String> {
        let url = format!("http://{}/metrics", self.at);
        let answer = self.client.get(url).bearer_auth(&self.token).send().await?;
        Ok(answer.error_for_status()?.text().await?)
    }

    /// Returns whether the instance answers its operators.
    pub async fn answers(&self) -> bool {
        let result = self.get("dump").send().await;
        result.is_ok_and(|answer| answer.status().is_success())
    }

    fn get(&self, path: &str) -> RequestBuilder {
        let url = format!("http://{}/operator/{path}", self.at);
        self.client.get(url).bearer_auth(&self.token)
    }

    fn post(&self, path: &str) -> RequestBuilder {
        let url = format!("http://{}/operator/{path}", self.at);
        self.client.post(url).bearer_auth(&self.token)
    }
}

async fn read<T: DeserializeOwned>(req: RequestBuilder) -> Result<T> {
    let answer = req.send().await?;
    let status = answer.status();
    if status.is_success() {
        return Ok(answer.json().await?);
    }
    let text = answer.text().await.unwrap_or_default();
    Err(Error::Other(format!("{status}: {text}")))
}

async fn applied(answer: Response) -> Applied {
    if answer.status().is_success() {
        return match answer.json().await {
            Ok(reply) => Applied::Committed(reply),
            Err(err) => Applied::Lost(err.to_string()),
        };
    }
    match answer.json().await {
        Ok(refused) => Applied::Refused(refused),
        Err(err) => Applied::Lost(err.to_string()),
    }
}
