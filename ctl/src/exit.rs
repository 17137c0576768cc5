//! Exit codes.

use std::process::ExitCode;

use crate::error::CtlError;

/// The command was refused and changed nothing.
pub const REFUSED: u8 = 1;
/// The command line, a file or the token is invalid.
pub const USAGE_ERROR: u8 = 2;
/// The outcome is unknown: no response, or a commit that is not confirmed or not in force on every
/// live instance.
pub const UNKNOWN_OUTCOME: u8 = 3;

/// Returns the process exit code for an error.
#[must_use]
pub fn code(e: &CtlError) -> ExitCode {
    ExitCode::from(number(e))
}

/// Returns the numeric exit code for an error.
#[must_use]
pub fn number(e: &CtlError) -> u8 {
    use jacinthweir_wire::operator::ApplyRefused;
    match e {
        CtlError::Usage { .. } | CtlError::File { .. } | CtlError::Unauthorized => USAGE_ERROR,
        CtlError::Refused(ApplyRefused::Unconfirmed { .. }) => UNKNOWN_OUTCOME,
        CtlError::InvalidSchema { .. } | CtlError::Refused(_) | CtlError::NotAvailable { .. } => {
            REFUSED
        }
        CtlError::NotConnected { .. } => REFUSED,
        CtlError::NoAnswer { .. } | CtlError::RolloutIncomplete { .. } => UNKNOWN_OUTCOME,
    }
}
