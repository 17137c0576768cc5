//! Revisions of the store, ordered across restores from older copies.
//!
//! After a restore the store issues the same revision numbers again for other changes. Its answers
//! carry an era, which grows by one with each restore. A revision is therefore an era and a number,
//! and a revision of a later era is newer whatever its number.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A revision of the store. The derived order depends on the order of the fields.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{era}:{number}")]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}
