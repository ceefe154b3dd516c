//! Load reports of engines: a list of numbers, or numbers with names.

use crate::settings::Settings;
use lemonusher::LoadReport;

/// The values of a load report, in the order in which the deployment names them.
pub struct LoadReportFields(Vec<String>);

impl LoadReportFields {
    /// The fields that these settings name.
    pub fn new(settings: &Settings) -> Self {
        LoadReportFields(settings.load_report.fields.clone())
    }

    /// Reads values that come in the stated order.
    pub fn read_ordered(&self, values: &[f64]) -> LoadReport {
        let mut load = LoadReport::default();
        for (field, value) in self.0.iter().zip(values) {
            set_field(&mut load, field, *value);
        }
        load
    }

    /// Reads values that come with their names. Names that are not known are passed over.
    pub fn read_named<'a>(&self, values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
        let mut load = LoadReport::default();
        for (field, value) in values {
            set_field(&mut load, field, value);
        }
        load
    }
}

/// The names of the fields: the first is the simulator's, the second that on sockets.
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
