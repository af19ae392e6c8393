//! Linear regression.

/// A fitted line and its largest residual.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
    /// Largest vertical distance of a point from the line, as a fraction of the
    /// largest absolute value.
    pub(crate) residual: f64,
}

/// Fits a line by least squares.
pub(crate) fn line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
    let distance = |(x, y): &(f64, f64)| (y - intercept - slope * x).abs() / largest;
    let residual = points.iter().map(distance).fold(0.0, f64::max);
    Line { intercept, slope, residual }
}
