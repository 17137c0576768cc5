//! Summarises the outcomes of a relay's requests from the log lines of its processes.
//!
//! Each log line is a JSON object, optionally behind a prefix that a log collector added; lines
//! without JSON are skipped. A request is counted in the window in which it was received. A late
//! stream is attributed to what its log lines report: it was resumed on another chain, rerouted
//! along another chain, or neither.

pub mod plot;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::table::Table;

/// Number of organisations in a report.
const MAX_ORGANISATIONS: usize = 10;

/// Value of a log line's organisation if the request had no key.
const NO_ORGANISATION: &str = "-";

/// Cause of a refusal because the organisation was above its share.
const ABOVE_SHARE: &str = "organisation above its share";

/// Latency thresholds and the window length of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportOptions {
    /// Maximum time to the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Maximum gap between two events, in milliseconds.
    pub pause_ms: u64,
    /// Window length, in milliseconds.
    pub window_ms: u64,
}

/// The outcome of a request, as derived from its log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// Completed with the first event and every gap within the thresholds.
    InTime,
    /// The first event came later than the objective allows.
    FirstLate,
    /// A gap exceeded the threshold, and another run resumed the stream.
    ResumedLate,
    /// A gap exceeded the threshold, and the run was rerouted along another chain.
    ReroutedLate,
    /// A gap exceeded the threshold for another reason.
    PauseLate,
    /// The stream was aborted before its end.
    Cut,
    /// No runner answered.
    NotAnswered,
}

impl RequestOutcome {
    /// Every outcome, in the order of the table columns.
    pub const ALL: [RequestOutcome; 7] = [
        RequestOutcome::InTime,
        RequestOutcome::FirstLate,
        RequestOutcome::ResumedLate,
        RequestOutcome::ReroutedLate,
        RequestOutcome::PauseLate,
        RequestOutcome::Cut,
        RequestOutcome::NotAnswered,
    ];

    /// Returns the column title.
    #[must_use]
    pub fn title(self) -> &'static str {
        match self {
            RequestOutcome::InTime => "in time",
            RequestOutcome::FirstLate => "first late",
            RequestOutcome::ResumedLate => "resumed late",
            RequestOutcome::ReroutedLate => "rerouted late",
            RequestOutcome::PauseLate => "pause late",
            RequestOutcome::Cut => "cut",
            RequestOutcome::NotAnswered => "not answered",
        }
    }
}

/// Counts for one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Window {
    /// Number of requests received in the window, by outcome.
    pub ends: BTreeMap<RequestOutcome, u64>,
    /// Runners that an instance's failure detector declared dead.
    pub dead: BTreeSet<String>,
    /// Runners for which a change of pace was logged.
    pub paced: BTreeSet<String>,
    /// Number of broken chains; a chain counts once for each instance that logs it.
    pub broken: u64,
}

/// Number of requests with the same cause and urgency level that were not answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CauseCount {
    /// Cause.
    pub cause: String,
    /// Urgency level, as priorities of organisation and route; absent if the log lines do not have it.
    pub urgency: Option<String>,
    /// Number of requests.
    pub count: u64,
}

/// Requests of an organisation that were not answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrganisationCount {
    /// Organisation.
    pub organisation: String,
    /// Number of requests.
    pub count: u64,
    /// Number of them that were refused because the organisation was above its share.
    pub above_share: u64,
    /// Lowest share that a request had, in hundredths; absent if the log lines do not have it.
    pub lowest_share_percent: Option<u64>,
}

/// Request outcomes by window, as printed by `jwctl day`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DayReport {
    /// Time of the first log line, in Unix milliseconds.
    pub start_ms: u64,
    /// Windows by start time, in milliseconds since `start_ms`.
    pub windows: BTreeMap<u64, Window>,
    /// The longest gap of each stream that was resumed or rerouted, in milliseconds, ascending.
    pub pauses_ms: Vec<u64>,
    /// Requests that were not answered, by cause and urgency level.
    pub causes: Vec<CauseCount>,
    /// Organisations with the most requests that were not answered, the largest number first.
    pub organisations: Vec<OrganisationCount>,
    /// Number of log lines read.
    pub lines: usize,
}

/// A parsed log line.
struct LogLine {
    at_ms: u64,
    fields: Value,
}

