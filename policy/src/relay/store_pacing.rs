//! Pauses between calls to the store that bring an instance no further.
//!
//! A list that is followed by another one, and a watch that ends at once without a change, cost the store
//! as much as any other. An instance that makes them one after the other uses up the calls that all
//! instances together may make, and its own processor. So such calls are paced: the first ones follow at once, later ones after a
//! pause that doubles up to a maximum. The maximum is short, since a pause also delays changes.

use crate::prelude::*;

/// First pause between lists, and the longest one, in milliseconds.
const FIRST_LIST_PAUSE_MS: Millis = 100;
const MAX_LIST_PAUSE_MS: Millis = 800;

/// Time without a list after which the next one follows at once, in milliseconds.
const LIST_CALM_MS: Millis = 3_000;

/// Pacing of lists.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListPacing {
    last_ms: Option<Millis>,
    pause_ms: Millis,
}

impl ListPacing {
    /// Records that a list is to be read, and returns the pause before it in milliseconds.
    pub fn next_pause_ms(&mut self, now: Millis) -> Millis {
        let is_calm = self.last_ms.is_none_or(|at| now >= at + LIST_CALM_MS);
        let pause_ms = match is_calm {
            true => 0,
            false => self.pause_ms,
        };
        self.pause_ms = (2 * pause_ms).clamp(FIRST_LIST_PAUSE_MS, MAX_LIST_PAUSE_MS);
        self.last_ms = Some(now + pause_ms);
        pause_ms
    }
}

/// Time after which an instance reads a list again that was not whole, and the longest one, in
/// milliseconds. The objects of other writers that keep it from its end may stay there for good.
const FIRST_REPEAT_MS: Millis = 1_000;
const MAX_REPEAT_MS: Millis = 30_000;

/// Repeats of lists that were not whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartialLists {
    repeat_ms: Millis,
}

impl PartialLists {
    /// Records a list. Returns when it is read again, in milliseconds; `None` if it was whole.
    pub fn record(&mut self, is_whole: bool) -> Option<Millis> {
        if is_whole {
            self.repeat_ms = 0;
            return None;
        }
        self.repeat_ms = (2 * self.repeat_ms).clamp(FIRST_REPEAT_MS, MAX_REPEAT_MS);
        Some(self.repeat_ms)
    }
}

/// Watches without a change that may follow each other at once.
const UNPACED_WATCHES: u32 = 3;

/// First pause between watches, and the longest one, in milliseconds.
const FIRST_WATCH_PAUSE_MS: Millis = 20;
const MAX_WATCH_PAUSE_MS: Millis = 640;

/// What a watch brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchResult {
    /// Changes that could be decoded.
    pub changes: usize,
    /// Whether its revision is later than the one from which it was asked for.
    pub got_on: bool,
    /// How long it lasted, and how long it could have, in milliseconds.
    pub lasted_ms: Millis,
    /// Timeout that it was asked for with, in milliseconds.
    pub timeout_ms: Millis,
}

impl WatchResult {
    /// Returns whether it brought an instance no further, and ended long before its time.
    fn is_idle(self) -> bool {
        let is_early = self.lasted_ms < self.timeout_ms / 2;
        match self.changes {
            0 => is_early,
            _ => !self.got_on,
        }
    }
}

/// Pacing of watches.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchPacing {
    idle: u32,
}

impl WatchPacing {
    /// Records a watch, and returns the pause before the next one in milliseconds.
    pub fn record(&mut self, watch: WatchResult) -> Millis {
        if !watch.is_idle() {
            self.idle = 0;
            return 0;
        }
        self.idle = self.idle.saturating_add(1);
        match self.idle.checked_sub(UNPACED_WATCHES + 1) {
            None => 0,
            Some(doublings) => FIRST_WATCH_PAUSE_MS
                .saturating_mul(1 << doublings.min(16))
                .min(MAX_WATCH_PAUSE_MS),
        }
    }

    /// Returns the watches without a change that followed each other.
    #[must_use]
    pub fn idle(self) -> u32 {
        self.idle
    }
}
