//! Cutting a stream into whole events, however its bytes arrive.

use bytes::Bytes;
use googletest::prelude::*;
use jacinthweir_relay::{EventError, EventSplitter};
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};

fn event(id: u64, data: &str) -> String {
    format!("id: {id}\ndata: {data}\n\n")
}

fn push(events: &mut EventSplitter, text: &str) -> std::result::Result<String, EventError> {
    let whole = events.push(&Bytes::copy_from_slice(text.as_bytes()))?;
    Ok(String::from_utf8_lossy(&whole).into_owned())
}

#[gtest]
fn part_of_an_event_is_held_back() {
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

/// The runner died within event 3; the run that goes on sends it from its start, and sends one
/// more than the caller lacks. The caller sees each event once.
#[gtest]
fn a_resumed_run_follows_the_last_whole_event() {
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
fn an_event_without_end_is_not_held_for_ever() {
    let mut events = EventSplitter::after(None);
    let long = "x".repeat(100 << 10);
    expect_that!(push(&mut events, &long), ok(eq("")));
    expect_that!(push(&mut events, &long), ok(eq("")));
    expect_that!(push(&mut events, &long), err(eq(&EventError::TooLong)));
}

fn streams() -> impl Strategy<Value = (Vec<String>, Vec<usize>)> {
    let data = proptest::collection::vec("[a-z: \\r]{0,12}", 1..12);
    let cuts = proptest::collection::vec(1usize..9, 1..40);
    (data, cuts)
}

proptest! {
    /// What comes out is what went in, whole events at a time, wherever the bytes are cut.
    #[test]
    fn cuts_change_nothing((data, cuts) in streams()) {
        let mut text = String::new();
        for (i, data) in data.iter().enumerate() {
            text.push_str(&event(i as u64 + 1, data));
        }
        let mut events = EventSplitter::after(None);
        let mut out = String::new();
        let mut rest = text.as_str();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (head, tail) = rest.split_at((*cut).min(rest.len()));
            let whole = push(&mut events, head).expect("events in order");
            prop_assert!(whole.is_empty() || whole.ends_with("\n\n"));
            out.push_str(&whole);
            rest = tail;
        }
        prop_assert_eq!(out, text);
        prop_assert!(!events.has_partial_event());
        prop_assert_eq!(events.last(), Some(data.len() as u64));
    }

    /// Bytes of any kind break nothing.
    #[test]
    fn any_bytes_are_taken(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut events = EventSplitter::after(Some(3));
        let _ = events.push(&Bytes::from(bytes));
    }
}
