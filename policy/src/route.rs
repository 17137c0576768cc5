//! Routes: which runners run which layers of a request.
//!
//! A runner holds ranges of layers and can run any sub-range of them. [`Router`] keeps what is
//! known of the runners ([`Fleet`]) and links, makes a plan when that changes ([`ModelPlan`]: the
//! bound by maximum flow and chains of runners with the rate each should carry), and picks a route
//! for each request among chains of the plan, corrected by the live load. Each route passes
//! [`verify_route`] before it is returned. docs/ROUTING.md has the reasons and measurements.

mod cache;
mod cheapest;
mod fleet;
mod flow;
mod link;
mod packing;
mod pick;
mod plan;
mod planner;
mod pool;
mod records;
mod router;
mod state;
mod verify;

pub use cache::CacheIndex;
pub use fleet::{Effect, Fleet, Runner};
pub use flow::{MaxRate, Supply, link_bound, max_rate, segments};
pub use link::{Link, Links};
pub use plan::{Chain, Hop, ModelPlan};
pub use records::{
    CacheSeen, CloseReason, Held, LinkEnds, LinkSeen, ModelSpec, NoRoute, Pick, Route, RouteStage,
    RunnerSeen,
};
pub use router::{MODELS_PER_REPLAN, Router, RouterConfig};
pub use state::{ModelState, RouterState, RunnerState};
pub use verify::{RouteFault, verify_route};
