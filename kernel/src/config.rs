//! Configuration in force on this instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::schema::CompiledSchema;
use tokio::sync::watch;

/// A configuration revision in force.
pub struct InForce {
    /// Revision.
    pub revision: u64,
    /// Unix time at which it came into force on this instance, in milliseconds.
    pub since_unix_ms: Millis,
    /// Compiled schema of the revision.
    pub schema: Arc<CompiledSchema>,
    serve_until: AtomicU64,
}

impl InForce {
    /// Creates a revision that may not be used before [`InForce::set_serve_until`] is called.
    #[must_use]
    pub fn new(revision: u64, since_unix_ms: Millis, schema: Arc<CompiledSchema>) -> InForce {
        InForce {
            revision,
            since_unix_ms,
            schema,
            serve_until: AtomicU64::new(0),
        }
    }

    /// Sets the time until which requests may be served with this revision, on the clock of
    /// [`crate::Kernel::elapsed_ms`].
    pub fn set_serve_until(&self, ms: Millis) {
        self.serve_until.store(ms, Ordering::Relaxed);
    }

    /// Returns whether requests may be served with this revision.
    ///
    /// Checked for each request, not only on state changes: an instance that was suspended past
    /// the limit would otherwise serve the requests waiting in its sockets with the old revision
    /// before its tasks update the state.
    #[must_use]
    pub fn may_serve(&self, elapsed_ms: Millis) -> bool {
        elapsed_ms < self.serve_until.load(Ordering::Relaxed)
    }
}

/// Configuration state of an instance.
#[derive(Clone, Default)]
pub enum Config {
    /// None yet: the instance is joining.
    #[default]
    Absent,
    /// In force.
    InForce(Arc<InForce>),
    /// Not confirmed for too long by either the platform or a majority of the instances. A newer
    /// revision may be in force elsewhere, so no request is served with this one.
    Unconfirmed(Arc<InForce>),
}

impl Config {
    /// Returns the known revision, whether or not requests may be served with it.
    #[must_use]
    pub fn known(&self) -> Option<&Arc<InForce>> {
        match self {
            Config::Absent => None,
            Config::InForce(c) | Config::Unconfirmed(c) => Some(c),
        }
    }

    /// Returns the revision to serve requests with.
    #[must_use]
    pub fn served(&self) -> Option<&Arc<InForce>> {
        match self {
            Config::InForce(c) => Some(c),
            Config::Absent | Config::Unconfirmed(_) => None,
        }
    }
}

/// Holds the configuration, which only the schema plug-in sets.
pub struct ConfigCell {
    tx: watch::Sender<Config>,
}

impl Default for ConfigCell {
    fn default() -> Self {
        let (tx, _) = watch::channel(Config::Absent);
        ConfigCell { tx }
    }
}

impl ConfigCell {
    /// Returns the current configuration.
    #[must_use]
    pub fn get(&self) -> Config {
        self.tx.borrow().clone()
    }

    /// Replaces the configuration and returns whether it did. A lower revision than the known one
    /// is rejected as stale.
    pub fn set(&self, config: Config) -> bool {
        self.tx.send_if_modified(|current| {
            let known = current.known().map_or(0, |c| c.revision);
            let offered = config.known().map_or(0, |c| c.revision);
            if offered < known {
                return false;
            }
            *current = config;
            true
        })
    }

    /// Returns a receiver that is notified of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Config> {
        self.tx.subscribe()
    }
}
