//! Straight lines that are fitted through measured points.

use serde::Serialize;

/// A cost at several sizes, with the line fitted through it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Row {
    /// What is measured, with its unit.
    pub(crate) cost: &'static str,
    /// What the cost is measured against.
    pub(crate) against: &'static str,
    /// Pairs of size and cost.
    pub(crate) points: Vec<(f64, f64)>,
    /// Slope of the line, that is the cost of one more unit of size.
    pub(crate) slope: f64,
    /// Cost at size 0 by the fitted line.
    pub(crate) intercept: f64,
    /// Largest distance of a point from the line, as a fraction of the largest cost.
    pub(crate) residual: f64,
}

impl Row {
    /// Fits a line through pairs of size and cost.
    pub(crate) fn fit(cost: &'static str, against: &'static str, points: Vec<(f64, f64)>) -> Self {
        let fitted = linreg::linear_regression_of(&points);
        let (slope, intercept): (f64, f64) = fitted.unwrap_or((0.0, 0.0));
        let largest_cost = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let largest_distance = points
            .iter()
            .map(|p| (p.1 - (intercept + slope * p.0)).abs())
            .fold(0.0, f64::max);
        Self {
            cost,
            against,
            points,
            slope,
            intercept,
            residual: largest_distance / largest_cost,
        }
    }
}

impl std::fmt::Display for Row {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:<44} {:<22} {:>12.4} {:>12.3} {:>8.1}%  ",
            self.cost,
            self.against,
            self.slope,
            self.intercept,
            self.residual * 100.0
        )?;
        for (size, cost) in &self.points {
            write!(f, " {size:.0}: {cost:.2}")?;
        }
        Ok(())
    }
}
