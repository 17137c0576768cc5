//! Deserialization of JSON with comments, with errors that name line and field.
//!
//! A text is parsed once into a [`Document`], which stores the plain JSON value and a tree of line
//! numbers with the same structure, so that faults of syntax, types and later semantic checks all
//! name a line. Comments and trailing commas are the only extensions of JSON; duplicate keys in an
//! object are a fault. Size and nesting are limited, so that a malicious text uses a bounded amount
//! of memory and stack.

mod document;
pub mod fault;
mod lines;

pub use document::{Document, MAX_BYTES, MAX_DEPTH, MAX_FAULTS};
pub use fault::Fault;
