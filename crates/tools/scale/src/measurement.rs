//! The trait of a measurement, and its options.

use crate::error::MeasureError;
use crate::progress::Progress;
use crate::role::Role;
use crate::sample::Sample;
use std::path::PathBuf;

/// A way to measure one role.
pub trait Measurement {
    /// The measured role.
    fn role(&self) -> Role;

    /// The sizes that are measured by default.
    fn default_sizes(&self) -> Vec<u32>;

    /// Measures one size. A size that exceeds the limits is rejected with [`MeasureError::DoesNotFit`] before it
    /// starts.
    fn measure(&mut self, size: u32, progress: &mut Progress) -> Result<Vec<Sample>, MeasureError>;
}

/// Options of a measurement, as given on the command line.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Number of runs at each size; each run adds samples of its own.
    pub repeats: u32,
    /// Short runs, which check that the harness works; their figures are not for the page.
    pub quick: bool,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The program of a real front; if none, the one in the folder of this program.
    pub front: Option<PathBuf>,
    /// Only cases whose name contains this text are measured, if the role supports it; if none, all cases.
    pub case: Option<String>,
}

impl Options {
    /// Returns whether a case is to be measured.
    pub fn wants(&self, case: &str) -> bool {
        self.case.as_ref().is_none_or(|text| case.contains(text.as_str()))
    }
}
