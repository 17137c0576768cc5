//! Decisions of the relay, which forwards requests without reading their bodies to runners that
//! together hold a model, or to plain services.
//!
//! | module | decides |
//! |---|---|
//! | [`intent`] | which configuration is in force, which route a request takes, whose key it has |
//! | [`store_watch`] | how often an instance calls the store, and which instances watch it for others |
//! | [`store_pacing`] | how soon calls to the store that bring an instance no further follow each other |
//! | [`backoff`] | how soon a call follows one that brought nothing |
//! | [`start_sources`] | from where an instance that starts gets the runners |
//! | [`confirmation`] | whether the configuration is confirmed recently enough to act on it |
//! | [`runners`] | entries and health of the runners |
//! | [`rejected_entries`] | which entries that name no runner to use are logged |
//! | [`held_range`] | (a type) a range of layers that a runner holds |
//! | [`revision`] | (a type) a revision of the store |
//! | [`chain`] | which runners form a chain that runs all layers of a model |
//! | [`placement`] | which runner holds which layers |
//! | [`lease`] | which instance gives orders to runners |
//! | [`silence`] | when a chain is silent or slow and its runners are probed, and which of them is dead |
//! | [`failure_reports`] | whether a quorum reports a runner dead, and which instances probe it |
//! | [`chain_selection`] | which chain a request is sent to |
//! | [`load_shedding`] | which requests wait in vain, and when the callers of refused ones return |
//! | [`contention`] | which requests are admitted, and where they are sent, while chains lack room |
//! | `new_instance` | what an instance that has just started assumes about the others |
//! | [`rate_limits`] | which share of a runner's announced rate limit an instance may use |
//! | [`loads`] | what all instances have in flight, and which of it is gossiped |
//! | [`attempts`] | on which runners, and how often, one request may be tried |
//! | [`shared_retry_budget`] | whether a request may be retried within the retry budget of all instances |
//!
//! Which requests crash runners and are not sent to any more of them is decided in
//! [`crate::quarantine`], as for the product's own interface. None of the modules reads a clock or a socket.

pub mod attempts;
pub mod backoff;
pub mod chain;
pub mod chain_selection;
pub mod confirmation;
pub mod contention;
pub mod failure_reports;
pub mod held_range;
pub mod intent;
pub mod lease;
pub mod load_shedding;
pub mod loads;
mod new_instance;
pub mod placement;
pub mod rate_limits;
pub mod reachability;
pub mod rejected_entries;
pub mod rendezvous;
pub mod revision;
pub mod runners;
pub mod shared_retry_budget;
pub mod silence;
pub mod start_sources;
pub mod store_pacing;
pub mod store_watch;
