//! Decisions of the relay: requests whose bodies the product does not read are forwarded to
//! runners that together hold a model, or to plain services.
//!
//! | module | decides |
//! |---|---|
//! | [`intent`] | which configuration is in force, which route a request takes, whose key it bears |
//! | [`store_watch`] | how often an instance calls the store, and which instances watch it for others |
//! | [`confirmation`] | whether the configuration is confirmed recently enough to act on it |
//! | [`runners`] | entries and health of the runners |
//! | [`lifetime`] | (a type) a lifetime of a runner |
//! | [`revision`] | (a type) a revision of the store |
//! | [`chain`] | through which runners a token passes |
//! | [`placement`] | which runner is to hold which layers |
//! | [`lease`] | which instance gives orders to runners |
//! | [`silence`] | when a chain is silent or slow and its runners are probed, and which of them is dead |
//! | [`failure_reports`] | whether a quorum reports a runner dead, and which instances probe it |
//! | [`rooms`] | which chain a request goes to, waits for, or is refused by |
//! | [`limits`] | how much of the rate that a runner names an instance may send it |
//! | [`loads`] | what all instances have in flight, and which of it goes round |
//! | [`attempts`] | on which runners one request may run |
//! | [`fingerprint`] | (a type) which attempts are of the same request |
//! | [`quarantine`] | which requests crash runners and are not sent to any more of them |
//! | [`spending`] | whether a request may be sent once more |
//!
//! None of them reads a clock or a socket.

pub mod attempts;
pub mod chain;
pub mod confirmation;
pub mod failure_reports;
pub mod fingerprint;
pub mod intent;
pub mod lease;
pub mod lifetime;
pub mod limits;
pub mod loads;
pub mod placement;
pub mod quarantine;
mod ranks;
pub mod revision;
pub mod rooms;
pub mod runners;
pub mod silence;
pub mod spending;
pub mod store_watch;
