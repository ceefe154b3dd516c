//! Least-squares fit of a metric over size: slope, intercept, and the confidence intervals of prediction and slope.

use statrs::distribution::{ContinuousCDF, StudentsT};
use std::collections::BTreeSet;

/// The fewest different sizes with undisturbed points that a fit needs.
pub const MIN_SIZES: usize = 3;
/// Confidence level of all intervals.
pub const CONFIDENCE: f64 = 0.95;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size along the role's axis.
    pub size: f64,
    /// The value, in the metric's unit.
    pub value: f64,
    /// True if the point was disturbed; it is then not used for a fit.
    pub disturbed: bool,
}

/// The reason why points have no fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// Too few different sizes were measured.
    #[error("too few good sizes: {good}, {MIN_SIZES} wanted")]
    TooFewSizes {
        /// Number of different sizes with undisturbed points.
        good: usize,
    },
    /// Enough sizes were measured, but too few of them without disturbance.
    #[error("disturbed: {good} good sizes of {measured}, {MIN_SIZES} wanted")]
    Disturbed {
        /// Number of different sizes with undisturbed points.
        good: usize,
        /// Number of different sizes in all.
        measured: usize,
    },
    /// A size or value is infinite or NaN.
    #[error("a size or value is not a finite number")]
    NotFinite,
}

/// The line `value = intercept + slope * size`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// The slope, in the metric's unit for each unit of size.
    pub slope: f64,
    /// The value at size zero.
    pub intercept: f64,
    /// Half the width of the slope's confidence interval.
    pub slope_margin: f64,
    /// Standard deviation of the values from the line.
    pub residual: f64,
    /// The fit by a power of the size; none if any value or size is not above zero.
    pub power: Option<Power>,
    /// Number of points used.
    pub points: usize,
    /// Number of disturbed points, which are not used.
    pub left_out: usize,
    /// The smallest size used.
    pub smallest: f64,
    /// The largest size used.
    pub largest: f64,
    mean_size: f64,
    /// Sum of squared distances of the sizes from their mean.
    spread: f64,
    quantile: f64,
}

/// The curve `value = factor * size ^ exponent`, from a least-squares line through the logarithms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Power {
    /// The value at size one.
    pub factor: f64,
    /// The exponent of the size.
    pub exponent: f64,
}

impl Power {
    /// The largest exponent that counts as linear growth.
    pub const LINEAR_UP_TO: f64 = 1.2;

    /// The curve's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// Returns whether growth counts as linear.
    pub fn linear(&self) -> bool {
        self.exponent <= Self::LINEAR_UP_TO
    }
}

impl Fit {
    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }

    /// Half the width of the confidence interval of the line's value at a size.
    pub fn margin_at(&self, size: f64) -> f64 {
        let distance = (size - self.mean_size).powi(2) / self.spread;
        self.quantile * self.residual * (1.0 / self.points as f64 + distance).sqrt()
    }

    /// The ratio of a size to the largest measured size; at least 1.
    pub fn extrapolation(&self, size: f64) -> f64 {
        (size / self.largest).max(1.0)
    }
}

/// Fits a line through the undisturbed points.
pub fn fit(points: &[Point]) -> Result<Fit, FitError> {
    if points.iter().any(|point| !point.size.is_finite() || !point.value.is_finite()) {
        return Err(FitError::NotFinite);
    }
    let undisturbed: Vec<Point> = points.iter().copied().filter(|point| !point.disturbed).collect();
    let (undisturbed_sizes, all_sizes) = (sizes(&undisturbed), sizes(points));
    if undisturbed_sizes < MIN_SIZES {
        return Err(if all_sizes >= MIN_SIZES {
            FitError::Disturbed { good: undisturbed_sizes, measured: all_sizes }
        } else {
            FitError::TooFewSizes { good: undisturbed_sizes }
        });
    }
    Ok(line(&undisturbed, points.len() - undisturbed.len()))
}

fn sizes(points: &[Point]) -> usize {
    points.iter().map(|point| point.size.to_bits()).collect::<BTreeSet<_>>().len()
}

/// The least-squares line through points.
struct LeastSquares {
    slope: f64,
    intercept: f64,
    mean_x: f64,
    /// Sum of squared distances of x from its mean.
    spread: f64,
}

fn least_squares(points: &[(f64, f64)]) -> LeastSquares {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    LeastSquares { slope, intercept: mean_y - slope * mean_x, mean_x, spread }
}

/// Fits a line. The points have at least three different sizes, so the spread is above zero and there is at least one
/// degree of freedom.
fn line(undisturbed: &[Point], left_out: usize) -> Fit {
    let pairs: Vec<(f64, f64)> = undisturbed.iter().map(|point| (point.size, point.value)).collect();
    let LeastSquares { slope, intercept, mean_x: mean_size, spread } = least_squares(&pairs);
    let degrees_of_freedom = (undisturbed.len() - 2) as f64;
    let squares = pairs.iter().map(|(size, value)| (value - intercept - slope * size).powi(2)).sum::<f64>();
    let residual = (squares / degrees_of_freedom).sqrt();
    let quantile = StudentsT::new(0.0, 1.0, degrees_of_freedom)
        .map_or(f64::INFINITY, |t| t.inverse_cdf((1.0 + CONFIDENCE) / 2.0));
    Fit {
        slope,
        intercept,
        slope_margin: quantile * residual / spread.sqrt(),
        residual,
        power: power(&pairs),
        points: undisturbed.len(),
        left_out,
        smallest: pairs.iter().map(|(size, _)| *size).fold(f64::INFINITY, f64::min),
        largest: pairs.iter().map(|(size, _)| *size).fold(f64::NEG_INFINITY, f64::max),
        mean_size,
        spread,
        quantile,
    }
}

fn power(pairs: &[(f64, f64)]) -> Option<Power> {
    if pairs.iter().any(|(size, value)| *size <= 0.0 || *value <= 0.0) {
        return None;
    }
    let logs: Vec<(f64, f64)> = pairs.iter().map(|(size, value)| (size.ln(), value.ln())).collect();
    let line = least_squares(&logs);
    Some(Power { factor: line.intercept.exp(), exponent: line.slope })
}
