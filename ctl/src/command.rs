//! What each command does.

mod apply;
mod day;

use std::path::Path;

use jacinthweir_policy::config::parts::split;
use jacinthweir_policy::schema::{Schema, parse_schema};
use jacinthweir_wire::caller::EntryAnswer;
use jacinthweir_wire::header;
use jacinthweir_wire::operator::{
    Fault, HistoryReply, PlanReply, PlanRequest, RequestRecord, StatusReply,
};
use jacinthweir_wire::relay::{DUMP_PATH, RelayDump};
use serde::Serialize;

use crate::args::{Args, Command};
use crate::client::Client;
use crate::error::CtlError;
use crate::text;

/// Runs a command and gives what it prints.
///
/// # Errors
/// See [`CtlError`].
pub async fn run(args: &Args) -> Result<String, CtlError> {
    if let Command::Check(check) = &args.command {
        let schema = read_schema(&check.file)?.schema;
        return Ok(text::valid_schema(&check.file, &schema));
    }
    if let Command::Day(day) = &args.command {
        let day = day::run(day)?;
        return Ok(shown(args, &day, ToString::to_string));
    }
    let client = Client::open(args)?;
    match &args.command {
        Command::Check(_) | Command::Day(_) => Ok(String::new()),
        Command::Plan(plan) => {
            let text = read_schema(&plan.file)?.text;
            let reply = plan_text(&client, text).await?;
            Ok(shown(args, &reply, text::plan))
        }
        Command::Apply(apply) => apply::run(args, &client, apply).await,
        Command::History(_) => {
            let reply: HistoryReply = client.get("/operator/history").await?;
            Ok(shown(args, &reply, text::history))
        }
        Command::Status(_) => {
            let reply: StatusReply = client.get("/operator/status").await?;
            let now_ms = now_ms();
            Ok(shown(args, &reply, |reply| text::status(reply, now_ms)))
        }
        Command::Request(request) => {
            let path = format!("/operator/requests/{}", path_segment(&request.id)?);
            let record: RequestRecord = client.get(&path).await?;
            Ok(shown(args, &record, text::record))
        }
        Command::Dump(dump) => {
            let client = dump
                .address
                .map_or(client.towards(client.server()), |a| client.towards(a));
            let state: serde_json::Value = client.get("/operator/dump").await?;
            Ok(json(&state))
        }
        Command::Relay(_) => {
            let state: RelayDump = client.get(DUMP_PATH).await?;
            Ok(shown(args, &state, text::relay))
        }
        Command::Entry(entry) => {
            let answer = entry_answer(&client, entry.domain.as_deref()).await?;
            Ok(shown(args, &answer, text::entry))
        }
    }
}

/// A schema file that was read and found valid.
struct SchemaFile {
    text: String,
    schema: Schema,
}

/// Reads and checks a schema file here, so that faults are named before anything is sent.
fn read_schema(path: &Path) -> Result<SchemaFile, CtlError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| CtlError::File {
        path: shown.clone(),
        cause: e.to_string(),
    })?;
    let schema = parse_schema(&text).map_err(|faults| CtlError::Faults {
        path: shown.clone(),
        faults,
    })?;
    if let Err(e) = split(&schema) {
        let faults = vec![Fault::new(1, "document", &e.to_string())];
        return Err(CtlError::Faults {
            path: shown,
            faults,
        });
    }
    Ok(SchemaFile { text, schema })
}

async fn plan_text(client: &Client, text: String) -> Result<PlanReply, CtlError> {
    client.post("/operator/plan", &PlanRequest { text }).await
}

/// Asks the callers' listener of the instance whose operators' listener is known.
async fn entry_answer(client: &Client, domain: Option<&str>) -> Result<EntryAnswer, CtlError> {
    let status: StatusReply = client.get("/operator/status").await?;
    let at = status
        .instances
        .iter()
        .find(|i| i.member.operators == client.server());
    let Some(at) = at.or(status.instances.first()) else {
        return Err(CtlError::Absent {
            message: "no instance is known".to_owned(),
        });
    };
    let callers = client.towards(at.member.callers);
    callers.get_with("/v1/entry", header::DOMAIN, domain).await
}

/// A value as one segment of a path: ids have no other characters, so others are wrong use.
fn path_segment(value: &str) -> Result<&str, CtlError> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !value.is_empty() && value.chars().all(fits) {
        return Ok(value);
    }
    let message = format!("`{value}` is not a request id");
    Err(CtlError::Usage { message })
}

fn shown<T: Serialize>(args: &Args, reply: &T, as_text: impl Fn(&T) -> String) -> String {
    if args.json {
        json(reply)
    } else {
        as_text(reply)
    }
}

fn json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    text + "\n"
}

fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
