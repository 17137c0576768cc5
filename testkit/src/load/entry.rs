//! The addresses that callers use: asked for, kept for their time to live, and failed over.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::Caller;

/// What the callers of one organisation know of addresses.
#[derive(Debug)]
pub struct EntryCache {
    caller: Caller,
    /// Addresses that every caller was told at its installation.
    first: Vec<SocketAddr>,
    kept: Mutex<Kept>,
}

#[derive(Debug)]
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl EntryCache {
    /// A cache that knows only the addresses that every caller was told.
    #[must_use]
    pub fn new(caller: Caller, first: Vec<SocketAddr>) -> Self {
        let kept = Kept {
            addresses: Vec::new(),
            until: Instant::now(),
        };
        Self {
            caller,
            first,
            kept: Mutex::new(kept),
        }
    }

    /// The caller.
    #[must_use]
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Addresses to try, best first; empty: nobody answers.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        {
            let kept = self.lock();
            if Instant::now() < kept.until {
                return kept.addresses.clone();
            }
        }
        self.ask().await
    }

    /// Has the next use ask again: an address did not answer.
    pub fn forget(&self) {
        self.lock().until = Instant::now();
    }

    async fn ask(&self) -> Vec<SocketAddr> {
        let known = self.lock().addresses.clone();
        for at in known.iter().chain(&self.first) {
            let Ok(answer) = self.caller.entry(*at).await else {
                continue;
            };
            let addresses: Vec<_> = answer.addresses.iter().map(|a| a.address).collect();
            let mut kept = self.lock();
            kept.addresses.clone_from(&addresses);
            kept.until = Instant::now() + Duration::from_millis(answer.ttl_ms);
            return addresses;
        }
        Vec::new()
    }
}
