//! Splitting a byte stream into complete events, independent of how the bytes are chunked.

use bytes::Bytes;
use googletest::prelude::*;
use jacinthweir_relay::{EventError, EventSplitter};
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

fn push(events: &mut EventSplitter, text: &str) -> std::result::Result<String, EventError> {
    let complete = events.push(&Bytes::copy_from_slice(text.as_bytes()))?;
    Ok(String::from_utf8_lossy(&complete).into_owned())
}

#[gtest]
fn an_incomplete_event_is_buffered() {
    let mut events = EventSplitter::after(None);
    expect_that!(push(&mut events, "id: 1\nda"), ok(eq("")));
    expect_true!(events.has_partial_event());
    expect_that!(
        push(&mut events, "ta: x\n\nid: 2"),
        ok(eq("id: 1\ndata: x\n\n"))
    );
    expect_that!(events.last(), some(eq(1)));
    expect_true!(events.has_partial_event());
}

/// A runner crashes within event 3, and the resumed run also repeats event 2. Guards against
/// duplicated, merged or missing events: the caller receives each event once, and a gap is an
/// error.
#[gtest]
fn a_resumed_run_continues_after_the_last_complete_event() {
    let mut events = EventSplitter::after(None);
    let first = format!("{}{}id: 3\nda", event(1, "a"), event(2, "b"));
    expect_that!(push(&mut events, &first), ok(anything()));
    events.resume();
    let second = format!("{}{}", event(2, "b"), event(3, "c"));
    expect_that!(push(&mut events, &second), ok(eq(&event(3, "c"))));
    let gap = push(&mut events, &event(5, "e"));
    expect_that!(gap, err(eq(&EventError::Gap { last: 3, found: 5 })));
}

#[gtest]
fn an_event_beyond_the_size_limit_is_rejected() {
    let mut events = EventSplitter::after(None);
    let long = "x".repeat(100 << 10);
    expect_that!(push(&mut events, &long), ok(eq("")));
    expect_that!(push(&mut events, &long), ok(eq("")));
    expect_that!(push(&mut events, &long), err(eq(&EventError::TooLong)));
}

fn streams() -> impl Strategy<Value = (Vec<String>, Vec<usize>)> {
    let data = proptest::collection::vec("[a-z: \\r]{0,12}", 1..12);
    let chunk_sizes = proptest::collection::vec(1usize..9, 1..40);
    (data, chunk_sizes)
}

proptest! {
    /// The output equals the input and consists of complete events, however the bytes are chunked.
    #[test]
    fn chunking_does_not_change_the_output((data, chunk_sizes) in streams()) {
        let mut text = String::new();
        for (i, data) in data.iter().enumerate() {
            text.push_str(&event(i as u64 + 1, data));
        }
        let mut events = EventSplitter::after(None);
        let mut out = String::new();
        let mut rest = text.as_str();
        for size in chunk_sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (head, tail) = rest.split_at((*size).min(rest.len()));
            let complete = push(&mut events, head).expect("events in order");
            prop_assert!(complete.is_empty() || complete.ends_with("\n\n"));
            out.push_str(&complete);
            rest = tail;
        }
        prop_assert_eq!(out, text);
        prop_assert!(!events.has_partial_event());
        prop_assert_eq!(events.last(), Some(data.len() as u64));
    }

    /// Arbitrary bytes cause no panic.
    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut events = EventSplitter::after(Some(3));
        let _ = events.push(&Bytes::from(bytes));
    }
}
