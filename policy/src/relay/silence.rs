//! Failure detection for chains of runners by silence and by slow events.
//!
//! A dead runner in a chain stops every stream that passes through it without any message. The
//! first runner of the chain reports the stall only after seconds, by when callers have given up.
//! Overload looks different: some streams wait while others proceed. The sign of a failure is
//! therefore that *no bytes at all* have come from a chain for a while, although requests are
//! waiting on it. The more requests wait, the less likely it is that a silence is chance, and the
//! shorter it needs to be.
//!
//! Silence points to a chain, not to a runner, so the stages of the chain are then probed one by
//! one. A chain is not probed again for a while afterwards, so that a slow chain whose stages all
//! answer is not probed again and again.
//!
//! While a service is overloaded, all its chains are full and the silences and gaps that occur by
//! chance are longer; probes of living runners then add to the load. So more [`Evidence`] is needed. How
//! probes are judged does not change.

use crate::prelude::*;

/// How much evidence it takes to probe a chain's runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// The usual limits.
    Usual,
    /// Those of a chain whose service is overloaded.
    Overload {
        /// Declared gap between two events with the requests that are in the chain, in milliseconds.
        occupied_gap_ms: f64,
    },
}

impl Evidence {
    /// Returns the factor for the limit of a silence.
    fn silence_factor(self) -> Millis {
        match self {
            Evidence::Usual => 1,
            Evidence::Overload { .. } => OVERLOAD_SILENCE_FACTOR,
        }
    }

    /// Returns the mean gap above which a chain with a declared gap of `idle_gap_ms` while it is idle
    /// counts as slow, in milliseconds.
    fn slow_gap_ms(self, idle_gap_ms: f64) -> f64 {
        let usual_ms = SLOW_MIN_MS.max(SLOW_FACTOR * idle_gap_ms);
        match self {
            Evidence::Usual => usual_ms,
            Evidence::Overload { occupied_gap_ms } => {
                usual_ms.max(OVERLOAD_SLOW_FACTOR * occupied_gap_ms)
            }
        }
    }
}

/// Factor for the limit of a silence while the service is overloaded.
const OVERLOAD_SILENCE_FACTOR: Millis = 2;

/// Mean gap above which a chain of an overloaded service is slow, as a multiple of the gap declared for
/// its occupancy.
const OVERLOAD_SLOW_FACTOR: f64 = 2.0;

/// Number of waiting requests from which on the chain's own pass interval sets the limit. All
/// requests of a chain share its passes, so their bytes arrive together; a single request may be in
/// prefill.
const MIN_WAITING: usize = 2;

/// Limit for a chain with fewer waiting requests, as a multiple of the usual limit.
const SINGLE_FACTOR: Millis = 8;

/// Upper bound of that limit, in milliseconds: callers give up after two seconds, and a new run
/// needs most of that time.
const SINGLE_MAX_MS: Millis = 600;

/// Silence of connections over a lost path after which they bring nothing any more, as a multiple of
/// the usual limit, and its lower bound in milliseconds. Some cuts affect new connections only, and
/// the requests on the others must not run again.
const DISCONNECTED_FACTOR: Millis = 2;
const DISCONNECTED_MIN_MS: Millis = 250;

/// Lower bound of the limit, as a multiple of the declared interval between two events.
const MIN_LIMIT_FACTOR: f64 = 2.5;

/// Lower bound of the limit in any case, in milliseconds: the duration of a probe.
const MIN_LIMIT_MS: f64 = 40.0;

/// Weight of the newest interval in the moving average, as in a TCP retransmission timer, which
/// solves the same problem.
const MEAN_WEIGHT: f64 = 0.125;

/// Weight of the newest interval in the mean deviation, as in a TCP retransmission timer.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Mean deviations above the mean at which an interval is too long, as in a TCP retransmission
/// timer.
const DEVIATIONS: f64 = 4.0;

/// Cap on an interval that enters the average, as a multiple of the limit: an interruption or a
/// lost packet says nothing about the next interval.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// Bytes that arrive within this time belong to the same pass, in milliseconds.
const SAME_PASS_MS: Millis = 3;

/// Moving average and mean deviation of the interval between a chain's passes.
///
/// Every pass brings the next event of all streams, so the bytes of a chain arrive at a regular
/// interval: 20 ms in an idle chain, 100 ms where it is slow or in prefill of long prompts. A fixed
/// limit would probe a slow chain at every pass, or detect a failure of a fast one only after five
/// passes.
#[derive(Clone, Copy, Debug, Default)]
struct PassInterval {
    mean_ms: f64,
    deviation_ms: f64,
}

