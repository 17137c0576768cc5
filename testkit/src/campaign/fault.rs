//! The faults of a campaign.

use derive_more::Display;
use rand::{Rng, RngExt};

/// A fault, by what it is done to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An instance is killed and started again.
    #[display("kill instance {_0}")]
    KillInstance(usize),
    /// An instance stands still and wakes.
    #[display("freeze instance {_0}")]
    FreezeInstance(usize),
    /// An instance is shut down gracefully and started again.
    #[display("restart instance {_0}")]
    RestartInstance(usize),
    /// An instance's link to the platform is cut.
    #[display("cut instance {_0} from the platform")]
    CutFromPlatform(usize),
    /// A runner is killed and started again.
    #[display("kill runner {_0}")]
    KillRunner(usize),
    /// A runner stands still and wakes.
    #[display("freeze runner {_0}")]
    FreezeRunner(usize),
    /// A runner leaves; another incarnation comes after it.
    #[display("runner {_0} leaves")]
    LeaveRunner(usize),
    /// A runner's next answers get a frame of another request.
    #[display("crossed frames at runner {_0}")]
    Crossed(usize),
    /// A runner's next answers end cleanly in their middle.
    #[display("truncated answers at runner {_0}")]
    Truncated(usize),
    /// A runner's next answers break in their middle.
    #[display("cut answers at runner {_0}")]
    CutAnswers(usize),
    /// A runner's next answers have a frame twice.
    #[display("doubled frames at runner {_0}")]
    Doubled(usize),
    /// A runner's next answers have a frame of the attempt before, and cancels are ignored.
    #[display("late frames at runner {_0}")]
    Late(usize),
    /// A runner refuses for a while.
    #[display("runner {_0} refuses")]
    Refuse(usize),
    /// A runner's link to the next stage slows a hundredfold.
    #[display("slow link at runner {_0}")]
    SlowLink(usize),
    /// A service loses its next answers after the calls ran.
    #[display("service {_0} loses answers")]
    LoseAnswers(usize),
    /// A service cuts its next calls before they run.
    #[display("service {_0} cuts calls")]
    CutCalls(usize),
    /// A service is slow for a while.
    #[display("service {_0} is slow")]
    SlowService(usize),
    /// The platform is out.
    #[display("platform out")]
    PlatformOut,
    /// The platform takes calls and answers none.
    #[display("platform hangs")]
    PlatformHangs,
    /// The platform is slow.
    #[display("platform slow")]
    PlatformSlow,
    /// The platform's next writes take effect, their answers are lost.
    #[display("platform loses answers")]
    PlatformLosesAnswers,
    /// The platform's next writes take effect late, their answers are lost.
    #[display("platform writes late")]
    PlatformWritesLate,
    /// An operator applies a change at an instance.
    #[display("apply at instance {_0}")]
    Apply(usize),
    /// Two operators apply different changes at once.
    #[display("operators race at instances {_0} and {_1}")]
    Race(usize, usize),
}

/// Sizes of the fleet, for the drawing of targets.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Instances.
    pub instances: usize,
    /// Runners.
    pub runners: usize,
    /// Services.
    pub services: usize,
}

/// Number of kinds of fault.
pub const KINDS: usize = 24;

/// Draws a fault.
pub fn draw(rng: &mut impl Rng, sizes: Sizes) -> Fault {
    let kind = rng.random_range(0..KINDS);
    of_kind(kind, rng, sizes)
}

/// A fault of a kind, by number.
pub fn of_kind(kind: usize, rng: &mut impl Rng, sizes: Sizes) -> Fault {
    let instance = rng.random_range(0..sizes.instances);
    let runner = rng.random_range(0..sizes.runners);
    let service = rng.random_range(0..sizes.services);
    let other = (instance + rng.random_range(1..sizes.instances)) % sizes.instances;
    match kind {
        0 => Fault::KillInstance(instance),
        1 => Fault::FreezeInstance(instance),
        2 => Fault::RestartInstance(instance),
        3 => Fault::CutFromPlatform(instance),
        4 => Fault::KillRunner(runner),
        5 => Fault::FreezeRunner(runner),
        6 => Fault::LeaveRunner(runner),
        7 => Fault::Crossed(runner),
        8 => Fault::Truncated(runner),
        9 => Fault::CutAnswers(runner),
        10 => Fault::Doubled(runner),
        11 => Fault::Late(runner),
        12 => Fault::Refuse(runner),
        13 => Fault::SlowLink(runner),
        14 => Fault::LoseAnswers(service),
        15 => Fault::CutCalls(service),
        16 => Fault::SlowService(service),
        17 => Fault::PlatformOut,
        18 => Fault::PlatformHangs,
        19 => Fault::PlatformSlow,
        20 => Fault::PlatformLosesAnswers,
        21 => Fault::PlatformWritesLate,
        22 => Fault::Apply(instance),
        _ => Fault::Race(instance, other),
    }
}
