//! Implementation of the commands.

mod apply;
mod contention;
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

pub use contention::InstanceContention;

/// Runs a command and returns its output.
///
/// # Errors
/// See [`CtlError`].
pub async fn run(args: &Args) -> Result<String, CtlError> {
    if let Command::Check(check) = &args.command {
        let schema = read_schema(&check.file)?.schema;
        return Ok(text::valid_schema(&check.file, &schema));
    }
    if let Command::Day(day) = &args.command {
        let report = day::run(day)?;
        return Ok(render(args, &report, ToString::to_string));
    }
    let client = Client::from_args(args)?;
    match &args.command {
        Command::Check(_) | Command::Day(_) => Ok(String::new()),
        Command::Plan(plan) => {
            let text = read_schema(&plan.file)?.text;
            let reply = request_plan(&client, text).await?;
            Ok(render(args, &reply, text::plan))
        }
        Command::Apply(apply) => apply::run(args, &client, apply).await,
        Command::History(_) => {
            let reply: HistoryReply = client.get("/operator/history").await?;
            Ok(render(args, &reply, text::history))
        }
        Command::Status(_) => {
            let reply: StatusReply = client.get("/operator/status").await?;
            let now_ms = now_ms();
            Ok(render(args, &reply, |reply| text::status(reply, now_ms)))
        }
        Command::Request(request) => {
            let path = format!("/operator/requests/{}", path_segment(&request.id)?);
            let record: RequestRecord = client.get(&path).await?;
            Ok(render(args, &record, text::record))
        }
        Command::Dump(dump) => {
            let client = dump
                .address
                .map_or(client.with_server(client.server()), |a| {
                    client.with_server(a)
                });
            let state: serde_json::Value = client.get("/operator/dump").await?;
            Ok(to_json(&state))
        }
        Command::Relay(_) => {
            let state: RelayDump = client.get(DUMP_PATH).await?;
            Ok(render(args, &state, text::relay))
        }
        Command::Shares(_) => {
            let state = contention::query(&client).await?;
            Ok(render(args, &state, text::shares))
        }
        Command::Demand(_) => {
            let state = contention::query(&client).await?;
            Ok(render(args, &state, text::demand))
        }
        Command::Overload(_) => {
            let state = contention::query(&client).await?;
            Ok(render(args, &state, text::overload))
        }
        Command::Entry(entry) => {
            let answer = entry_answer(&client, entry.domain.as_deref()).await?;
            Ok(render(args, &answer, text::entry))
        }
    }
}

/// A schema file that was read and validated.
struct SchemaFile {
    text: String,
    schema: Schema,
}

/// Reads and validates a schema file locally, so that faults are reported before anything is sent.
fn read_schema(path: &Path) -> Result<SchemaFile, CtlError> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|e| CtlError::File {
        path: path_text.clone(),
        cause: e.to_string(),
    })?;
    let schema = parse_schema(&text).map_err(|faults| CtlError::InvalidSchema {
        path: path_text.clone(),
        faults,
    })?;
    if let Err(e) = split(&schema) {
        let faults = vec![Fault::new(1, "document", &e.to_string())];
        return Err(CtlError::InvalidSchema {
            path: path_text,
            faults,
        });
    }
    Ok(SchemaFile { text, schema })
}

async fn request_plan(client: &Client, text: String) -> Result<PlanReply, CtlError> {
    client.post("/operator/plan", &PlanRequest { text }).await
}

/// Queries the entry addresses at the callers' listener of the client's instance.
///
/// The status reply maps the operators' address to the callers' address; if no listed instance has
/// the operators' address, the first one is queried.
async fn entry_answer(client: &Client, domain: Option<&str>) -> Result<EntryAnswer, CtlError> {
    let status: StatusReply = client.get("/operator/status").await?;
    let instance = status
        .instances
        .iter()
        .find(|i| i.member.operators == client.server());
    let Some(instance) = instance.or(status.instances.first()) else {
        return Err(CtlError::NotAvailable {
            message: "no instance is known".to_owned(),
        });
    };
    let callers = client.with_server(instance.member.callers);
    callers
        .get_with_header("/v1/entry", header::DOMAIN, domain)
        .await
}

/// Checks that a request id can be used as one path segment.
///
/// Request ids consist of the accepted characters only, so any other value is a usage error.
fn path_segment(value: &str) -> Result<&str, CtlError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    // Clients remove `.` and `..` when they normalise a path, which would change its target.
    let is_dots = value.chars().all(|c| c == '.');
    if !is_dots && value.chars().all(allowed) {
        return Ok(value);
    }
    let message = format!("`{value}` is not a request id");
    Err(CtlError::Usage { message })
}

fn render<T: Serialize>(args: &Args, reply: &T, as_text: impl Fn(&T) -> String) -> String {
    if args.json {
        to_json(reply)
    } else {
        as_text(reply)
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    text + "\n"
}

fn now_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}
