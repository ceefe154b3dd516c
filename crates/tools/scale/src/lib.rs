//! The scale harness: measures one role of a front at several sizes, fits the growth of its cost, and writes the
//! capacity page.
//!
//! Each role implements [`Measurement`] and produces [`Sample`]s. [`fit::fit`] calculates a slope and its confidence
//! interval from undisturbed samples. [`page`] and [`plot`] write `docs/CAPACITY.md` and one SVG for each CSV file.
//! They use nothing but the CSV files, so that the page can be checked against them.

#![warn(missing_docs)]

pub mod budget;
pub mod channel;
pub mod clients;
pub mod connected_front;
pub mod engine;
pub mod error;
pub mod fit;
pub mod fleet;
pub mod front;
pub mod limits;
pub mod managed;
pub mod measurement;
pub mod need;
pub mod page;
pub mod plot;
pub mod process;
pub mod progress;
pub mod role;
pub mod roles;
pub mod sample;
pub mod series;
pub mod watch;

pub use error::MeasureError;
pub use fit::{Fit, FitError};
pub use limits::Limits;
pub use measurement::{Measurement, Options};
pub use need::Need;
pub use progress::Progress;
pub use role::Role;
pub use sample::{Metric, Sample};
pub use watch::{Lateness, Watch};
