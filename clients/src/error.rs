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
