//! Property tests of documents: parsing never panics, and serialized values parse to equal ones.

use jacinthweir_document::Document;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use serde_json::Value;

fn deterministic() -> Config {
    Config {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

/// Generates texts from fragments that are difficult for a parser.
fn fragments() -> impl Strategy<Value = String> {
    let fragment = prop_oneof![
        Just("{"),
        Just("}"),
        Just("["),
        Just("]"),
        Just(","),
        Just(":"),
        Just("\""),
        Just("\\"),
        Just("\"a\""),
        Just("\"\\ud800\""),
        Just("//"),
        Just("/*"),
        Just("*/"),
        Just("\n"),
        Just("-"),
        Just("1"),
        Just("1e400"),
        Just("0.5"),
        Just("null"),
        Just("true"),
        Just("é"),
        Just("\u{0}"),
        Just("\u{feff}"),
        Just("'"),
    ];
    prop::collection::vec(fragment, 0..40).prop_map(|fragments| fragments.concat())
}

fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        ".*".prop_map(Value::from),
    ];
    leaf.prop_recursive(6, 64, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map(".{0,6}", inner, 0..6)
                .prop_map(|fields| Value::Object(fields.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(deterministic())]

    /// Any text gives a value, or faults whose lines are within the text.
    #[test]
    fn any_text_is_read_or_refused(text in fragments()) {
        let lines = text.matches('\n').count() + 1;
        if let Err(faults) = Document::parse(&text) {
            prop_assert!(!faults.is_empty());
            prop_assert!(faults.iter().all(|fault| (1..=lines).contains(&fault.line)), "{faults:?}");
        }
    }

    /// JSON parses to the same value with and without comments.
    #[test]
    fn serialized_value_parses_to_an_equal_value(value in value()) {
        let text = serde_json::to_string_pretty(&value).unwrap();
        let commented = format!("// head\n{text} /* tail */\n");
        for text in [text, commented] {
            let read: Value = Document::parse(&text).unwrap().read().unwrap();
            prop_assert_eq!(&read, &value);
        }
    }

    /// A valid text without trailing blanks is refused if it is truncated anywhere.
    #[test]
    fn truncated_text_is_refused(value in value(), cut in any::<prop::sample::Index>()) {
        let text = serde_json::to_string(&Value::Array(vec![value])).unwrap();
        let at = (0..=cut.index(text.len())).rev().find(|at| text.is_char_boundary(*at));
        prop_assert!(Document::parse(&text[..at.unwrap_or(0)]).is_err());
    }
}
