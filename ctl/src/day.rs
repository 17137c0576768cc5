//! What became of the requests of a relay, from the lines that its processes wrote.
//!
//! Each line is JSON behind whatever a collector put before it; lines without JSON are passed over.
//! A request counts in the window in which it came. A late stream is put down to what its lines say
//! of it: it was gone on with on another chain, ordered along another chain, or neither.

pub mod plot;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::table::Table;

/// What is late, and how the time is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time to the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Pause between two events, in milliseconds.
    pub pause_ms: u64,
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
}

/// How a request ended, as its lines tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Whole, and no pause too long.
    InTime,
    /// Its first event came late.
    FirstLate,
    /// A pause was too long, and another run went on with it.
    ResumedLate,
    /// A pause was too long, and its run was ordered along another chain.
    ReroutedLate,
    /// A pause was too long for another reason.
    PauseLate,
    /// Broken off.
    Cut,
    /// Not answered by a runner.
    NotAnswered,
}

impl End {
    /// All of them.
    pub const ALL: [End; 7] = [
        End::InTime,
        End::FirstLate,
        End::ResumedLate,
        End::ReroutedLate,
        End::PauseLate,
        End::Cut,
        End::NotAnswered,
    ];

    /// Title of its column.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            End::InTime => "in time",
            End::FirstLate => "first late",
            End::ResumedLate => "resumed late",
            End::ReroutedLate => "rerouted late",
            End::PauseLate => "pause late",
            End::Cut => "cut",
            End::NotAnswered => "not answered",
        }
    }
}

/// What happened in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Window {
    /// Requests that came in it, by their end.
    pub ends: BTreeMap<End, u64>,
    /// Runners that an instance found dead.
    pub dead: BTreeSet<String>,
    /// Runners that said to have another pace.
    pub paced: BTreeSet<String>,
    /// Chains that broke, once for each instance.
    pub broken: u64,
}

/// A day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Day {
    /// Time of the first line, in Unix milliseconds.
    pub start_ms: u64,
    /// Windows by their begin, in milliseconds since the start.
    pub windows: BTreeMap<u64, Window>,
    /// Longest pauses of streams that were gone on with or ordered along another chain, in order, in
    /// milliseconds.
    pub pauses_ms: Vec<u64>,
    /// Lines that were read.
    pub lines: usize,
}

/// A line as far as it is looked at.
struct Line {
    at_ms: u64,
    fields: Value,
}

impl Line {
    fn parse(text: &str) -> Option<Line> {
        let json = &text[text.find('{')?..];
        let fields: Value = serde_json::from_str(json).ok()?;
        let at = humantime::parse_rfc3339(fields.get("at")?.as_str()?).ok()?;
        let since = at.duration_since(std::time::UNIX_EPOCH).ok()?;
        let at_ms = u64::try_from(since.as_millis()).ok()?;
        Some(Line { at_ms, fields })
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    /// Numbers are written as text.
    fn number(&self, key: &str) -> Option<u64> {
        let value = self.fields.get(key)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }
}

impl Day {
    /// Reads the lines of all processes, in any order.
    #[must_use]
    pub fn read<'a>(texts: impl Iterator<Item = &'a str>, limits: &Limits) -> Day {
        let mut lines: Vec<Line> = texts.filter_map(Line::parse).collect();
        lines.sort_by_key(|l| l.at_ms);
        let mut day = Day {
            start_ms: lines.first().map_or(0, |l| l.at_ms),
            lines: lines.len(),
            ..Day::default()
        };
        let moved = |message: &str| -> BTreeSet<&str> {
            let of_kind = lines.iter().filter(|l| l.text("message") == message);
            of_kind.map(|l| l.text("request")).collect()
        };
        let (resumed, rerouted) = (moved("resumed"), moved("rerouted"));
        for line in &lines {
            let request = line.text("request");
            let moves = (resumed.contains(request), rerouted.contains(request));
            day.take(line, moves, limits);
        }
        day.pauses_ms.sort_unstable();
        day
    }

    fn take(&mut self, line: &Line, (resumed, rerouted): (bool, bool), limits: &Limits) {
        let runner = || line.text("runner").to_owned();
        let end = match line.text("message") {
            "answered" => {
                let pause = line.number("longest_gap_ms").unwrap_or(0);
                if resumed || rerouted {
                    self.pauses_ms.push(pause);
                }
                let first = line.number("first_after_ms").unwrap_or(0);
                match (first > limits.objective_ms, pause > limits.pause_ms) {
                    (true, _) => End::FirstLate,
                    (false, false) => End::InTime,
                    (false, true) if resumed => End::ResumedLate,
                    (false, true) if rerouted => End::ReroutedLate,
                    (false, true) => End::PauseLate,
                }
            }
            "stream cut" => End::Cut,
            "not answered" => End::NotAnswered,
            "runner counts as dead" => {
                self.window(line.at_ms, limits).dead.insert(runner());
                return;
            }
            "runner's pace" => {
                self.window(line.at_ms, limits).paced.insert(runner());
                return;
            }
            "a chain is broken" => {
                self.window(line.at_ms, limits).broken += 1;
                return;
            }
            _ => return,
        };
        let came_ms = line.at_ms - line.number("after_ms").unwrap_or(0).min(line.at_ms);
        *self.window(came_ms, limits).ends.entry(end).or_default() += 1;
    }

    fn window(&mut self, at_ms: u64, limits: &Limits) -> &mut Window {
        let since = at_ms.saturating_sub(self.start_ms);
        let begin = since - since % limits.window_ms.max(1);
        self.windows.entry(begin).or_default()
    }

    /// The longest pause that a share of the moved streams stayed below, in milliseconds.
    #[must_use]
    pub fn pause_ms(&self, share: f64) -> Option<u64> {
        let last = self.pauses_ms.len().checked_sub(1)?;
        Some(self.pauses_ms[(last as f64 * share) as usize])
    }
}

impl fmt::Display for Day {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&[
            "from s",
            End::ALL[0].title(),
            End::ALL[1].title(),
            End::ALL[2].title(),
            End::ALL[3].title(),
            End::ALL[4].title(),
            End::ALL[5].title(),
            End::ALL[6].title(),
            "dead",
            "other pace",
            "broken",
        ]);
        for (begin, w) in &self.windows {
            let count = |end| w.ends.get(&end).copied().unwrap_or(0).to_string();
            let [a, b, c, d, e, g, h] = End::ALL.map(count);
            let marks = [w.dead.len(), w.paced.len()].map(|n| n.to_string());
            let [dead, paced] = marks;
            let from = format!("{:.1}", *begin as f64 / 1e3);
            table.row([from, a, b, c, d, e, g, h, dead, paced, w.broken.to_string()]);
        }
        write!(f, "{table}")?;
        if let (Some(half), Some(most)) = (self.pause_ms(0.5), self.pause_ms(0.9)) {
            let moved = self.pauses_ms.len();
            writeln!(
                f,
                "{moved} streams moved to another chain: longest pause {half} ms for half, {most} ms for 90%"
            )?;
        }
        writeln!(f, "{} lines", self.lines)
    }
}
