//! Overrides of a runner's behaviour, set by tests.

use serde::{Deserialize, Serialize};

/// Overrides of a runner's behaviour; absent fields leave it unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Overrides {
    /// Whether it drains: it refuses new attempts and reports `leaving` in its load report.
    pub leaving: Option<bool>,
    /// Whether it refuses new attempts as busy.
    pub refuse: Option<bool>,
    /// Link delay to the next stage, in microseconds.
    pub link_delay_us: Option<u64>,
    /// Multiplier of the link delay to the next stage, for a degraded link.
    pub link_factor: Option<u32>,
    /// Throughput, in token-layers per second.
    pub speed: Option<f64>,
    /// Whether the batch loop is suspended; calls are still answered.
    pub freeze: Option<bool>,
    /// Number of next attempts that get a frame of another request.
    pub crossed: Option<u32>,
    /// Number of next attempts whose answers end cleanly in the middle, without an end frame.
    pub truncated: Option<u32>,
    /// Number of next attempts whose connections break in the middle of the answer.
    pub cut: Option<u32>,
    /// Number of next attempts that get one token frame twice.
    pub duplicate: Option<u32>,
    /// Number of next attempts that get a token frame of the previous attempt.
    pub late: Option<u32>,
    /// Whether cancellations are acknowledged but ignored: the attempt continues.
    pub ignore_cancel: Option<bool>,
    /// Text that crashes the runner's process once it has sent the first token of an answer to a
    /// prompt that contains it.
    pub lethal: Option<String>,
}

impl Overrides {
    /// Applies the fields that `other` sets.
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
        self.lethal = other.lethal.clone().or(self.lethal.take());
    }

    /// Consumes and returns the frame faults of one attempt.
    pub(crate) fn take_frame_faults(&mut self) -> FrameFaults {
        FrameFaults {
            crossed: decrement(&mut self.crossed),
            truncated: decrement(&mut self.truncated),
            cut: decrement(&mut self.cut),
            duplicate: decrement(&mut self.duplicate),
            late: decrement(&mut self.late),
        }
    }
}

/// Faults to inject into the frames of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FrameFaults {
    pub(crate) crossed: bool,
    pub(crate) truncated: bool,
    pub(crate) cut: bool,
    pub(crate) duplicate: bool,
    pub(crate) late: bool,
}

/// Decrements a counter; returns whether it was above zero.
fn decrement(left: &mut Option<u32>) -> bool {
    match left {
        Some(n) if *n > 0 => {
            *n -= 1;
            true
        }
        _ => false,
    }
}
