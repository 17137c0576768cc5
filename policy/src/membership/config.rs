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
    /// Number of members up to which a digest lists all of them. In a larger fleet it lists as many, so
    /// that the cost of an exchange does not grow with the fleet.
    pub max_beats: usize,
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
            max_beats: usize::MAX,
            retention_rounds: 3_600,
            max_members: 2_048,
            retry_every_rounds: 3,
        }
    }
}

/// Rounds within which a heartbeat arrives, for each part into which digests divide the fleet.
const WINDOW_ROUNDS: u64 = 4;

impl MembershipConfig {
    /// Returns the number of silent rounds after which a member is doubted in a fleet of `members`.
    ///
    /// Push-pull gossip with one random peer per round spreads a heartbeat to all instances within
    /// about `log3(n) + ln(ln(n))` rounds on average. Twice the binary logarithm exceeds the worst
    /// case seen over many runs, and the slack covers lost messages. In a fleet whose digests list a
    /// part of the members, a heartbeat arrives later; there a lost instance is found by the peers
    /// that call it, and its silence is the last resort.
    #[must_use]
    pub fn silence_rounds(&self, members: usize) -> u64 {
        let digests = members.div_ceil(self.max_beats) as u64;
        let partial = WINDOW_ROUNDS * (digests - 1);
        self.spread_rounds(members) + self.silence_slack_rounds + partial
    }

    /// Returns the number of rounds within which a change has reached a fleet of `members`, if every
    /// message carries it.
    #[must_use]
    pub fn spread_rounds(&self, members: usize) -> u64 {
        2 * u64::from(members.max(1).ilog2())
    }

    /// Returns the rounds by which the known heartbeat of a member may be behind the true one in a
    /// fleet of `members`, beyond those that its digests of all members would take.
    #[must_use]
    pub fn staleness_rounds(&self, members: usize) -> u64 {
        match self.lists_all(members) {
            true => 0,
            false => self.silence_rounds(members),
        }
    }

    /// Returns whether each digest lists all members of a fleet of `members`.
    #[must_use]
    pub fn lists_all(&self, members: usize) -> bool {
        members <= self.max_beats
    }

    /// Returns the interval, in rounds, between two whole digests that repair small differences in a
    /// fleet of `members`. It grows with the fleet, as a whole digest does.
    #[must_use]
    pub fn repair_rounds(&self, members: usize) -> u64 {
        members.div_ceil(self.max_beats) as u64
    }

    /// Returns the gap between two observations of the clocks, in milliseconds, above which this
    /// process is considered to have been suspended. Calls that failed across such a gap are no
    /// evidence against the peers.
    #[must_use]
    pub fn suspend_threshold_ms(&self) -> Millis {
        3 * self.round_ms
    }
}
