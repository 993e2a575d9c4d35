//! A straight line fitted through measured points, for slopes that are carried to other sizes.

/// Fewest points that a slope is fitted through.
pub const MINIMUM_POINTS: usize = 3;

/// `y = intercept + slope × x`, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth of `y` for one unit of `x`.
    pub slope: f64,
    /// `y` at `x = 0`.
    pub intercept: f64,
    /// Standard error of the slope, in its unit.
    pub slope_error: f64,
}

impl Fit {
    /// Fits a line; `None` with fewer than [`MINIMUM_POINTS`] points or all at one `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < MINIMUM_POINTS {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        if spread_x == 0.0 {
            return None;
        }
        let product: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = product / spread_x;
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points
            .iter()
            .map(|point| (point.1 - intercept - slope * point.0).powi(2))
            .sum();
        Some(Self {
            slope,
            intercept,
            slope_error: (residual / (count - 2.0) / spread_x).sqrt(),
        })
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
