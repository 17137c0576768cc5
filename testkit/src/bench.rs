//! Benchmarks of the routing policy: small discrete-event models around its public interface.
//!
//! The models are queues with service times and delayed load reports, sufficient to compare
//! policies with each other; they do not simulate a cluster.

pub mod baseline;
pub mod counting_allocator;
pub mod fleet;
pub mod route_run;
pub mod route_table;
