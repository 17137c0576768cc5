//! Fault injection for the stand-in platform.

use serde::{Deserialize, Serialize};

/// Fault injected into subsequent calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Calls are answered with 503 and have no effect; waiting watches end likewise.
    Outage,
    /// Calls are accepted, have no effect and are not answered; their connections are closed when
    /// the fault changes.
    Hang,
    /// Calls are delayed.
    Slow {
        /// Added latency, in milliseconds.
        ms: u64,
    },
    /// The next writes take effect, but their connections are closed without an answer.
    LoseAnswers {
        /// Number of writes affected.
        next: u32,
        /// Prefix of the keys affected.
        #[serde(default)]
        prefix: String,
    },
    /// The connections of the next writes are closed without an answer, and the writes are applied
    /// later.
    LateWrites {
        /// Number of writes affected.
        next: u32,
        /// Delay of the write after the close, in milliseconds.
        ms: u64,
        /// Prefix of the keys affected.
        #[serde(default)]
        prefix: String,
    },
}

/// Effect of the fault on one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteEffect {
    /// The write is applied and answered.
    Answered,
    /// The write is applied and its answer is lost.
    AnswerLost,
    /// The write is applied this many milliseconds after its connection is closed.
    Late(u64),
}

impl Fault {
    /// Returns the effect on a write to `key` and decrements the remaining count.
    pub(crate) fn effect_on_write(&mut self, key: &str) -> WriteEffect {
        match self {
            Self::LoseAnswers { next, prefix } if *next > 0 && key.starts_with(&**prefix) => {
                *next -= 1;
                WriteEffect::AnswerLost
            }
            Self::LateWrites { next, ms, prefix } if *next > 0 && key.starts_with(&**prefix) => {
                *next -= 1;
                WriteEffect::Late(*ms)
            }
            _ => WriteEffect::Answered,
        }
    }
}
