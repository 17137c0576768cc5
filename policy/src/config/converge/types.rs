//! Settings, events, actions and counters of the convergence state machine.

use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use crate::head::{Head, PartRef};
use crate::schema::CompiledSchema;
use crate::time::{Millis, Name};

/// Settings of the convergence state machine.
#[derive(Clone, Debug)]
pub struct ConvergenceConfig {
    /// Name of this instance.
    pub own: Name,
    /// Whether the settings name other instances; a joining instance then waits to hear from them.
    pub expects_peers: bool,
    /// Time that a joining instance waits for its peers before it relies on the platform alone, in
    /// milliseconds.
    pub join_grace_ms: Millis,
    /// Time that a revision is still served after its last confirmation by the platform or a
    /// majority of the instances, in milliseconds.
    pub unconfirmed_ms: Millis,
    /// Time that the platform must show an older head before it is considered rolled back, in
    /// milliseconds.
    pub rollback_confirm_ms: Millis,
}

/// The source of a head or part.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform.
    #[display("platform")]
    Platform,
    /// A peer.
    #[display("peer {_0}")]
    Peer(Name),
}

/// The view of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name.
    pub name: Name,
    /// Revision in force there; 0 if none.
    pub revision: u64,
    /// Request time of the exchange that returned its newest heartbeat; `None` if never heard from.
    pub heard_at: Option<Millis>,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform answered a read of the head.
    PlatformHead {
        /// The head; `None` if there is none.
        head: Option<Arc<Head>>,
        /// Version of the object; 0 if absent.
        version: u64,
        /// Time at which the read was sent.
        asked_at: Millis,
    },
    /// A call to the platform failed.
    PlatformFailed,
    /// A peer announced the head that it has in force.
    PeerHead {
        /// Name of the peer.
        peer: Name,
        /// Its head.
        head: Arc<Head>,
    },
    /// The current view of the other instances, except those that announced their exit.
    Members(Vec<PeerView>),
    /// A part was received.
    PartArrived {
        /// Requested hash.
        hash: Name,
        /// Received text.
        text: Name,
        /// Source of the part.
        from: Source,
    },
    /// The source did not have the part or did not answer.
    FetchFailed {
        /// Requested hash.
        hash: Name,
        /// Source that failed.
        from: Source,
    },
    /// Time passed.
    Tick,
}

/// An action for the process to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Fetch a part.
    Fetch {
        /// Part to fetch.
        part: PartRef,
        /// Source to ask.
        from: Source,
    },
    /// Serve this revision from now on.
    PutInForce(Arc<Applied>),
    /// Write the accepted head back, after its parts, over the older head at the given version.
    Republish {
        /// Accepted head.
        head: Arc<Head>,
        /// Version to replace; 0 if absent.
        over: u64,
    },
    /// Raise an alarm for the operators.
    Raise(Alarm),
}

/// A revision in force.
#[derive(Debug)]
pub struct Applied {
    /// Its head.
    pub head: Arc<Head>,
    /// Its schema.
    pub schema: Arc<CompiledSchema>,
}

/// A condition that requires an operator's attention; each is raised once.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Alarm {
    /// The platform shows an older head than the accepted one.
    #[display(
        "the platform's head went back behind revision {in_force}, which is in force and is \
         written back"
    )]
    HeadRolledBack {
        /// Revision in force.
        in_force: u64,
    },
    /// A head of a diverged history was received.
    #[display("revision {revision} of change {change} is not of our history and is refused")]
    HeadForeign {
        /// Its revision.
        revision: u64,
        /// Its change.
        change: Name,
    },
    /// A committed schema cannot be used by this release.
    #[display("revision {revision} cannot be used by this release: {cause}")]
    HeadUnusable {
        /// Its revision.
        revision: u64,
        /// Cause.
        cause: String,
    },
}

/// Event counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Revisions put in force.
    pub put_in_force: u64,
    /// Heads older than the one in force or being fetched.
    pub heads_stale: u64,
    /// Heads of a diverged history.
    pub heads_foreign: u64,
    /// Detected rollbacks of the platform.
    pub heads_went_back: u64,
    /// Inconsistent heads.
    pub heads_malformed: u64,
    /// Heads whose schema cannot be used.
    pub heads_unusable: u64,
    /// Parts whose text does not match their hash.
    pub parts_refused: u64,
    /// Failed fetches.
    pub fetches_failed: u64,
}
