//! Tests of the schema plug-in: applying changes at several instances, and how a configuration
//! propagates.

#[path = "schema/apply.rs"]
mod apply;
#[path = "schema/bad_input.rs"]
mod bad_input;
#[path = "schema/cluster.rs"]
mod cluster;
#[path = "schema/concurrent_applies.rs"]
mod concurrent_applies;
#[path = "schema/propagation.rs"]
mod propagation;
