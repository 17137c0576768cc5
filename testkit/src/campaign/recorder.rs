//! Recording of a history during a run.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::history::History;

/// Collects the events of all tasks of a run.
#[derive(Debug, Default)]
pub struct Recorder {
    history: Mutex<History>,
}

impl Recorder {
    /// Creates a recorder with an empty history of a model with `layers` layers.
    #[must_use]
    pub fn new(layers: u32) -> Self {
        let history = History {
            layers,
            ..History::default()
        };
        Self {
            history: Mutex::new(history),
        }
    }

    /// Locks and returns the history recorded so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the recorded history and leaves an empty one.
    #[must_use]
    pub fn take(&self) -> History {
        std::mem::take(&mut *self.history())
    }
}
