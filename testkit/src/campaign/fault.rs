//! Fault types of a campaign and their random generation.

use derive_more::Display;
use rand::{Rng, RngExt};

/// A fault and the index of its target.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// An instance is killed and started again.
    #[display("kill instance {_0}")]
    KillInstance(usize),
    /// An instance is suspended and resumed.
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
    /// A runner is suspended and resumed.
    #[display("freeze runner {_0}")]
    FreezeRunner(usize),
    /// A runner leaves and is replaced by a new incarnation.
    #[display("runner {_0} leaves")]
    LeaveRunner(usize),
    /// A runner's next answers contain a frame of another request.
    #[display("crossed frames at runner {_0}")]
    CrossedFrames(usize),
    /// A runner's next answers are truncated with a clean end of stream.
    #[display("truncated answers at runner {_0}")]
    TruncatedAnswers(usize),
    /// A runner's next answers are cut off mid-stream by a connection error.
    #[display("cut answers at runner {_0}")]
    CutAnswers(usize),
    /// A runner's next answers contain a duplicate frame.
    #[display("doubled frames at runner {_0}")]
    DuplicateFrames(usize),
    /// A runner's next answers contain a frame of the previous attempt, and cancels are ignored.
    #[display("late frames at runner {_0}")]
    LateFrames(usize),
    /// A runner refuses requests until healed.
    #[display("runner {_0} refuses")]
    Refuse(usize),
    /// A runner's link to the next stage is slowed by a factor of 100.
    #[display("slow link at runner {_0}")]
    SlowLink(usize),
    /// A service drops its next answers after it has run the calls.
    #[display("service {_0} loses answers")]
    LoseAnswers(usize),
    /// A service closes the connections of its next calls before running them.
    #[display("service {_0} cuts calls")]
    CutCalls(usize),
    /// A service delays its answers until healed.
    #[display("service {_0} is slow")]
    SlowService(usize),
    /// The platform is unavailable.
    #[display("platform out")]
    PlatformOut,
    /// The platform accepts calls but does not answer them.
    #[display("platform hangs")]
    PlatformHangs,
    /// The platform delays its answers.
    #[display("platform slow")]
    PlatformSlow,
    /// The platform's next writes take effect, but their answers are lost.
    #[display("platform loses answers")]
    PlatformLosesAnswers,
    /// The platform's next writes take effect late, and their answers are lost.
    #[display("platform writes late")]
    PlatformWritesLate,
    /// An operator applies a configuration change through an instance.
    #[display("apply at instance {_0}")]
    Apply(usize),
    /// Two operators apply different changes concurrently.
    #[display("operators race at instances {_0} and {_1}")]
    Race(usize, usize),
}

/// Number of processes of each kind, from which fault targets are chosen.
#[derive(Clone, Copy, Debug)]
pub struct FleetSizes {
    /// Number of instances.
    pub instances: usize,
    /// Number of runners.
    pub runners: usize,
    /// Number of services.
    pub services: usize,
}

/// Number of fault kinds.
pub const KIND_COUNT: usize = 24;

/// Generates a fault of a random kind.
pub fn random_fault(rng: &mut impl Rng, sizes: FleetSizes) -> Fault {
    let kind = rng.random_range(0..KIND_COUNT);
    random_fault_of_kind(kind, rng, sizes)
}

/// Generates a fault of the given kind with random targets.
pub fn random_fault_of_kind(kind: usize, rng: &mut impl Rng, sizes: FleetSizes) -> Fault {
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
        7 => Fault::CrossedFrames(runner),
        8 => Fault::TruncatedAnswers(runner),
        9 => Fault::CutAnswers(runner),
        10 => Fault::DuplicateFrames(runner),
        11 => Fault::LateFrames(runner),
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
