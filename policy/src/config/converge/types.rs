//! Events, actions and counts of the convergence.

use std::sync::Arc;

use derive_more::Display;
use serde::Serialize;

use crate::head::{Head, PartRef};
use crate::schema::CompiledSchema;
use crate::time::{Millis, Name};

/// Times of the convergence.
#[derive(Clone, Debug)]
pub struct ConvergenceConfig {
    /// Own name.
    pub own: Name,
    /// Whether the settings name other instances: a joining one then waits to hear from them.
    pub expects_peers: bool,
    /// How long a joining instance waits for its peers before it goes by the platform alone, in
    /// milliseconds.
    pub join_grace_ms: Millis,
    /// How long a revision is served that neither the platform nor a majority of the instances
    /// confirms, in milliseconds.
    pub unconfirmed_ms: Millis,
    /// How long the platform must show an older head before it counts as gone back, in
    /// milliseconds.
    pub rollback_confirm_ms: Millis,
}

/// Whence a head or part comes.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform.
    #[display("platform")]
    Platform,
    /// Another instance.
    #[display("peer {_0}")]
    Peer(Name),
}

/// What is known of another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Name.
    pub name: Name,
    /// Revision in force there; 0: none.
    pub revision: u64,
    /// When the exchange was asked for in which its newest heartbeat came; absent: never heard.
    pub heard_at: Option<Millis>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The platform answered a read of the head.
    PlatformHead {
        /// The head; absent: there is none.
        head: Option<Arc<Head>>,
        /// Version of the object; 0: absent.
        version: u64,
        /// When the read was sent.
        asked_at: Millis,
    },
    /// A call to the platform failed.
    PlatformFailed,
    /// A peer named a head that is in force there.
    PeerHead {
        /// Peer.
        peer: Name,
        /// Its head.
        head: Arc<Head>,
    },
    /// The other instances as known now: all that have not said they are gone.
    Members(Vec<PeerView>),
    /// A part came.
    PartArrived {
        /// Hash that was asked for.
        hash: Name,
        /// Text that came.
        text: Name,
        /// Whence.
        from: Source,
    },
    /// A part was not there or its source did not answer.
    FetchFailed {
        /// Hash that was asked for.
        hash: Name,
        /// Source that was asked.
        from: Source,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Ask for a part.
    Fetch {
        /// Part.
        part: PartRef,
        /// Whom.
        from: Source,
    },
    /// Serve by this from now on.
    PutInForce(Arc<Applied>),
    /// Write the accepted head back over the older one that stands at a version; its parts first.
    Republish {
        /// Accepted head.
        head: Arc<Head>,
        /// Version to replace; 0: absent.
        over: u64,
    },
    /// Tell the operators.
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

/// What operators must look at. Raised once each.
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
    /// A head of another history.
    #[display("revision {revision} of change {change} is not of our history and is refused")]
    HeadForeign {
        /// Its revision.
        revision: u64,
        /// Its change.
        change: Name,
    },
    /// A committed schema that cannot be used here.
    #[display("revision {revision} cannot be used by this release: {cause}")]
    HeadUnusable {
        /// Its revision.
        revision: u64,
        /// Cause.
        cause: String,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Revisions put in force.
    pub put_in_force: u64,
    /// Heads older than the one in force or being fetched.
    pub heads_stale: u64,
    /// Heads of another history.
    pub heads_foreign: u64,
    /// Times at which the platform was found to have gone back.
    pub heads_went_back: u64,
    /// Heads that contradict themselves.
    pub heads_malformed: u64,
    /// Heads whose schema does not verify.
    pub heads_unusable: u64,
    /// Parts whose text has another hash.
    pub parts_refused: u64,
    /// Fetches that failed.
    pub fetches_failed: u64,
}
