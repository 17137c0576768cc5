//! Reading documents: what is allowed, what is a fault and on which line it is named.

use googletest::prelude::*;
use jacinthweir_document::{Document, Fault, MAX_BYTES, MAX_FAULTS};
use serde::Deserialize;

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Shed {
    name: String,
    billets: Vec<Billet>,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Billet {
    kind: String,
    grams: u64,
}

fn faults(text: &str) -> Vec<String> {
    let read = Document::parse(text).and_then(|doc| doc.read::<Shed>());
    read.unwrap_err().iter().map(Fault::to_string).collect()
}

#[gtest]
fn comments_and_trailing_commas_are_allowed() {
    let text = "// sheds\n{\"name\": \"recife\", /* two */ \"billets\": [\n\
        {\"kind\": \"spruce\", \"grams\": 18446744073709551615,},\n],}\n";
    let shed: Shed = Document::parse(text).unwrap().read().unwrap();
    let billets = vec![Billet {
        kind: "spruce".into(),
        grams: u64::MAX,
    }];
    expect_that!(
        shed,
        eq(&Shed {
            name: "recife".into(),
            billets
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
            "{\n\"name\": 1, \"billets\": []}",
            "line 2: name: invalid type: integer `1`",
        ),
        (
            "{\"name\": \"a\",\n\"billets\": [\n{\"kind\": \"x\"}]}",
            "line 3: billets[0]: missing",
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
            "{\"name\": \"a\"\n\"billets\": 1}",
            "line 1: document: column 13: Expected comma",
        ),
        (
            "{\n\"billets\": [1e999]}",
            "line 2: billets[0]: `1e999` is not a number",
        ),
        ("[]", "line 1: document: invalid "),
        ("", "line 1: document: there is nothing in it"),
        (
            "// only a comment",
            "line 1: document: there is nothing in it",
        ),
        ("{} {}", "line 1: document: column 4"),
    ];
    for (text, wanted) in cases {
        expect_that!(faults(text), elements_are![starts_with(wanted)], "{text}");
    }
}

#[gtest]
fn a_later_check_finds_the_line_of_a_field() {
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
fn hostile_nesting_is_a_fault_and_no_stack_overflow() {
    // An operator's token leaks and a body of half a million brackets arrives. A parser that
    // recurses without a limit would abort the whole process, with every request in flight.
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
fn hostile_size_and_number_of_faults_are_bounded() {
    let long = " ".repeat(MAX_BYTES + 1);
    expect_that!(
        Document::parse(&long).unwrap_err()[0].message,
        ends_with("is the most")
    );
    let twice = format!("{{{}}}", "\"a\":1,".repeat(1000));
    expect_that!(Document::parse(&twice).unwrap_err(), len(eq(MAX_FAULTS)));
    let key = format!("{{\"{}\\n\": 1}}", "x".repeat(100_000));
    let fault = &Document::parse(&key).unwrap().read::<Shed>().unwrap_err()[0];
    expect_that!(fault.message.len() + fault.field.len(), lt(500));
}

#[gtest]
fn control_characters_of_the_input_do_not_reach_a_terminal() {
    let fault = &faults("{\"a\\u001b[2J\\nline 9\": 1}")[0];
    expect_that!(fault.chars().any(char::is_control), eq(false));
}
