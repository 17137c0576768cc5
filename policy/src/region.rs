//! Regions, which are groups of failure domains close to each other.
//!
//! Settings and the platform's list contain failure domains only. A name of the form
//! `region.domain` assigns the domain to a region; all names without a dot are in the same region.

/// Returns the region of a failure domain: the part before the first dot, or the empty string.
#[must_use]
pub fn region_of(domain: &str) -> &str {
    domain.split_once('.').map_or("", |(region, _)| region)
}
