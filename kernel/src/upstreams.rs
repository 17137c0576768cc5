//! The upstreams that the platform's list names, as far as the schema declares their groups.
//!
//! Leaving never turns back for the same incarnation: whatever says it first (the list, the
//! upstream's own report, its refusal) closes it to new work, however late the list still calls
//! it live.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use jacinthweir_policy::prelude::*;
use jacinthweir_wire::platform::{ListedInstance, ListedState};

/// Upstreams as known here.
#[derive(Default)]
pub struct Upstreams {
    inner: Mutex<BTreeMap<Name, Upstream>>,
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// As listed.
    pub listed: ListedInstance,
    /// Whether it gets new work.
    pub state: UpstreamState,
}

/// Whether an upstream gets new work.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum UpstreamState {
    /// Gets new work.
    #[display("open")]
    Open,
    /// Leaving: gets none.
    #[display("leaving")]
    Leaving,
    /// The list names it no longer: gets none.
    #[display("unlisted")]
    Unlisted,
}

impl Upstreams {
    /// Takes a list in.
    pub fn listed(&self, list: &[ListedInstance]) {
        let mut inner = self.lock();
        for upstream in inner.values_mut() {
            let listed = list.iter().any(|l| l.name == upstream.listed.name);
            if !listed && upstream.state == UpstreamState::Open {
                upstream.state = UpstreamState::Unlisted;
            }
        }
        for listed in list {
            take(&mut inner, listed);
        }
    }

    /// Closes an incarnation of an upstream to new work for good.
    pub fn leaving(&self, name: &str, incarnation: u64) {
        let mut inner = self.lock();
        if let Some(upstream) = inner.get_mut(name)
            && upstream.listed.incarnation == incarnation
        {
            upstream.state = UpstreamState::Leaving;
        }
    }

    /// Every upstream, in the order of names.
    #[must_use]
    pub fn all(&self) -> Vec<Upstream> {
        self.lock().values().cloned().collect()
    }

    /// Addresses of the upstreams of a group that get new work, in the order of names.
    #[must_use]
    pub fn open_in(&self, group: &str) -> Vec<NamedAddress> {
        let inner = self.lock();
        let open = inner.values().filter(|u| u.state == UpstreamState::Open);
        let open = open.filter(|u| u.listed.group.as_ref() == group);
        open.map(|u| NamedAddress {
            name: u.listed.name.clone(),
            address: u.listed.address,
        })
        .collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Name, Upstream>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An upstream to call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// Name.
    pub name: Name,
    /// Address.
    pub address: SocketAddr,
}

fn take(inner: &mut BTreeMap<Name, Upstream>, listed: &ListedInstance) {
    let state = match listed.state {
        ListedState::Live => UpstreamState::Open,
        ListedState::Leaving => UpstreamState::Leaving,
    };
    match inner.get_mut(&listed.name) {
        Some(known) if listed.incarnation < known.listed.incarnation => {}
        Some(known) if listed.incarnation == known.listed.incarnation => {
            if known.state != UpstreamState::Leaving {
                known.state = state;
            }
        }
        _ => {
            let upstream = Upstream {
                listed: listed.clone(),
                state,
            };
            inner.insert(listed.name.clone(), upstream);
        }
    }
}

impl fmt::Display for Upstreams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for u in self.lock().values() {
            let l = &u.listed;
            writeln!(
                f,
                "{} {} {} {}: {}",
                l.name, l.group, l.domain, l.address, u.state
            )?;
        }
        Ok(())
    }
}
