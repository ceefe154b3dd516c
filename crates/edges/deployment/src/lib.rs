//! Parses the settings of a deployment, which every program that runs the gateway receives at start-up, and the
//! load reports of engines. The input is a JSON object or the numbers of a report; the output is a
//! [`lemonusher::Deployment`] or [`lemonusher::LoadReport`]. This crate makes no routing decisions.
//!
//! The `rename` attributes in `settings.rs` map the names in the settings to the terms of the code. Values that
//! are names themselves (`on_request`, `inline`, `busy`, ...) are mapped in `convert.rs` and `load_report.rs`.
//! The `expecting` attributes keep the texts of parse errors independent of the names of the structs.

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
