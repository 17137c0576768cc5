//! Calls to one instance. None is ever repeated here.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jacinthweir_wire::operator::ApplyRefused;
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::args::{Args, Command};
use crate::error::CtlError;

/// Environment variable with the server's address.
const SERVER_VARIABLE: &str = "JWCTL_SERVER";
/// Environment variable with the operators' token.
const TOKEN_VARIABLE: &str = "JWCTL_TOKEN";
/// Time a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// A client of one instance's operators' listener.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    server: SocketAddr,
    token: String,
}

impl Client {
    /// A client of the server that the command line or the environment names.
    ///
    /// # Errors
    /// No server or token is given, or the token cannot be read.
    pub fn open(args: &Args) -> Result<Client, CtlError> {
        // A relay's operators' listener shows state only and asks for no token.
        let token = match args.command {
            Command::Relay(_) => String::new(),
            _ => token(args.token_file.as_deref())?,
        };
        let named = match &args.command {
            Command::Relay(relay) => relay.address.or(args.server),
            _ => args.server,
        };
        let server = match named {
            Some(server) => server,
            None => server_of_environment()?,
        };
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(Duration::from_secs(args.timeout))
            .build();
        let http = http.map_err(|e| usage(&e.to_string()))?;
        Ok(Client {
            http,
            server,
            token,
        })
    }

    /// The same client towards another instance.
    #[must_use]
    pub fn towards(&self, server: SocketAddr) -> Client {
        Client {
            http: self.http.clone(),
            server,
            token: self.token.clone(),
        }
    }

    /// The server's address.
    #[must_use]
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Reads something with one more header, where it has a value.
    ///
    /// # Errors
    /// See [`CtlError`].
    pub async fn get_with<A: DeserializeOwned>(
        &self,
        path: &str,
        header: &str,
        value: Option<&str>,
    ) -> Result<A, CtlError> {
        let req = self.request(Method::GET, path);
        match value {
            Some(value) => self.answer(req.header(header, value)).await,
            None => self.answer(req).await,
        }
    }

    /// Reads something.
    ///
    /// # Errors
    /// See [`CtlError`].
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CtlError> {
        self.answer(self.request(Method::GET, path)).await
    }

    /// Calls with a message.
    ///
    /// # Errors
    /// See [`CtlError`].
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        msg: &Q,
    ) -> Result<A, CtlError> {
        self.answer(self.request(Method::POST, path).json(msg))
            .await
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.server);
        self.http.request(method, url).bearer_auth(&self.token)
    }

    async fn answer<A: DeserializeOwned>(&self, req: RequestBuilder) -> Result<A, CtlError> {
        let res = req.send().await.map_err(|e| self.failed(&e))?;
        match res.status() {
            StatusCode::OK => res.json().await.map_err(|e| self.no_answer(&e.to_string())),
            StatusCode::UNAUTHORIZED => Err(CtlError::Unauthorized),
            status => Err(self.refused(status, res).await),
        }
    }

    async fn refused(&self, status: StatusCode, res: Response) -> CtlError {
        let text = res.text().await.unwrap_or_default();
        if let Ok(refused) = serde_json::from_str::<ApplyRefused>(&text) {
            return CtlError::Refused(refused);
        }
        let body: Option<jacinthweir_wire::caller::ErrorBody> = serde_json::from_str(&text).ok();
        match body {
            Some(body) if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
                CtlError::Absent {
                    message: body.error.message,
                }
            }
            _ => self.no_answer(&format!("status {status}")),
        }
    }

    /// A connection that was not made carried no call. Whatever comes after leaves it open.
    fn failed(&self, e: &reqwest::Error) -> CtlError {
        let mut cause = e.to_string();
        let mut source = std::error::Error::source(e);
        while let Some(e) = source {
            cause = e.to_string();
            source = e.source();
        }
        if e.is_connect() {
            return CtlError::NoEffect {
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

fn server_of_environment() -> Result<SocketAddr, CtlError> {
    let value = std::env::var(SERVER_VARIABLE)
        .map_err(|_| usage("no server: give --server ADDRESS or set JWCTL_SERVER"))?;
    let parsed = value.parse();
    parsed.map_err(|_| {
        usage(&format!(
            "{SERVER_VARIABLE}: `{value}` is not an address with a port"
        ))
    })
}

fn token(file: Option<&Path>) -> Result<String, CtlError> {
    let Some(file) = file else {
        let missing = "no token: give --token-file FILE or set JWCTL_TOKEN";
        return std::env::var(TOKEN_VARIABLE).map_err(|_| usage(missing));
    };
    let text = std::fs::read_to_string(file).map_err(|e| CtlError::File {
        path: file.display().to_string(),
        cause: e.to_string(),
    })?;
    Ok(text.trim().to_owned())
}

fn usage(message: &str) -> CtlError {
    CtlError::Usage {
        message: message.to_owned(),
    }
}