impl LogLine {
    fn parse(text: &str) -> Option<LogLine> {
        let json = &text[text.find('{')?..];
        let fields: Value = serde_json::from_str(json).ok()?;
        let at = humantime::parse_rfc3339(fields.get("at")?.as_str()?).ok()?;
        let elapsed = at.duration_since(std::time::UNIX_EPOCH).ok()?;
        let at_ms = u64::try_from(elapsed.as_millis()).ok()?;
        Some(LogLine { at_ms, fields })
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns a fraction in hundredths.
    fn percent(&self, key: &str) -> Option<u64> {
        let value = self.fields.get(key)?;
        let fraction = value.as_f64().or_else(|| value.as_str()?.parse().ok())?;
        Some((fraction * 100.0).round() as u64)
    }

    /// Returns a numeric field; log lines usually hold numbers as strings.
    fn number(&self, key: &str) -> Option<u64> {
        let value = self.fields.get(key)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }
}

impl DayReport {
    /// Builds a report from the log lines of all processes, in any order.
    #[must_use]
    pub fn from_lines<'a>(
        texts: impl Iterator<Item = &'a str>,
        options: &ReportOptions,
    ) -> DayReport {
        let mut lines: Vec<LogLine> = texts.filter_map(LogLine::parse).collect();
        lines.sort_by_key(|l| l.at_ms);
        let mut report = DayReport {
            start_ms: lines.first().map_or(0, |l| l.at_ms),
            lines: lines.len(),
            ..DayReport::default()
        };
        let requests_with = |message: &str| -> BTreeSet<&str> {
            let matching = lines.iter().filter(|l| l.text("message") == message);
            matching.map(|l| l.text("request")).collect()
        };
        let (resumed, rerouted) = (requests_with("resumed"), requests_with("rerouted"));
        for line in &lines {
            let request = line.text("request");
            let failovers = (resumed.contains(request), rerouted.contains(request));
            report.record(line, failovers, options);
        }
        let unanswered = || {
            let all = lines.iter();
            all.filter(|l| l.text("message") == "not answered")
        };
        report.causes = causes(unanswered());
        report.organisations = organisations(unanswered());
        report.pauses_ms.sort_unstable();
        report
    }

    fn record(
        &mut self,
        line: &LogLine,
        (resumed, rerouted): (bool, bool),
        options: &ReportOptions,
    ) {
        let runner = || line.text("runner").to_owned();
        let outcome = match line.text("message") {
            "answered" => {
                let longest_gap_ms = line.number("longest_gap_ms").unwrap_or(0);
                if resumed || rerouted {
                    self.pauses_ms.push(longest_gap_ms);
                }
                let first_after_ms = line.number("first_after_ms").unwrap_or(0);
                match (
                    first_after_ms > options.objective_ms,
                    longest_gap_ms > options.pause_ms,
                ) {
                    (true, _) => RequestOutcome::FirstLate,
                    (false, false) => RequestOutcome::InTime,
                    (false, true) if resumed => RequestOutcome::ResumedLate,
                    (false, true) if rerouted => RequestOutcome::ReroutedLate,
                    (false, true) => RequestOutcome::PauseLate,
                }
            }
            "stream cut" => RequestOutcome::Cut,
            "not answered" => RequestOutcome::NotAnswered,
            "runner counts as dead" => {
                self.window_mut(line.at_ms, options).dead.insert(runner());
                return;
            }
            "runner's pace" => {
                self.window_mut(line.at_ms, options).paced.insert(runner());
                return;
            }
            "a chain is broken" => {
                self.window_mut(line.at_ms, options).broken += 1;
                return;
            }
            _ => return,
        };
        let received_ms = line.at_ms - line.number("after_ms").unwrap_or(0).min(line.at_ms);
        *self
            .window_mut(received_ms, options)
            .ends
            .entry(outcome)
            .or_default() += 1;
    }

    /// Returns the window that contains the time, creating it if needed.
    fn window_mut(&mut self, at_ms: u64, options: &ReportOptions) -> &mut Window {
        let elapsed_ms = at_ms.saturating_sub(self.start_ms);
        let start = elapsed_ms - elapsed_ms % options.window_ms.max(1);
        self.windows.entry(start).or_default()
    }

    /// Returns a percentile of the longest gaps of resumed and rerouted streams, in milliseconds.
    ///
    /// `fraction` is between 0 and 1.
    #[must_use]
    pub fn pause_percentile_ms(&self, fraction: f64) -> Option<u64> {
        let last = self.pauses_ms.len().checked_sub(1)?;
        Some(self.pauses_ms[(last as f64 * fraction) as usize])
    }
}

