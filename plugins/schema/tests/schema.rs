//! The schema's plug-in: applying on several instances, and how a configuration spreads.

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
