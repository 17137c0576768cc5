//! Signals that a process reacts to, from its first moments on.
//!
//! A hang-up ends a process that has no handler for it. The handlers therefore stand before anything
//! that may last: the settings, the log and the listeners are opened afterwards. A signal that arrives
//! meanwhile is kept and acted on as soon as one of the waits here is polled.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::KernelError;

/// Handlers of the signals that the process reacts to.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called within a runtime.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub fn open() -> Result<Signals, KernelError> {
        let open = |kind| {
            signal(kind).map_err(|e| KernelError::SetUp {
                what: "signals",
                cause: e.to_string(),
            })
        };
        Ok(Signals {
            term: open(SignalKind::terminate())?,
            int: open(SignalKind::interrupt())?,
            hup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for a termination signal and calls `on_hang_up` at each hang-up. A wait that is dropped
    /// loses no signal.
    pub async fn termination(&mut self, mut on_hang_up: impl FnMut()) {
        loop {
            tokio::select! {
                biased;
                _ = self.term.recv() => return,
                _ = self.int.recv() => return,
                _ = self.hup.recv() => on_hang_up(),
            }
        }
    }
}
