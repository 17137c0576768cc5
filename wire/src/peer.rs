//! Messages between instances, as MessagePack.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /peer/exchange` | body [`Exchange`], answer [`ExchangeAnswer`]: what is known, and what of it is newer here |
//! | `POST /peer/push` | body and answer [`Push`]: what the other side asked for |
//! | `POST /peer/probe` | body [`ProbeRequest`], answer [`ProbeReply`]: can you reach this one? |
//! | `GET /peer/self` | [`MemberRecord`] of the instance itself |
//! | `GET /peer/head` | [`Head`] of the configuration in force on the instance; 404 where none is |
//! | `GET /peer/parts/{hash}` | a part of the configuration by its hash, as text; 404 where absent |
//! | `GET /peer/requests/{id}` | [`crate::operator::RequestRecord`] of a request this instance served |
//!
//! An exchange carries digests first and then only what the other side lacks; the modules of
//! [`jacinthweir_policy::membership`] and [`jacinthweir_policy::upstreams`] say how.

pub use jacinthweir_policy::head::{Head, PartRef};
pub use jacinthweir_policy::member::{MemberState, Phase};
pub use jacinthweir_policy::membership::{MemberDelta, MemberDigest, MemberRecord};
use jacinthweir_policy::prelude::*;
pub use jacinthweir_policy::upstreams::{PollKind, UpstreamDelta, UpstreamDigest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First message: what the sender knows, in short.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// Sender's name.
    pub from: Name,
    /// Digest of the members.
    pub members: MemberDigest,
    /// Digest of the upstreams.
    pub upstreams: UpstreamDigest,
}

/// Second message: what is newer at the receiver, and what it lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeAnswer {
    /// Name of the answering instance.
    pub from: Name,
    /// Members.
    pub members: MemberDelta,
    /// Upstreams.
    pub upstreams: UpstreamDelta,
}

/// Third message, where there is anything to push, and the answer to it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Push {
    /// Sender's name.
    pub from: Option<Name>,
    /// Members, where any were wanted.
    pub members: Option<MemberDelta>,
    /// Upstreams, where any were wanted or are wanted.
    pub upstreams: Option<UpstreamDelta>,
}

/// Can you reach this one?
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeRequest {
    /// Another instance.
    Member {
        /// Its peers' address.
        address: SocketAddr,
    },
    /// An upstream.
    Upstream {
        /// Its address.
        address: SocketAddr,
        /// How to try.
        kind: PollKind,
    },
}

/// What a probe found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeReply {
    /// The instance answered with its record.
    Member(MemberRecord),
    /// The runner answered with its report.
    Report(crate::runner::LoadReport),
    /// The service took a connection.
    Connected,
    /// Not reached.
    NotReached,
}
