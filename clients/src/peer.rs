//! Client of other instances, as documented in [`jacinthweir_wire::peer`]. Bodies are MessagePack.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{HeaderValue, Method, StatusCode};
use jacinthweir_wire::operator::RequestRecord;
use jacinthweir_wire::peer::{Head, MemberRecord};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::pooled::{self, Answer, PooledClient};
use crate::{ClientError, Target};

/// Client of other instances.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: PooledClient,
    token: String,
    timeout: Duration,
}

impl PeerClient {
    /// Creates a client that sends `token` as a bearer token and ends each call within `timeout`.
    #[must_use]
    pub fn open(token: String, timeout: Duration) -> PeerClient {
        let client = PooledClient::open();
        PeerClient {
            client,
            token,
            timeout,
        }
    }

    /// Posts `msg` to `path` of `peer` and reads the answer.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn post<Q, A>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        msg: &Q,
    ) -> Result<A, ClientError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = rmp_serde::to_vec_named(msg).map_err(ClientError::bad_answer)?;
        let target = Target::new(path);
        let answer = self.send(Method::POST, peer, &target, body.into()).await?;
        if answer.status != StatusCode::OK {
            let status = answer.status;
            return Err(ClientError::bad_answer(format!("{peer} answered {status}")));
        }
        let bytes = answer.read_whole().await?;
        rmp_serde::from_slice(&bytes).map_err(ClientError::bad_answer)
    }

    /// Fetches a part of the configuration by its hash, or `None` if the peer does not have it.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn part(&self, peer: SocketAddr, hash: &str) -> Result<Option<Bytes>, ClientError> {
        let target = Target::new("/peer/parts").segment(hash);
        self.fetch(peer, &target).await
    }

    /// Fetches the head of the configuration in force on `peer`, or `None` if it has none.
    ///
    /// # Errors
    /// See [`ClientError`].
    pub async fn head(&self, peer: SocketAddr) -> Result<Option<Head>, ClientError> {
        let Some(bytes) = self.fetch(peer, &Target::new("/peer/head")).await? else {
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
        let target = Target::new("/peer/requests").segment(id);
        let Some(bytes) = self.fetch(peer, &target).await? else {
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
        let bytes = self.fetch(peer, &Target::new("/peer/self")).await?;
        let bytes = bytes.ok_or_else(|| ClientError::bad_answer("no such path"))?;
        rmp_serde::from_slice(&bytes).map_err(ClientError::bad_answer)
    }

    async fn send(
        &self,
        method: Method,
        peer: SocketAddr,
        target: &Target,
        body: Bytes,
    ) -> Result<Answer, ClientError> {
        let mut req = pooled::request(method, peer, target, body)?;
        let token = HeaderValue::from_str(&format!("Bearer {}", self.token));
        let mut token = token.map_err(pooled::no_effect)?;
        token.set_sensitive(true);
        req.headers_mut().insert(AUTHORIZATION, token);
        self.client.send(req, self.timeout).await
    }

    async fn fetch(&self, peer: SocketAddr, target: &Target) -> Result<Option<Bytes>, ClientError> {
        let answer = self.send(Method::GET, peer, target, Bytes::new()).await?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.read_whole().await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(ClientError::bad_answer(format!("peer answered {status}"))),
        }
    }
}
