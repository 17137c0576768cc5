//! What the event loop is doing at the moment, for the watchdog of the process.
//!
//! The watchdog runs on a thread of its own and reads it when the event loop makes no progress.

use std::sync::{Mutex, PoisonError};

use derive_more::Display;

use crate::tasks::{Job, TaskName};

/// Work of the event loop between two points at which others may run.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub(crate) enum Activity {
    /// Nothing that is named.
    #[default]
    #[display("event loop")]
    EventLoop,
    /// Polls a task that lives as long as the process.
    #[display("task {_0}")]
    Task(TaskName),
    /// Polls a task that does a single piece of work.
    #[display("job {_0}")]
    Job(Job),
    /// Plans which runner holds which layers.
    #[display("placement plan")]
    PlacementPlan,
    /// Searches for chains of runners.
    #[display("chain search")]
    ChainSearch,
}

static CURRENT: Mutex<Activity> = Mutex::new(Activity::EventLoop);

/// Names `activity` as the current one until the result is dropped.
pub(crate) fn enter(activity: Activity) -> CurrentActivity {
    CurrentActivity {
        before: replace(activity),
    }
}

/// Returns the current activity as text.
pub(crate) fn describe() -> String {
    CURRENT
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .to_string()
}

/// Restores the activity before it when it is dropped.
pub(crate) struct CurrentActivity {
    before: Activity,
}

impl Drop for CurrentActivity {
    fn drop(&mut self) {
        replace(self.before);
    }
}

fn replace(activity: Activity) -> Activity {
    let mut current = CURRENT.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut current, activity)
}
