//! Whether what is in force is still what operators want.
//!
//! An instance that is cut off would serve old intent for ever. So a revision counts as confirmed
//! when the platform named it, or when a majority of the known instances (this one included) knows
//! no newer one. A commit that is made on the other side of a cut reaches no majority on this
//! side, and the side without majority and platform stops within the set time.

use super::{Convergence, PeerView, Target};
use crate::time::{Millis, Name};

impl Convergence {
    pub(super) fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Takes the other instances in.
    ///
    /// Members that stay silent are forgotten in the end. An instance that is cut off would then
    /// know of nobody, count as a majority by itself, and serve old intent again. So the number
    /// that a majority is counted from falls only while the revision is confirmed.
    pub(super) fn set_members(&mut self, now: Millis, members: Vec<PeerView>) {
        let confirmed = now < self.serve_until();
        if confirmed || members.len() > self.others {
            self.others = members.len();
        }
        self.members = members;
    }

    /// Newest time since which a majority of the known instances, this one included, is known to
    /// have no newer revision.
    pub(super) fn majority_heard_at(&self, now: Millis) -> Option<Millis> {
        let ours = self.in_force.as_ref()?.head.revision;
        let agrees = |revision: u64| revision > 0 && revision <= ours;
        let agreeing = self.members.iter().filter(|peer| agrees(peer.revision));
        self.majority_of(now, agreeing.filter_map(|peer| peer.heard_at).collect())
    }

    /// Whether a head that is held may come into force.
    ///
    /// A platform that was restored from an older copy and then written again shows a head that
    /// an instance which lags or joins cannot tell from the accepted one. So where a live peer is
    /// as far as the target, the target must be known from a peer, or have waited for one; where
    /// no peer is as far it is simply new. The first head also waits until the peers were heard,
    /// and is never older than what one of them says to have in force.
    pub(super) fn may_start(&self, now: Millis, target: &Target) -> bool {
        let recent = |at: Millis| now.saturating_sub(at) <= self.cfg.unconfirmed_ms;
        let live = self
            .members
            .iter()
            .filter(|peer| peer.heard_at.is_some_and(recent));
        let newest = live.map(|peer| peer.revision).max().unwrap_or(0);
        let vouched = target.told_by_peer
            || newest < target.head.revision
            || now >= target.since + self.cfg.join_grace_ms;
        if self.in_force.is_some() {
            return vouched;
        }
        if !vouched || newest > target.head.revision {
            return false;
        }
        let alone = self.members.is_empty() && !self.cfg.expects_peers;
        let heard: Vec<Millis> = self
            .members
            .iter()
            .filter_map(|peer| peer.heard_at)
            .collect();
        let met = !self.members.is_empty() && self.majority_of(now, heard).is_some();
        let waited = now >= self.started_at + self.cfg.join_grace_ms;
        alone || met || (waited && self.platform.ever_answered())
    }

    /// The time since which, out of all known instances, a majority is covered by this one and
    /// the others heard at `heard`.
    fn majority_of(&self, now: Millis, mut heard: Vec<Millis>) -> Option<Millis> {
        let others_needed = self.others.div_ceil(2);
        if others_needed == 0 {
            return Some(now);
        }
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(others_needed - 1).copied()
    }

    /// Peers at a revision or beyond: they hold its parts, unless they moved on.
    pub(super) fn holders(&self, revision: u64) -> Vec<Name> {
        let ahead = self.members.iter().filter(|peer| peer.revision >= revision);
        ahead.map(|peer| peer.name.clone()).collect()
    }
}
