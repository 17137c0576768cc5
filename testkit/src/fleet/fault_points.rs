//! Arms fault points of running instances; see [`jacinthweir_kernel::fault_point`].
//!
//! The instance program with fault points is built separately from the shipped one, by [`BUILD`].

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use jacinthweir_kernel::fault_point::Step;

use super::process::Process;
use crate::{Error, Fleet, Result};

/// Command that builds the instance program with fault points.
pub const BUILD: &str =
    "cargo build --locked -p jacinthweir --features failpoints --target-dir target/failpoints";
/// Environment variable with the path of the actions file.
const FILE_VAR: &str = "FAILPOINTS_FILE";

/// Action of an instance at a fault point.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Action {
    /// Aborts the process.
    #[display("abort")]
    Abort,
    /// Stops the process until it is continued.
    #[display("stop")]
    Stop,
    /// Delays the task, in milliseconds.
    #[display("sleep:{_0}")]
    Sleep(u64),
    /// Blocks the task until the file exists.
    #[display("hold:{}", _0.display())]
    Hold(PathBuf),
}

/// Returns the path of the instance program with fault points.
///
/// # Errors
///
/// Fails if the program isn't built.
pub fn program() -> Result<PathBuf> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../target/failpoints/debug/jacinthweir");
    if path.is_file() {
        return Ok(path);
    }
    let msg = format!("the instance with fault points is not built; run `{BUILD}` first");
    Err(Error::Other(msg))
}

pub(super) fn env(dir: &Path, i: usize) -> Vec<(OsString, OsString)> {
    vec![(FILE_VAR.into(), actions_path(dir, i).into())]
}

fn actions_path(dir: &Path, i: usize) -> PathBuf {
    dir.join(format!("entry-{i}.failpoints"))
}

/// Returns how often an instance has reached an armed fault point, according to its log.
#[must_use]
pub fn reached(process: &Process, step: Step) -> usize {
    process
        .log()
        .matches(&format!("fault point {step}: "))
        .count()
}

impl Fleet {
    /// Arms `action` on the `i`-th instance for one execution of `step`, after `skip` passes.
    ///
    /// # Errors
    ///
    /// Fails if the actions file can't be written.
    pub fn arm(&self, i: usize, step: Step, skip: u32, action: &Action) -> Result<()> {
        let skip = match skip {
            0 => String::new(),
            n => format!("{n}*off->"),
        };
        // An instance reloads the file only when its contents change; the unique comment re-arms
        // an action that is identical to the previous one.
        let unique = uuid::Uuid::now_v7();
        let line = format!("{step}={skip}1*return({action})->off\n# {unique}\n");
        Ok(std::fs::write(actions_path(&self.folder(), i), line)?)
    }

    /// Disarms all fault points of the `i`-th instance.
    ///
    /// # Errors
    ///
    /// Fails if the actions file can't be written.
    pub fn disarm(&self, i: usize) -> Result<()> {
        Ok(std::fs::write(actions_path(&self.folder(), i), "")?)
    }
}
