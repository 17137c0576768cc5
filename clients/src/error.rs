//! Errors of the clients, classified by what is known about the effect of the call.

use derive_more::{Display, Error};

use crate::buffers::CollectError;
use crate::direct::DirectError;

/// Failure of a call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClientError {
    /// The call had no effect: no byte of it was sent, or the server reported that it did nothing.
    #[display("no effect: {cause}")]
    NoEffect {
        /// Cause.
        cause: String,
    },
    /// The connection failed or timed out: the call may have taken effect or may still do so.
    #[display("effect unknown: {cause}")]
    Unknown {
        /// Cause.
        cause: String,
    },
    /// The answer of the server violates the protocol.
    #[display("bad answer: {cause}")]
    BadAnswer {
        /// Cause.
        cause: String,
    },
}

impl ClientError {
    /// Returns whether the call is known to have had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        matches!(self, ClientError::NoEffect { .. })
    }

    pub(crate) fn bad_answer(cause: impl std::fmt::Display) -> ClientError {
        ClientError::BadAnswer {
            cause: cause.to_string(),
        }
    }
}

impl From<reqwest::Error> for ClientError {
    fn from(e: reqwest::Error) -> Self {
        let cause = error_chain(&e);
        if e.is_builder() || (e.is_connect() && was_refused(&e)) {
            return ClientError::NoEffect { cause };
        }
        if e.is_decode() && !e.is_timeout() && !e.is_body() {
            return ClientError::BadAnswer { cause };
        }
        ClientError::Unknown { cause }
    }
}

impl From<DirectError> for ClientError {
    fn from(e: DirectError) -> Self {
        let cause = e.to_string();
        match e {
            DirectError::Refused => ClientError::NoEffect { cause },
            DirectError::Unreached { .. } | DirectError::TimedOut | DirectError::Unknown { .. } => {
                ClientError::Unknown { cause }
            }
        }
    }
}

impl From<CollectError> for ClientError {
    fn from(e: CollectError) -> Self {
        let cause = e.to_string();
        match e {
            CollectError::TooLong => ClientError::BadAnswer { cause },
            CollectError::NoBuffer(_) | CollectError::Unreadable(_) => {
                ClientError::Unknown { cause }
            }
        }
    }
}

/// Returns whether the server's kernel refused the connection. Any other connect error (time-out,
/// reset) does not prove that nothing was sent.
fn was_refused(e: &reqwest::Error) -> bool {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(e);
    while let Some(s) = source {
        if let Some(io) = s.downcast_ref::<std::io::Error>() {
            return io.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        source = s.source();
    }
    false
}

fn error_chain(e: &reqwest::Error) -> String {
    let mut text = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(s) = source {
        text.push_str(": ");
        text.push_str(&s.to_string());
        source = s.source();
    }
    text
}
