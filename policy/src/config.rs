//! The configuration: how a schema is stored, committed and taken up by every instance.
//!
//! A schema is split into immutable [`parts`] named by their hash; a commit writes the parts it
//! needs and then replaces the one [`Head`](crate::head::Head) by compare-and-set ([`commit`]).
//! Each instance follows the head ([`converge`]) and only ever moves to a descendant of what it
//! has in force ([`lineage`]), so a committed change never reverts on it. [`check`] judges a
//! recorded history of what was in force.

pub mod check;
pub mod commit;
pub mod converge;
pub mod garbage_collection;
pub mod lineage;
pub mod parts;
pub mod watch;
