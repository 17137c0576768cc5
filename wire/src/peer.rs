//! Messages between instances, as MessagePack.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /peer/exchange` | body and answer [`Exchange`]: push and pull of what is newer |
//! | `GET /peer/parts/{hash}` | a part of the configuration by its hash, as text; 404 where absent |
//! | `GET /peer/requests/{id}` | [`crate::operator::RequestRecord`] of a request this instance served |

pub use jacinthweir_policy::head::Head;
pub use jacinthweir_policy::member::{MemberState, Phase};
use jacinthweir_policy::prelude::*;
use serde::{Deserialize, Serialize};

/// One side of a push-pull exchange.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Exchange {
    /// Sender's name.
    pub from: Option<Name>,
    /// Newest head the sender knows.
    pub head: Option<Head>,
    /// What the sender knows of instances, itself first.
    pub members: Vec<MemberState>,
    /// What the sender knows of upstreams.
    pub upstreams: Vec<UpstreamState>,
}

/// What is known of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// Its listing.
    pub listed: crate::platform::ListedInstance,
    /// Newest load report seen, for runners.
    pub load: Option<crate::runner::LoadReport>,
    /// Unix time at which the observer saw it, in milliseconds.
    pub seen_ms: u64,
}
