//! Records of requests: what happened to each, for operators.
//!
//! Records live in memory of the instance that served the request, whose name the request id
//! begins with. Finished records are kept up to a number; running ones always.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jacinthweir_policy::journal::{End, Event, Fault, Journal};
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::operator::{RecordedStep, RequestRecord};

use crate::clock::Clock;

/// Records of one instance's requests.
pub struct Records {
    keep: usize,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_id: BTreeMap<Name, Arc<Entry>>,
    finished: VecDeque<Name>,
}

/// One request: what is fixed at its arrival, and its journal.
pub struct Entry {
    /// Request id.
    pub request: Name,
    /// Instance that serves it.
    pub instance: Name,
    /// Organisation.
    pub organisation: Name,
    /// Pipeline or `service/call`.
    pub target: Name,
    /// Revision in force at its arrival.
    pub revision: u64,
    clock: Clock,
    journal: Mutex<Journal>,
}

impl Entry {
    /// An entry for a request that has just been received.
    #[must_use]
    pub fn new(journal: Journal, clock: Clock, meta: EntryMeta) -> Entry {
        Entry {
            request: journal.request().clone(),
            instance: meta.instance,
            organisation: meta.organisation,
            target: meta.target,
            revision: meta.revision,
            clock,
            journal: Mutex::new(journal),
        }
    }

    /// Records an event now.
    ///
    /// # Errors
    /// The violated invariant; see [`Journal::record`].
    pub fn record(&self, event: Event) -> Result<(), Fault> {
        self.journal().record(self.clock.unix_ms(), event)
    }

    /// Records an event that follows from one already recorded; a fault is logged, since it
    /// would be one of this program.
    pub fn note(&self, event: Event) {
        if let Err(fault) = self.record(event) {
            log::error!(request = self.request.as_ref(); "journal: {fault}");
            metrics::counter!("jacinthweir_journal_faults_total").increment(1);
        }
    }

    /// Decides the outcome and closes the journal.
    pub fn close(&self, end: End) -> Outcome {
        self.journal().close(self.clock.unix_ms(), end)
    }

    /// The journal.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The record as operators see it.
    #[must_use]
    pub fn record_now(&self) -> RequestRecord {
        let journal = self.journal();
        let steps = journal.steps().iter().map(|s| RecordedStep {
            at_ms: s.at_ms,
            what: s.event.to_string(),
        });
        RequestRecord {
            request: self.request.clone(),
            instance: self.instance.clone(),
            organisation: self.organisation.clone(),
            target: self.target.to_string(),
            revision: self.revision,
            outcome: journal.closed(),
            steps: steps.collect(),
        }
    }
}

/// What is fixed at a request's arrival.
pub struct EntryMeta {
    /// Instance that serves it.
    pub instance: Name,
    /// Organisation.
    pub organisation: Name,
    /// Pipeline or `service/call`.
    pub target: Name,
    /// Revision in force.
    pub revision: u64,
}

/// Numbers of records, for the dump.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct RecordCounts {
    /// Requests in progress.
    pub running: usize,
    /// Finished requests kept.
    pub finished: usize,
}

impl Records {
    /// Keeps `keep` finished records.
    #[must_use]
    pub fn open(keep: usize) -> Records {
        Records {
            keep,
            inner: Mutex::default(),
        }
    }

    /// Begins a record; it ends when the handle is dropped.
    pub fn begin(self: &Arc<Self>, entry: Entry) -> Running {
        let entry = Arc::new(entry);
        self.lock()
            .by_id
            .insert(entry.request.clone(), Arc::clone(&entry));
        Running {
            records: Arc::clone(self),
            entry,
        }
    }

    fn finish(&self, id: &Name) {
        let mut inner = self.lock();
        inner.finished.push_back(id.clone());
        while inner.finished.len() > self.keep {
            let Some(oldest) = inner.finished.pop_front() else {
                break;
            };
            inner.by_id.remove(&oldest);
        }
    }

    /// The record of a request.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<RequestRecord> {
        let entry = self.lock().by_id.get(id).cloned()?;
        Some(entry.record_now())
    }

    /// Ids of the requests in progress.
    #[must_use]
    pub fn running(&self) -> Vec<Name> {
        let inner = self.lock();
        let running = inner
            .by_id
            .values()
            .filter(|e| e.journal().closed().is_none());
        running.map(|e| e.request.clone()).collect()
    }

    /// Numbers of records.
    #[must_use]
    pub fn counts(&self) -> RecordCounts {
        let inner = self.lock();
        let finished = inner.finished.len();
        RecordCounts {
            running: inner.by_id.len() - finished,
            finished,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in progress.
pub struct Running {
    records: Arc<Records>,
    entry: Arc<Entry>,
}

impl std::ops::Deref for Running {
    type Target = Entry;

    fn deref(&self) -> &Entry {
        &self.entry
    }
}

impl Drop for Running {
    /// A driver that ends without an outcome (a panic) must not leave its request "in progress"
    /// for ever: the journal still says what is true of it.
    fn drop(&mut self) {
        self.entry.close(End::GivenUp);
        self.records.finish(&self.entry.request);
    }
}