/// Counts requests that were not answered by cause and urgency level.
fn causes<'a>(lines: impl Iterator<Item = &'a LogLine>) -> Vec<CauseCount> {
    let mut counts: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for line in lines {
        let key = (line.text("cause"), line.text("urgency"));
        *counts.entry(key).or_default() += 1;
    }
    let counts = counts.into_iter();
    counts
        .map(|((cause, urgency), count)| CauseCount {
            cause: cause.to_owned(),
            urgency: (!urgency.is_empty()).then(|| urgency.to_owned()),
            count,
        })
        .collect()
}

/// Returns the [`MAX_ORGANISATIONS`] organisations with the most requests that were not answered.
fn organisations<'a>(lines: impl Iterator<Item = &'a LogLine>) -> Vec<OrganisationCount> {
    let mut counts: BTreeMap<&str, OrganisationCount> = BTreeMap::new();
    for line in lines.filter(|l| !matches!(l.text("organisation"), "" | NO_ORGANISATION)) {
        let name = line.text("organisation");
        let count = counts.entry(name).or_insert_with(|| OrganisationCount {
            organisation: name.to_owned(),
            ..OrganisationCount::default()
        });
        count.count += 1;
        count.above_share += u64::from(line.text("cause") == ABOVE_SHARE);
        let shares = count.lowest_share_percent.into_iter();
        count.lowest_share_percent = shares.chain(line.percent("share")).min();
    }
    let mut counts: Vec<OrganisationCount> = counts.into_values().collect();
    counts.sort_by_key(|c| Reverse(c.count));
    counts.truncate(MAX_ORGANISATIONS);
    counts
}

impl DayReport {
    fn cause_table(&self) -> Table {
        let mut table = Table::new(&["not answered: cause", "urgency", "requests"]);
        for c in &self.causes {
            let urgency = c.urgency.clone().unwrap_or_else(|| "-".to_owned());
            table.row([c.cause.clone(), urgency, c.count.to_string()]);
        }
        table
    }

    fn organisation_table(&self) -> Table {
        let mut table = Table::new(&[
            "not answered: organisation",
            "requests",
            "above its share",
            "lowest share",
        ]);
        for c in &self.organisations {
            let share = c.lowest_share_percent;
            table.row([
                c.organisation.clone(),
                c.count.to_string(),
                c.above_share.to_string(),
                share.map_or("-".to_owned(), |p| format!("{:.2}", p as f64 / 100.0)),
            ]);
        }
        table
    }
}

impl fmt::Display for DayReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&[
            "from s",
            RequestOutcome::ALL[0].title(),
            RequestOutcome::ALL[1].title(),
            RequestOutcome::ALL[2].title(),
            RequestOutcome::ALL[3].title(),
            RequestOutcome::ALL[4].title(),
            RequestOutcome::ALL[5].title(),
            RequestOutcome::ALL[6].title(),
            "dead",
            "other pace",
            "broken",
        ]);
        for (start, w) in &self.windows {
            let count = |outcome| w.ends.get(&outcome).copied().unwrap_or(0).to_string();
            let [a, b, c, d, e, g, h] = RequestOutcome::ALL.map(count);
            let [dead, paced] = [w.dead.len(), w.paced.len()].map(|n| n.to_string());
            let from = format!("{:.1}", *start as f64 / 1e3);
            table.row([from, a, b, c, d, e, g, h, dead, paced, w.broken.to_string()]);
        }
        write!(f, "{table}")?;
        if !self.causes.is_empty() {
            write!(f, "\n{}", self.cause_table())?;
        }
        if !self.organisations.is_empty() {
            write!(f, "\n{}", self.organisation_table())?;
        }
        if !self.causes.is_empty() {
            writeln!(f)?;
        }
        if let (Some(p50_ms), Some(p90_ms)) =
            (self.pause_percentile_ms(0.5), self.pause_percentile_ms(0.9))
        {
            let moved = self.pauses_ms.len();
            writeln!(
                f,
                "{moved} streams moved to another chain: longest pause {p50_ms} ms for half, {p90_ms} ms for 90%"
            )?;
        }
        writeln!(f, "{} lines", self.lines)
    }
}
