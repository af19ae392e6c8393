//! Draws measured points and their fitted lines as SVG.

use std::error::Error;

use plotters::prelude::BLACK;
use plotters::prelude::BLUE;
use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::prelude::WHITE;

use crate::fit;

/// A measured quantity (y) at several sizes (x).
pub(crate) struct Series {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

const PANEL_WIDTH: u32 = 420;
const PANEL_HEIGHT: u32 = 240;
const COLUMNS: usize = 2;

/// Writes an SVG file to `path` with one panel per series.
pub(crate) fn draw(path: &str, series: &[Series]) -> Result<(), Box<dyn Error>> {
    let rows = series.len().div_ceil(COLUMNS);
    let size = (PANEL_WIDTH * COLUMNS as u32, PANEL_HEIGHT * rows as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, series) in root.split_evenly((rows, COLUMNS)).iter().zip(series) {
        let line = fit::line(&series.points);
        let right = series.points.iter().map(|(x, _)| *x).fold(1.0, f64::max);
        let top = series.points.iter().map(|(_, y)| *y).fold(1.0, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(panel)
            .margin(10)
            .x_label_area_size(24)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart.configure_mesh().x_desc(&series.name).draw()?;
        let ends = [0.0, right].map(|x| (x, line.intercept + line.slope * x));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
        chart.draw_series(series.points.iter().map(|point| Circle::new(*point, 3, BLACK)))?;
    }
    root.present()?;
    Ok(())
}
