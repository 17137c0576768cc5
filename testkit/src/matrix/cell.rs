//! Faults (rows) and steps (columns) of the matrix, and the reasons of cells that can't occur.

use derive_more::Display;
pub use jacinthweir_kernel::fault_point::Step;

/// A fault, which is a row of the matrix.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The instance aborts at the step.
    #[display("kill")]
    Kill,
    /// The instance is suspended at the step and resumes after the deadline.
    #[display("freeze and wake")]
    Freeze,
    /// The task sleeps at the step.
    #[display("slow")]
    Slow,
    /// The instance's link to the platform is cut at the step.
    #[display("cut from the platform")]
    Cut,
    /// The platform becomes unavailable at the step.
    #[display("platform out")]
    PlatformOut,
    /// The next writes take effect, but their answers are lost.
    #[display("write's answer lost")]
    AnswerLost,
    /// The next writes take effect late, and their answers are lost.
    #[display("write lands late")]
    WriteLate,
    /// Upstreams are killed at the step.
    #[display("upstreams die")]
    UpstreamsDie,
    /// Links between runners are slowed by a factor of 100 at the step.
    #[display("links degrade")]
    LinksDegrade,
    /// An instance joins at the step.
    #[display("instance joins")]
    InstanceJoins,
    /// Two operators concurrently apply different changes at the step.
    #[display("operators race")]
    OperatorsRace,
    /// A lease expires while its holder is paused.
    #[display("lease lapses while paused")]
    LeaseLapses,
    /// The platform becomes unavailable and the instance is killed.
    #[display("platform out + kill")]
    PlatformOutKill,
    /// The instance is suspended, and the platform is unavailable when it resumes.
    #[display("freeze + platform out")]
    FreezePlatformOut,
    /// Upstreams are killed, then the instance.
    #[display("upstreams die + kill")]
    UpstreamsDieKill,
    /// Upstreams are killed while the platform is unavailable.
    #[display("upstreams die + platform out")]
    UpstreamsDiePlatformOut,
    /// The instance aborts at the step, restarts and aborts there again.
    #[display("kill twice")]
    KillTwice,
    /// The instance is suspended at the step twice.
    #[display("freeze twice")]
    FreezeTwice,
}

impl Fault {
    /// All faults, in row order.
    pub const ALL: [Fault; 18] = [
        Fault::Kill,
        Fault::Freeze,
        Fault::Slow,
        Fault::Cut,
        Fault::PlatformOut,
        Fault::AnswerLost,
        Fault::WriteLate,
        Fault::UpstreamsDie,
        Fault::LinksDegrade,
        Fault::InstanceJoins,
        Fault::OperatorsRace,
        Fault::LeaseLapses,
        Fault::PlatformOutKill,
        Fault::FreezePlatformOut,
        Fault::UpstreamsDieKill,
        Fault::UpstreamsDiePlatformOut,
        Fault::KillTwice,
        Fault::FreezeTwice,
    ];

    pub(super) fn kills(self) -> bool {
        matches!(
            self,
            Fault::Kill | Fault::KillTwice | Fault::PlatformOutKill | Fault::UpstreamsDieKill
        )
    }

    pub(super) fn freezes(self) -> bool {
        matches!(
            self,
            Fault::Freeze | Fault::FreezeTwice | Fault::FreezePlatformOut
        )
    }

    pub(super) fn affects_writes(self) -> bool {
        matches!(self, Fault::AnswerLost | Fault::WriteLate)
    }

    pub(super) fn rounds(self) -> usize {
        match self {
            Fault::KillTwice | Fault::FreezeTwice => 2,
            _ => 1,
        }
    }

    fn kills_upstreams(self) -> bool {
        matches!(
            self,
            Fault::UpstreamsDie | Fault::UpstreamsDieKill | Fault::UpstreamsDiePlatformOut
        )
    }
}

/// Kind of work that passes through a step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// A model request.
    #[display("model request")]
    Model,
    /// A non-idempotent call with an idempotency key.
    #[display("claimed call")]
    Call,
    /// A schema change.
    #[display("schema change")]
    Change,
    /// A graceful shutdown while a model's answer is streamed.
    #[display("drain")]
    Drain,
}

/// Returns the kind of work that passes through a step.
#[must_use]
pub fn work_of(step: Step) -> Work {
    match step {
        Step::Received | Step::Admitted | Step::Handed | Step::Streaming | Step::Finished => {
            Work::Model
        }
        Step::CallReceived
        | Step::ClaimSending
        | Step::Claimed
        | Step::CallHanded
        | Step::CallRan
        | Step::OutcomeSending => Work::Call,
        Step::ChangeReceived | Step::PartsWritten | Step::HeadSending | Step::Committed => {
            Work::Change
        }
        Step::Leaving | Step::Refusing => Work::Drain,
    }
}

/// One fault at one step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{fault} at {step}")]
pub struct Cell {
    /// Step (column).
    pub step: Step,
    /// Fault (row).
    pub fault: Fault,
}

/// Returns every cell, column by column.
#[must_use]
pub fn all() -> Vec<Cell> {
    let cells = Step::ALL.into_iter().flat_map(|step| {
        let column = Fault::ALL.into_iter();
        column.map(move |fault| Cell { step, fault })
    });
    cells.collect()
}

/// Returns why a cell can't occur, or `None` if it can.
#[must_use]
pub fn impossible(cell: Cell) -> Option<&'static str> {
    let work = work_of(cell.step);
    match (cell.fault, work) {
        (Fault::LeaseLapses, _) => {
            Some("no step of the matrix holds a lease: orders to runners do not exist yet")
        }
        (Fault::AnswerLost | Fault::WriteLate, Work::Model) => {
            Some("a model request writes nothing to the platform")
        }
        (Fault::AnswerLost | Fault::WriteLate, Work::Drain) => {
            Some("a shutdown writes nothing to the platform")
        }
        (Fault::AnswerLost | Fault::WriteLate, Work::Change) if cell.step == Step::Committed => {
            Some("a change writes nothing after its head stands")
        }
        (Fault::LinksDegrade, Work::Call) => {
            Some("a call is run by one service instance: there is no link between stages")
        }
        (Fault::LinksDegrade, Work::Change) => Some("a change sends nothing to a runner"),
        (fault, Work::Change) if fault.kills_upstreams() => {
            Some("a change sends nothing to an upstream")
        }
        _ => None,
    }
}
