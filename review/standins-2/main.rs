//! Cases of the second review, each as a scenario against the real program.
//!
//! `standin CASE FOLDER` plays a case and writes `record.txt` in FOLDER. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod absurd_range;
mod added_routes;
mod fleet;
mod http;
mod json;
mod raised_limit;
mod record;
mod retired_service;
mod returned_entry;
mod revoked_upload;
mod scene;
mod slow_reader;
mod store;
mod sys;
mod unframed_stream;
mod unreadable_entry;

use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a case is ended, with all processes that it started.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if let [_, role, id, born] = &args[..]
        && role == "model-runner"
    {
        return unframed_stream::run_model_runner(id, born);
    }
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = record::Record::open(folder.as_ref(), trouble);
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        fleet::kill_all();
        std::process::exit(2);
    });
    let played = panic::catch_unwind(AssertUnwindSafe(|| play(case, &record, trouble)));
    let result = played.unwrap_or_else(|_| Err("a panic".to_owned()));
    if result.is_err() {
        fleet::kill_all();
    }
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    };
    match result {
        Ok(held) => record.write(&format!("result: {}", if held { "held" } else { "broken" })),
        Err(cause) => record.write(&format!("result: could not run: {cause}")),
    }
    ExitCode::from(code)
}

/// Plays a case; returns whether the rule held.
fn play(case: &str, record: &record::Record, trouble: bool) -> Result<bool, String> {
    match case {
        "unreadable-entry" => unreadable_entry::play(record, trouble),
        "absurd-range" => absurd_range::play(record, trouble),
        "slow-reader" => slow_reader::play(record, trouble),
        "unframed-stream" => unframed_stream::play(record, trouble),
        "added-routes" => added_routes::play(record, trouble),
        "raised-limit" => raised_limit::play(record, trouble),
        "returned-entry" => returned_entry::play(record, trouble),
        "retired-service" => retired_service::play(record, trouble),
        "revoked-upload" => revoked_upload::play(record, trouble),
        _ => Err(format!("no such case: {case}")),
    }
}
