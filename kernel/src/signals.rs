//! Signals that a process reacts to, from its first moments on.
//!
//! A hang-up or a termination signal ends a process that has no handler for it. [`HeldSignals`] needs no
//! runtime, so it is the first thing in `main`: from then on a signal is kept. [`Signals`] takes its place
//! within the runtime, before anything that may last: the settings, the log and the listeners are opened
//! afterwards. What arrived meanwhile is acted on as soon as one of the waits here is polled.

use std::mem;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{SigId, flag, low_level};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::KernelError;

fn set_up_error(cause: &impl ToString) -> KernelError {
    KernelError::SetUp {
        what: "signals",
        cause: cause.to_string(),
    }
}

/// Signals that are kept until a runtime handles them.
pub struct HeldSignals {
    terminations: [HeldSignal; 2],
    hang_up: HeldSignal,
}

impl HeldSignals {
    /// Keeps signals from now on.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub fn hold() -> Result<HeldSignals, KernelError> {
        Ok(HeldSignals {
            terminations: [HeldSignal::hold(SIGTERM)?, HeldSignal::hold(SIGINT)?],
            hang_up: HeldSignal::hold(SIGHUP)?,
        })
    }
}

struct HeldSignal {
    has_come: Arc<AtomicBool>,
    handler: SigId,
}

impl HeldSignal {
    fn hold(number: i32) -> Result<HeldSignal, KernelError> {
        let has_come = Arc::new(AtomicBool::new(false));
        let handler = flag::register(number, Arc::clone(&has_come));
        Ok(HeldSignal {
            has_come,
            handler: handler.map_err(|e| set_up_error(&e))?,
        })
    }

    /// Stops keeping the signal, and returns whether it came.
    fn release(self) -> bool {
        low_level::unregister(self.handler);
        self.has_come.load(Ordering::SeqCst)
    }
}

/// Handlers of the signals that the process reacts to.
pub struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
    /// Whether a termination signal came before the handlers stood.
    held_termination: bool,
    /// Whether a hang-up came before the handlers stood.
    held_hang_up: bool,
}

impl Signals {
    /// Installs the handlers, which take over from `held`. Must be called within a runtime.
    ///
    /// # Errors
    /// A handler cannot be installed.
    pub fn open(held: HeldSignals) -> Result<Signals, KernelError> {
        let open = |kind| signal(kind).map_err(|e| set_up_error(&e));
        let (term, int) = (
            open(SignalKind::terminate())?,
            open(SignalKind::interrupt())?,
        );
        let hup = open(SignalKind::hangup())?;
        let terminations = held.terminations.map(HeldSignal::release);
        Ok(Signals {
            term,
            int,
            hup,
            held_termination: terminations.contains(&true),
            held_hang_up: held.hang_up.release(),
        })
    }

    /// Waits for a termination signal and calls `on_hang_up` at each hang-up. A wait that is dropped
    /// loses no signal.
    pub async fn termination(&mut self, mut on_hang_up: impl FnMut()) {
        if mem::take(&mut self.held_termination) {
            return;
        }
        if mem::take(&mut self.held_hang_up) {
            on_hang_up();
        }
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
