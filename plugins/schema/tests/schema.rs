//! Tests of the schema plug-in: applying changes at several instances, and how a configuration
//! propagates.

#[path = "schema/apply.rs"]
mod apply;
#[path = "schema/bad_input.rs"]
mod bad_input;
#[path = "schema/race.rs"]
mod race;
#[path = "schema/rig.rs"]
mod rig;
#[path = "schema/spread.rs"]
mod spread;
