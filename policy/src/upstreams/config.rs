//! Configuration of upstream monitoring.

/// Configuration of upstream monitoring; must be the same on all instances of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamsConfig {
    /// Number of instances that poll each upstream.
    pub observers: usize,
    /// Consecutive failed polls or connects after which other observers are asked to confirm.
    pub max_failures: u32,
    /// Number of other observers that must fail as well before an upstream is suspected; fewer if
    /// it has fewer observers.
    pub confirmations: usize,
    /// Maximum number of records in one message; the rest follows in later rounds.
    pub max_records: usize,
    /// Number of consecutive lists without an upstream after which it counts as unlisted.
    pub unlisted_after_lists: u32,
    /// Number of consecutive lists without an upstream after which it is removed.
    pub remove_after_lists: u32,
    /// Maximum number of known upstreams; further ones are counted and ignored.
    pub max_upstreams: usize,
}

impl Default for UpstreamsConfig {
    fn default() -> Self {
        UpstreamsConfig {
            observers: 3,
            max_failures: 2,
            confirmations: 1,
            max_records: 64,
            unlisted_after_lists: 2,
            remove_after_lists: 300,
            max_upstreams: 8_192,
        }
    }
}
