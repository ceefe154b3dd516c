//! Load reports of engines: a list of numbers in a configured order, or numbers with names.

use crate::settings::Settings;
use lemonusher::LoadReport;

/// Names of the values in a load report, in the order of the deployment's settings.
pub struct LoadReportFields(Vec<String>);

impl LoadReportFields {
    /// Takes the names from the settings.
    pub fn new(settings: &Settings) -> Self {
        LoadReportFields(settings.load_report.fields.clone())
    }

    /// Reads values in the order of the settings.
    pub fn read_ordered(&self, values: &[f64]) -> LoadReport {
        let mut load = LoadReport::default();
        for (field, value) in self.0.iter().zip(values) {
            set_field(&mut load, field, *value);
        }
        load
    }

    /// Reads values with their names. Unknown names are ignored.
    pub fn read_named<'a>(&self, values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut load = LoadReport::default();
        for (field, value) in values {
            set_field(&mut load, field, value);
        }
        load
    }
}

/// Sets the value with this name. Of two names for one value, the simulator uses the first and the wire the
/// second.
fn set_field(load: &mut LoadReport, field: &str, value: f64) {
    match field {
        "busy" | "util" => load.cores_busy = Some(value),
        "rif" | "inflight" => load.in_flight = Some(value),
        "q" | "queue" => load.waiting_for_memory = Some(value),
        "x0" => load.memory_granted = Some(value),
        "x1" => load.disks_busy = Some(value),
        _ => {}
    }
}
