//! Adaptive stall detection based on the history of inter-token gaps.
//!
//! A fixed time-out is too long for a fast link and too short for a slow one. As in TCP
//! retransmission, the detector keeps moving averages of the gap between tokens and of its
//! deviation. A gap is a stall when it exceeds the mean by several deviations, subject to a minimum
//! threshold (in milliseconds and as a multiple of the mean) and a maximum one. A token of a
//! suspected attempt that arrives late refutes the suspicion: the threshold factor doubles, and
//! decays slowly with tokens that arrive in time.

/// Settings of a stall detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallConfig {
    /// Number of mean deviations above the mean from which a gap is a stall.
    pub deviations: f64,
    /// Minimum threshold as a multiple of the mean: a steady link has almost no deviation, and a
    /// minor delay would count as a stall.
    pub min_mean_multiple: f64,
    /// Minimum threshold, in milliseconds; covers pauses of the instance itself.
    pub min_ms: u64,
    /// Maximum threshold, in milliseconds; also the threshold before the first gap.
    pub max_ms: u64,
}

impl Default for StallConfig {
    fn default() -> Self {
        Self {
            deviations: 8.0,
            min_mean_multiple: 4.0,
            min_ms: 400,
            max_ms: 10_000,
        }
    }
}

/// Weight of a new gap in the moving mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new deviation in the moving mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Maximum threshold factor after false suspicions.
const MAX_FACTOR: f64 = 16.0;
/// Fraction of the factor's excess over 1 that remains after each gap in time.
const FACTOR_DECAY: f64 = 0.999;

/// Stall detector of one link or of the streams of one pipeline.
#[derive(Clone, Debug)]
pub struct StallDetector {
    cfg: StallConfig,
    mean_ms: Option<f64>,
    deviation_ms: f64,
    factor: f64,
    suspicions: u64,
    false_suspicions: u64,
}

impl StallDetector {
    /// Creates a detector without history.
    pub fn new(cfg: StallConfig) -> Self {
        Self {
            cfg,
            mean_ms: None,
            deviation_ms: 0.0,
            factor: 1.0,
            suspicions: 0,
            false_suspicions: 0,
        }
    }

    /// Records a token that arrived after this gap, in milliseconds.
    pub fn record_gap(&mut self, gap_ms: u64) {
        let gap = gap_ms as f64;
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(gap);
            self.deviation_ms = gap / 2.0;
            return;
        };
        let deviation = (gap - mean).abs();
        self.deviation_ms += (deviation - self.deviation_ms) * DEVIATION_WEIGHT;
        self.mean_ms = Some(mean + (gap - mean) * MEAN_WEIGHT);
        self.factor = 1.0 + (self.factor - 1.0) * FACTOR_DECAY;
    }

    /// Returns the gap from which the link counts as stalled, in milliseconds.
    pub fn threshold_ms(&self) -> u64 {
        let Some(mean) = self.mean_ms else {
            return self.cfg.max_ms;
        };
        let by_deviation = mean + self.cfg.deviations * self.deviation_ms;
        let by_mean = mean * self.cfg.min_mean_multiple;
        let threshold = by_deviation.max(by_mean) * self.factor;
        (threshold as u64).clamp(self.cfg.min_ms, self.cfg.max_ms)
    }

    /// Returns whether a silence of this length, in milliseconds, is a stall.
    pub fn is_stall(&self, silent_ms: u64) -> bool {
        silent_ms >= self.threshold_ms()
    }

    /// Records that an attempt counts as stalled.
    pub fn record_suspicion(&mut self) {
        self.suspicions += 1;
    }

    /// Records that a suspected attempt delivered a token after this gap, in milliseconds.
    pub fn record_false_suspicion(&mut self, gap_ms: u64) {
        self.false_suspicions += 1;
        self.factor = (self.factor * 2.0).min(MAX_FACTOR);
        self.record_gap(gap_ms);
    }

    /// Returns the number of suspicions since the start.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Returns the number of suspicions that were refuted.
    pub fn false_suspicions(&self) -> u64 {
        self.false_suspicions
    }
}
