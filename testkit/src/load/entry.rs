//! Cache of the entry addresses of an organisation's callers, with failover.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::Caller;

/// Entry addresses known to the callers of one organisation.
#[derive(Debug)]
pub struct EntryCache {
    caller: Caller,
    /// Statically configured addresses to ask if no cached one answers.
    bootstrap: Vec<SocketAddr>,
    cached: Mutex<CachedEntry>,
}

#[derive(Debug)]
struct CachedEntry {
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
}

impl EntryCache {
    /// Returns an empty cache with bootstrap addresses.
    #[must_use]
    pub fn new(caller: Caller, bootstrap: Vec<SocketAddr>) -> Self {
        let cached = CachedEntry {
            addresses: Vec::new(),
            expires_at: Instant::now(),
        };
        Self {
            caller,
            bootstrap,
            cached: Mutex::new(cached),
        }
    }

    /// Returns the caller.
    #[must_use]
    pub fn caller(&self) -> &Caller {
        &self.caller
    }

    fn lock(&self) -> MutexGuard<'_, CachedEntry> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the addresses to try, best first; empty if no instance answers.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        {
            let cached = self.lock();
            if Instant::now() < cached.expires_at {
                return cached.addresses.clone();
            }
        }
        self.refresh().await
    }

    /// Expires the cached addresses, for use after an address did not answer.
    pub fn invalidate(&self) {
        self.lock().expires_at = Instant::now();
    }

    async fn refresh(&self) -> Vec<SocketAddr> {
        let known = self.lock().addresses.clone();
        for at in known.iter().chain(&self.bootstrap) {
            let Ok(answer) = self.caller.entry(*at).await else {
                continue;
            };
            let addresses: Vec<_> = answer.addresses.iter().map(|a| a.address).collect();
            let mut cached = self.lock();
            cached.addresses.clone_from(&addresses);
            cached.expires_at = Instant::now() + Duration::from_millis(answer.ttl_ms);
            return addresses;
        }
        Vec::new()
    }
}
