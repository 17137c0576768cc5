//! Formats the record of a request.

use jacinthweir_wire::operator::RequestRecord;

use super::timestamp;

/// Formats a request's record, with one line for each step and its time since the first step.
#[must_use]
pub fn record(record: &RequestRecord) -> String {
    let outcome = record
        .outcome
        .map_or_else(|| "in progress".to_owned(), |o| o.to_string());
    let started_ms = record.steps.first().map_or(0, |step| step.at_ms);
    let mut text = format!(
        "request       {}\ninstance      {}\norganisation  {}\ntarget        {}\nrevision      {}\n\
         received      {}\noutcome       {outcome}\n",
        record.request,
        record.instance,
        record.organisation,
        record.target,
        record.revision,
        timestamp(started_ms),
    );
    for step in &record.steps {
        let elapsed_ms = step.at_ms.saturating_sub(started_ms);
        text.push_str(&format!("  +{elapsed_ms:>6} ms  {}\n", step.what));
    }
    text
}
