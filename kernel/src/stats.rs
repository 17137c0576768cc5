//! Metrics through the `metrics` crate, rendered as Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::KernelError;

/// Handle that renders the process's metrics.
#[derive(Clone)]
pub struct Stats {
    handle: PrometheusHandle,
}

impl Stats {
    /// Sets up the process's recorder, or shares the one that stands: a test may open several
    /// instances in one process.
    ///
    /// # Errors
    /// When a recorder is set up already.
    pub fn open() -> Result<Stats, KernelError> {
        static RECORDER: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();
        let install = || {
            let installed = PrometheusBuilder::new().install_recorder();
            installed.map_err(|e| e.to_string())
        };
        match RECORDER.get_or_init(install) {
            Ok(handle) => Ok(Stats {
                handle: handle.clone(),
            }),
            Err(cause) => Err(KernelError::SetUp {
                what: "metrics",
                cause: cause.clone(),
            }),
        }
    }

    /// All metrics as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
