//! Metrics of the `metrics` crate, rendered in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::KernelError;

/// Handle that renders the process's metrics.
#[derive(Clone)]
pub struct Stats {
    handle: PrometheusHandle,
}

impl Stats {
    /// Installs the process-wide recorder, or shares the installed one, since a test may run
    /// several instances in one process.
    ///
    /// # Errors
    /// Returns an error if another recorder is already installed.
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

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
