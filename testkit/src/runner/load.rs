//! Load reports, which are delayed by a configured lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use jacinthweir_wire::runner::LoadReport;

use super::{SAMPLE_MS, State};

/// Number of samples over which the busy rate is averaged.
const BUSY_SAMPLES: usize = 25;

/// Recent load reports, oldest first.
#[derive(Debug, Default)]
pub struct Reports {
    numbers: u64,
    samples: VecDeque<Sample>,
}

#[derive(Debug)]
struct Sample {
    at: Instant,
    /// Token-layers executed since startup.
    done: f64,
    report: LoadReport,
}

impl Reports {
    fn busy(&self, done: f64) -> f64 {
        let Some(past) = self.samples.iter().rev().nth(BUSY_SAMPLES) else {
            return 0.0;
        };
        (done - past.done) / past.at.elapsed().as_secs_f64().max(1e-3)
    }

    /// Returns the newest report that is at least `lag` old, or else the oldest.
    fn lagged(&self, lag: Duration) -> Option<LoadReport> {
        let old_enough = self.samples.iter().rev().find(|s| s.at.elapsed() >= lag);
        let sample = old_enough.or(self.samples.front())?;
        let mut report = sample.report.clone();
        report.age_ms = u64::try_from(sample.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        Some(report)
    }
}

/// Records a sample of the current load.
pub(crate) fn sample(state: &State) {
    let report = current(state);
    let kept = usize::try_from(state.cfg.load_lag_ms / SAMPLE_MS).unwrap_or(0) + 2 * BUSY_SAMPLES;
    let mut inner = state.lock();
    let done = inner.done;
    let reports = &mut inner.reports;
    reports.samples.push_back(Sample {
        at: Instant::now(),
        done,
        report,
    });
    while reports.samples.len() > kept {
        reports.samples.pop_front();
    }
}

fn current(state: &State) -> LoadReport {
    let (running, queued) = state.slots.load();
    let mut inner = state.lock();
    inner.reports.numbers += 1;
    LoadReport {
        runner: state.cfg.name.clone(),
        incarnation: state.cfg.incarnation,
        number: inner.reports.numbers,
        age_ms: 0,
        accelerator: state.cfg.accelerator.clone(),
        holds: inner.orders.held(),
        running,
        queued,
        token_layers_per_s: inner
            .overrides
            .speed
            .unwrap_or(state.cfg.token_layers_per_s),
        busy_token_layers_per_s: inner.reports.busy(inner.done),
        leaving: inner.overrides.leaving == Some(true),
        checks_fencing: state.cfg.checks_fencing,
        fencing: inner.orders.fencing(),
    }
}

/// Returns the load report to answer with.
pub(crate) fn report(state: &State) -> LoadReport {
    let lag = Duration::from_millis(state.cfg.load_lag_ms);
    let lagged = state.lock().reports.lagged(lag);
    lagged.unwrap_or_else(|| current(state))
}
