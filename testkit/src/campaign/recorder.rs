//! Puts a history together while a run goes on.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::history::History;

/// Collects events from all tasks of a run.
#[derive(Debug, Default)]
pub struct Recorder {
    history: Mutex<History>,
}

impl Recorder {
    /// An empty history of a model with `layers` layers.
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

    /// The history so far.
    pub fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The history; nothing is left behind.
    #[must_use]
    pub fn take(&self) -> History {
        std::mem::take(&mut *self.history())
    }
}
