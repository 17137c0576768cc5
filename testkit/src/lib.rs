//! Stand-ins for the platform, model runners and plain services, and shared test tooling.
//!
//! Nothing in this crate ships. A stand-in runs either inside the test's process
//! ([`Platform::bind`], [`Runner::bind`], [`Service::bind`]) or as a separate process of the
//! `jw-standin` binary. Stand-ins are deterministic: the same seed and the same calls give the
//! same behaviour.

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
pub mod soak;
pub mod text;

pub use caller::Caller;
pub use error::{Error, Result};
pub use fleet::{Fleet, FleetCfg};
pub use operator::Operator;
pub use platform::{Platform, PlatformCfg};
pub use runner::{Runner, RunnerCfg};
pub use service::{Service, ServiceCfg};
