//! Tests of a relay's settings: accepted values, and the faults of refused ones.

use googletest::prelude::*;
use jacinthweir_policy::relay::contention::{ContentionConfig, Mode};
use jacinthweir_relay::RelaySettings;

/// Returns settings with a value of `contention` on the fourth line.
fn settings(contention: &str) -> String {
    format!(
        r#"{{
  "name": "one", "failure_domain": "a", "store": "127.0.0.1:1",
  "listen": {{ "callers": "127.0.0.1:2", "ready": "127.0.0.1:3", "entry": "127.0.0.1:4", "peers": "127.0.0.1:5", "operators": "127.0.0.1:6" }},
  "contention": {contention},
  "bounds": {{ "revocation_ms": 1, "shutdown_s": 1.0, "entry_ttl_ms": 1, "repeat_ratio": 0.1, "repeat_slack": 1.0, "repeat_window_s": 1.0 }}
}}"#
    )
}

/// Returns the faults of settings with a value of `contention`.
fn faults(contention: &str) -> Vec<String> {
    let read = RelaySettings::parse(&settings(contention));
    let faults = read.map(|_| Vec::new()).unwrap_or_else(|faults| faults);
    faults.iter().map(ToString::to_string).collect()
}

/// Guards against instances that stop starting, or change their behaviour, with the settings of an
/// earlier version, which lack `contention`.
#[gtest]
fn contention_has_defaults() {
    let text = settings("{}").replace("\"contention\": {},", "");
    for text in [text, settings("{}")] {
        let read = RelaySettings::parse(&text).unwrap();
        expect_that!(read.contention, eq(&ContentionConfig::default()));
    }
}

#[gtest]
fn every_field_of_contention_is_read() {
    let text = settings(
        r#"{ "mode": "on", "flow": false, "chains": false, "urgency": false, "fair_share": false, "overload": false,
           "target_fill": 1, "least_share": 0, "weights": { "atelier": 2.5 } }"#,
    );
    let read = RelaySettings::parse(&text).unwrap().contention;
    let expected = ContentionConfig {
        mode: Mode::On,
        flow: false,
        chains: false,
        urgency: false,
        fair_share: false,
        overload: false,
        target_fill: 1.0,
        least_share: 0.0,
        weights: [("atelier".into(), 2.5)].into(),
    };
    expect_that!(read, eq(&expected));
    for (mode, expected) in [("auto", Mode::Auto), ("off", Mode::Off)] {
        let read = RelaySettings::parse(&settings(&format!(r#"{{"mode": "{mode}"}}"#)));
        expect_that!(read.unwrap().contention.mode, eq(expected));
    }
}

/// Guards against a bad value that takes effect, and against a message from which an operator cannot
/// tell which field broke which rule.
#[gtest]
fn faults_of_contention_name_line_field_and_rule() {
    let fill = "line 4: contention.target_fill: must be greater than 0 and at most 1";
    let least = "line 4: contention.least_share: must be from 0 to 1";
    let weight = "line 4: contention.weights.atelier: must be greater than 0";
    for (value, expected) in [
        (r#"{"target_fill": 0}"#, fill),
        (r#"{"target_fill": -0.1}"#, fill),
        (r#"{"target_fill": 1.01}"#, fill),
        (r#"{"least_share": -0.01}"#, least),
        (r#"{"least_share": 1.01}"#, least),
        (r#"{"weights": {"atelier": 0}}"#, weight),
        (r#"{"weights": {"atelier": -1, "bakery": 1}}"#, weight),
    ] {
        expect_that!(faults(value), eq(&[expected]), "{value}");
    }
}

/// The same for values of the wrong type, unknown values and unknown fields.
#[gtest]
fn values_of_another_form_are_faults_of_contention() {
    for (value, field, rule) in [
        (
            r#"{"mode": "always"}"#,
            "contention.mode",
            "`auto`, `on`, `off`",
        ),
        (r#"{"mode": true}"#, "contention.mode", "string"),
        (r#"{"flow": "yes"}"#, "contention.flow", "boolean"),
        (r#"{"urgency": 1}"#, "contention.urgency", "boolean"),
        (
            r#"{"fair_share": null}"#,
            "contention.fair_share",
            "boolean",
        ),
        (r#"{"overload": []}"#, "contention.overload", "boolean"),
        (r#"{"target_fill": "0.9"}"#, "contention.target_fill", "f64"),
        (r#"{"least_share": null}"#, "contention.least_share", "f64"),
        (
            r#"{"weights": {"atelier": "2"}}"#,
            "contention.weights.atelier",
            "f64",
        ),
        (r#"{"weights": ["atelier"]}"#, "contention.weights", "map"),
        (
            r#"{"targetFill": 0.9}"#,
            "contention.targetFill",
            "unknown field",
        ),
    ] {
        let faults = faults(value);
        expect_that!(faults.len(), eq(1), "{value}");
        expect_that!(
            faults[0],
            starts_with(format!("line 4: {field}: ")),
            "{value}"
        );
        expect_that!(faults[0], contains_substring(rule), "{value}");
    }
}

/// Guards against an operator who mends one fault per start.
#[gtest]
fn all_faults_of_contention_are_listed_at_once() {
    let value = r#"{"target_fill": 2, "least_share": 2, "weights": {"atelier": 0, "bakery": 0}}"#;
    expect_that!(faults(value).len(), eq(4));
}
