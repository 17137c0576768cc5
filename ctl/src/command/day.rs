//! `jwctl day`: summarises a relay's log files.

use std::path::Path;

use crate::args;
use crate::day::{DayReport, ReportOptions, plot};
use crate::error::CtlError;

/// Reads the log files and writes the chart if an SVG file is requested.
pub(super) fn run(args: &args::Day) -> Result<DayReport, CtlError> {
    if args.files.is_empty() || args.every == 0 {
        let message = "give one file or more, and windows of a second or more".to_owned();
        return Err(CtlError::Usage { message });
    }
    let options = ReportOptions {
        objective_ms: args.objective_ms,
        pause_ms: args.pause_ms,
        window_ms: args.every * 1_000,
    };
    let mut texts = Vec::with_capacity(args.files.len());
    for path in &args.files {
        texts.push(std::fs::read_to_string(path).map_err(|e| file_error(path, &e.to_string()))?);
    }
    let report = DayReport::from_lines(texts.iter().flat_map(|t| t.lines()), &options);
    if let Some(path) = &args.svg {
        let svg = plot::render_svg(&report).map_err(|cause| file_error(path, &cause))?;
        std::fs::write(path, svg).map_err(|e| file_error(path, &e.to_string()))?;
    }
    Ok(report)
}

fn file_error(path: &Path, cause: &str) -> CtlError {
    CtlError::File {
        path: path.display().to_string(),
        cause: cause.to_owned(),
    }
}
