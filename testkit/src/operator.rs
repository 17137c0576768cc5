//! An operator's client, for tests that need more than `jwctl` prints.

use std::net::SocketAddr;

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, HistoryReply, PlanReply, PlanRequest, RequestRecord,
    SchemaReply, StatusReply,
};
use reqwest::{RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Client of one instance's operators' listener. It repeats nothing by itself.
#[derive(Clone, Debug)]
pub struct Operator {
    client: reqwest::Client,
    at: SocketAddr,
    token: String,
}

/// Answer to an apply.
#[derive(Clone, Debug)]
pub enum Applied {
    /// The commit is confirmed.
    Committed(ApplyReply),
    /// It was refused, or is not known.
    Refused(ApplyRefused),
    /// No answer came: it may have been committed.
    Lost(String),
}

impl Operator {
    /// A client with the operators' token.
    ///
    /// # Errors
    ///
    /// Where no HTTP client can be made.
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

    /// Difference of a schema text against what is in force.
    ///
    /// # Errors
    ///
    /// Where it is refused or no answer comes.
    pub async fn plan(&self, text: &str) -> Result<PlanReply> {
        let body = PlanRequest {
            text: text.to_owned(),
        };
        read(self.post("plan").json(&body)).await
    }

    /// Commits a schema text over revision `base`.
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

    /// What is in force where.
    ///
    /// # Errors
    ///
    /// Where no answer comes.
    pub async fn status(&self) -> Result<StatusReply> {
        read(self.get("status")).await
    }

    /// Latest commits.
    ///
    /// # Errors
    ///
    /// Where no answer comes.
    pub async fn history(&self) -> Result<HistoryReply> {
        read(self.get("history")).await
    }

    /// The schema in force.
    ///
    /// # Errors
    ///
    /// Where there is none or no answer comes.
    pub async fn schema(&self) -> Result<SchemaReply> {
        read(self.get("schema")).await
    }

    /// What happened to a request.
    ///
    /// # Errors
    ///
    /// Where it isn't known or no answer comes.
    pub async fn request(&self, id: &Name) -> Result<RequestRecord> {
        read(self.get(&format!("requests/{id}"))).await
    }

    /// State of the instance, a field a plug-in.
    ///
    /// # Errors
    ///
    /// Where no answer comes.
    pub async fn dump(&self) -> Result<serde_json::Value> {
        read(self.get("dump")).await
    }

    /// Metrics, as the instance's `/metrics` gives them.
    ///
    /// # Errors
    ///
    /// Where no answer comes.
    pub async fn metrics(&self) -> Result<String> {
        let url = format!("http://{}/metrics", self.at);
        let answer = self.client.get(url).bearer_auth(&self.token).send().await?;
        Ok(answer.error_for_status()?.text().await?)
    }

    /// Whether the instance answers its operators.
    pub async fn answers(&self) -> bool {
        let asked = self.get("dump").send().await;
        asked.is_ok_and(|answer| answer.status().is_success())
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
