//! When a chain has fallen silent.
//!
//! A dead runner in a chain stops every stream that passes through it, and says nothing: its first
//! runner reports the stall only after seconds, by when callers have given up. Overload looks
//! different: some streams wait, others go on. So the sign is that *nothing at all* has come from
//! a chain for a while, although requests are waiting there. The more of them wait, the less a
//! silence can be chance and the shorter it needs to be.
//!
//! Silence names a chain, not a runner. Its parts are then asked one by one; a chain whose parts
//! all answer is left alone for a while, so that a slow chain is not asked again and again.

use crate::prelude::*;

/// Waiting requests from which on silence speaks against a chain by its rhythm. All requests of a
/// chain share its passes, so their bytes come together; one alone may be a prompt that is read.
const MANY: usize = 2;

/// Silence of a chain with fewer that counts as a stall, as a multiple of the others' limit, and in
/// any case, in milliseconds: callers give up after two seconds, and a new run needs most of that.
const LONE_TIMES: Millis = 8;
const LONE_LONGEST_MS: Millis = 600;

/// Silence that counts at the least, as a multiple of what the declared figures give for the pause
/// between two events, and in any case, in milliseconds: what a question takes.
const LEAST_TIMES: f64 = 2.5;
const LEAST_MS: f64 = 40.0;

/// Weights of the newest pause in the mean and in the mean deviation, and deviations beyond the mean
/// that a pause has to be: those of a retransmission timer, for the same reason.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;

/// The most that counts of a pause, as a multiple of the limit: a cut or a lost packet says nothing
/// of the next pause.
const COUNTED_TIMES: f64 = 2.0;

/// Bytes that come within this time belong to the same pass, in milliseconds.
const SAME_PASS_MS: Millis = 3;

/// The pauses between a chain's passes, as this instance sees them.
///
/// Every pass brings the next events of all streams, so a chain's bytes have a rhythm: 20 ms in an
/// idle one, 100 where it is slow or reads long prompts. A fixed limit asks a slow chain at every
/// pass, or leaves a fast one dead for five.
#[derive(Clone, Copy, Debug, Default)]
struct Rhythm {
    mean_ms: f64,
    deviation_ms: f64,
}

impl Rhythm {
    fn seen(&mut self, pause_ms: f64, least_ms: f64) {
        let pause_ms = pause_ms.min(self.limit_ms(least_ms) * COUNTED_TIMES);
        let off_ms = (pause_ms - self.mean_ms).abs();
        self.deviation_ms += DEVIATION_WEIGHT * (off_ms - self.deviation_ms);
        self.mean_ms += MEAN_WEIGHT * (pause_ms - self.mean_ms);
    }

    fn limit_ms(&self, least_ms: f64) -> f64 {
        (self.mean_ms + DEVIATIONS * self.deviation_ms).max(least_ms)
    }
}

/// How long a chain that was asked is left alone, in milliseconds; twice as long each time that it
/// stays silent all the same, up to so many doublings. Where a part of the fleet is cut off, every
/// instance finds every chain silent and asks ten parts of each: on 71 instances the reports cost
/// more than what was served.
const ASKED_PAUSE_MS: Millis = 700;
const MOST_DOUBLINGS: u32 = 3;

/// Weight of the newest gap between two events in the mean.
const GAP_WEIGHT: f64 = 0.05;

/// Mean gap that is asked about, as a multiple of what the declared figures give, and in any case,
/// in milliseconds. A full batch takes about twice the declared time.
const SLOW_TIMES: f64 = 6.0;
const SLOW_MS: f64 = 120.0;

/// Time in which a mean gap that nothing is seen of fades to a half, in milliseconds: a chain that is
/// left alone for its gaps must be tried again.
const GAP_HALF_MS: f64 = 2_000.0;

/// How long a slow chain that was asked is left alone, in milliseconds.
const SLOW_PAUSE_MS: Millis = 2_000;

/// Gaps between the events of a chain's streams: a chain is as slow as its slowest part, which
/// says so when it is asked.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventGaps {
    mean_ms: f64,
    seen_ms: Millis,
    asked_ms: Option<Millis>,
}

impl EventGaps {
    /// Two events of a stream came `gap` milliseconds apart, the second at `now`.
    pub fn record(&mut self, now: Millis, gap: Millis) {
        self.mean_ms += GAP_WEIGHT * (gap as f64 - self.mean_ms);
        self.seen_ms = now;
    }

