//! Keys of the configuration's objects on the platform.

/// The one head.
pub(crate) const HEAD: &str = "config/head";

/// A part, by its hash.
pub(crate) fn part(hash: &str) -> String {
    format!("config/parts/{hash}")
}
