//! Suspicions of the instances, read from their dumps and metrics.

use serde::{Deserialize, Serialize};

use crate::{Fleet, Result};

/// Sums over the running instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Suspicions {
    /// Doubts of upstreams, the stage before a suspicion.
    pub doubts: u64,
    /// Suspicions of upstreams, confirmed or not.
    pub upstreams: u64,
    /// Number of these that a report refuted.
    pub false_upstreams: u64,
    /// Suspicions of instances by other instances.
    pub instances: u64,
    /// Silences of attempts that counted as stalls.
    pub stalls: u64,
    /// Retries allowed by the retry budget.
    pub retries: u64,
    /// Retries refused by the retry budget.
    pub retries_refused: u64,
}

/// Reads the suspicions of all running instances.
///
/// # Errors
///
/// Returns an error if a running instance doesn't answer.
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

/// Returns the sum of the samples of a counter whose lines contain `label`.
fn metric(text: &str, name: &str, label: &str) -> u64 {
    let lines = text.lines().filter(|l| l.starts_with(name));
    let lines = lines.filter(|l| l.contains(label));
    let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}
