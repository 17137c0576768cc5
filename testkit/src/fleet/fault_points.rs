//! Arms the fault points of instances that run; see [`jacinthweir_kernel::fault_point`].
//!
//! The instance's program with fault points is built apart from the shipped one, by [`BUILD`].

use std::ffi::OsString;
use std::path::{Path, PathBuf};

use jacinthweir_kernel::fault_point::Step;

use super::process::Process;
use crate::{Error, Fleet, Result};

/// The command that builds the program with fault points.
pub const BUILD: &str =
    "cargo build --locked -p jacinthweir --features failpoints --target-dir target/failpoints";
/// Environment variable that names the file of actions.
const FILE: &str = "FAILPOINTS_FILE";

/// What an instance does at a fault point.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Action {
    /// Ends at once.
    #[display("abort")]
    Abort,
    /// Stands still until it is woken.
    #[display("stop")]
    Stop,
    /// The task waits, in milliseconds.
    #[display("sleep:{_0}")]
    Sleep(u64),
    /// The task waits until the file exists.
    #[display("hold:{}", _0.display())]
    Hold(PathBuf),
}

/// The program with fault points.
///
/// # Errors
///
/// Where it isn't built.
pub fn program() -> Result<PathBuf> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../target/failpoints/debug/jacinthweir");
    if path.is_file() {
        return Ok(path);
    }
    let msg = format!("the instance with fault points is not built; run `{BUILD}` first");
    Err(Error::Other(msg))
}

pub(super) fn env(dir: &Path, i: usize) -> Vec<(OsString, OsString)> {
    vec![(FILE.into(), file(dir, i).into())]
}

fn file(dir: &Path, i: usize) -> PathBuf {
    dir.join(format!("entry-{i}.failpoints"))
}

/// How often an instance has reached an armed point.
#[must_use]
pub fn reached(process: &Process, step: Step) -> usize {
    process
        .log()
        .matches(&format!("fault point {step}: "))
        .count()
}

impl Fleet {
    /// Has the `i`-th instance act once at `step`, after passing it `skip` times.
    ///
    /// # Errors
    ///
    /// Where the file can't be written.
    pub fn arm(&self, i: usize, step: Step, skip: u32, action: &Action) -> Result<()> {
        let skip = match skip {
            0 => String::new(),
            n => format!("{n}*off->"),
        };
        // An instance reads a file anew where it differs: the same action twice counts twice.
        let unique = uuid::Uuid::now_v7();
        let line = format!("{step}={skip}1*return({action})->off\n# {unique}\n");
        Ok(std::fs::write(file(&self.folder(), i), line)?)
    }

    /// Disarms the `i`-th instance.
    ///
    /// # Errors
    ///
    /// Where the file can't be written.
    pub fn disarm(&self, i: usize) -> Result<()> {
        Ok(std::fs::write(file(&self.folder(), i), "")?)
    }
}
