//! The configuration in force on this instance.

use std::sync::Arc;

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
