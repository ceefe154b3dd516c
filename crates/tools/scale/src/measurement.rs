//! The interface of a measurement.

use crate::error::MeasureError;
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::Sample;
use std::path::PathBuf;

/// A way to measure one role.
pub trait Measurement {
    /// The role that it measures.
    fn role(&self) -> Role;

    /// The sizes measured if none are given.
    fn default_sizes(&self) -> Vec<u32>;

    /// Measures one size. A size that does not fit is refused with [`MeasureError::DoesNotFit`] before it starts.
    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError>;
}

/// What the command line says of a measurement.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// How often each size is measured; every repetition is a sample of its own.
    pub repeats: u32,
    /// Short runs, which show that the rig works; their figures are not for the page.
    pub quick: bool,
    /// Of everything random.
    pub seed: u64,
    /// The program of a real front; none: the one beside this program.
    pub front: Option<PathBuf>,
    /// Only cases whose name contains this text are measured, where a role has cases; none: all.
    pub case: Option<String>,
}

impl Options {
    /// Whether a case is to be measured.
    pub fn wants(&self, case: &str) -> bool {
        self.case.as_ref().is_none_or(|text| case.contains(text.as_str()))
    }
}
