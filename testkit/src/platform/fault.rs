//! How the platform fails on request.

use serde::{Deserialize, Serialize};

/// How calls fail from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// They don't.
    #[default]
    None,
    /// 503, without effect; waiting watches end with it too.
    Outage,
    /// Accepted and never answered; without effect. Ends, by closing the connection, when the
    /// fault is changed.
    Hang,
    /// Each call takes longer.
    Slow {
        /// Added time, in milliseconds.
        ms: u64,
    },
    /// The next writes take effect, but their connections are closed with no answer.
    LoseAnswers {
        /// How many.
        next: u32,
        /// Of keys below this prefix.
        #[serde(default)]
        prefix: String,
    },
    /// The next writes are applied that long after their connections were closed with no answer.
    LateWrites {
        /// How many.
        next: u32,
        /// How late, in milliseconds.
        ms: u64,
        /// Of keys below this prefix.
        #[serde(default)]
        prefix: String,
    },
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteFate {
    /// Applied and answered.
    Answered,
    /// Applied, not answered.
    AnswerLost,
    /// Applied that many milliseconds after the connection is closed.
    Late(u64),
}

impl Fault {
    /// Decides on one write and counts it.
    pub(crate) fn write_fate(&mut self, key: &str) -> WriteFate {
        match self {
            Self::LoseAnswers { next, prefix } if *next > 0 && key.starts_with(&**prefix) => {
                *next -= 1;
                WriteFate::AnswerLost
            }
            Self::LateWrites { next, ms, prefix } if *next > 0 && key.starts_with(&**prefix) => {
                *next -= 1;
                WriteFate::Late(*ms)
            }
            _ => WriteFate::Answered,
        }
    }
}
