//! Metrics through the `metrics` crate, rendered as Prometheus text.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::KernelError;

/// Handle that renders the process's metrics.
#[derive(Clone)]
pub struct Stats {
    handle: PrometheusHandle,
}

impl Stats {
    /// Sets up the process's recorder.
    ///
    /// # Errors
    /// When a recorder is set up already.
    pub fn open() -> Result<Stats, KernelError> {
        let installed = PrometheusBuilder::new().install_recorder();
        let handle = installed.map_err(|e| KernelError::SetUp {
            what: "metrics",
            cause: e.to_string(),
        })?;
        Ok(Stats { handle })
    }

    /// All metrics as Prometheus text.
    #[must_use]
    pub fn render(&self) -> String {
        self.handle.run_upkeep();
        self.handle.render()
    }
}
