//! Garbage collection of configuration parts on the platform.
//!
//! Each commit leaves behind the parts that it replaced. A part may be deleted if the current head
//! does not reference it and its object is older than the head: a commit in progress rewrites every
//! part that the current head lacks, so its parts are newer than the head that it will replace. The
//! deletion is conditional on the version seen, so a part that is rewritten in the meantime stays.
//! Instances that still fetch the replaced revision learn of the new one and switch to it; to give
//! them time, a part is deleted only after two consecutive scans have found it unreferenced.

use std::collections::{BTreeMap, BTreeSet};

use crate::head::Head;
use crate::time::Name;

/// Unreferenced parts by hash, with the versions of their objects.
pub type UnreferencedParts = BTreeMap<Name, u64>;

/// Returns the `listed` parts that neither the head at `head_version` nor a commit that replaces it
/// needs.
pub fn unreferenced_parts(
    head: &Head,
    head_version: u64,
    listed: impl Iterator<Item = (Name, u64)>,
) -> UnreferencedParts {
    let referenced: BTreeSet<&str> = head.parts.iter().map(|part| &*part.hash).collect();
    let older = listed.filter(|(_, version)| *version < head_version);
    older
        .filter(|(hash, _)| !referenced.contains(&**hash))
        .collect()
}

/// Returns the parts that may be deleted: unreferenced in both scans, at the same version.
pub fn deletable(before: &UnreferencedParts, now: &UnreferencedParts) -> UnreferencedParts {
    let both = now
        .iter()
        .filter(|(hash, version)| before.get(*hash) == Some(version));
    both.map(|(hash, version)| (hash.clone(), *version))
        .collect()
}
