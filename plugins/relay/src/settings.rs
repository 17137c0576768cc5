//! Settings of the relay: JSON with comments, checked whole.

use std::net::SocketAddr;
use std::path::Path;

use jacinthweir_document::{Document, Fault};
use jacinthweir_kernel::KernelError;
use jacinthweir_kernel::settings::{LogSettings, open_with};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

/// Settings of a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the instance, kept over restarts.
    pub name: Name,
    /// Failure domain.
    pub failure_domain: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Peers' addresses of other instances; may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Limits on what comes in.
    #[serde(default)]
    pub limits: RelayLimits,
    /// What has been promised.
    pub bounds: Bounds,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// The platform's question whether this instance takes callers.
    pub ready: SocketAddr,
    /// Callers' question which addresses to use.
    pub entry: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Metrics and dump.
    pub operators: SocketAddr,
}

/// Limits on what comes in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayLimits {
    /// The most connections of callers. A small instance has some thousand descriptors, and each
    /// request in progress takes a second one.
    pub connections: usize,
}

impl Default for RelayLimits {
    fn default() -> Self {
        RelayLimits { connections: 1_500 }
    }
}

/// What has been promised to the users.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// A key that was taken away is refused after this time, in milliseconds.
    pub revocation_ms: Millis,
    /// A shutdown is over after this time, in seconds.
    pub shutdown_s: f64,
    /// How long callers may keep an entry answer, in milliseconds.
    pub entry_ttl_ms: Millis,
    /// Further sends for each request.
    pub repeat_ratio: f64,
    /// Further sends besides in a window, over all instances.
    pub repeat_slack: f64,
    /// Length of that window, in seconds.
    pub repeat_window_s: f64,
}

impl Bounds {
    /// A shutdown is over after this time, in milliseconds.
    #[must_use]
    pub fn shutdown_ms(&self) -> Millis {
        (self.shutdown_s * 1e3) as Millis
    }

    /// Length of the window of further sends, in milliseconds.
    #[must_use]
    pub fn repeat_window_ms(&self) -> Millis {
        (self.repeat_window_s * 1e3) as Millis
    }
}

impl RelaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or every fault found in it.
    pub fn open(path: &Path) -> Result<RelaySettings, KernelError> {
        open_with(path, RelaySettings::parse)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    /// Every fault found.
    pub fn parse(text: &str) -> Result<RelaySettings, Vec<Fault>> {
        let doc = Document::parse(text)?;
        let settings: RelaySettings = doc.read()?;
        let faults = settings.faults(&doc);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn faults(&self, doc: &Document) -> Vec<Fault> {
        let mut faults = Vec::new();
        for (field, name) in [
            ("name", &self.name),
            ("failure_domain", &self.failure_domain),
        ] {
            if name.is_empty() {
                faults.push(doc.fault_at(field, "must not be empty"));
            }
        }
        let b = &self.bounds;
        for (field, value) in [
            ("limits.connections", self.limits.connections as u64),
            ("bounds.revocation_ms", b.revocation_ms),
            ("bounds.entry_ttl_ms", b.entry_ttl_ms),
        ] {
            if value == 0 {
                faults.push(doc.fault_at(field, "must be greater than 0"));
            }
        }
        for (field, value) in [
            ("bounds.shutdown_s", b.shutdown_s),
            ("bounds.repeat_window_s", b.repeat_window_s),
            ("bounds.repeat_ratio", b.repeat_ratio),
            ("bounds.repeat_slack", b.repeat_slack),
        ] {
            if !value.is_finite() || value < 0.0 {
                faults.push(doc.fault_at(field, "must be 0 or greater"));
            }
        }
        faults
    }
}
