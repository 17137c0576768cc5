//! Rows, columns, and the reasons of cells that can't occur.

use derive_more::Display;
pub use jacinthweir_kernel::fault_point::Step;

/// A fault: a row.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The instance ends at the step.
    #[display("kill")]
    Kill,
    /// It stands still at the step and wakes after the deadline.
    #[display("freeze and wake")]
    Freeze,
    /// The task waits at the step.
    #[display("slow")]
    Slow,
    /// The instance's link to the platform is cut at the step.
    #[display("cut from the platform")]
    Cut,
    /// The platform is out from the step on.
    #[display("platform out")]
    PlatformOut,
    /// The next writes take effect; their answers are lost.
    #[display("write's answer lost")]
    AnswerLost,
    /// The next writes land late; their answers are lost.
    #[display("write lands late")]
    WriteLate,
    /// Upstreams die at the step.
    #[display("upstreams die")]
    UpstreamsDie,
    /// Links between runners slow a hundredfold at the step.
    #[display("links degrade")]
    LinksDegrade,
    /// An instance joins at the step.
    #[display("instance joins")]
    InstanceJoins,
    /// Two operators apply different changes at the step.
    #[display("operators race")]
    OperatorsRace,
    /// A lease lapses while its holder is paused.
    #[display("lease lapses while paused")]
    LeaseLapses,
    /// The platform is out, and the instance ends.
    #[display("platform out + kill")]
    PlatformOutKill,
    /// The instance stands still, the platform is out when it wakes.
    #[display("freeze + platform out")]
    FreezePlatformOut,
    /// Upstreams die, and the instance ends.
    #[display("upstreams die + kill")]
    UpstreamsDieKill,
    /// Upstreams die while the platform is out.
    #[display("upstreams die + platform out")]
    UpstreamsDiePlatformOut,
    /// The instance ends at the step, starts again, and ends there again.
    #[display("kill twice")]
    KillTwice,
    /// The instance stands still at the step twice.
    #[display("freeze twice")]
    FreezeTwice,
}

impl Fault {
    /// All rows, in order.
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

    pub(super) fn spoils_writes(self) -> bool {
        matches!(self, Fault::AnswerLost | Fault::WriteLate)
    }

    pub(super) fn rounds(self) -> usize {
        match self {
            Fault::KillTwice | Fault::FreezeTwice => 2,
            _ => 1,
        }
    }

    fn needs_upstreams(self) -> bool {
        matches!(
            self,
            Fault::UpstreamsDie | Fault::UpstreamsDieKill | Fault::UpstreamsDiePlatformOut
        )
    }
}

/// What goes through a step.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// A model request.
    #[display("model request")]
    Model,
    /// A call that may not be repeated, with a key.
    #[display("claimed call")]
    Call,
    /// A change of the schema.
    #[display("schema change")]
    Change,
    /// A graceful shutdown, with a model's answer being streamed.
    #[display("drain")]
    Drain,
}

/// The work that goes through a step.
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
    /// Column.
    pub step: Step,
    /// Row.
    pub fault: Fault,
}

/// Every cell, column by column.
#[must_use]
pub fn all() -> Vec<Cell> {
    let cells = Step::ALL.into_iter().flat_map(|step| {
        let column = Fault::ALL.into_iter();
        column.map(move |fault| Cell { step, fault })
    });
    cells.collect()
}

/// Why a cell can't occur; `None`: it can.
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
        (fault, Work::Change) if fault.needs_upstreams() => {
            Some("a change sends nothing to an upstream")
        }
        _ => None,
    }
}
