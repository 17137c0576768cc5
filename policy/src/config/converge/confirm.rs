//! Confirmation that the revision in force is still current.
//!
//! A partitioned instance could otherwise serve a stale configuration forever. A revision is
//! confirmed when the platform returns it, or when a majority of the known instances, including
//! this one, knows no newer one. If a commit is made on the other side of a partition, the side
//! with neither a majority nor the platform stops serving within the configured time.

use super::{Convergence, PeerView, Target};
use crate::time::{Millis, Name};

impl Convergence {
    pub(super) fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Updates the view of the other instances.
    ///
    /// Members that stay silent are eventually removed. A partitioned instance would then know no
    /// other, form a majority by itself and serve a stale configuration again. The instance count
    /// used for the majority is therefore lowered only while the revision is confirmed.
    pub(super) fn set_members(&mut self, now: Millis, members: Vec<PeerView>) {
        let confirmed = now < self.serve_until();
        if confirmed || members.len() > self.others {
            self.others = members.len();
        }
        self.members = members;
    }

    /// Returns the newest time at which a majority of the known instances, including this one, was
    /// known to have no newer revision.
    pub(super) fn majority_confirmed_at(&self, now: Millis) -> Option<Millis> {
        let ours = self.in_force.as_ref()?.head.revision;
        let agrees = |revision: u64| revision > 0 && revision <= ours;
        let agreeing = self.members.iter().filter(|peer| agrees(peer.revision));
        self.majority_of(now, agreeing.filter_map(|peer| peer.heard_at).collect())
    }

    /// Returns whether a target whose parts are all present may come into force.
    ///
    /// If the platform was restored from an older copy and then written to, a lagging or joining
    /// instance cannot distinguish its head from the accepted one. If a live peer is at the
    /// target's revision or beyond, the target must therefore have been announced by a peer or have
    /// waited for the grace period; if no peer is that far, the target is new. The first
    /// head also waits until the peers have been heard from and is never older than a revision that
    /// one of them has in force.
    pub(super) fn may_put_in_force(&self, now: Millis, target: &Target) -> bool {
        let is_recent = |at: Millis| now.saturating_sub(at) <= self.cfg.unconfirmed_ms;
        let live = self
            .members
            .iter()
            .filter(|peer| peer.heard_at.is_some_and(is_recent));
        let newest = live.map(|peer| peer.revision).max().unwrap_or(0);
        let trusted = target.in_force_at_peer
            || newest < target.head.revision
            || now >= target.since + self.cfg.join_grace_ms;
        if self.in_force.is_some() {
            return trusted;
        }
        if !trusted || newest > target.head.revision {
            return false;
        }
        let alone = self.members.is_empty() && !self.cfg.expects_peers;
        let heard: Vec<Millis> = self
            .members
            .iter()
            .filter_map(|peer| peer.heard_at)
            .collect();
        let majority_heard = !self.members.is_empty() && self.majority_of(now, heard).is_some();
        let grace_elapsed = now >= self.started_at + self.cfg.join_grace_ms;
        alone || majority_heard || (grace_elapsed && self.platform.ever_answered())
    }

    /// Returns the newest time such that this instance and the others heard from at that time or
    /// later form a majority of all known instances; `heard` has one time per other instance.
    fn majority_of(&self, now: Millis, mut heard: Vec<Millis>) -> Option<Millis> {
        let others_needed = self.others.div_ceil(2);
        if others_needed == 0 {
            return Some(now);
        }
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(others_needed - 1).copied()
    }

    /// Returns the peers at a revision or beyond; they hold its parts unless they have moved on.
    pub(super) fn holders(&self, revision: u64) -> Vec<Name> {
        let ahead = self.members.iter().filter(|peer| peer.revision >= revision);
        ahead.map(|peer| peer.name.clone()).collect()
    }
}
