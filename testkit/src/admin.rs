//! Clients of the stand-ins' admin interfaces.

use std::net::SocketAddr;

use jacinthweir_wire::platform::Object;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::platform::admin::{Counts, InstancesChange};
use crate::platform::fault::Fault;
use crate::platform::rate::Rates;
use crate::runner::execution_log::ExecutionLog;
use crate::runner::overrides::Overrides as RunnerOverrides;
use crate::service::{Knobs as ServiceKnobs, RanCall};
use crate::{Error, Result};

/// Client of a stand-in platform's admin interface.
#[derive(Clone, Debug)]
pub struct PlatformAdmin(Admin);

/// Client of a stand-in runner's admin interface.
#[derive(Clone, Debug)]
pub struct RunnerAdmin(Admin);

/// Client of a stand-in service's admin interface.
#[derive(Clone, Debug)]
pub struct ServiceAdmin(Admin);

#[derive(Clone, Debug)]
struct Admin {
    client: reqwest::Client,
    address: SocketAddr,
}

impl Admin {
    async fn post(&self, path: &str, body: &impl Serialize) -> Result<()> {
        let url = format!("http://{}/admin/{path}", self.address);
        let answer = self.client.post(url).json(body).send().await?;
        if !answer.status().is_success() {
            let status = answer.status();
            let text = answer.text().await.unwrap_or_default();
            return Err(Error::Other(format!("admin {path}: {status} {text}")));
        }
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("http://{}/admin/{path}", self.address);
        let answer = self.client.get(url).send().await?;
        Ok(answer.error_for_status()?.json().await?)
    }
}

impl PlatformAdmin {
    /// Returns a client of the platform at `address`.
    #[must_use]
    pub fn new(client: reqwest::Client, address: SocketAddr) -> Self {
        Self(Admin { client, address })
    }

    /// Changes the listed instances.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn instances(&self, change: &InstancesChange) -> Result<()> {
        self.0.post("instances", change).await
    }

    /// Sets the fault injected into subsequent calls.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn fault(&self, fault: &Fault) -> Result<()> {
        self.0.post("fault", fault).await
    }

    /// Sets the rate limits.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn rates(&self, rates: &Rates) -> Result<()> {
        self.0.post("rates", rates).await
    }

    /// Takes a snapshot of all objects.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn snapshot(&self) -> Result<()> {
        self.0.post("snapshot", &()).await
    }

    /// Restores the snapshot.
    ///
    /// # Errors
    ///
    /// Fails if no snapshot was taken or the call fails.
    pub async fn restore(&self) -> Result<()> {
        self.0.post("restore", &()).await
    }

    /// Returns the call counters.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn counts(&self) -> Result<Counts> {
        self.0.get("counts").await
    }

    /// Returns all objects.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn objects(&self) -> Result<Vec<Object>> {
        self.0.get("objects").await
    }
}

impl RunnerAdmin {
    /// Returns a client of the runner at `address`.
    #[must_use]
    pub fn new(client: reqwest::Client, address: SocketAddr) -> Self {
        Self(Admin { client, address })
    }

    /// Sets its behaviour.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn set(&self, knobs: &RunnerOverrides) -> Result<()> {
        self.0.post("set", knobs).await
    }

    /// Returns the record of attempts that were received and run.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn witness(&self) -> Result<ExecutionLog> {
        self.0.get("ran").await
    }

    /// Returns that record and clears it.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn take_witness(&self) -> Result<ExecutionLog> {
        self.0.get("ran?take=true").await
    }
}

impl ServiceAdmin {
    /// Returns a client of the service at `address`.
    #[must_use]
    pub fn new(client: reqwest::Client, address: SocketAddr) -> Self {
        Self(Admin { client, address })
    }

    /// Sets its behaviour.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn set(&self, knobs: &ServiceKnobs) -> Result<()> {
        self.0.post("set", knobs).await
    }

    /// Returns the calls that ran, oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the call fails.
    pub async fn ran(&self) -> Result<Vec<RanCall>> {
        self.0.get("ran").await
    }
}
