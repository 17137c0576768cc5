//! Routing: selects the runners that execute the layers of a request.
//!
//! A runner holds ranges of layers and can run any sub-range of them. [`Router`] tracks the state
//! of the runners ([`Fleet`]) and links and recomputes a plan when it changes ([`ModelPlan`]: the
//! throughput bound from maximum flow, and chains of runners with the rate each should carry). It
//! picks the route of each request from the chains of the plan, adjusted for the current load.
//! Each route passes [`verify_route`] before it is returned. docs/ROUTING.md has the rationale
//! and benchmark results.

mod cache;
mod cheapest_chain;
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
pub use fleet::{Fleet, PlanEffect, Runner};
pub use flow::{MaxRate, Supply, link_bound, max_rate, segments};
pub use link::{Link, Links};
pub use plan::{Chain, Hop, ModelPlan};
pub use records::{
    CloseReason, HeldRange, LinkEnds, LinkObservation, ModelSpec, NoRoute, PrefixCacheEvent, Route,
    RouteRequest, RouteStage, RunnerReport,
};
pub use router::{MAX_MODELS_PER_REPLAN, Router, RouterConfig};
pub use state::{ModelState, RouterState, RunnerState};
pub use verify::{RouteFault, verify_route};
