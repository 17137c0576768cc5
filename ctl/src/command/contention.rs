//! `jwctl shares`, `jwctl demand` and `jwctl overload`: the state of contention control at a relay.

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::relay::{ContentionDump, DUMP_PATH, RelayDump};
use serde::Serialize;

use crate::client::Client;
use crate::error::CtlError;

/// State of contention control as one instance sees it.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceContention {
    /// Name of the instance.
    pub instance: Name,
    /// State.
    #[serde(flatten)]
    pub contention: ContentionDump,
}

/// Queries the state of contention control.
///
/// # Errors
/// Fails if the instance does not answer, if its build does not have contention control, or if it
/// applies to no service; see [`CtlError`].
pub(super) async fn query(client: &Client) -> Result<InstanceContention, CtlError> {
    let dump: RelayDump = client.get(DUMP_PATH).await?;
    let server = client.server();
    let instance = dump.instance;
    let Some(contention) = dump.contention else {
        return Err(CtlError::NotAvailable {
            message: format!("{instance} at {server} runs a build without contention control"),
        });
    };
    if dump.version.is_none() {
        return Err(CtlError::NotAvailable {
            message: format!("{instance} at {server} has no configuration yet"),
        });
    }
    if !contention.services.iter().any(|s| s.status.state.applies()) {
        return Err(CtlError::NotAvailable {
            message: format!(
                "contention control applies to no service of {instance} at {server}: {}",
                reasons(&contention)
            ),
        });
    }
    Ok(InstanceContention {
        instance,
        contention,
    })
}

/// Returns for each service why contention control does not apply to it.
fn reasons(contention: &ContentionDump) -> String {
    if contention.services.is_empty() {
        return "no service has runners that hold layers".to_owned();
    }
    let services = contention.services.iter();
    let reasons: Vec<String> = services
        .map(|s| format!("{}: {}", s.service, s.status.state))
        .collect();
    reasons.join("; ")
}
