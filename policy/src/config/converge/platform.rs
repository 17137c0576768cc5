//! What the platform was last seen to show.

use crate::time::Millis;

/// The platform as seen from here.
#[derive(Debug, Default)]
pub(super) struct PlatformView {
    reached: bool,
    ever_answered: bool,
    behind: Option<Behind>,
}

/// The platform shows an older head than the one in force.
#[derive(Clone, Copy, Debug)]
struct Behind {
    version: u64,
    since: Millis,
    /// When it was last acted upon.
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

    /// It does not show an older head.
    pub(super) fn agrees(&mut self) {
        self.behind = None;
    }

    /// It shows an older head, at a version; whether that has lasted for `lasting_ms` since it
    /// was first seen, or since it was last acted upon.
    pub(super) fn behind(
        &mut self,
        now: Millis,
        version: u64,
        asked_at: Millis,
        lasting_ms: Millis,
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
        let lasting = asked_at >= since + lasting_ms;
        if lasting {
            behind.acted_at = Some(now);
        }
        lasting
    }
}
