//! Why a measurement yields nothing.

use crate::need::Need;
use crate::role::Role;

/// Why a measurement yields nothing.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The machine, or the rig's own limits, can't hold this size.
    #[error("size {size} does not fit: it needs {need}")]
    DoesNotFit {
        /// The size, along the role's axis.
        size: u32,
        /// What it would use.
        need: Need,
    },
    /// There is no measurement of this role.
    #[error("{role} is not measured yet")]
    NotMeasured {
        /// The role.
        role: Role,
    },
    /// A system call failed.
    #[error("{what}: {cause}")]
    Io {
        /// What it was about.
        what: String,
        /// The system's error.
        cause: std::io::Error,
    },
    /// `/proc` can't be read.
    #[error("the system's figures can't be read: {0}")]
    Figures(String),
    /// What is measured did not behave, such as a process that ended early.
    #[error("the run failed: {0}")]
    Failed(String),
}
