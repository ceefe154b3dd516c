//! What one engine is compared with: the same for all engines within one decision.

/// Means over all engines, as one front knows them.
pub(crate) struct FleetMeans {
    /// Cores of an engine.
    pub(crate) cores: f64,
    /// Work sent lately to an engine, in seconds.
    pub(crate) sent_work: f64,
    /// The mean work of what was sent lately, in seconds.
    pub(crate) request_work: f64,
    /// Threads per core that engines usually report.
    pub(crate) usual_load: f64,
}

impl FleetMeans {
    /// How much more than the mean this front has sent lately to an engine of so many cores. All fronts hash alike, so
    /// each is a sample of all: guards against engines that are home to too much. Harm: chance counts a little too.
    pub(crate) fn traffic_bias(&self, sent: f64, cores: f64) -> f64 {
        let (speed, doubt) = (cores / self.cores, self.request_work);
        (sent / speed + doubt) / (self.sent_work + doubt).max(f64::MIN_POSITIVE)
    }
}
