//! Objects that another writer puts into the store: names of any characters, contents of other types and sizes.

use derive_more::Display;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use serde_json::{Value, json};

/// Kinds that instances list.
const KINDS: [&str; 3] = ["servers", "config", "jacinthweir-quarantine"];

/// Beginnings of names, which lie before, between and behind those of the runners.
const BEGINNINGS: [&str; 3] = ["a0", "i-1", "z0"];

/// Ends of names, with characters that mean something in an address or a text.
const ENDS: [&str; 13] = [
    " x",
    "%",
    "%20",
    "%#",
    "&b=1",
    "+",
    "é",
    "#",
    "?after=",
    "/x",
    "\"<>\\^`{|}",
    ";,",
    "-plain",
];

/// Length of a long name, in bytes, and the share of names that are long.
const LONG_NAME_BYTES: usize = 5_000;
const LONG_NAME_SHARE: f64 = 0.1;

/// Sizes of contents, in bytes. The largest object is a page of its own.
const SIZES: [usize; 6] = [10, 10, 10, 2_000, 200_000, 1_000_000];

/// Characters of a name that are shown.
const SHOWN: usize = 16;

/// Kind and name of an object.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{kind} {:?}", name.chars().take(SHOWN).collect::<String>())]
pub struct OddName {
    /// Kind.
    pub kind: &'static str,
    /// Name.
    pub name: String,
}

impl OddName {
    /// Draws a name.
    pub fn draw(rng: &mut impl Rng) -> OddName {
        let beginning = BEGINNINGS.choose(rng).unwrap_or(&"");
        let end = ENDS.choose(rng).unwrap_or(&"");
        let length = match rng.random_bool(LONG_NAME_SHARE) {
            true => LONG_NAME_BYTES - beginning.len() - end.len(),
            false => 0,
        };
        OddName {
            kind: KINDS.choose(rng).unwrap_or(&"servers"),
            name: format!("{beginning}{}{end}", "n".repeat(length)),
        }
    }
}

/// What is wrong with the contents of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
enum Shape {
    /// The service is a sequence.
    #[display("a sequence for the service")]
    Sequence,
    /// The address is a map.
    #[display("a map for the address")]
    Map,
    /// All fields are missing.
    #[display("no known field")]
    NoField,
    /// The contents are a text.
    #[display("a text")]
    Text,
}

const SHAPES: [Shape; 4] = [Shape::Sequence, Shape::Map, Shape::NoField, Shape::Text];

/// Contents of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{shape}, {bytes} bytes")]
pub struct OddSpec {
    shape: Shape,
    bytes: usize,
}

impl OddSpec {
    /// Draws contents.
    pub fn draw(rng: &mut impl Rng) -> OddSpec {
        OddSpec {
            shape: *SHAPES.choose(rng).unwrap_or(&Shape::Text),
            bytes: *SIZES.choose(rng).unwrap_or(&0),
        }
    }

    /// Returns the contents.
    #[must_use]
    pub fn to_value(self) -> Value {
        let note = "x".repeat(self.bytes);
        match self.shape {
            Shape::Sequence => {
                json!({ "service": ["a", 1], "address": "127.0.0.1:9", "note": note })
            }
            Shape::Map => json!({ "service": "a", "address": { "host": 1 }, "note": note }),
            Shape::NoField => json!({ "note": note }),
            Shape::Text => note.into(),
        }
    }
}
