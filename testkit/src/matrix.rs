//! The fault matrix: every fault at every step, on real processes.
//!
//! A cell is a short scripted run. The instance under test has fault points
//! ([`jacinthweir_kernel::fault_point`]); a request, call, change or shutdown takes it to the
//! step, where the fault comes. The same work is sent to another instance while the fault lasts
//! and to a third one after it; all is healed, and the history is checked.
//!
//! A cell is proved only where the step was seen to be reached with the fault present and the
//! checks found nothing. A cell that can't occur has its reason in [`cell::impossible`].

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

/// What to run.
#[derive(Clone, Debug)]
pub struct MatrixCfg {
    /// Seed: number of the first change, call and prompt.
    pub seed: u64,
    /// Fleets that run cells side by side.
    pub fleets: usize,
    /// The instance with fault points; `None`: the one that [`fault_points::BUILD`] makes.
    pub program: Option<PathBuf>,
    /// Tells of each cell on standard error as it ends.
    pub verbose: bool,
}

/// What was found of a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The step was reached with the fault present, and the checks found nothing.
    Proved,
    /// It can't occur, for this reason.
    Impossible(&'static str),
    /// The step was not reached, or the fault did not come about: nothing is shown.
    NotReached(String),
    /// What was seen.
    Open(String),
}

/// A cell with its verdict.
#[derive(Clone, Debug)]
pub struct CellEnd {
    /// The cell.
    pub cell: Cell,
    /// What was found.
    pub verdict: Verdict,
}

/// What a run of the matrix left.
#[derive(Clone, Debug, Default)]
pub struct MatrixEnd {
    /// Cells in order.
    pub cells: Vec<CellEnd>,
    /// Events of all histories.
    pub events: usize,
    /// Submissions of all histories.
    pub submissions: usize,
}

/// Runs cells, each on one of several fleets.
///
/// # Errors
///
/// Where the program with fault points isn't built, or no fleet starts.
pub async fn run(cfg: &MatrixCfg, cells: &[Cell]) -> Result<MatrixEnd> {
    let program = match &cfg.program {
        Some(path) => path.clone(),
        None => fault_points::program()?,
    };
    let (none, some): (Vec<Cell>, Vec<Cell>) =
        cells.iter().partition(|cell| impossible(**cell).is_some());
    let fleets = cfg.fleets.clamp(1, some.len().max(1));
    let shares = (0..fleets).map(|k| {
        let share: Vec<Cell> = some.iter().copied().skip(k).step_by(fleets).collect();
        let cfg = cfg.clone();
        tokio::spawn(run_share(cfg, program.clone(), k, share))
    });
    let mut end = MatrixEnd::default();
    for share in futures::future::join_all(shares).await {
        let share = share.map_err(|e| Error::Other(e.to_string()))??;
        end.cells.extend(share.cells);
        end.events += share.events;
        end.submissions += share.submissions;
    }
    end.cells.extend(none.into_iter().filter_map(|cell| {
        let reason = impossible(cell)?;
        let verdict = Verdict::Impossible(reason);
        Some(CellEnd { cell, verdict })
    }));
    end.cells.sort_by_key(|end| end.cell);
    Ok(end)
}

/// Runs cells on one fleet; a fleet that does not serve again after a cell is replaced.
async fn run_share(
    cfg: MatrixCfg,
    program: PathBuf,
    k: usize,
    cells: Vec<Cell>,
) -> Result<MatrixEnd> {
    let mut end = MatrixEnd::default();
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
        end.cells.push(CellEnd { cell, verdict });
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
    /// The verdict with its reason, in one line.
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
