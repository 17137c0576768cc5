//! Addresses with parts that somebody else named.

use googletest::prelude::*;
use jacinthweir_clients::target::{MAX_TARGET_BYTES, Target, TargetTooLong};

/// Names with characters that mean something in an address.
const ODD_NAMES: [&str; 14] = [
    "a00 ",
    "a01%",
    "a01%25",
    "a02&b=",
    "a03+",
    "a04é",
    "a05#",
    "a06?b",
    "a07/..",
    "a08;,",
    "a09\"<>",
    "a10\u{0}\r\n",
    "a11\u{10FFFF}",
    "a12\\^`{|}",
];

fn decoded(text: &str) -> String {
    let decoded = percent_encoding::percent_decode_str(text);
    decoded.decode_utf8().expect("text").into_owned()
}

/// Guards against a request for another object, or another page, than the name says.
#[gtest]
fn a_name_arrives_as_it_is() {
    for name in ODD_NAMES {
        let target = Target::new("/objects").segment(name).field("after", name);
        let uri = target.to_uri().expect("an address");
        let segment = uri.path().strip_prefix("/objects/").expect("a part");
        expect_that!(segment, not(contains_substring("/")));
        expect_that!(decoded(segment), eq(name));
        let value = uri.query().and_then(|q| q.strip_prefix("after="));
        let value = value.expect("a field");
        expect_that!(value, not(contains_regex("[+&=#]")));
        expect_that!(decoded(value), eq(name));
    }
}

#[gtest]
fn plain_names_stand_for_themselves() {
    let target = Target::new("/objects")
        .segment("i-7f3a.91_c2~")
        .field("after", "i-1")
        .field("n", &5);
    expect_that!(
        target.to_string(),
        eq("/objects/i-7f3a.91_c2~?after=i-1&n=5")
    );
}

/// Guards against a request to `/` in the place of an address that cannot be sent.
#[gtest]
fn a_long_name_is_an_error() {
    let target = Target::new("/objects").segment(&"é".repeat(MAX_TARGET_BYTES));
    expect_that!(
        target.to_uri(),
        err(eq(&TargetTooLong {
            bytes: "/objects/".len() + 6 * MAX_TARGET_BYTES
        }))
    );
}
