//! Measurements of the policy: small event-driven models around its public interface.
//!
//! These are queues with service times and late reports, enough to compare decisions with each
//! other; they are not a simulation of a cluster.

pub mod baseline;
pub mod counting;
pub mod fleet;
pub mod route_run;
pub mod route_table;
