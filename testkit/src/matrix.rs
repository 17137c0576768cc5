//! Fault matrix: injects every fault at every step of the work, on real processes.
//!
//! A cell is a short scripted run. The instance under test has fault points
//! ([`jacinthweir_kernel::fault_point`]). A request, call, change or shutdown takes it to the step,
//! where the fault is injected. The same work is sent to a second instance during the fault and to
//! a third one after it. All faults are then healed and the history is checked.
//!
//! A cell counts as proved only if the step was observed to be reached with the fault present and
//! the checks found no violation. [`cell::impossible`] gives the reason for each cell that can't
//! occur.

pub mod cell;
pub mod report;
mod rig;
mod script;

use std::path::PathBuf;
use std::time::Instant;

use crate::fleet::fault_points;
use crate::{Error, Result};
use cell::{Cell, impossible};
use rig::Rig;

/// Parameters of a run of the matrix.
#[derive(Clone, Debug)]
pub struct MatrixCfg {
    /// Seed, used as the number of the first change, call and prompt.
    pub seed: u64,
    /// Number of fleets that run cells in parallel.
    pub fleets: usize,
    /// Instance binary with fault points; `None` selects the one that [`fault_points::BUILD`] builds.
    pub program: Option<PathBuf>,
    /// Prints each cell to standard error when it ends.
    pub verbose: bool,
}

/// Outcome of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The step was reached with the fault present, and the checks found no violation.
    Proved,
    /// The cell can't occur, for the given reason.
    Impossible(&'static str),
    /// The step was not reached or the fault was not injected, so the cell proves nothing.
    NotReached(String),
    /// The run failed or the checks found violations, as described.
    Open(String),
}

/// A cell and its verdict.
#[derive(Clone, Debug)]
pub struct CellResult {
    /// The cell.
    pub cell: Cell,
    /// Its verdict.
    pub verdict: Verdict,
}

/// Result of a run of the matrix.
#[derive(Clone, Debug, Default)]
pub struct MatrixResult {
    /// Results of the cells, in order.
    pub cells: Vec<CellResult>,
    /// Number of events in all histories.
    pub events: usize,
    /// Number of submissions in all histories.
    pub submissions: usize,
}

/// Runs cells, distributed over several fleets.
///
/// # Errors
///
/// Returns an error if the instance with fault points isn't built or a fleet doesn't start.
pub async fn run(cfg: &MatrixCfg, cells: &[Cell]) -> Result<MatrixResult> {
    let program = match &cfg.program {
        Some(path) => path.clone(),
        None => fault_points::program()?,
    };
    let (impossible_cells, runnable): (Vec<Cell>, Vec<Cell>) =
        cells.iter().partition(|cell| impossible(**cell).is_some());
    let fleets = cfg.fleets.clamp(1, runnable.len().max(1));
    let shares = (0..fleets).map(|k| {
        let share: Vec<Cell> = runnable.iter().copied().skip(k).step_by(fleets).collect();
        let cfg = cfg.clone();
        tokio::spawn(run_share(cfg, program.clone(), k, share))
    });
    let mut end = MatrixResult::default();
    for share in futures::future::join_all(shares).await {
        let share = share.map_err(|e| Error::Other(e.to_string()))??;
        end.cells.extend(share.cells);
        end.events += share.events;
        end.submissions += share.submissions;
    }
    end.cells
        .extend(impossible_cells.into_iter().filter_map(|cell| {
            let reason = impossible(cell)?;
            let verdict = Verdict::Impossible(reason);
            Some(CellResult { cell, verdict })
        }));
    end.cells.sort_by_key(|end| end.cell);
    Ok(end)
}

/// Runs cells on one fleet and replaces the fleet if the run of a cell fails.
async fn run_share(
    cfg: MatrixCfg,
    program: PathBuf,
    k: usize,
    cells: Vec<Cell>,
) -> Result<MatrixResult> {
    let mut end = MatrixResult::default();
    let mut rig: Option<Rig> = None;
    for (n, cell) in cells.into_iter().enumerate() {
        let started = Instant::now();
        let number = cfg.seed + (1000 * k + n) as u64;
        let mut current = match rig.take() {
            Some(rig) => rig,
            None => Rig::start(program.clone()).await?,
        };
        let verdict = match current.run(cell, number).await {
            Ok(verdict) => {
                rig = Some(current);
                verdict
            }
            Err(e) => {
                let (events, submissions) = current.counts();
                end.events += events;
                end.submissions += submissions;
                Verdict::Open(format!("the run of the cell failed: {e}"))
            }
        };
        if cfg.verbose {
            let took = started.elapsed().as_millis();
            eprintln!("{cell}: {} ({took} ms)", verdict.summary());
        }
        end.cells.push(CellResult { cell, verdict });
    }
    if let Some(rig) = rig {
        let (events, submissions) = rig.counts();
        end.events += events;
        end.submissions += submissions;
        rig.stop().await?;
    }
    Ok(end)
}

impl Verdict {
    /// Formats the verdict with its reason in one line.
    #[must_use]
    pub fn summary(&self) -> String {
        match self {
            Verdict::Proved => "proved".to_owned(),
            Verdict::Impossible(reason) => format!("impossible: {reason}"),
            Verdict::NotReached(what) => format!("not reached: {what}"),
            Verdict::Open(what) => format!("open: {what}"),
        }
    }
}
