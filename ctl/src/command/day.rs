//! `jwctl day`.

use std::path::Path;

use crate::args;
use crate::day::{Day, Limits, plot};
use crate::error::CtlError;

/// Reads the files, and draws the day where that is asked for.
pub(super) fn run(args: &args::Day) -> Result<Day, CtlError> {
    if args.files.is_empty() || args.every == 0 {
        let message = "give one file or more, and windows of a second or more".to_owned();
        return Err(CtlError::Usage { message });
    }
    let limits = Limits {
        objective_ms: args.objective_ms,
        pause_ms: args.pause_ms,
        window_ms: args.every * 1_000,
    };
    let mut texts = Vec::with_capacity(args.files.len());
    for path in &args.files {
        texts.push(std::fs::read_to_string(path).map_err(|e| failed(path, &e.to_string()))?);
    }
    let day = Day::read(texts.iter().flat_map(|t| t.lines()), &limits);
    if let Some(path) = &args.svg {
        let svg = plot::svg(&day).map_err(|cause| failed(path, &cause))?;
        std::fs::write(path, svg).map_err(|e| failed(path, &e.to_string()))?;
    }
    Ok(day)
}

fn failed(path: &Path, cause: &str) -> CtlError {
    CtlError::File {
        path: path.display().to_string(),
        cause: cause.to_owned(),
    }
}
