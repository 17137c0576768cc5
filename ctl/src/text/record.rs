//! What happened to a request.

use jacinthweir_wire::operator::RequestRecord;

use super::time;

/// A request's record, one step a line with the time since the first.
#[must_use]
pub fn record(record: &RequestRecord) -> String {
    let outcome = record
        .outcome
        .map_or_else(|| "in progress".to_owned(), |o| o.to_string());
    let started = record.steps.first().map_or(0, |step| step.at_ms);
    let mut text = format!(
        "request       {}\ninstance      {}\norganisation  {}\ntarget        {}\nrevision      {}\n\
         received      {}\noutcome       {outcome}\n",
        record.request,
        record.instance,
        record.organisation,
        record.target,
        record.revision,
        time(started),
    );
    for step in &record.steps {
        let after = step.at_ms.saturating_sub(started);
        text.push_str(&format!("  +{after:>6} ms  {}\n", step.what));
    }
    text
}
