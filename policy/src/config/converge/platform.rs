//! The instance's view of the platform.

use crate::time::Millis;

/// The state of the platform as seen by this instance.
#[derive(Debug, Default)]
pub(super) struct PlatformView {
    reached: bool,
    ever_answered: bool,
    behind: Option<Behind>,
}

/// A period in which the platform shows an older head than the one in force.
#[derive(Clone, Copy, Debug)]
struct Behind {
    version: u64,
    since: Millis,
    /// Time of the last reaction to it.
    acted_at: Option<Millis>,
}

impl PlatformView {
    pub(super) fn answered(&mut self) {
        self.reached = true;
        self.ever_answered = true;
    }

    pub(super) fn failed(&mut self) {
        self.reached = false;
    }

    pub(super) fn is_reached(&self) -> bool {
        self.reached
    }

    pub(super) fn ever_answered(&self) -> bool {
        self.ever_answered
    }

    /// Records that the platform does not show an older head.
    pub(super) fn agrees(&mut self) {
        self.behind = None;
    }

    /// Records that the platform shows an older head at `version`. Returns whether this has
    /// persisted for `confirm_ms` since it was first seen or last acted upon.
    pub(super) fn behind(
        &mut self,
        now: Millis,
        version: u64,
        asked_at: Millis,
        confirm_ms: Millis,
    ) -> bool {
        let first = Behind {
            version,
            since: now,
            acted_at: None,
        };
        let behind = self.behind.get_or_insert(first);
        if behind.version != version {
            *behind = first;
        }
        let since = behind.acted_at.unwrap_or(behind.since);
        let persists = asked_at >= since + confirm_ms;
        if persists {
            behind.acted_at = Some(now);
        }
        persists
    }
}
