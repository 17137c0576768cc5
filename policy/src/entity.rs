//! Dense indices of the entities of a compiled schema.
//!
//! A name is resolved once, when a request or report arrives; after that the code uses these
//! indices, which print as `org3` or `model0` in logs and dumps.

use cranelift_entity::entity_impl;

macro_rules! entity {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);
        entity_impl!($name, $prefix);
    };
}

entity!(
    /// A failure domain.
    DomainId,
    "domain"
);
entity!(
    /// An organisation, with API keys, a priority and a weight.
    OrgId,
    "org"
);
entity!(
    /// A model.
    ModelId,
    "model"
);
entity!(
    /// A pipeline: a model served under a public name.
    PipelineId,
    "pipeline"
);
entity!(
    /// A plain service.
    ServiceId,
    "service"
);
entity!(
    /// A model runner; each instance numbers the runners in the order of their first report.
    RunnerId,
    "runner"
);
