//! Client of other instances, as documented in [`jacinthweir_wire::peer`]. Bodies are MessagePack.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jacinthweir_wire::operator::RequestRecord;
use jacinthweir_wire::peer::{Head, MemberRecord};
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ClientError;

/// Client of other instances.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: reqwest::Client,
    token: String,
    timeout: Duration,
}

impl PeerClient {
    /// Creates a client that sends `token` as a bearer token and ends each call within `timeout`.
    ///
    /// # Errors
    /// Returns an error if the HTTP client cannot be built.
    pub fn open(token: String, timeout: Duration) -> Result<PeerClient, ClientError> {
        let client = crate::pooled()?;
        Ok(PeerClient {
            client,
            token,
            timeout,
        })
    }

    /// Posts `msg` to `path` of `peer` and reads the answer.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn post<Q, A>(&self, peer: SocketAddr, path: &str, msg: &Q) -> Result<A, ClientError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = rmp_serde::to_vec_named(msg).map_err(ClientError::bad_answer)?;
        let url = format!("http://{peer}{path}");
        let req = self.client.post(url).bearer_auth(&self.token).body(body);
        let res = req.timeout(self.timeout).send().await?;
        if res.status() != StatusCode::OK {
            return Err(ClientError::bad_answer(format!(
                "{peer} answered {}",
                res.status()
            )));
        }
        let bytes = crate::read_whole(res).await?;
        rmp_serde::from_slice(&bytes).map_err(ClientError::bad_answer)
    }

    /// Fetches a part of the configuration by its hash, or `None` if the peer does not have it.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn part(&self, peer: SocketAddr, hash: &str) -> Result<Option<Bytes>, ClientError> {
        self.fetch(format!("http://{peer}/peer/parts/{hash}")).await
    }

    /// Fetches the head of the configuration in force on `peer`, or `None` if it has none.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn head(&self, peer: SocketAddr) -> Result<Option<Head>, ClientError> {
        let Some(bytes) = self.fetch(format!("http://{peer}/peer/head")).await? else {
            return Ok(None);
        };
        let head = rmp_serde::from_slice(&bytes).map_err(ClientError::bad_answer)?;
        Ok(Some(head))
    }

    /// Fetches the record of a request that `peer` served, or `None` if it does not know the
    /// request.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn request(
        &self,
        peer: SocketAddr,
        id: &str,
    ) -> Result<Option<RequestRecord>, ClientError> {
        let bytes = self
            .fetch(format!("http://{peer}/peer/requests/{id}"))
            .await?;
        let Some(bytes) = bytes else {
            return Ok(None);
        };
        let record = rmp_serde::from_slice(&bytes).map_err(ClientError::bad_answer)?;
        Ok(Some(record))
    }

    /// Fetches the member record of `peer` itself.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn own_record(&self, peer: SocketAddr) -> Result<MemberRecord, ClientError> {
        let bytes = self.fetch(format!("http://{peer}/peer/self")).await?;
        let bytes = bytes.ok_or_else(|| ClientError::bad_answer("no such path"))?;
        rmp_serde::from_slice(&bytes).map_err(ClientError::bad_answer)
    }

    async fn fetch(&self, url: String) -> Result<Option<Bytes>, ClientError> {
        let req = self.client.get(url).bearer_auth(&self.token);
        let res = req.timeout(self.timeout).send().await?;
        match res.status() {
            StatusCode::OK => Ok(Some(crate::read_whole(res).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(ClientError::bad_answer(format!("peer answered {status}"))),
        }
    }
}
