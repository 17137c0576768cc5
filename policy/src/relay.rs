//! Decisions of the relay, which forwards requests without reading their bodies to runners that
//! together hold a model, or to plain services.
//!
//! | module | decides |
//! |---|---|
//! | [`intent`] | which configuration is in force, which route a request takes, whose key it has |
//! | [`following`] | how closely an instance follows the store |
//! | [`vouch`] | whether this instance may still act on that configuration |
//! | [`runners`] | what is known of each runner |
//! | [`lifetime`] | (a type) one lifetime of a runner |
//! | [`revision`] | (a type) a revision of the store |
//! | [`chain`] | which runners form a chain that runs all layers of a model |
//! | [`placement`] | which runner holds which layers |
//! | [`lease`] | which instance gives orders |
//! | [`silence`] | when a chain has fallen silent |
//! | [`words`] | whether a runner is dead that others found dead, and who asks it |
//! | [`chain_selection`] | which chain a request is sent to, or whether it waits or is refused |
//! | [`rate_limits`] | which share of a runner's announced rate limit an instance may use |
//! | [`loads`] | what all instances have in flight, and which of it is gossiped |
//! | [`attempts`] | on which runners, and how often, one request may be tried |
//! | [`fingerprint`] | which attempts are of the same request |
//! | [`quarantine`] | which requests end the runners that run them, and are sent to no more |
//! | [`shared_retry_budget`] | whether a request may be retried within the retry budget of all instances |
//!
//! None of them reads a clock or a socket.

pub mod attempts;
pub mod chain;
pub mod chain_selection;
pub mod fingerprint;
pub mod following;
pub mod intent;
pub mod lease;
pub mod lifetime;
pub mod loads;
pub mod placement;
pub mod quarantine;
pub mod rate_limits;
mod rendezvous;
pub mod revision;
pub mod runners;
pub mod shared_retry_budget;
pub mod silence;
pub mod vouch;
pub mod words;
