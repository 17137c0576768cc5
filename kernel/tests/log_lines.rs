//! Log lines with texts that another process chose.

use googletest::prelude::*;
use jacinthweir_kernel::logs::line;
use jacinthweir_kernel::settings::LogFormat;
use log::{Level, Record};

/// Maximum length of a line with one long value, in bytes: control characters take six each.
const MAX_LINE_BYTES: usize = 64 << 10;

fn encode(format: LogFormat, runner: &str) -> String {
    let pairs = [("runner", runner)];
    let mut record = Record::builder();
    let record = record.level(Level::Warn).key_values(&pairs);
    let args = format_args!("an entry names no runner to use");
    line::encode(format, "one", &record.args(args).build())
}

/// Guards against memory and a log that grow with the names of another writer, of which each may have 1 MB.
#[gtest]
fn a_line_with_a_name_of_any_length_is_short_and_tells_its_beginning_and_length() {
    for name in ["é".repeat(1 << 19), "\u{1}".repeat(1 << 20)] {
        for format in [LogFormat::Json, LogFormat::Text] {
            let line = encode(format, &name);
            expect_that!(line.len(), le(MAX_LINE_BYTES));
            expect_that!(line, contains_substring("names no runner to use"));
            expect_that!(line, contains_substring("(1048576 bytes)"));
        }
    }
}

/// Guards against lines that a name of another writer forges, and against control sequences for terminals.
#[gtest]
fn control_characters_of_a_name_end_no_line() {
    for name in [
        "a\nb",
        "a\r\nb",
        "a\u{1b}[2Jb",
        "a\u{85}b",
        "a\u{2028}b",
        "a\u{9b}2Jb",
    ] {
        for format in [LogFormat::Json, LogFormat::Text] {
            let line = encode(format, name);
            let odd = |c: char| c.is_control() || c == '\u{2028}';
            expect_false!(line.contains(odd), "{line:?}");
        }
        let json: serde_json::Value =
            serde_json::from_str(&encode(LogFormat::Json, name)).expect("JSON");
        expect_that!(json["runner"].as_str(), some(eq(name)));
    }
}
