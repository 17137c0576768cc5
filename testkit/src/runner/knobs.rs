//! How a runner behaves, set by tests.

use serde::{Deserialize, Serialize};

/// How the runner behaves; absent: unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Knobs {
    /// Whether it is leaving: it refuses new attempts and says so in its load report.
    pub leaving: Option<bool>,
    /// Whether it refuses new attempts as busy.
    pub refuse: Option<bool>,
    /// Time to the next stage, in microseconds.
    pub link_delay_us: Option<u64>,
    /// Factor on the time to the next stage, for a degraded link.
    pub link_factor: Option<u32>,
    /// Token-layers a second.
    pub speed: Option<f64>,
    /// Whether the batch stands still; calls are still answered.
    pub freeze: Option<bool>,
    /// The next attempts get a frame of another request among their own.
    pub crossed: Option<u32>,
    /// The next attempts' answers end cleanly in their middle, without an end frame.
    pub truncated: Option<u32>,
    /// The next attempts' connections break in the middle of the answer.
    pub cut: Option<u32>,
    /// The next attempts get one token frame twice.
    pub duplicate: Option<u32>,
    /// The next attempts get a token frame of the attempt before.
    pub late: Option<u32>,
    /// Whether a cancel is answered but not obeyed: the attempt goes on.
    pub ignore_cancel: Option<bool>,
}

impl Knobs {
    /// Sets what `other` sets.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.leaving = other.leaving.or(self.leaving);
        self.refuse = other.refuse.or(self.refuse);
        self.link_delay_us = other.link_delay_us.or(self.link_delay_us);
        self.link_factor = other.link_factor.or(self.link_factor);
        self.speed = other.speed.or(self.speed);
        self.freeze = other.freeze.or(self.freeze);
        self.crossed = other.crossed.or(self.crossed);
        self.truncated = other.truncated.or(self.truncated);
        self.cut = other.cut.or(self.cut);
        self.duplicate = other.duplicate.or(self.duplicate);
        self.late = other.late.or(self.late);
        self.ignore_cancel = other.ignore_cancel.or(self.ignore_cancel);
    }

    /// Takes the faults of one attempt's frames.
    pub(crate) fn take_frame_faults(&mut self) -> FrameFaults {
        FrameFaults {
            crossed: take_one(&mut self.crossed),
            truncated: take_one(&mut self.truncated),
            cut: take_one(&mut self.cut),
            duplicate: take_one(&mut self.duplicate),
            late: take_one(&mut self.late),
        }
    }
}

/// Which faults one attempt's frames have.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FrameFaults {
    pub(crate) crossed: bool,
    pub(crate) truncated: bool,
    pub(crate) cut: bool,
    pub(crate) duplicate: bool,
    pub(crate) late: bool,
}

/// Counts down; whether there was one left.
fn take_one(left: &mut Option<u32>) -> bool {
    match left {
        Some(n) if *n > 0 => {
            *n -= 1;
            true
        }
        _ => false,
    }
}
