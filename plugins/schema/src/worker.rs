//! Dedicated thread for the CPU-heavy jobs of a schema change: parsing, comparing and compiling.
//!
//! With 19,000 organisations a job takes up to 140 ms, during which it would block the requests on
//! the same runtime worker. Besides, the C library's allocator caches memory per thread: with jobs
//! on arbitrary runtime workers, an instance retained several times the memory that it uses
//! (docs/CAPACITY.md). On one thread, each job reuses the memory freed by the one before.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc;

use jacinthweir_kernel::prelude::*;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

/// Handle of the worker thread.
pub(crate) struct SchemaWorker {
    tx: mpsc::Sender<Job>,
}

impl SchemaWorker {
    /// Returns the worker of an instance; its thread ends with the instance.
    pub(crate) fn of(cx: &Kernel) -> Arc<SchemaWorker> {
        cx.plugin_state(SchemaWorker::spawn)
    }

    fn spawn() -> SchemaWorker {
        let (tx, rx) = mpsc::channel::<Job>();
        let runtime = Handle::current();
        std::thread::spawn(move || {
            // Jobs spawn tasks on the runtime.
            let _entered = runtime.enter();
            for job in rx {
                // A panicking job fails only its own caller, not the jobs after it.
                if catch_unwind(AssertUnwindSafe(job)).is_err() {
                    error!("a job of the schema worker panicked");
                }
            }
        });
        SchemaWorker { tx }
    }

    /// Runs a job after those submitted before; returns `None` if it panicked.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        job: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        let (done, result) = oneshot::channel();
        let job = Box::new(move || {
            let _ = done.send(job());
        });
        self.tx.send(job).ok()?;
        result.await.ok()
    }
}
