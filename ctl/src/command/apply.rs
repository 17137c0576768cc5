//! `jwctl apply`: commits a schema.
//!
//! The change id is an idempotency key. It is generated and printed before anything is sent, and an
//! apply with the same change id commits at most once, whatever happens to the response. An apply
//! without a response is therefore retried once here; further retries are left to the operator.

use std::time::{Duration, Instant};

use jacinthweir_policy::member::Phase;
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, InstanceStatus, StatusReply,
};

use super::{read_schema, request_plan, to_json};
use crate::args::{Apply, Args};
use crate::client::Client;
use crate::error::CtlError;
use crate::text;

/// Maximum number of attempts to send an apply, all with the same change id.
const MAX_ATTEMPTS: u32 = 2;
/// Interval between status polls while waiting for the revision to be in force.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(super) async fn run(args: &Args, client: &Client, apply: &Apply) -> Result<String, CtlError> {
    let text = read_schema(&apply.file)?.text;
    let mut output = String::new();
    let base = match apply.base {
        Some(base) => base,
        None => {
            let plan = request_plan(client, text.clone()).await?;
            if !args.json {
                output.push_str(&text::plan(&plan));
            }
            plan.base
        }
    };
    let change = apply
        .change
        .clone()
        .unwrap_or_else(|| uuid::Uuid::now_v7().to_string());
    eprintln!("change {change}");
    let operator = operator_name(args);
    let req = ApplyRequest {
        text,
        base,
        change: change.into(),
        operator: operator.into(),
    };
    let reply = apply_with_retry(client, &req).await?;
    if apply.wait {
        wait_until_in_force(args, client, reply.revision).await?;
    }
    output.push_str(&if args.json {
        to_json(&reply)
    } else {
        text::applied(&reply, apply.wait)
    });
    Ok(output)
}

fn operator_name(args: &Args) -> String {
    let from_env = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    args.operator
        .clone()
        .or_else(from_env)
        .unwrap_or_else(|| "unknown".to_owned())
}

/// Sends an apply and retries it with the same change id if the outcome is unknown.
///
/// An attempt without a response may have committed. If a later attempt cannot connect, the error
/// of the earlier attempt is returned, because the outcome is still unknown.
async fn apply_with_retry(client: &Client, req: &ApplyRequest) -> Result<ApplyReply, CtlError> {
    let mut unknown_outcome = None;
    for _ in 0..MAX_ATTEMPTS {
        match client.post("/operator/apply", req).await {
            Err(CtlError::NoAnswer { server, cause, .. }) => {
                let change = Some(req.change.to_string());
                unknown_outcome = Some(CtlError::NoAnswer {
                    server,
                    cause,
                    change,
                });
            }
            Err(e @ CtlError::Refused(ApplyRefused::Unconfirmed { .. })) => {
                unknown_outcome = Some(e);
            }
            Err(e @ CtlError::NotConnected { .. }) => return Err(unknown_outcome.unwrap_or(e)),
            result => return result,
        }
    }
    Err(unknown_outcome.unwrap_or(CtlError::Usage {
        message: "nothing was asked".to_owned(),
    }))
}

/// Polls until the revision, or a later one, is in force on every live instance.
async fn wait_until_in_force(args: &Args, client: &Client, revision: u64) -> Result<(), CtlError> {
    let deadline = Instant::now() + Duration::from_secs(args.timeout);
    loop {
        let lagging = match client.get::<StatusReply>("/operator/status").await {
            Ok(status) => lagging_instances(&status, revision),
            Err(e) => vec![e.to_string()],
        };
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CtlError::RolloutIncomplete { revision, lagging });
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
}

/// Returns the names of the live instances on which the revision is not yet in force.
fn lagging_instances(status: &StatusReply, revision: u64) -> Vec<String> {
    let live = |i: &&InstanceStatus| !i.suspected && i.member.phase < Phase::Draining;
    let behind = status
        .instances
        .iter()
        .filter(live)
        .filter(|i| i.member.revision < revision);
    behind.map(|i| i.member.name.to_string()).collect()
}
