//! The common types that nearly every module of the product uses.

pub use crate::entity::{DomainId, ModelId, OrgId, PipelineId, RunnerId, ServiceId};
pub use crate::outcome::Outcome;
pub use crate::time::{Millis, Name, Now};
