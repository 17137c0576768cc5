//! Exit codes.

use std::process::ExitCode;

use crate::error::CtlError;

/// Refused: nothing was changed.
pub const REFUSED: u8 = 1;
/// Wrong use: command line, file or token.
pub const WRONG_USE: u8 = 2;
/// Not known: no answer, or a commit that is not confirmed.
pub const NOT_KNOWN: u8 = 3;

/// The exit code of an error.
#[must_use]
pub fn code(e: &CtlError) -> ExitCode {
    ExitCode::from(number(e))
}

/// The exit code of an error, as a number.
#[must_use]
pub fn number(e: &CtlError) -> u8 {
    use jacinthweir_wire::operator::ApplyRefused;
    match e {
        CtlError::Usage { .. } | CtlError::File { .. } | CtlError::Unauthorized => WRONG_USE,
        CtlError::Refused(ApplyRefused::Unconfirmed { .. }) => NOT_KNOWN,
        CtlError::Faults { .. } | CtlError::Refused(_) | CtlError::Absent { .. } => REFUSED,
        CtlError::NoEffect { .. } => REFUSED,
        CtlError::NoAnswer { .. } | CtlError::NotEverywhere { .. } => NOT_KNOWN,
    }
}
