//! Series: samples grouped by role, case and metric. Each series has one fit, one table line and one plotted curve.

use crate::budget;
use crate::fit::{Fit, FitError, Point, fit};
use crate::role::Role;
use crate::sample::{Metric, Sample};
use std::collections::BTreeMap;

/// The limit of extrapolation, as a factor of the largest measured size: a budget that the fit reaches only beyond it
/// is reported as not exceeded.
const MAX_EXTRAPOLATION: f64 = 10.0;

/// All samples of one metric of a role in one case.
#[derive(Debug, Clone)]
pub struct Series {
    /// The role.
    pub role: Role,
    /// The other fixed conditions of the samples.
    pub case: String,
    /// The metric.
    pub metric: Metric,
    /// The measured values, with their sizes.
    pub points: Vec<Point>,
}

impl Series {
    /// Fits a line through the undisturbed points.
    pub fn fit(&self) -> Result<Fit, FitError> {
        fit(&self.points)
    }

    /// The budget of the metric at the design size, if it has one.
    pub fn budget(&self) -> Option<f64> {
        budget::of_metric(self.role, &self.metric)
    }

    /// The design size along the role's axis.
    pub fn design_size(&self) -> u32 {
        budget::design_size(self.role.axis())
    }

    /// All measured sizes, including those with disturbed points only.
    pub fn sizes(&self) -> Vec<u32> {
        let mut sizes: Vec<u32> = self.points.iter().map(|point| point.size as u32).collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes
    }

    /// The median of the undisturbed values at one size.
    pub fn median_at(&self, size: u32) -> Option<f64> {
        let mut values: Vec<f64> = self.undisturbed_at(size);
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        match values.len() {
            0 => None,
            count if count % 2 == 1 => Some(values[middle]),
            _ => Some((values[middle - 1] + values[middle]) / 2.0),
        }
    }

    fn undisturbed_at(&self, size: u32) -> Vec<f64> {
        let undisturbed = self.points.iter().filter(|point| !point.disturbed && point.size as u32 == size);
        undisturbed.map(|point| point.value).collect()
    }

    /// The value at the design size: the measured median if there is one, else the value of the fit.
    pub fn at_design(&self) -> Option<Estimate> {
        let size = self.design_size();
        if let Some(value) = self.median_at(size) {
            return Some(Estimate { value, margin: None });
        }
        let fit = self.fit().ok()?;
        let size = f64::from(size);
        Some(Estimate { value: fit.at(size), margin: Some(fit.margin_at(size)) })
    }

    /// The size at which the metric exceeds its budget: the smallest measured size if its median exceeds the budget;
    /// else interpolated between the first two neighboring sizes with medians below and above the budget; else the
    /// size at which the fit reaches the budget. None without a budget, or if the fit would be used and there is none.
    pub fn budget_crossing(&self) -> Option<BudgetCrossing> {
        let max = self.budget()?;
        let medians: Vec<(f64, f64)> =
            self.sizes().iter().filter_map(|size| Some((f64::from(*size), self.median_at(*size)?))).collect();
        if let Some((smallest, _)) = medians.first().filter(|(_, value)| *value > max) {
            return Some(BudgetCrossing::Below(*smallest));
        }
        for pair in medians.windows(2) {
            let ((low, below), (high, above)) = (pair[0], pair[1]);
            if below <= max && above > max {
                return Some(BudgetCrossing::At(low + (high - low) * (max - below) / (above - below)));
            }
        }
        let fit = self.fit().ok()?;
        let farthest = fit.largest * MAX_EXTRAPOLATION;
        let reached = (max - fit.intercept) / fit.slope;
        let grows = fit.slope > fit.slope_margin;
        Some(if grows && reached <= farthest {
            BudgetCrossing::At(reached)
        } else {
            BudgetCrossing::Beyond(farthest)
        })
    }
}

/// The size at which a metric exceeds its budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BudgetCrossing {
    /// At or below this size, which is the smallest measured.
    Below(f64),
    /// At this size.
    At(f64),
    /// Not up to this size, according to the fit.
    Beyond(f64),
}

/// A value at the design size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The value, in the metric's unit.
    pub value: f64,
    /// Half the width of the fit's confidence interval; none if the value was measured.
    pub margin: Option<f64>,
}

/// Groups samples by role, case and metric, in the order of their first samples.
pub fn group(samples: &[Sample]) -> Vec<Series> {
    let mut index: BTreeMap<(Role, String, Metric), usize> = BTreeMap::new();
    let mut all: Vec<Series> = Vec::new();
    for sample in samples {
        let key = (sample.role, sample.case.clone(), sample.metric.clone());
        let place = *index.entry(key).or_insert_with(|| {
            all.push(Series {
                role: sample.role,
                case: sample.case.clone(),
                metric: sample.metric.clone(),
                points: Vec::new(),
            });
            all.len() - 1
        });
        let (size, value) = (f64::from(sample.size), sample.value);
        all[place].points.push(Point { size, value, disturbed: sample.disturbed });
    }
    all
}
