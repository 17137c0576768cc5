//! The configuration in force on this instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jacinthweir_policy::prelude::*;
use jacinthweir_policy::schema::CompiledSchema;
use tokio::sync::watch;

/// A revision in force.
pub struct InForce {
    /// Revision.
    pub revision: u64,
    /// Unix time since when it is in force here, in milliseconds.
    pub since_unix_ms: Millis,
    /// Its schema.
    pub schema: Arc<CompiledSchema>,
    serve_until: AtomicU64,
}

impl InForce {
    /// A revision that may not be served by before [`InForce::set_serve_until`].
    #[must_use]
    pub fn new(revision: u64, since_unix_ms: Millis, schema: Arc<CompiledSchema>) -> InForce {
        InForce {
            revision,
            since_unix_ms,
            schema,
            serve_until: AtomicU64::new(0),
        }
    }

    /// Sets the time until which it may be served by, as in [`crate::Kernel::elapsed_ms`].
    pub fn set_serve_until(&self, ms: Millis) {
        self.serve_until.store(ms, Ordering::Relaxed);
    }

    /// Whether it may be served by. Asked for each request, and not only when the state changes:
    /// an instance that was frozen past the limit would otherwise answer the requests that
    /// waited in its sockets by the old revision, before its tasks find out.
    #[must_use]
    pub fn may_serve(&self, elapsed_ms: Millis) -> bool {
        elapsed_ms < self.serve_until.load(Ordering::Relaxed)
    }
}

/// What an instance may serve by.
#[derive(Clone, Default)]
pub enum Config {
    /// None yet: the instance is joining.
    #[default]
    Absent,
    /// In force.
    InForce(Arc<InForce>),
    /// A revision that neither the platform nor a majority of the instances has confirmed for
    /// too long: a newer one may be in force elsewhere, so nothing is served by it.
    Unconfirmed(Arc<InForce>),
}

impl Config {
    /// The revision known, whether or not it may be served by.
    #[must_use]
    pub fn known(&self) -> Option<&Arc<InForce>> {
        match self {
            Config::Absent => None,
            Config::InForce(c) | Config::Unconfirmed(c) => Some(c),
        }
    }

    /// The revision to serve by.
    #[must_use]
    pub fn served(&self) -> Option<&Arc<InForce>> {
        match self {
            Config::InForce(c) => Some(c),
            Config::Absent | Config::Unconfirmed(_) => None,
        }
    }
}

/// Holds the configuration; the schema plug-in alone sets it.
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
    /// What stands now.
    #[must_use]
    pub fn get(&self) -> Config {
        self.tx.borrow().clone()
    }

    /// Puts another in place. A lower revision than the known one is refused: whatever asks for
    /// that has old news.
    pub fn set(&self, config: Config) -> bool {
        self.tx.send_if_modified(|standing| {
            let known = standing.known().map_or(0, |c| c.revision);
            let offered = config.known().map_or(0, |c| c.revision);
            if offered < known {
                return false;
            }
            *standing = config;
            true
        })
    }

    /// Told of each change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Config> {
        self.tx.subscribe()
    }
}
