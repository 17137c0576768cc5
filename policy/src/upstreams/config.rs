//! Settings of the observation of upstreams.

/// Settings of the observation of upstreams; the same on every instance of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamsConfig {
    /// Instances that poll one runner.
    pub observers: usize,
    /// Failed polls or connects in a row after which an upstream is doubted.
    pub max_misses: u32,
    /// Other observers that must fail to reach a doubted runner, where that many are there.
    pub confirmations: usize,
    /// The most whole records in one message; the rest follows in later rounds.
    pub max_records: usize,
    /// Lists in a row that lack an upstream before that counts.
    pub max_unlisted: u32,
    /// Lists in a row that lack an upstream before it is forgotten.
    pub forget_lists: u32,
    /// The most upstreams that are remembered; further ones are counted and ignored.
    pub max_upstreams: usize,
}

impl Default for UpstreamsConfig {
    fn default() -> Self {
        UpstreamsConfig {
            observers: 3,
            max_misses: 2,
            confirmations: 1,
            max_records: 64,
            max_unlisted: 2,
            forget_lists: 300,
            max_upstreams: 8_192,
        }
    }
}
