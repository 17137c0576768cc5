//! Stand-ins for the platform, model runners and plain services, and the tools of the tests.
//!
//! Nothing here ships. Each stand-in can be spawned inside a test's own process
//! ([`Platform::bind`], [`Runner::bind`], [`Service::bind`]) or as a process of its own by the
//! `jw-standin` binary. With the same seed and the same calls a stand-in behaves the same.

pub mod admin;
pub mod bench;
pub mod caller;
pub mod campaign;
pub mod error;
pub mod fleet;
pub mod history;
pub mod http;
pub mod load;
pub mod matrix;
pub mod operator;
pub mod platform;
pub mod recovery;
pub mod relay;
pub mod runner;
pub mod service;
pub mod text;

pub use caller::Caller;
pub use error::{Error, Result};
pub use fleet::{Fleet, FleetCfg};
pub use operator::Operator;
pub use platform::{Platform, PlatformCfg};
pub use runner::{Runner, RunnerCfg};
pub use service::{Service, ServiceCfg};
