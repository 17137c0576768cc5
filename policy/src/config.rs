//! Configuration: how a schema is stored, committed and adopted by every instance.
//!
//! A schema is split into immutable, content-addressed [`parts`]. A commit writes the missing parts
//! and then replaces the single [`Head`](crate::head::Head) by compare-and-set ([`commit`]). Each
//! instance follows the head ([`converge`]) and only moves to a descendant of the revision that it
//! has in force ([`lineage`]), so a committed change never reverts on it. [`check`] verifies a
//! recorded history of revisions in force.

pub mod check;
pub mod commit;
pub mod converge;
pub mod garbage_collection;
pub mod lineage;
pub mod parts;
pub mod watch;
