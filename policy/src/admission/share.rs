//! An instance's share of an organisation's limit over all instances.
//!
//! Each instance takes its share by its demand as gossiped. All use the same figures as far as
//! the gossip has reached them, so the shares add up to the limit, give or take one request an
//! instance. With figures that differ, in a partition, each side gives itself more than its part:
//! with `k` sides that see only themselves the sum is at most `k` times the limit, and the same
//! again for the requests that were in flight before.

/// Demand of one instance for an organisation: requests queued or in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// This instance's.
    pub own: u32,
    /// Sum over all live instances, this one counted.
    pub all: u32,
    /// Number of live instances, this one counted.
    pub instances: u32,
}

/// The most requests of an organisation that this instance may have. Half of the limit is shared
/// evenly, so that a caller that turns to an instance without demand so far is served; the other
/// half by demand. Never 0 where the limit is not.
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
