//! Draws a report as a chart: request outcomes by window, with a mark where a chain broke.

use plotters::prelude::*;

use crate::day::{DayReport, RequestOutcome};

/// Width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (1_100, 420);

/// Renders a report as SVG.
///
/// # Errors
/// Returns the message of the plotting library.
pub fn render_svg(report: &DayReport) -> Result<String, String> {
    let mut out = String::new();
    {
        let root = SVGBackend::with_string(&mut out, SIZE_PX).into_drawing_area();
        draw(&root, report).map_err(|e| e.to_string())?;
        root.present().map_err(|e| e.to_string())?;
    }
    Ok(out)
}

fn draw<'a>(
    root: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    report: &DayReport,
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    root.fill(&WHITE)?;
    let last_start_ms = report.windows.keys().next_back().copied().unwrap_or(0);
    let totals = report
        .windows
        .values()
        .map(|w| w.ends.values().sum::<u64>());
    let max_total = totals.max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(
            0.0..(last_start_ms as f64 / 1e3 + 1.0),
            0.0..max_total as f64,
        )?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("requests a window")
        .draw()?;
    for (i, outcome) in RequestOutcome::ALL.into_iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let points = report.windows.iter().map(|(start, w)| {
            let count = w.ends.get(&outcome).copied().unwrap_or(0);
            (*start as f64 / 1e3, count as f64)
        });
        let series = LineSeries::new(points, color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
        chart
            .draw_series(series)?
            .label(outcome.title())
            .legend(legend);
    }
    let broken = report.windows.iter().filter(|(_, w)| w.broken > 0);
    let marks = broken.map(|(start, _)| {
        let x = *start as f64 / 1e3;
        PathElement::new(vec![(x, 0.0), (x, max_total as f64)], RED.mix(0.3))
    });
    chart.draw_series(marks)?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
