//! Revisions of the store, which may come back from an older copy.
//!
//! Then it gives revisions out again, and the same number names another change. Its answers name the era,
//! which rises by one each time. So a revision is an era and a number, and one of a later era is later
//! whatever its number.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A revision of the store. The order of the fields is that of comparison.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{era}:{number}")]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number within it.
    pub number: u64,
}
