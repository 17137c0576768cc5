//! Object keys of the configuration on the platform.

/// Key of the head.
pub(crate) const HEAD: &str = "config/head";

/// Key prefix of all parts.
pub(crate) const PARTS: &str = "config/parts/";

/// Returns the key of the part with this hash.
pub(crate) fn part(hash: &str) -> String {
    format!("{PARTS}{hash}")
}