impl PassInterval {
    fn record(&mut self, interval_ms: f64, min_limit_ms: f64) {
        let interval_ms = interval_ms.min(self.limit_ms(min_limit_ms) * MAX_SAMPLE_FACTOR);
        let off_ms = (interval_ms - self.mean_ms).abs();
        self.deviation_ms += DEVIATION_WEIGHT * (off_ms - self.deviation_ms);
        self.mean_ms += MEAN_WEIGHT * (interval_ms - self.mean_ms);
    }

    fn limit_ms(&self, min_limit_ms: f64) -> f64 {
        (self.mean_ms + DEVIATIONS * self.deviation_ms).max(min_limit_ms)
    }
}

/// Time after a probe in which a silent chain is not probed again, in milliseconds. It doubles with
/// each probe while the chain stays silent. In a partition every instance finds every chain silent
/// and probes ten stages of each: with 71 instances these reports cost more than the requests
/// served.
const PROBE_BACKOFF_MS: Millis = 700;

/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 3;

/// Weight of the newest gap between two events in the moving average.
const GAP_WEIGHT: f64 = 0.05;

/// Mean gap above which a chain is slow, as a multiple of the declared gap. A full batch takes
/// about twice the declared time.
const SLOW_FACTOR: f64 = 6.0;

/// Mean gap up to which no chain is slow, in milliseconds.
const SLOW_MIN_MS: f64 = 120.0;

/// Half-life of the mean gap while no event is observed, in milliseconds: a chain that gets no
/// requests because of its gaps must be tried again.
const GAP_HALF_LIFE_MS: f64 = 2_000.0;

/// Interval between two probes of a slow chain, in milliseconds.
const SLOW_PROBE_INTERVAL_MS: Millis = 2_000;

/// Inter-token gaps of a chain's streams. A chain is as slow as its slowest stage, which reports
/// its own pace when probed.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGaps {
    mean_ms: f64,
    updated_ms: Millis,
    probed_ms: Option<Millis>,
}

impl EventGaps {
    /// Records that two events of a stream came `gap` milliseconds apart, the second at `now`.
    pub fn record(&mut self, now: Millis, gap: Millis) {
        self.mean_ms += GAP_WEIGHT * (gap as f64 - self.mean_ms);
        self.updated_ms = now;
    }

    /// Returns the gap that a stream has to expect at `now`, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.updated_ms) as f64;
        self.mean_ms * 0.5_f64.powf(passed / GAP_HALF_LIFE_MS)
    }

    /// Returns the mean gap, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Returns when the stages of a chain with a declared gap of `idle_gap_ms` while it is idle are due
    /// to be probed for their pace, in milliseconds; `None` while the chain is not slow.
    #[must_use]
    pub fn due_ms(&self, idle_gap_ms: f64, evidence: Evidence) -> Option<Millis> {
        let slow = self.mean_ms > evidence.slow_gap_ms(idle_gap_ms);
        slow.then(|| self.probed_ms.map_or(0, |at| at + SLOW_PROBE_INTERVAL_MS))
    }

    /// Returns whether the stages are to be probed now, and records the probe if so.
    pub fn should_probe(&mut self, now: Millis, idle_gap_ms: f64, evidence: Evidence) -> bool {
        let due = self.due_ms(idle_gap_ms, evidence);
        let is_due = due.is_some_and(|due| now >= due);
        if is_due {
            self.probed_ms = Some(now);
        }
        is_due
    }
}

/// Detects that a chain has fallen silent, by the bytes that this instance receives from it.
#[derive(Clone, Copy, Debug)]
pub struct SilenceDetector {
    waiting: usize,
    /// When bytes last arrived, or the first waiting request was sent.
    last_bytes_ms: Millis,
    probed_ms: Option<Millis>,
    /// Number of probes since bytes last arrived.
    probes: u32,
    interval: PassInterval,
    min_limit_ms: f64,
}

impl SilenceDetector {
    /// Returns a detector for a chain with a declared interval of `interval_ms` milliseconds
    /// between two events.
    #[must_use]
    pub fn new(interval_ms: f64) -> SilenceDetector {
        SilenceDetector {
            waiting: 0,
            last_bytes_ms: 0,
            probed_ms: None,
            probes: 0,
            interval: PassInterval::default(),
            min_limit_ms: (interval_ms * MIN_LIMIT_FACTOR).max(MIN_LIMIT_MS),
        }
    }

    /// Records that a request was sent to the chain.
    pub fn request_sent(&mut self, now: Millis) {
        if self.waiting == 0 {
            self.last_bytes_ms = now;
        }
        self.waiting += 1;
    }

