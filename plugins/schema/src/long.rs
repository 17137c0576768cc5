//! One thread for the long steps of a schema change: reading, comparing and compiling.
//!
//! At 19,000 organisations a step takes up to 140 ms, in which the requests on the same worker
//! thread would stand still. And the C library's allocator keeps memory by thread: with the steps
//! on whichever worker came, an instance kept several times what it holds (docs/CAPACITY.md). On
//! one thread the next step uses the memory that the one before gave back.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc;

use jacinthweir_kernel::prelude::*;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

type Step = Box<dyn FnOnce() + Send>;

/// The thread's inbox.
pub(crate) struct LongSteps {
    tx: mpsc::Sender<Step>,
}

impl LongSteps {
    /// The thread of an instance; it ends with the instance.
    pub(crate) fn of(cx: &Kernel) -> Arc<LongSteps> {
        cx.plugin_state(LongSteps::spawn)
    }

    fn spawn() -> LongSteps {
        let (tx, rx) = mpsc::channel::<Step>();
        let runtime = Handle::current();
        std::thread::spawn(move || {
            // Steps start tasks of the runtime.
            let _entered = runtime.enter();
            for step in rx {
                // A step that panics ends its own waiter, not the steps after it.
                if catch_unwind(AssertUnwindSafe(step)).is_err() {
                    error!("a long step of a schema change panicked");
                }
            }
        });
        LongSteps { tx }
    }

    /// Runs a step after those before it; `None`: it panicked.
    pub(crate) async fn run<T: Send + 'static>(
        &self,
        step: impl FnOnce() -> T + Send + 'static,
    ) -> Option<T> {
        let (done, result) = oneshot::channel();
        let step = Box::new(move || {
            let _ = done.send(step());
        });
        self.tx.send(step).ok()?;
        result.await.ok()
    }
}
