//! An instance's share of an organisation's fleet-wide limit.
//!
//! Each instance computes its share from the gossiped demand. All instances use the same figures as
//! far as gossip has converged, so the shares add up to the limit within one request per instance.
//! In a network partition each side takes more than its share: with `k` sides that see only
//! themselves the sum is at most `k` times the limit, and as much again for requests that were in
//! flight before.

/// Demand for an organisation: requests queued or in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Demand on this instance.
    pub own: u32,
    /// Sum over all live instances, including this one.
    pub all: u32,
    /// Number of live instances, including this one.
    pub instances: u32,
}

/// Returns the maximum number of an organisation's requests on this instance.
///
/// Half of the limit is divided evenly, so that a caller is served by an instance that had no
/// demand so far; the other half is divided by demand. Never 0 unless the limit is 0.
pub fn share_of(limit: u32, demand: Demand) -> u32 {
    let instances = u64::from(demand.instances.max(1));
    let own = u64::from(demand.own);
    let all = u64::from(demand.all).max(own);
    let limit = u64::from(limit);
    let even = limit.div_ceil(2).div_ceil(instances);
    let by_demand = match all {
        0 => limit / 2 / instances,
        _ => limit / 2 * own / all,
    };
    u32::try_from((even + by_demand).min(limit)).unwrap_or(u32::MAX)
}
