//! Settings of the membership and the bounds that follow from the size of the fleet.

use crate::time::Millis;

/// Settings of the membership; the same on every instance of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time between two rounds, in milliseconds; heartbeats count in this unit.
    pub round_ms: Millis,
    /// Random peers that an instance exchanges with each round.
    pub fanout: usize,
    /// Instances of one failure domain that exchange with other domains in one round, on average:
    /// all while there are no more. Bytes between domains then grow with the domains and not with
    /// the instances in them.
    pub cross_domain_senders: usize,
    /// Rounds of silence that are allowed on top of the spreading time of a heartbeat.
    pub silence_slack_rounds: u64,
    /// Peers that must fail to reach a member before it is suspected, where that many are there.
    pub confirmations: usize,
    /// The most probes that an instance asks others for in one round.
    pub max_probes: usize,
    /// The most whole records in one message; the rest follows in later rounds.
    pub max_records: usize,
    /// Rounds after which a member that is gone or stays suspected is forgotten.
    pub forget_rounds: u64,
    /// The most instances that are remembered; further ones are counted and ignored.
    pub max_members: usize,
    /// Every how many rounds one unreached address (suspected, listed, from the settings) is
    /// tried besides the random peers.
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
            forget_rounds: 3_600,
            max_members: 2_048,
            retry_every_rounds: 3,
        }
    }
}

impl MembershipConfig {
    /// Rounds of silence after which a member is doubted, for a fleet of `members`.
    ///
    /// Push and pull with one random peer a round brings a heartbeat to everyone within about
    /// `log3(n) + ln(ln(n))` rounds on average; twice the binary logarithm is above what was seen
    /// in the worst of many runs, and the slack covers lost messages.
    #[must_use]
    pub fn silence_rounds(&self, members: usize) -> u64 {
        let log2 = u64::from(members.max(1).ilog2());
        2 * log2 + self.silence_slack_rounds
    }

    /// A gap between two ticks, in milliseconds, after which this process counts as having been
    /// stopped: what it had asked for and did not get says nothing about the others.
    #[must_use]
    pub fn woken_ms(&self) -> Millis {
        3 * self.round_ms
    }
}
