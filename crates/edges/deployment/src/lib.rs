//! Reads a deployment's settings, as every host of the gateway is given them at its start, and engines' load reports.
//! Input is the settings object (JSON); output is the decision module's `Deployment`. Nothing here decides.
//!
//! The settings' own names are mapped to the code's once, by the `rename` attributes of the structs in
//! `settings.rs`; values that are names themselves (`on_request`, `inline`, `busy`, ...) are mapped in `convert.rs`
//! and `load_report.rs`. `expecting` keeps the texts of errors as they were.

#![warn(missing_docs)]

mod convert;
mod load_report;
mod settings;

pub use convert::deployment;
pub use load_report::LoadReportFields;
pub use settings::{
    CapabilitySettings, ClientSettings, CostSettings, EngineSettings, IdempotencySetting, LoadReportSettings,
    RequestClassSettings, SafetySettings, ScopeSetting, Settings,
};
