//! What the instances suspected, read from their dumps and metrics.

use serde::{Deserialize, Serialize};

use crate::{Fleet, Result};

/// Sums over the instances that run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspicions {
    /// Upstreams doubted.
    pub doubts: u64,
    /// Upstreams suspected, confirmed or not.
    pub upstreams: u64,
    /// Of these, ended by a report.
    pub false_upstreams: u64,
    /// Instances suspected by another.
    pub instances: u64,
    /// Attempts given up as stalled.
    pub stalls: u64,
    /// Retries that the budget allowed.
    pub retries: u64,
    /// Retries that it refused.
    pub retries_refused: u64,
}

/// Reads them.
///
/// # Errors
///
/// Where an instance that runs doesn't answer.
pub async fn read(fleet: &Fleet) -> Result<Suspicions> {
    let mut sum = Suspicions::default();
    let running = fleet.instances.iter();
    for instance in running.filter(|i| i.process.id().is_some()) {
        let operator = instance.operator()?;
        add_dump(&mut sum, &operator.dump().await?);
        let metrics = operator.metrics().await?;
        for event in ["suspicions", "unconfirmed"] {
            sum.instances += metric(&metrics, "jacinthweir_membership_total", event);
        }
    }
    Ok(sum)
}

fn add_dump(sum: &mut Suspicions, dump: &serde_json::Value) {
    let counts = &dump["upstreams"]["upstreams"]["counts"];
    let count = |field: &str| counts[field].as_u64().unwrap_or(0);
    sum.doubts += count("doubts");
    sum.upstreams += count("suspicions") + count("unconfirmed");
    sum.false_upstreams += count("false_alarms");
    let pipelines = dump["callers"]["pipelines"].as_array();
    for row in pipelines.into_iter().flatten() {
        let count = |field: &str| row[field].as_u64().unwrap_or(0);
        sum.stalls += count("stalls");
        sum.retries += count("retries_taken");
        sum.retries_refused += count("retries_refused");
    }
}

/// Sum of a counter's lines whose labels contain `label`.
fn metric(text: &str, name: &str, label: &str) -> u64 {
    let lines = text.lines().filter(|l| l.starts_with(name));
    let lines = lines.filter(|l| l.contains(label));
    let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
