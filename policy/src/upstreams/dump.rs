//! State of the upstreams for operators.

use super::{Availability, Upstream, Upstreams};
use crate::time::{Millis, Name};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Event counts since the start, for metrics and the dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Times that this instance asked other observers to confirm that an upstream is unreachable.
    pub doubts: u64,
    /// Suspicions raised here with confirmation by another observer.
    pub suspicions: u64,
    /// Suspicions raised here without confirmation, as no other observer answered.
    pub unconfirmed: u64,
    /// Suspicions that a report or a connection refuted here.
    pub false_alarms: u64,
    /// Upstreams that reported to this instance that they are leaving.
    pub left: u64,
    /// Times that this process was suspended and resumed.
    pub woken: u64,
    /// Upstreams ignored because too many are known.
    pub refused: u64,
}

/// State of one upstream.
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
    /// Whether new work is sent to it.
    pub availability: Availability,
    /// Layers that it holds, as `model 0..8`.
    pub holds: Vec<String>,
    /// Age of its load, in milliseconds, if one is known.
    pub load_age_ms: Option<Millis>,
    /// Instances that observe it.
    pub observers: Vec<Name>,
}

/// State of all upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamsDump {
    /// Upstreams, ordered by name.
    pub rows: Vec<UpstreamRow>,
    /// Event counts since the start.
    pub counts: UpstreamCounts,
}

impl Upstreams {
    /// Returns the state of all upstreams, for the dump and the status.
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
            load_age_ms: u.load.map(|load| mono_ms.saturating_sub(load.sampled_ms)),
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
