//! Tests of documents: accepted syntax, faults and the lines that they name.

use googletest::prelude::*;
use jacinthweir_document::{Document, Fault, MAX_BYTES, MAX_FAULTS};
use serde::Deserialize;

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Warehouse {
    name: String,
    items: Vec<Item>,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Item {
    kind: String,
    grams: u64,
}

fn faults(text: &str) -> Vec<String> {
    let read = Document::parse(text).and_then(|doc| doc.read::<Warehouse>());
    read.unwrap_err().iter().map(Fault::to_string).collect()
}

#[gtest]
fn comments_and_trailing_commas_are_allowed() {
    let text = "// warehouses\n{\"name\": \"recife\", /* two */ \"items\": [\n\
        {\"kind\": \"spruce\", \"grams\": 18446744073709551615,},\n],}\n";
    let warehouse: Warehouse = Document::parse(text).unwrap().read().unwrap();
    let items = vec![Item {
        kind: "spruce".into(),
        grams: u64::MAX,
    }];
    expect_that!(
        warehouse,
        eq(&Warehouse {
            name: "recife".into(),
            items
        })
    );
}

#[gtest]
fn nothing_else_beyond_json_is_allowed() {
    for text in [
        "{name: 1}",
        "{'name': 1}",
        "[0x10]",
        "[+1]",
        "[.5]",
        "[NaN]",
        "[1 2]",
        "[01]",
    ] {
        expect_that!(Document::parse(text).is_err(), eq(true), "{text}");
    }
}

#[gtest]
fn a_fault_names_its_line_and_field() {
    let cases = [
        (
            "{\n\"name\": 1, \"items\": []}",
            "line 2: name: invalid type: integer `1`",
        ),
        (
            "{\"name\": \"a\",\n\"items\": [\n{\"kind\": \"x\"}]}",
            "line 3: items[0]: missing",
        ),
        (
            "{\"name\": \"a\",\n\n\"shelf\": 2}",
            "line 3: shelf: unknown field `shelf`",
        ),
        (
            "{\"name\": \"a\",\n\"name\": \"b\"}",
            "line 2: name: this key stands twice",
        ),
        (
            "{\"name\": \"a\"\n\"items\": 1}",
            "line 1: document: column 13: Expected comma",
        ),
        (
            "{\n\"items\": [1e999]}",
            "line 2: items[0]: `1e999` is not a number",
        ),
        ("[]", "line 1: document: invalid "),
        ("", "line 1: document: there is nothing in it"),
        (
            "// only a comment",
            "line 1: document: there is nothing in it",
        ),
        ("{} {}", "line 1: document: column 4"),
    ];
    for (text, expected) in cases {
        expect_that!(faults(text), elements_are![starts_with(expected)], "{text}");
    }
}

#[gtest]
fn line_of_a_field_is_found_after_parsing() {
    let doc = Document::parse("{\n\"a\": [\n{\"b\": 1},\n{\n\"b\": 2}]}").unwrap();
    expect_that!(doc.line_of("a[0].b"), eq(3));
    expect_that!(doc.line_of("a[1].b"), eq(5));
    expect_that!(doc.line_of("a[1].absent.deeper"), eq(4));
    expect_that!(doc.line_of("a[7]"), eq(2));
    expect_that!(
        doc.fault_at("a[1]", "wrong").to_string(),
        eq("line 4: a[1]: wrong")
    );
}

#[gtest]
fn deep_nesting_is_a_fault_and_not_a_stack_overflow() {
    // A parser that recurses without a limit would abort the process, with all requests in flight,
    // on a body of half a million brackets sent with a leaked operator token.
    for depth in [33, 511, 513, 500_000] {
        let arrays = "[".repeat(depth) + &"]".repeat(depth);
        let objects = "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth);
        for text in [arrays, objects, "[".repeat(depth)] {
            expect_that!(Document::parse(&text).unwrap_err(), len(eq(1)));
        }
    }
    let allowed = "[".repeat(32) + &"]".repeat(32);
    expect_that!(Document::parse(&allowed).is_ok(), eq(true));
}

#[gtest]
fn size_and_number_of_faults_are_bounded() {
    let long = " ".repeat(MAX_BYTES + 1);
    expect_that!(
        Document::parse(&long).unwrap_err()[0].message,
        ends_with("is the most")
    );
    let duplicates = format!("{{{}}}", "\"a\":1,".repeat(1000));
    expect_that!(
        Document::parse(&duplicates).unwrap_err(),
        len(eq(MAX_FAULTS))
    );
    let key = format!("{{\"{}\\n\": 1}}", "x".repeat(100_000));
    let fault = &Document::parse(&key)
        .unwrap()
        .read::<Warehouse>()
        .unwrap_err()[0];
    expect_that!(fault.message.len() + fault.field.len(), lt(500));
}

#[gtest]
fn control_characters_of_the_input_do_not_reach_a_terminal() {
    let fault = &faults("{\"a\\u001b[2J\\nline 9\": 1}")[0];
    expect_that!(fault.chars().any(char::is_control), eq(false));
}
