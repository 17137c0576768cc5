//! Aggregated results of many runs, as a table, JSON and a plot.

use super::baseline::RoutePolicy;
use super::route_run::RunResult;
use serde::Serialize;

/// Results of one policy at one load and number of instances, over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the policy.
    pub policy: String,
    /// Number of entry instances.
    pub instances: usize,
    /// Offered load as a fraction of the throughput bound.
    pub load: f64,
    /// Achieved throughput as a fraction of the bound.
    pub held: Spread,
    /// Achieved throughput as a fraction of the offered load, capped at the bound.
    pub held_of_offered: Spread,
    /// Fraction of the requests refused.
    pub refused: Spread,
    /// p95 of the time-to-first-token, in milliseconds.
    pub first_p95_ms: Spread,
    /// p95 of the inter-token gap, in milliseconds.
    pub between_p95_ms: Spread,
}

/// Range and mean of a value over the seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// Minimum.
    pub least: f64,
    /// Mean.
    pub mean: f64,
    /// Maximum.
    pub greatest: f64,
}

impl Spread {
    /// Computes the spread of `values`, which must not be empty.
    pub fn of(values: impl Iterator<Item = f64> + Clone) -> Self {
        let count = values.clone().count() as f64;
        Self {
            least: values.clone().fold(f64::INFINITY, f64::min),
            mean: values.clone().sum::<f64>() / count,
            greatest: values.fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl Row {
    /// Aggregates the runs of all seeds.
    pub fn of(policy: RoutePolicy, instances: usize, load: f64, runs: &[RunResult]) -> Self {
        let p95 = |h: &hdrhistogram::Histogram<u64>| h.value_at_quantile(0.95) as f64 / 1e3;
        Self {
            policy: policy.to_string(),
            instances,
            load,
            held: Spread::of(runs.iter().map(|r| r.throughput)),
            held_of_offered: Spread::of(runs.iter().map(|r| r.throughput / r.offered.min(1.0))),
            refused: Spread::of(runs.iter().map(|r| r.refused)),
            first_p95_ms: Spread::of(runs.iter().map(|r| p95(&r.first_us))),
            between_p95_ms: Spread::of(runs.iter().map(|r| p95(&r.inter_token_us))),
        }
    }
}

/// Renders the rows as a Markdown table: mean, with minimum and maximum in parentheses.
pub fn markdown(rows: &[Row]) -> String {
    let mut out = String::from(
        "| policy | instances | offered | achieved | of offered (capped at bound) | refused | first token p95 ms | inter-token gap p95 ms |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for row in rows {
        out += &format!(
            "| {} | {} | {:.2} | {:.3} ({:.3}-{:.3}) | {:.1}% ({:.1}-{:.1}) | {:.1}% | {:.0} ({:.0}-{:.0}) | {:.1} ({:.1}-{:.1}) |\n",
            row.policy,
            row.instances,
            row.load,
            row.held.mean,
            row.held.least,
            row.held.greatest,
            row.held_of_offered.mean * 100.0,
            row.held_of_offered.least * 100.0,
            row.held_of_offered.greatest * 100.0,
            row.refused.mean * 100.0,
            row.first_p95_ms.mean,
            row.first_p95_ms.least,
            row.first_p95_ms.greatest,
            row.between_p95_ms.mean,
            row.between_p95_ms.least,
            row.between_p95_ms.greatest,
        );
    }
    out
}

/// Plots the achieved fraction of the bound against the offered load, one line per policy, at the
/// largest number of instances.
///
/// # Errors
/// Returns errors of the plotting library, for instance if the file cannot be written.
pub fn plot(rows: &[Row], path: &str) -> eyre::Result<()> {
    use plotters::prelude::*;
    let instances = rows.iter().map(|row| row.instances).max().unwrap_or(1);
    let loads = rows.iter().map(|row| row.load).fold(1.0, f64::max);
    let root = SVGBackend::new(path, (900, 560)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..loads * 1.25, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc(format!(
            "offered load as a fraction of the bound ({instances} instances)"
        ))
        .y_desc("achieved fraction of the bound")
        .draw()?;
    let mut policies: Vec<&str> = rows.iter().map(|row| row.policy.as_str()).collect();
    policies.dedup();
    for (i, policy) in policies.iter().enumerate() {
        let colour = Palette99::pick(i).mix(1.0);
        let of = |row: &&Row| row.policy == *policy && row.instances == instances;
        let line: Vec<(f64, f64)> = rows
            .iter()
            .filter(of)
            .map(|row| (row.load, row.held.mean))
            .collect();
        if let Some(&(x, y)) = line.last() {
            let label = (
                policy.to_string(),
                ("sans-serif", 14).into_font().color(&colour),
            );
            chart.draw_series(std::iter::once(Text::new(label.0, (x + 0.02, y), label.1)))?;
        }
        chart.draw_series(LineSeries::new(line.clone(), &colour))?;
        chart.draw_series(line.iter().map(|&p| Circle::new(p, 3, colour.filled())))?;
    }
    root.present()?;
    Ok(())
}
