//! Regions: failure domains that are close to each other.
//!
//! Settings and the platform's list name a failure domain only. A name of the form
//! `region.domain` puts it in a region; names without a dot are all in one region.

/// Region of a failure domain: what stands before the first dot, or nothing.
#[must_use]
pub fn region_of(domain: &str) -> &str {
    domain.split_once('.').map_or("", |(region, _)| region)
}
