//! Decision logic of the router, without input or output.
//!
//! Nothing here opens a socket, reads a clock or uses a global random source: time, randomness
//! and external responses are passed as arguments, so that runs are reproducible. Modules are
//! state machines of the form `(now, event) -> actions`.

pub mod admission;
pub mod claim;
pub mod config;
pub mod drain;
pub mod entity;
pub mod entry;
pub mod fingerprint;
pub mod head;
pub mod journal;
pub mod layers;
pub mod lifetime;
pub mod listed;
pub mod load;
pub mod member;
pub mod membership;
pub mod outcome;
pub mod prelude;
pub mod prompt_part;
pub mod quarantine;
pub mod region;
pub mod relay;
pub mod retry;
pub mod retry_priority;
pub mod route;
pub mod schema;
pub mod time;
pub mod upstreams;
