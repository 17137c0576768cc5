//! Keys of the configuration's objects on the platform.

/// The one head.
pub(crate) const HEAD: &str = "config/head";

/// What the keys of all parts begin with.
pub(crate) const PARTS: &str = "config/parts/";

/// A part, by its hash.
pub(crate) fn part(hash: &str) -> String {
    format!("{PARTS}{hash}")
}
