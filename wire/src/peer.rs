//! Messages between instances, as MessagePack.
//!
//! | call | meaning |
//! |---|---|
//! | `POST /peer/exchange` | body [`Exchange`], answer [`ExchangeAnswer`]: digests of the sender's records, and the records that are newer at the receiver |
//! | `POST /peer/push` | body and answer [`Push`]: the records that the other instance requested |
//! | `POST /peer/probe` | body [`ProbeRequest`], answer [`ProbeReply`]: indirect probe of an instance or upstream |
//! | `GET /peer/self` | [`MemberRecord`] of the answering instance |
//! | `GET /peer/head` | [`Head`] of the configuration in force on the instance; 404 if there is none |
//! | `GET /peer/parts/{hash}` | a part of the configuration by its hash, as text; 404 if absent |
//! | `GET /peer/requests/{id}` | [`crate::operator::RequestRecord`] of a request this instance served |
//!
//! An anti-entropy exchange sends digests first and then only the records that the other instance
//! lacks; see [`jacinthweir_policy::membership`] and [`jacinthweir_policy::upstreams`].

pub use jacinthweir_policy::head::{Head, PartRef};
pub use jacinthweir_policy::member::{MemberState, Phase};
pub use jacinthweir_policy::membership::{MemberDelta, MemberDigest, MemberRecord};
use jacinthweir_policy::prelude::*;
pub use jacinthweir_policy::quarantine::CrashReport;
pub use jacinthweir_policy::upstreams::{PollKind, UpstreamDelta, UpstreamDigest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// First message of an exchange: digests of the sender's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exchange {
    /// Sender's name.
    pub from: Name,
    /// Digest of the member records.
    pub members: MemberDigest,
    /// Digest of the upstream records.
    pub upstreams: UpstreamDigest,
    /// Crash reports: recent ones, and those for which something is quarantined.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
}

/// Second message of an exchange: the records that are newer at the receiver, and requests for
/// those that it lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExchangeAnswer {
    /// Name of the answering instance.
    pub from: Name,
    /// Member records.
    pub members: MemberDelta,
    /// Upstream records.
    pub upstreams: UpstreamDelta,
    /// Crash reports, as in [`Exchange`].
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
}

/// Third message of an exchange, sent only if records were requested, and the answer to it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Push {
    /// Sender's name.
    pub from: Option<Name>,
    /// Member records, if any were requested.
    pub members: Option<MemberDelta>,
    /// Upstream records, if any were requested, and requests for further ones.
    pub upstreams: Option<UpstreamDelta>,
}

/// Request to probe an instance or upstream on behalf of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeRequest {
    /// Another instance.
    Member {
        /// Address of its peer listener.
        address: SocketAddr,
    },
    /// An upstream.
    Upstream {
        /// Its address.
        address: SocketAddr,
        /// Kind of probe.
        kind: PollKind,
    },
}

/// Result of a probe.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProbeReply {
    /// The instance answered with its record.
    Member(MemberRecord),
    /// The runner answered with its report.
    Report(crate::runner::LoadReport),
    /// The service accepted a connection.
    Connected,
    /// The target was not reached.
    NotReached,
}
