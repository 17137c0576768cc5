//! Errors of the clients, by what is known of the call's effect.

use derive_more::{Display, Error};

/// A call failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the call left this instance, or the server said that it did nothing: the call
    /// had no effect.
    #[display("no effect: {cause}")]
    NoEffect {
        /// Cause.
        cause: String,
    },
    /// The connection broke or timed out: the call may have had its effect, or have it later.
    #[display("effect unknown: {cause}")]
    Unknown {
        /// Cause.
        cause: String,
    },
    /// The server answered something that its protocol does not allow.
    #[display("bad answer: {cause}")]
    BadAnswer {
        /// Cause.
        cause: String,
    },
}

impl ClientError {
    /// Whether the call certainly had no effect.
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
        let cause = chain(&e);
        if e.is_builder() || (e.is_connect() && was_refused(&e)) {
            return ClientError::NoEffect { cause };
        }
        if e.is_decode() && !e.is_timeout() && !e.is_body() {
            return ClientError::BadAnswer { cause };
        }
        ClientError::Unknown { cause }
    }
}

/// Whether the peer's kernel refused the connection. Any other connect error (time-out, reset)
/// leaves its result unknown and is not taken as proof that nothing was sent.
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

fn chain(e: &reqwest::Error) -> String {
    let mut text = e.to_string();
    let mut source = std::error::Error::source(e);
    while let Some(s) = source {
        text.push_str(": ");
        text.push_str(&s.to_string());
        source = s.source();
    }
    text
}
