//! The upstreams as operators see them.

use super::{Availability, Upstream, Upstreams};
use crate::time::{Millis, Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Events since the start, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Upstreams doubted.
    pub doubts: u64,
    /// Upstreams suspected here with confirmation by another observer.
    pub suspicions: u64,
    /// Upstreams suspected without confirmation, as no other observer answered.
    pub unconfirmed: u64,
    /// Suspicions that a report or a connection ended here.
    pub false_alarms: u64,
    /// Upstreams that said here that they leave.
    pub left: u64,
    /// Times this process was stopped and woken.
    pub woken: u64,
    /// Upstreams that were not taken in, as too many are known.
    pub refused: u64,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Name.
    pub name: Name,
    /// Incarnation.
    pub incarnation: u64,
    /// Group.
    pub group: Name,
    /// Failure domain.
    pub domain: Name,
    /// Whether new work goes to it.
    pub availability: Availability,
    /// Layers it holds, as `model 0..8`.
    pub holds: Vec<String>,
    /// Age of its load, in milliseconds, where one is known.
    pub load_age_ms: Option<Millis>,
    /// Instances that observe it.
    pub observers: Vec<Name>,
}

/// All upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamsDump {
    /// In the order of names.
    pub rows: Vec<UpstreamRow>,
    /// Events since the start.
    pub counts: UpstreamCounts,
}

impl Upstreams {
    /// All upstreams, for the dump and the status.
    #[must_use]
    pub fn dump(&self, mono_ms: Millis) -> UpstreamsDump {
        UpstreamsDump {
            rows: self
                .upstreams
                .values()
                .map(|u| self.row(u, mono_ms))
                .collect(),
            counts: self.counts,
        }
    }

    fn row(&self, u: &Upstream, mono_ms: Millis) -> UpstreamRow {
        let l = u.listed();
        let holds = u.record.profile.iter().flat_map(|p| &p.holds);
        UpstreamRow {
            name: l.name.clone(),
            incarnation: l.incarnation,
            group: l.group.clone(),
            domain: l.domain.clone(),
            availability: self.availability(u),
            holds: holds.map(|h| format!("{} {}", h.model, h.layers)).collect(),
            load_age_ms: u.load.map(|load| mono_ms.saturating_sub(load.true_ms)),
            observers: self.observers(l).cloned().collect(),
        }
    }
}

impl fmt::Display for UpstreamRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, incarnation) = (&self.name, self.incarnation);
        write!(
            f,
            "{name}@{incarnation} {} {}: {}",
            self.group, self.domain, self.availability
        )?;
        for holds in &self.holds {
            write!(f, ", {holds}")?;
        }
        if let Some(age) = self.load_age_ms {
            write!(f, ", load {age} ms old")?;
        }
        write!(f, ", observed by {}", self.observers.join(" "))
    }
}

impl fmt::Display for UpstreamsDump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            writeln!(f, "{row}")?;
        }
        write!(f, "{:?}", self.counts)
    }
}
