//! Heads of the configuration on their way between the schema and the peers' plug-ins.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jacinthweir_policy::head::Head;
use jacinthweir_policy::prelude::*;
use tokio::sync::Notify;

/// Heads of the configuration, towards and from peers.
#[derive(Default)]
pub struct Heads {
    inner: Mutex<Inner>,
    arrived: Notify,
}

#[derive(Default)]
struct Inner {
    own: Option<Arc<Head>>,
    heard: BTreeMap<Name, Arc<Head>>,
}

/// A head that a peer named.
#[derive(Clone, Debug)]
pub struct HeardHead {
    /// Peer.
    pub peer: Name,
    /// Its head.
    pub head: Arc<Head>,
}

impl Heads {
    /// The head that is in force here, for peers.
    #[must_use]
    pub fn own(&self) -> Option<Arc<Head>> {
        self.lock().own.clone()
    }

    /// Sets the head that is in force here; the schema plug-in alone does.
    pub fn set_own(&self, head: Arc<Head>) {
        self.lock().own = Some(head);
    }

    /// Keeps a head that a peer named until the schema plug-in takes it; one a peer, the newest.
    pub fn hear(&self, peer: Name, head: Head) {
        self.lock().heard.insert(peer, Arc::new(head));
        self.arrived.notify_one();
    }

    /// Heads heard since the last call.
    #[must_use]
    pub fn take_heard(&self) -> Vec<HeardHead> {
        let heard = std::mem::take(&mut self.lock().heard);
        let heard = heard.into_iter();
        heard.map(|(peer, head)| HeardHead { peer, head }).collect()
    }

    /// Returns once a head was heard.
    pub async fn arrived(&self) {
        self.arrived.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
