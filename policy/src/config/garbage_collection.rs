//! Which parts on the platform nobody needs any more.
//!
//! Each commit leaves the parts behind that it replaced. A part may go if the standing head does
//! not name it and its object is older than the head: a commit in progress writes every part that
//! the standing head lacks anew, so its parts are newer than the head that it will replace. The
//! deletion itself asks for the version seen, so a part that such a commit writes meanwhile
//! stays. Instances that still fetch the replaced revision hear of the new one and go on with it;
//! to give them time, a part goes only when two looks in a row have found it so.

use std::collections::{BTreeMap, BTreeSet};

use crate::head::Head;
use crate::time::Name;

/// Parts found to be unreferenced_parts, by hash, with the versions of their objects.
pub type UnreferencedParts = BTreeMap<Name, u64>;

/// Parts that a head at `head_version` and any commit over it can do without, out of those listed
/// with their versions.
pub fn unreferenced_parts(
    head: &Head,
    head_version: u64,
    listed: impl Iterator<Item = (Name, u64)>,
) -> UnreferencedParts {
    let named: BTreeSet<&str> = head.parts.iter().map(|part| &*part.hash).collect();
    let older = listed.filter(|(_, version)| *version < head_version);
    older.filter(|(hash, _)| !named.contains(&**hash)).collect()
}

/// What may be deleted: found needless by both looks, at the same version.
pub fn deletable(before: &UnreferencedParts, now: &UnreferencedParts) -> UnreferencedParts {
    let both = now
        .iter()
        .filter(|(hash, version)| before.get(*hash) == Some(version));
    both.map(|(hash, version)| (hash.clone(), *version))
        .collect()
}
