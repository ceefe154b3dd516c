//! The error of a measurement.

use crate::need::Need;
use crate::role::Role;

/// The reason why a measurement has no samples.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The size exceeds the resources of the machine or the limits of the harness.
    #[error("size {size} does not fit: it needs {need}")]
    DoesNotFit {
        /// The size, along the role's axis.
        size: u32,
        /// The resources that it would use.
        need: Need,
    },
    /// The role has no measurement.
    #[error("{role} is not measured yet")]
    NotMeasured {
        /// The role.
        role: Role,
    },
    /// A system call failed.
    #[error("{what}: {cause}")]
    Io {
        /// The object or operation that failed.
        what: String,
        /// The error of the system call.
        cause: std::io::Error,
    },
    /// Statistics in `/proc` can't be read.
    #[error("system statistics can't be read: {0}")]
    Figures(String),
    /// The measured component failed, for instance a process that ended early.
    #[error("the run failed: {0}")]
    Failed(String),
}
