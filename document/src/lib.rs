//! JSON with comments read into typed values, with errors that name line and field.
//!
//! A text is parsed once into a [`Document`], which holds the plain JSON value beside a tree of
//! line numbers of the same shape. Faults of syntax, of types and of the later semantic checks
//! thereby all name a line. Comments and trailing commas are allowed and nothing else beyond
//! JSON; a key that stands twice in an object is a fault. Size and nesting are bounded, so a
//! hostile text costs a bounded amount of memory and stack.

mod document;
pub mod fault;
mod lines;

pub use document::{Document, MAX_BYTES, MAX_DEPTH, MAX_FAULTS};
pub use fault::Fault;
