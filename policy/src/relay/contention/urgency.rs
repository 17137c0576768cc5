//! Urgency levels of requests.
//!
//! An organisation's priority takes precedence over that of the route. Where organisations have the same
//! priority, the route's decides between their requests, so that operators who give all organisations a
//! priority still order the kinds of requests.

/// Number of levels; the last one holds all less urgent requests.
pub const LEVELS: usize = ORGANISATION_LEVELS as usize * ROUTE_LEVELS as usize;

/// Numbers of priorities of organisations and of routes that are told apart.
const ORGANISATION_LEVELS: u32 = 10;
const ROUTE_LEVELS: u32 = 4;

/// Returns the level of a request, 0 for the most urgent, from the priority of its organisation, if it
/// has one, and that of its route.
#[must_use]
pub fn level(organisation: Option<u32>, route: u32) -> u32 {
    let precedence = organisation.unwrap_or(route).min(ORGANISATION_LEVELS - 1);
    precedence * ROUTE_LEVELS + route.min(ROUTE_LEVELS - 1)
}

/// Returns the priorities of organisation and route that a level stands for.
#[must_use]
pub fn priorities(level: u32) -> (u32, u32) {
    (level / ROUTE_LEVELS, level % ROUTE_LEVELS)
}

/// Returns a level as operators see it: the priorities of organisation and route, as in `1.2`.
#[must_use]
pub fn label(level: u32) -> String {
    let (organisation, route) = priorities(level);
    format!("{organisation}.{route}")
}
