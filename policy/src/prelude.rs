//! Common types used by most modules of the workspace.

pub use crate::entity::{DomainId, ModelId, OrgId, PipelineId, RunnerId, ServiceId};
pub use crate::outcome::Outcome;
pub use crate::time::{Millis, Name, Now};
