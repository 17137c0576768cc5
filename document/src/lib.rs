//! JSON with comments read into typed values, with errors that name line and field.

pub mod fault;

pub use fault::Fault;