    /// Gap that a stream has to expect at `now`, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.seen_ms) as f64;
        self.mean_ms * 0.5_f64.powf(passed / GAP_HALF_MS)
    }

    /// Mean gap, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// When the parts of a chain whose declared gap is `declared_ms` are to be asked how slow they are,
    /// in milliseconds; `None` while the chain is not slow.
    #[must_use]
    pub fn due_ms(&self, declared_ms: f64) -> Option<Millis> {
        let slow = self.mean_ms > SLOW_MS && self.mean_ms > SLOW_TIMES * declared_ms;
        slow.then(|| self.asked_ms.map_or(0, |at| at + SLOW_PAUSE_MS))
    }

    /// Whether they should be asked now; remembers that they were.
    pub fn should_probe(&mut self, now: Millis, declared_ms: f64) -> bool {
        let ask = self.due_ms(declared_ms).is_some_and(|due| now >= due);
        if ask {
            self.asked_ms = Some(now);
        }
        ask
    }
}

/// What this instance hears from one chain.
#[derive(Clone, Copy, Debug)]
pub struct SilenceDetector {
    waiting: usize,
    heard_ms: Millis,
    asked_ms: Option<Millis>,
    /// Times that it was asked since bytes came.
    asks: u32,
    rhythm: Rhythm,
    least_ms: f64,
}

impl SilenceDetector {
    /// Nothing heard yet from a chain whose declared figures give `pause_ms` milliseconds between two
    /// events.
    #[must_use]
    pub fn new(pause_ms: f64) -> SilenceDetector {
        SilenceDetector {
            waiting: 0,
            heard_ms: 0,
            asked_ms: None,
            asks: 0,
            rhythm: Rhythm::default(),
            least_ms: (pause_ms * LEAST_TIMES).max(LEAST_MS),
        }
    }

    /// A request was sent.
    pub fn request_sent(&mut self, now: Millis) {
        if self.waiting == 0 {
            self.heard_ms = now;
        }
        self.waiting += 1;
    }

    /// A request ended or was taken away.
    pub fn request_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Bytes came.
    pub fn bytes_received(&mut self, now: Millis) {
        let pause = self.silent_ms(now);
        if pause > SAME_PASS_MS {
            self.rhythm.seen(pause as f64, self.least_ms);
        }
        self.heard_ms = now;
        self.asks = 0;
    }

    /// Requests that wait for bytes.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Time since the last bytes, in milliseconds, while requests wait.
    #[must_use]
    pub fn silent_ms(&self, now: Millis) -> Millis {
        match self.waiting {
            0 => 0,
            _ => now.saturating_sub(self.heard_ms),
        }
    }

    /// Silence that speaks against the chain, in milliseconds.
    fn limit_ms(&self) -> Millis {
        let limit = self.rhythm.limit_ms(self.least_ms) as Millis;
        match self.waiting {
            n if n >= MANY => limit,
            _ => limit.max((limit * LONE_TIMES).min(LONE_LONGEST_MS)),
        }
    }

    /// When the chain's parts are to be asked if nothing is heard until then, in milliseconds; `None`
    /// while nobody waits.
    #[must_use]
    pub fn due_ms(&self) -> Option<Millis> {
        let pause = ASKED_PAUSE_MS << self.asks.min(MOST_DOUBLINGS);
        let rested = self.asked_ms.map_or(0, |at| at + pause);
        let silent = self.heard_ms + self.limit_ms().max(1);
        (self.waiting > 0).then_some(rested.max(silent))
    }

    /// Whether the chain's parts should be asked now; remembers that they were.
    pub fn should_probe(&mut self, now: Millis) -> bool {
        let ask = self.due_ms().is_some_and(|due| now >= due);
        if ask {
            self.asked_ms = Some(now);
            self.asks += 1;
        }
        ask
    }
}

/// How many times as long as the parts that answer usually take a part must be silent to be dead.
const SILENT_TIMES: Millis = 4;

/// The answers to one round of questions, to all parts of a chain or to witnesses.
///
/// A runner is dead if it is silent for far longer than the others took. Where a fixed time decided,
/// an instance whose processor or link was used up found every runner dead that it asked, told the
/// others so, and the fleet broke its own chains for seconds. So where too few answer nobody is dead,
/// however long it lasts: then the asking instance is as likely the cause as anybody.
#[derive(Clone, Debug)]
pub struct ProbeRound {
    asked: usize,
    answers_ms: Vec<Millis>,
}

impl ProbeRound {
    /// `asked` parts are asked.
    #[must_use]
    pub fn new(asked: usize) -> ProbeRound {
        ProbeRound {
            asked,
            answers_ms: Vec::with_capacity(asked),
        }
    }

    /// A part answered after `ms` milliseconds.
    pub fn answered(&mut self, ms: Millis) {
        self.answers_ms.push(ms);
    }

    /// Whether a part that has been silent for `ms` milliseconds is dead: the answer of half of the
    /// parts took far less. The slowest do not count, since a slow part may be one of them.
    #[must_use]
    pub fn indicates_dead(&self, ms: Millis) -> bool {
        // Answers come in the order of their times.
        let half = self.asked / 2;
        let usual = self.answers_ms.get(half.saturating_sub(1));
        usual.is_some_and(|usual| ms >= (usual + 1) * SILENT_TIMES)
    }
}
