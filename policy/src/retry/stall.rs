//! When a silent link counts as broken, measured against its own history.
//!
//! A fixed time-out is too long for a fast link and too short for a slow one. As for a TCP
//! retransmission, the detector keeps the moving mean of the gaps between tokens and of their
//! deviation, and calls a gap a stall when it exceeds the mean by several deviations, within a
//! least threshold (in milliseconds and in means) and a greatest one. A token that comes after all of a suspected attempt proves the
//! suspicion false: the factor doubles, and shrinks again slowly with tokens that come in time.

/// Settings of a stall detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StallConfig {
    /// Deviations above the mean that count as a stall.
    pub deviations: f64,
    /// Least threshold as a multiple of the mean: a steady link has next to no deviation, and a
    /// small hiccup would count as a stall.
    pub least_means: f64,
    /// Least threshold, in milliseconds: covers pauses of the instance itself.
    pub least_ms: u64,
    /// Greatest threshold, in milliseconds; the threshold before any gap was seen.
    pub greatest_ms: u64,
}

impl Default for StallConfig {
    fn default() -> Self {
        Self {
            deviations: 8.0,
            least_means: 4.0,
            least_ms: 400,
            greatest_ms: 10_000,
        }
    }
}

/// Weight of the newest gap in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the newest deviation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Greatest factor on the threshold after false suspicions.
const GREATEST_FACTOR: f64 = 16.0;
/// What is left of the factor's excess over 1 after a gap that was in time.
const FACTOR_DECAY: f64 = 0.999;

/// Stall detector of one link, or of one pipeline's streams.
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
    /// A detector without history.
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

    /// A token came after this gap, in milliseconds.
    pub fn seen(&mut self, gap_ms: u64) {
        let gap = gap_ms as f64;
        let Some(mean) = self.mean_ms else {
            self.mean_ms = Some(gap);
            self.deviation_ms = gap / 2.0;
            return;
        };
        let off = (gap - mean).abs();
        self.deviation_ms += (off - self.deviation_ms) * DEVIATION_WEIGHT;
        self.mean_ms = Some(mean + (gap - mean) * MEAN_WEIGHT);
        self.factor = 1.0 + (self.factor - 1.0) * FACTOR_DECAY;
    }

    /// Gap from which on the link counts as stalled, in milliseconds.
    pub fn threshold_ms(&self) -> u64 {
        let Some(mean) = self.mean_ms else {
            return self.cfg.greatest_ms;
        };
        let by_deviation = mean + self.cfg.deviations * self.deviation_ms;
        let by_mean = mean * self.cfg.least_means;
        let threshold = by_deviation.max(by_mean) * self.factor;
        (threshold as u64).clamp(self.cfg.least_ms, self.cfg.greatest_ms)
    }

    /// Whether silence of this length, in milliseconds, is a stall.
    pub fn is_stall(&self, silent_ms: u64) -> bool {
        silent_ms >= self.threshold_ms()
    }

    /// An attempt was given up as stalled.
    pub fn suspected(&mut self) {
        self.suspicions += 1;
    }

    /// The suspected attempt gave a token after all, after this gap in milliseconds.
    pub fn was_false(&mut self, gap_ms: u64) {
        self.false_suspicions += 1;
        self.factor = (self.factor * 2.0).min(GREATEST_FACTOR);
        self.seen(gap_ms);
    }

    /// Suspicions since the start.
    pub fn suspicions(&self) -> u64 {
        self.suspicions
    }

    /// Suspicions that proved false.
    pub fn false_suspicions(&self) -> u64 {
        self.false_suspicions
    }
}
