//! Settings of the relay: JSON with comments, validated as a whole.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use jacinthweir_clients::buffers::DEFAULT_POOL_BYTES;
use jacinthweir_document::{Document, Fault};
use jacinthweir_kernel::KernelError;
use jacinthweir_kernel::settings::{LogSettings, open_with};
use jacinthweir_policy::prelude::*;
use jacinthweir_policy::relay::contention::ContentionConfig;
use serde::{Deserialize, Serialize};

/// Settings of a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of the instance, stable across restarts.
    pub name: Name,
    /// Failure domain of the instance.
    pub failure_domain: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the peer listeners of some other instances, used as seeds; may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's metadata store.
    pub store: SocketAddr,
    /// Addresses at which this instance reaches runners that the store lists at others, as behind
    /// network address translation.
    #[serde(default)]
    pub runner_addresses: BTreeMap<SocketAddr, SocketAddr>,
    /// Limits on incoming connections, and on memory.
    #[serde(default)]
    pub limits: RelayLimits,
    /// What the instance may use of its machine's processor.
    #[serde(default)]
    pub processor: Processor,
    /// What applies while a service lacks room.
    #[serde(default)]
    pub contention: ContentionConfig,
    /// Whether the whole system starts for the first time, so that no instance ran before. Otherwise an
    /// instance keeps back its part of the retry budget for a window, which a former lifetime may have spent.
    #[serde(default)]
    pub first_start: bool,
    /// Service-level bounds.
    pub bounds: Bounds,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness probes of the platform.
    pub ready: SocketAddr,
    /// Requests of callers for the addresses of the instances to use.
    pub entry: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Metrics and dump.
    pub operators: SocketAddr,
}

/// Limits on incoming connections, and on memory.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RelayLimits {
    /// Maximum number of connections of callers. A small instance has some thousand file
    /// descriptors, and each request in progress uses a second one.
    pub connections: usize,
    /// Maximum total size of all bodies that are held as a whole and of partial events, in bytes.
    pub buffer_bytes: usize,
}

impl Default for RelayLimits {
    fn default() -> Self {
        RelayLimits {
            connections: 1_500,
            buffer_bytes: DEFAULT_POOL_BYTES,
        }
    }
}

/// What an instance may use of its machine's processor. Of the instances that could do a task on
/// behalf of others, the one with the most does it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processor {
    /// Share of a core.
    pub share: f64,
    /// Speed of the core, relative to the others of the fleet.
    pub speed: f64,
}

impl Default for Processor {
    fn default() -> Self {
        Processor {
            share: 1.0,
            speed: 1.0,
        }
    }
}

impl Processor {
    /// Returns the capacity in thousandths of a core.
    #[must_use]
    pub fn capacity(&self) -> u32 {
        (self.share * self.speed * 1e3) as u32
    }
}

/// Service-level bounds that users rely on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Maximum time from the revocation of a key until it is refused, in milliseconds.
    pub revocation_ms: Millis,
    /// Maximum duration of a shutdown, in seconds.
    pub shutdown_s: f64,
    /// Time to live of an entry answer at callers, in milliseconds.
    pub entry_ttl_ms: Millis,
    /// Number of retries that the shared retry budget allows for each request in its window.
    pub repeat_ratio: f64,
    /// Number of additional retries in a window, for all instances together.
    pub repeat_slack: f64,
    /// Length of the retry budget's window, in seconds.
    pub repeat_window_s: f64,
}

impl Bounds {
    /// Returns the maximum duration of a shutdown in milliseconds.
    #[must_use]
    pub fn shutdown_ms(&self) -> Millis {
        (self.shutdown_s * 1e3) as Millis
    }

    /// Returns the length of the retry budget's window in milliseconds.
    #[must_use]
    pub fn repeat_window_ms(&self) -> Millis {
        (self.repeat_window_s * 1e3) as Millis
    }
}

impl RelaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or it has faults, all of which are listed.
    pub fn open(path: &Path) -> Result<RelaySettings, KernelError> {
        open_with(path, RelaySettings::parse)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    /// All faults found.
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
            ("limits.buffer_bytes", self.limits.buffer_bytes as u64),
            ("bounds.revocation_ms", b.revocation_ms),
            ("bounds.entry_ttl_ms", b.entry_ttl_ms),
        ] {
            if value == 0 {
                faults.push(doc.fault_at(field, "must be greater than 0"));
            }
        }
        for (field, value) in [
            ("processor.share", self.processor.share),
            ("processor.speed", self.processor.speed),
        ] {
            if !value.is_finite() || value <= 0.0 {
                faults.push(doc.fault_at(field, "must be greater than 0"));
            }
        }
        faults.extend(contention_faults(&self.contention, doc));
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

fn contention_faults(cfg: &ContentionConfig, doc: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    if !(cfg.target_fill > 0.0 && cfg.target_fill <= 1.0) {
        let field = "contention.target_fill";
        faults.push(doc.fault_at(field, "must be greater than 0 and at most 1"));
    }
    if !(0.0..=1.0).contains(&cfg.least_share) {
        faults.push(doc.fault_at("contention.least_share", "must be from 0 to 1"));
    }
    for (organisation, weight) in &cfg.weights {
        if !weight.is_finite() || *weight <= 0.0 {
            let field = format!("contention.weights.{organisation}");
            faults.push(doc.fault_at(&field, "must be greater than 0"));
        }
    }
    faults
}
