//! HTTP client for the operators' listener of one instance. It never retries a call.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jacinthweir_wire::operator::ApplyRefused;
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::args::Args;
use crate::error::CtlError;

/// Environment variable that holds the server's address.
const SERVER_VARIABLE: &str = "JWCTL_SERVER";
/// Environment variable that holds the operators' token.
const TOKEN_VARIABLE: &str = "JWCTL_TOKEN";
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A client for the operators' listener of one instance.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    server: SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client for the server given on the command line or in the environment.
    ///
    /// # Errors
    /// Fails if no server or token is given, or if the token file cannot be read.
    pub fn from_args(args: &Args) -> Result<Client, CtlError> {
        // A relay's operators' listener is read-only and requires no token.
        let token = match args.command.reads_relay() {
            true => String::new(),
            false => read_token(args.token_file.as_deref())?,
        };
        let server = match args.command.relay_address().or(args.server) {
            Some(server) => server,
            None => server_from_env()?,
        };
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(Duration::from_secs(args.timeout))
            .build();
        let http = http.map_err(|e| usage_error(&e.to_string()))?;
        Ok(Client {
            http,
            server,
            token,
        })
    }

    /// Returns a client with the same settings for another instance.
    #[must_use]
    pub fn with_server(&self, server: SocketAddr) -> Client {
        Client {
            http: self.http.clone(),
            server,
            token: self.token.clone(),
        }
    }

    /// Returns the address of the server that the client calls.
    #[must_use]
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Sends a GET request with an additional header if `value` is given.
    ///
    /// # Errors
    /// See [`CtlError`].
    pub async fn get_with_header<A: DeserializeOwned>(
        &self,
        path: &str,
        header: &str,
        value: Option<&str>,
    ) -> Result<A, CtlError> {
        let req = self.request(Method::GET, path);
        match value {
            Some(value) => self.send(req.header(header, value)).await,
            None => self.send(req).await,
        }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// See [`CtlError`].
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CtlError> {
        self.send(self.request(Method::GET, path)).await
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// See [`CtlError`].
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        msg: &Q,
    ) -> Result<A, CtlError> {
        self.send(self.request(Method::POST, path).json(msg)).await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.server);
        self.http.request(method, url).bearer_auth(&self.token)
    }

    async fn send<A: DeserializeOwned>(&self, req: RequestBuilder) -> Result<A, CtlError> {
        let res = req.send().await.map_err(|e| self.transport_error(&e))?;
        match res.status() {
            StatusCode::OK => res.json().await.map_err(|e| self.no_answer(&e.to_string())),
            StatusCode::UNAUTHORIZED => Err(CtlError::Unauthorized),
            status => Err(self.error_from_response(status, res).await),
        }
    }

    async fn error_from_response(&self, status: StatusCode, res: Response) -> CtlError {
        let text = res.text().await.unwrap_or_default();
        if let Ok(refused) = serde_json::from_str::<ApplyRefused>(&text) {
            return CtlError::Refused(refused);
        }
        let body: Option<jacinthweir_wire::caller::ErrorBody> = serde_json::from_str(&text).ok();
        match body {
            Some(body) if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                CtlError::NotAvailable {
                    message: body.error.message,
                }
            }
            _ => self.no_answer(&format!("status {status}")),
        }
    }

    /// Classifies a transport error. If the connection was not established, the call had no effect;
    /// after any later failure it is unknown whether the call had an effect.
    fn transport_error(&self, e: &reqwest::Error) -> CtlError {
        let mut cause = e.to_string();
        let mut source = std::error::Error::source(e);
        while let Some(e) = source {
            cause = e.to_string();
            source = e.source();
        }
        if e.is_connect() {
            return CtlError::NotConnected {
                server: self.server.to_string(),
                cause,
            };
        }
        let cause = if e.is_timeout() {
            "the time is over".to_owned()
        } else {
            cause
        };
        self.no_answer(&cause)
    }

    fn no_answer(&self, cause: &str) -> CtlError {
        CtlError::NoAnswer {
            server: self.server.to_string(),
            cause: cause.to_owned(),
            change: None,
        }
    }
}

fn server_from_env() -> Result<SocketAddr, CtlError> {
    let value = std::env::var(SERVER_VARIABLE)
        .map_err(|_| usage_error("no server: give --server ADDRESS or set JWCTL_SERVER"))?;
    let parsed = value.parse();
    parsed.map_err(|_| {
        usage_error(&format!(
            "{SERVER_VARIABLE}: `{value}` is not an address with a port"
        ))
    })
}

fn read_token(file: Option<&Path>) -> Result<String, CtlError> {
    let Some(file) = file else {
        let missing = "no token: give --token-file FILE or set JWCTL_TOKEN";
        return std::env::var(TOKEN_VARIABLE).map_err(|_| usage_error(missing));
    };
    let text = std::fs::read_to_string(file).map_err(|e| CtlError::File {
        path: file.display().to_string(),
        cause: e.to_string(),
    })?;
    Ok(text.trim().to_owned())
}

fn usage_error(message: &str) -> CtlError {
    CtlError::Usage {
        message: message.to_owned(),
    }
}
