//! Draws a day: how the requests of each window ended, and when chains broke.

use plotters::prelude::*;

use crate::day::{Day, End};

/// Size of the drawing, in pixels.
const SIZE: (u32, u32) = (1_100, 420);

/// A day as SVG.
///
/// # Errors
/// The drawing library's words.
pub fn svg(day: &Day) -> Result<String, String> {
    let mut out = String::new();
    {
        let root = SVGBackend::with_string(&mut out, SIZE).into_drawing_area();
        draw(&root, day).map_err(|e| e.to_string())?;
        root.present().map_err(|e| e.to_string())?;
    }
    Ok(out)
}

fn draw<'a>(
    root: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    day: &Day,
) -> Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>> {
    root.fill(&WHITE)?;
    let last = day.windows.keys().next_back().copied().unwrap_or(0);
    let most = day.windows.values().map(|w| w.ends.values().sum::<u64>());
    let most = most.max().unwrap_or(1).max(1);
    let mut chart = ChartBuilder::on(root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..(last as f64 / 1e3 + 1.0), 0.0..most as f64)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("requests a window")
        .draw()?;
    for (i, end) in End::ALL.into_iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let at = day.windows.iter().map(|(begin, w)| {
            let count = w.ends.get(&end).copied().unwrap_or(0);
            (*begin as f64 / 1e3, count as f64)
        });
        let series = LineSeries::new(at, color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
        chart.draw_series(series)?.label(end.title()).legend(legend);
    }
    let broken = day.windows.iter().filter(|(_, w)| w.broken > 0);
    let marks = broken.map(|(begin, _)| {
        let x = *begin as f64 / 1e3;
        PathElement::new(vec![(x, 0.0), (x, most as f64)], RED.mix(0.3))
    });
    chart.draw_series(marks)?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
