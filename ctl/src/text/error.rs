//! Formats errors, with advice on how to proceed.

use jacinthweir_wire::operator::{ApplyRefused, Fault};
use serde_json::json;

use crate::error::CtlError;
use crate::exit;

/// Formats an error as text or as JSON.
#[must_use]
pub fn error(e: &CtlError, as_json: bool) -> String {
    if as_json {
        return format!(
            "{}\n",
            json!({ "error": explain(e), "exit": exit::number(e), "refused": refusal(e) })
        );
    }
    format!("jwctl: {}\n", explain(e))
}

fn refusal(e: &CtlError) -> Option<&ApplyRefused> {
    match e {
        CtlError::Refused(refused) => Some(refused),
        _ => None,
    }
}

fn explain(e: &CtlError) -> String {
    match e {
        CtlError::InvalidSchema { path, faults } => fault_list(path, faults),
        CtlError::Refused(refused) => explain_refusal(refused),
        CtlError::NoAnswer {
            change: Some(change),
            ..
        } => {
            format!(
                "{e}\nwhether it is committed is not known; ask again: {}",
                retry_hint(change)
            )
        }
        _ => e.to_string(),
    }
}

fn explain_refusal(refused: &ApplyRefused) -> String {
    match refused {
        ApplyRefused::Invalid { faults } => fault_list("the schema", faults),
        ApplyRefused::Conflict { standing, changes } => {
            let mut text = format!(
                "conflict: revision {standing} was committed first; nothing of yours was. It has:"
            );
            for change in changes {
                text.push_str(&format!("\n  {change}"));
            }
            text + "\nplan again against it"
        }
        ApplyRefused::ChangeReused { revision } => format!(
            "this change id made revision {revision} with another schema; nothing was committed"
        ),
        ApplyRefused::WentBack { standing, accepted } => format!(
            "the platform shows revision {standing}, but {accepted} was accepted and is being \
             written back; nothing was committed. Try again in some seconds"
        ),
        ApplyRefused::PlatformDown { cause } => {
            format!("the platform can't be reached, nothing was committed: {cause}")
        }
        ApplyRefused::Unconfirmed { change } => format!(
            "the commit was sent, but the platform does not tell whether it stands. Ask again: {}",
            retry_hint(change)
        ),
    }
}

fn retry_hint(change: &str) -> String {
    format!("the same apply with --change {change}")
}

fn fault_list(what: &str, faults: &[Fault]) -> String {
    let mut text = format!("{what}: {} faults", faults.len());
    for fault in faults {
        text.push_str(&format!("\n  {fault}"));
    }
    text
}
