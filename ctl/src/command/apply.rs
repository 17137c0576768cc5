//! Applying a schema.
//!
//! The change id is chosen and shown before anything is sent. Whatever happens to the answer, the
//! same apply with the same id commits at most once, so an apply without an answer is asked again
//! once here, and after that by the operator.

use std::time::{Duration, Instant};

use jacinthweir_policy::member::Phase;
use jacinthweir_wire::operator::{
    ApplyRefused, ApplyReply, ApplyRequest, InstanceStatus, StatusReply,
};

use super::{json, plan_text, read_schema};
use crate::args::{Apply, Args};
use crate::client::Client;
use crate::error::CtlError;
use crate::text;

/// Times that an apply is asked, with the same change id.
const ASKS: u32 = 2;
/// Period of looking where the revision is in force.
const WAIT_PERIOD: Duration = Duration::from_millis(200);

pub(super) async fn run(args: &Args, client: &Client, apply: &Apply) -> Result<String, CtlError> {
    let text = read_schema(&apply.file)?.text;
    let mut output = String::new();
    let base = match apply.base {
        Some(base) => base,
        None => {
            let plan = plan_text(client, text.clone()).await?;
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
    let operator = operator(args);
    let req = ApplyRequest {
        text,
        base,
        change: change.into(),
        operator: operator.into(),
    };
    let reply = ask(client, &req).await?;
    if apply.wait {
        wait(args, client, reply.revision).await?;
    }
    output.push_str(&if args.json {
        json(&reply)
    } else {
        text::applied(&reply, apply.wait)
    });
    Ok(output)
}

fn operator(args: &Args) -> String {
    let environment = || std::env::var("USER").ok().filter(|user| !user.is_empty());
    args.operator
        .clone()
        .or_else(environment)
        .unwrap_or_else(|| "unknown".to_owned())
}

/// Asks, and asks again once with the same change id where no answer came. A first call without
/// an answer may have committed, so a later refusal for want of a connection doesn't undo that.
async fn ask(client: &Client, req: &ApplyRequest) -> Result<ApplyReply, CtlError> {
    let mut unknown = None;
    for _ in 0..ASKS {
        match client.post("/operator/apply", req).await {
            Err(CtlError::NoAnswer { server, cause, .. }) => {
                let change = Some(req.change.to_string());
                unknown = Some(CtlError::NoAnswer {
                    server,
                    cause,
                    change,
                });
            }
            Err(e @ CtlError::Refused(ApplyRefused::Unconfirmed { .. })) => unknown = Some(e),
            Err(e @ CtlError::NoEffect { .. }) => return Err(unknown.unwrap_or(e)),
            answer => return answer,
        }
    }
    Err(unknown.unwrap_or(CtlError::Usage {
        message: "nothing was asked".to_owned(),
    }))
}

/// Waits until every live instance has the revision, or a later one, in force.
async fn wait(args: &Args, client: &Client, revision: u64) -> Result<(), CtlError> {
    let until = Instant::now() + Duration::from_secs(args.timeout);
    loop {
        let lagging = match client.get::<StatusReply>("/operator/status").await {
            Ok(status) => lagging(&status, revision),
            Err(e) => vec![e.to_string()],
        };
        if lagging.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(CtlError::NotEverywhere { revision, lagging });
        }
        tokio::time::sleep(WAIT_PERIOD).await;
    }
}

fn lagging(status: &StatusReply, revision: u64) -> Vec<String> {
    let live = |i: &&InstanceStatus| !i.suspected && i.member.phase < Phase::Draining;
    let behind = status
        .instances
        .iter()
        .filter(live)
        .filter(|i| i.member.revision < revision);
    behind.map(|i| i.member.name.to_string()).collect()
}
