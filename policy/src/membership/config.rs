//! Settings of the membership protocol and bounds derived from the fleet size.

use crate::time::Millis;

/// Settings of the membership protocol; must be the same on every instance of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Gossip interval in milliseconds; heartbeats are counted in this unit.
    pub round_ms: Millis,
    /// Number of random peers that an instance gossips with in each round.
    pub fanout: usize,
    /// Average number of instances per failure domain that gossip with other domains in one round;
    /// smaller domains use all their instances. Traffic between domains then grows with the number
    /// of domains instead of the number of instances.
    pub cross_domain_senders: usize,
    /// Rounds of silence tolerated beyond the propagation time of a heartbeat.
    pub silence_slack_rounds: u64,
    /// Number of peers that must fail to reach a member before it is suspected, if that many are
    /// available.
    pub confirmations: usize,
    /// Maximum number of members that an instance has probed by others in one round.
    pub max_probes: usize,
    /// Maximum number of full records per message; the rest follows in later rounds.
    pub max_records: usize,
    /// Rounds after which a member that is gone or still suspected is removed.
    pub retention_rounds: u64,
    /// Maximum number of known instances; further ones are counted and ignored.
    pub max_members: usize,
    /// Interval, in rounds, at which one unreached address (suspected, listed or from the settings)
    /// is tried in addition to the random peers.
    pub retry_every_rounds: u64,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        MembershipConfig {
            round_ms: 1_000,
            fanout: 1,
            cross_domain_senders: usize::MAX,
            silence_slack_rounds: 4,
            confirmations: 2,
            max_probes: 8,
            max_records: 128,
            retention_rounds: 3_600,
            max_members: 2_048,
            retry_every_rounds: 3,
        }
    }
}

impl MembershipConfig {
    /// Returns the number of silent rounds after which a member is doubted in a fleet of `members`.
    ///
    /// Push-pull gossip with one random peer per round spreads a heartbeat to all instances within
    /// about `log3(n) + ln(ln(n))` rounds on average. Twice the binary logarithm exceeds the worst
    /// case seen over many runs, and the slack covers lost messages.
    #[must_use]
    pub fn silence_rounds(&self, members: usize) -> u64 {
        let log2 = u64::from(members.max(1).ilog2());
        2 * log2 + self.silence_slack_rounds
    }

    /// Returns the gap between two observations of the clocks, in milliseconds, above which this
    /// process is considered to have been suspended. Calls that failed across such a gap are no
    /// evidence against the peers.
    #[must_use]
    pub fn suspend_threshold_ms(&self) -> Millis {
        3 * self.round_ms
    }
}