    /// Records that a request ended or was moved elsewhere.
    pub fn request_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Records that bytes arrived from the chain.
    pub fn bytes_received(&mut self, now: Millis) {
        let interval = self.silent_ms(now);
        if interval > SAME_PASS_MS {
            self.interval.record(interval as f64, self.min_limit_ms);
        }
        self.last_bytes_ms = now;
        self.probes = 0;
    }

    /// Returns the number of requests that wait for bytes.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the time since the last bytes, in milliseconds; 0 while no request waits.
    #[must_use]
    pub fn silent_ms(&self, now: Millis) -> Millis {
        match self.waiting {
            0 => 0,
            _ => now.saturating_sub(self.last_bytes_ms),
        }
    }

    /// Returns the silence after which the chain is suspected, in milliseconds.
    fn limit_ms(&self, evidence: Evidence) -> Millis {
        let limit = self.interval.limit_ms(self.min_limit_ms) as Millis;
        let limit = limit * evidence.silence_factor();
        match self.waiting {
            n if n >= MIN_WAITING => limit,
            _ => limit.max((limit * SINGLE_FACTOR).min(SINGLE_MAX_MS)),
        }
    }

    /// Returns whether the chain has been silent for so long that its connections bring nothing any
    /// more, given that the path to its first runner is lost. Overload does not change this, since the
    /// lost path is evidence enough.
    #[must_use]
    pub fn is_disconnected(&self, now: Millis) -> bool {
        let limit = (self.limit_ms(Evidence::Usual) * DISCONNECTED_FACTOR).max(DISCONNECTED_MIN_MS);
        self.waiting > 0 && now >= self.last_bytes_ms + limit
    }

    /// Returns when the chain's stages are due to be probed if no bytes arrive before, in
    /// milliseconds; `None` while no request waits.
    #[must_use]
    pub fn due_ms(&self, evidence: Evidence) -> Option<Millis> {
        let backoff = PROBE_BACKOFF_MS << self.probes.min(MAX_DOUBLINGS);
        let backoff_end = self.probed_ms.map_or(0, |at| at + backoff);
        let limit_reached = self.last_bytes_ms + self.limit_ms(evidence).max(1);
        (self.waiting > 0).then_some(backoff_end.max(limit_reached))
    }

    /// Returns whether the chain's stages are to be probed now, and records the probe if so.
    pub fn should_probe(&mut self, now: Millis, evidence: Evidence) -> bool {
        let is_due = self.due_ms(evidence).is_some_and(|due| now >= due);
        if is_due {
            self.probed_ms = Some(now);
            self.probes += 1;
        }
        is_due
    }
}

/// Silence after which a runner is dead, as a multiple of the usual time to answer.
const DEAD_FACTOR: Millis = 4;

/// Answers to one round of probes, sent to all stages of a chain or to witnesses.
///
/// A runner is dead if it is silent for far longer than the others took to answer. With a fixed
/// timeout an instance with a saturated CPU or link found every runner dead that it probed and
/// reported them, and the fleet broke its own chains for seconds. If too few answer, no runner is
/// found dead however long that lasts, since the probing instance is then as likely the cause as
/// any runner.
#[derive(Clone, Debug)]
pub struct ProbeRound {
    probed: usize,
    answers_ms: Vec<Millis>,
}

impl ProbeRound {
    /// Starts a round of probes to `probed` runners.
    #[must_use]
    pub fn new(probed: usize) -> ProbeRound {
        ProbeRound {
            probed,
            answers_ms: Vec::with_capacity(probed),
        }
    }

    /// Records that a runner answered after `ms` milliseconds.
    pub fn answered(&mut self, ms: Millis) {
        self.answers_ms.push(ms);
    }

    /// Returns whether no runner has answered.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        self.answers_ms.is_empty()
    }

    /// Returns whether half of the runners have answered, so that a runner which refuses
    /// connections does not do so because of this instance's path.
    #[must_use]
    pub fn has_quorum(&self) -> bool {
        self.usual_ms().is_some()
    }

    /// Returns whether a runner that has been silent for `ms` milliseconds is dead, because half of
    /// the runners took far less to answer. The slower half is ignored, since it may include slow
    /// runners.
    #[must_use]
    pub fn indicates_dead(&self, ms: Millis) -> bool {
        let usual = self.usual_ms();
        usual.is_some_and(|usual| ms >= (usual + 1) * DEAD_FACTOR)
    }

    /// Returns the time within which half of the runners answered, in milliseconds.
    fn usual_ms(&self) -> Option<Millis> {
        // Answers are recorded in the order of their times.
        let half = self.probed / 2;
        self.answers_ms.get(half.saturating_sub(1)).copied()
    }
}
