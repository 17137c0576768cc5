//! Records of requests, for operators.
//!
//! Records are held in memory by the instance that served the request; the request id starts with
//! that instance's name. A limited number of finished records is kept, and every running one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jacinthweir_policy::journal::{End, Event, Fault, Journal};
use jacinthweir_policy::prelude::*;
use jacinthweir_wire::operator::{RecordedStep, RequestRecord};

use crate::clock::Clock;

/// Records of the requests of one instance.
pub struct Records {
    max_finished: usize,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_id: BTreeMap<Name, Arc<Entry>>,
    finished: VecDeque<Name>,
}

/// Record of one request: its metadata, fixed at arrival, and its journal.
pub struct Entry {
    /// Request id.
    pub request: Name,
    /// Instance that serves it.
    pub instance: Name,
    /// Organisation.
    pub organisation: Name,
    /// Pipeline or `service/call`.
    pub target: Name,
    /// Revision in force at arrival.
    pub revision: u64,
    clock: Clock,
    journal: Mutex<Journal>,
}

impl Entry {
    /// Creates an entry for a request that has just been received.
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

    /// Records an event with the current time.
    ///
    /// # Errors
    /// Returns the violated invariant; see [`Journal::record`].
    pub fn record(&self, event: Event) -> Result<(), Fault> {
        self.journal().record(self.clock.unix_ms(), event)
    }

    /// Records an event that follows from one already recorded. An invariant violation is logged
    /// and counted rather than returned, since it would be a bug in this program.
    pub fn record_or_log(&self, event: Event) {
        if let Err(fault) = self.record(event) {
            log::error!(request = self.request.as_ref(); "journal: {fault}");
            metrics::counter!("jacinthweir_journal_faults_total").increment(1);
        }
    }

    /// Closes the journal and returns the outcome.
    pub fn close(&self, end: End) -> Outcome {
        self.journal().close(self.clock.unix_ms(), end)
    }

    /// Locks and returns the journal.
    pub fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current record in the form sent to operators.
    #[must_use]
    pub fn to_record(&self) -> RequestRecord {
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

/// Metadata of a request, fixed at arrival.
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

/// Record counts, for the dump.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct RecordCounts {
    /// Requests in progress.
    pub running: usize,
    /// Finished requests whose records are kept.
    pub finished: usize,
}

impl Records {
    /// Creates an empty store that keeps at most `max_finished` finished records.
    #[must_use]
    pub fn open(max_finished: usize) -> Records {
        Records {
            max_finished,
            inner: Mutex::default(),
        }
    }

    /// Starts a record; dropping the handle finishes it.
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
        while inner.finished.len() > self.max_finished {
            let Some(oldest) = inner.finished.pop_front() else {
                break;
            };
            inner.by_id.remove(&oldest);
        }
    }

    /// Returns the record of a request.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<RequestRecord> {
        let entry = self.lock().by_id.get(id).cloned()?;
        Some(entry.to_record())
    }

    /// Returns the ids of the requests in progress.
    #[must_use]
    pub fn running(&self) -> Vec<Name> {
        let inner = self.lock();
        let running = inner
            .by_id
            .values()
            .filter(|e| e.journal().closed().is_none());
        running.map(|e| e.request.clone()).collect()
    }

    /// Returns the record counts.
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

/// Handle to the record of a request in progress.
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
    /// Closes the journal, so that a driver that ends without an outcome (for instance by a panic)
    /// does not leave its request in progress for ever. The journal determines the outcome.
    fn drop(&mut self) {
        self.entry.close(End::GivenUp);
        self.records.finish(&self.entry.request);
    }
}
