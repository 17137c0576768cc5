//! Formats the output of the commands as text.

mod contention;
mod error;
mod record;
mod relay;
mod status;

use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

use jacinthweir_policy::schema::Schema;
use jacinthweir_wire::caller::EntryAnswer;
use jacinthweir_wire::operator::{ApplyReply, HistoryReply, PlanReply};

use crate::table::Table;

pub use contention::{demand, overload, shares};
pub use error::error;
pub use record::record;
pub use relay::relay;
pub use status::status;

/// Formats the result of a successful schema check.
#[must_use]
pub fn valid_schema(path: &Path, schema: &Schema) -> String {
    format!(
        "{}: valid: {} models, {} pipelines, {} services, {} upstream groups, {} organisations\n",
        path.display(),
        schema.models.len(),
        schema.pipelines.len(),
        schema.services.len(),
        schema.upstreams.len(),
        schema.organisations.len()
    )
}

/// Formats a plan, with one line for each change.
#[must_use]
pub fn plan(reply: &PlanReply) -> String {
    if reply.changes.is_empty() {
        return format!("nothing would change against revision {}\n", reply.base);
    }
    let mut text = format!("changes against revision {}:\n", reply.base);
    for change in &reply.changes {
        text.push_str(&format!("  {change}\n"));
    }
    text
}

/// Formats a confirmed commit; `everywhere` says that it is in force on every live instance.
#[must_use]
pub fn applied(reply: &ApplyReply, everywhere: bool) -> String {
    let scope = if everywhere {
        ", in force on every live instance"
    } else {
        ""
    };
    format!("revision {} is committed{scope}\n", reply.revision)
}

/// Formats the latest commits as a table.
#[must_use]
pub fn history(reply: &HistoryReply) -> String {
    let mut table = Table::new(&["REVISION", "COMMITTED", "OPERATOR", "CHANGE", "SUMMARY"]);
    for commit in &reply.commits {
        let more = match commit.summary.len() {
            0 | 1 => String::new(),
            n => format!(" (and {} more)", n - 1),
        };
        let first = commit.summary.first().cloned().unwrap_or_default();
        table.row([
            commit.revision.to_string(),
            timestamp(commit.at_ms),
            commit.operator.to_string(),
            commit.change.to_string(),
            first + &more,
        ]);
    }
    table.to_string()
}

/// Formats the entry addresses that are advertised to callers.
#[must_use]
pub fn entry(answer: &EntryAnswer) -> String {
    let mut table = Table::new(&["ADDRESS", "FAILURE DOMAIN"]);
    for entry in &answer.addresses {
        table.row([entry.address.to_string(), entry.domain.to_string()]);
    }
    format!("{table}may be kept for {} ms\n", answer.ttl_ms)
}

/// Formats a Unix time in milliseconds as an RFC 3339 timestamp in UTC.
pub(crate) fn timestamp(ms: u64) -> String {
    let at = UNIX_EPOCH + Duration::from_millis(ms);
    humantime::format_rfc3339_seconds(at).to_string()
}

/// Formats a duration: in milliseconds below 10 s, in seconds below 10 min, otherwise in whole
/// minutes and larger units.
pub(crate) fn duration(ms: u64) -> String {
    match ms {
        0..10_000 => format!("{ms} ms"),
        10_000..600_000 => format!("{} s", ms / 1000),
        _ => humantime::format_duration(Duration::from_secs(ms / 60_000 * 60)).to_string(),
    }
}
