//! Load estimation: the threads per core that an engine is estimated to run, and the needed share of its
//! memory.
//!
//! The estimate in threads uses the first of these sources that is available:
//! 1. A load report that is not older than the maximum report age. If the report counts requests, each
//!    request of another front counts for as many threads as a typical request of this front. If it states
//!    the busy share of the cores, the estimate with few fronts is the number of busy cores plus the change
//!    of this front's own threads since the report, and at least the own threads. From [`CPU_SATURATED`] on,
//!    the busy share no longer shows how many threads run; the estimate is then at least this front's own
//!    threads times the fleet multiple ([`LoadEstimates::fleet_multiple`]). In many-front mode
//!    ([`Gateway::many_fronts`]) the estimate is the number of busy cores / [`CPU_SHARE_OF_THREAD`], or more
//!    after a slow probe, plus the increase of this front's own threads since the report.
//! 2. In many-front mode without such a report: the usual load of all engines × the traffic bias of this
//!    engine, or the engine's congestion if that is higher, plus this front's own threads. The traffic bias
//!    is the work that this front has sent to the engine lately, relative to the mean over its engines. All
//!    fronts use the same hash, so the traffic of one front is a sample of the traffic of all.
//! 3. Otherwise this front's own threads × the number of fronts.
//!
//! Needed memory, as a share of the engine's memory: the memory that this front's requests there need × the
//! fleet multiple (few fronts), or the granted memory that the engine reports × [`NEEDED_SHARE_OF_GRANT`],
//! whichever is higher. The memory estimate guards against paging and spilling to disk. A front with little
//! traffic knows the fleet multiple only roughly.

use crate::admission::{
    ADMIT_NONE_AT_LIMIT_MULTIPLE, ADMIT_NONE_AT_THREADS_PER_CORE, UNLOADED_THREADS_PER_CORE,
};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::EngineId;
use crate::engine::{Engine, Report};
use crate::event::LoadReport;
use crate::gateway::Gateway;
use crate::request_class::RequestClass;
use std::time::Duration;

/// The share of its time that a running thread spends on a core.
const CPU_SHARE_OF_THREAD: f64 = 0.3;
/// From this busy share of the cores on, a report does not show how many threads run.
const CPU_SATURATED: f64 = 0.9;
/// Threads per core that many-front mode adds to the estimate if reports count requests.
const UNREPORTED_THREADS_PER_CORE: f64 = 0.4;
/// Weight of the prior `UNLOADED_THREADS_PER_CORE` in the usual load, in reports. The usual load returns to
/// the prior as reports decay. Without the prior a front that takes all engines for full would send nothing
/// and would never get a new report.
const USUAL_LOAD_PRIOR_WEIGHT: f64 = 5.0;
/// Time constant of the sent work, in attempts sent per engine that this front uses.
const SENT_WORK_TIME_CONSTANT: f64 = 2.0;
/// The share of its granted memory that a request needs.
const NEEDED_SHARE_OF_GRANT: f64 = 0.36;
/// Lower limit of the fastest probe's duration, in seconds; avoids a division by zero.
const MIN_PROBE_SECONDS: f64 = 1e-6;

/// Estimates over all engines and fronts.
#[derive(Default)]
pub(crate) struct LoadEstimates {
    /// Threads that all fronts together run, as a multiple of this front's own threads.
    pub(crate) fleet_multiple: DecayingMean,
    /// Mean threads per core that engines report, before the prior is added.
    usual_load: DecayingMean,
    /// Mean threads of a request, weighted by the time that requests are in flight.
    pub(crate) typical_threads: DecayingMean,
    /// Mean number of cores of an engine.
    pub(crate) mean_cores: f64,
    /// Work sent to all engines, in seconds on one thread; decays by the number of attempts sent.
    sent_work: DecayingMean,
    /// Attempts sent so far.
    sent_requests: u64,
}

/// Means over all engines, to which an engine is compared. They are the same for all engines within one
/// decision.
pub(crate) struct FleetMeans {
    /// Mean number of cores of an engine.
    cores: f64,
    /// Mean work sent lately to an engine, in seconds on one thread.
    sent_work: f64,
    /// Mean work of a request sent lately, in seconds on one thread.
    request_work: f64,
    /// The usual load of all engines, in threads per core.
    usual_load: f64,
}

impl FleetMeans {
    /// The work that this front has sent lately to an engine, scaled by its `cores` and relative to the mean.
    /// One mean request is added to both, so that chance has less influence while few requests have been
    /// sent.
    fn traffic_bias(&self, sent_work: f64, cores: f64) -> f64 {
        let (relative_cores, prior) = (cores / self.cores, self.request_work);
        (sent_work / relative_cores + prior) / (self.sent_work + prior).max(f64::MIN_POSITIVE)
    }
}

impl LoadEstimates {
    /// Time constants are in seconds.
    pub(crate) fn new(fronts: u32, time_constant: f64, report_time_constant: f64) -> LoadEstimates {
        LoadEstimates {
            fleet_multiple: DecayingMean::new(time_constant, f64::from(fronts.max(1))),
            usual_load: DecayingMean::new(report_time_constant, 0.0),
            typical_threads: DecayingMean::new(time_constant, 1.0),
            mean_cores: 0.0,
            sent_work: DecayingMean::new(time_constant, 0.0),
            sent_requests: 0,
        }
    }

    /// The clock by which sent work decays: one second for each attempt sent.
    fn sent_clock(&self) -> Duration {
        Duration::from_secs(self.sent_requests)
    }

    /// Threads per core that engines usually report. Returns to `UNLOADED_THREADS_PER_CORE` as reports decay.
    pub(crate) fn usual_load(&self, now: Duration) -> f64 {
        let reported = self.usual_load.decayed_to(now);
        (reported.sum + USUAL_LOAD_PRIOR_WEIGHT * UNLOADED_THREADS_PER_CORE)
            / (reported.weight + USUAL_LOAD_PRIOR_WEIGHT)
    }

    fn record_reported_load(&mut self, now: Duration, threads_per_core: f64) {
        self.usual_load.add(now, threads_per_core.min(ADMIT_NONE_AT_THREADS_PER_CORE), 1.0);
    }

    /// Counts an attempt sent to an engine. `work` is in seconds on one thread; `engines_used` is the
    /// number of engines that this front uses.
    pub(crate) fn record_sent(&mut self, engine: &mut Engine, work: f64, engines_used: f64) {
        self.sent_requests += 1;
        let clock = self.sent_clock();
        self.sent_work.time_constant = SENT_WORK_TIME_CONSTANT * engines_used;
        let none = DecayingMean::new(self.sent_work.time_constant, 0.0);
        engine.sent_work.get_or_insert(none).add(clock, work, 1.0);
        self.sent_work.add(clock, work, 1.0);
    }
}

impl Gateway {
    /// Handles a load report. `probe` is the duration of the probe that returned it; `None` if the report
    /// came with a response.
    pub(crate) fn handle_load_report(
        &mut self,
        now: Duration,
        id: EngineId,
        load: Option<LoadReport>,
        probe: Option<Duration>,
    ) {
        let (Some(engine), Some(load)) = (self.engines.get_mut(&id), load) else { return };
        let cores = self.deployment.cores(&engine.entry);
        if let Some(busy) = load.cores_busy {
            self.estimates.record_reported_load(now, busy / CPU_SHARE_OF_THREAD);
            if engine.is_unpressured(now, self.derived_times.max_report_age) && busy < CPU_SATURATED {
                let own = engine.own_threads * CPU_SHARE_OF_THREAD;
                self.estimates.fleet_multiple.add(now, busy * cores, own);
            }
        } else if let Some(in_flight) = load.in_flight {
            let threads = in_flight * self.estimates.typical_threads.mean();
            self.estimates.record_reported_load(now, threads / cores);
        }
        engine.record_report(now, load, probe);
        let threads_per_core = self.threads_per_core(now, &self.engines[&id], &self.fleet_means(now));
        self.record_congestion(now, id, threads_per_core, true);
    }

    /// Estimated threads per core of an engine.
    pub(crate) fn threads_per_core(&self, now: Duration, engine: &Engine, fleet: &FleetMeans) -> f64 {
        let cores = self.deployment.cores(&engine.entry);
        let fresh = |report: &&Report| report.at + self.derived_times.max_report_age > now;
        let threads = match engine.report.as_ref().filter(fresh) {
            Some(report) => self.reported_threads(engine, report, cores),
            None => None,
        };
        threads.unwrap_or_else(|| self.unreported_threads(now, engine, fleet, cores)) / cores
    }

    /// Estimated threads according to a report; `None` if the report states neither requests nor busy cores.
    fn reported_threads(&self, engine: &Engine, report: &Report, cores: f64) -> Option<f64> {
        if let Some(in_flight) = report.load.in_flight {
            return Some(self.threads_by_requests(engine, report, in_flight, cores));
        }
        let busy = report.load.cores_busy?;
        if self.many_fronts() {
            let by_cores = busy / CPU_SHARE_OF_THREAD;
            let by_probe = ADMIT_NONE_AT_LIMIT_MULTIPLE * (report.probe_slowdown - 1.0);
            return Some(by_cores.max(by_probe) * cores + (engine.own_threads - report.own_threads).max(0.0));
        }
        let reported = (busy * cores + engine.own_threads - report.own_threads).max(engine.own_threads);
        Some(if busy < CPU_SATURATED {
            reported
        } else {
            reported.max(engine.own_threads * self.estimates.fleet_multiple.mean())
        })
    }

    fn threads_by_requests(&self, engine: &Engine, report: &Report, in_flight: f64, cores: f64) -> f64 {
        let many_fronts = self.many_fronts();
        let own = if engine.in_flight > 0 { engine.own_threads / f64::from(engine.in_flight) } else { 1.0 };
        // In many-front mode this front's own requests at the engine don't represent the threads of other
        // fronts' requests.
        let each = if many_fronts { self.estimates.typical_threads.mean() } else { own.max(1.0) };
        let others = (in_flight - f64::from(report.own_in_flight)).max(0.0) * each;
        engine.own_threads + others + f64::from(u8::from(many_fronts)) * UNREPORTED_THREADS_PER_CORE * cores
    }

    fn unreported_threads(&self, now: Duration, engine: &Engine, fleet: &FleetMeans, cores: f64) -> f64 {
        if !self.many_fronts() {
            return engine.own_threads * self.fronts();
        }
        let clock = self.estimates.sent_clock();
        let sent = engine.sent_work.map_or(0.0, |sent| sent.decayed_to(clock).sum);
        let usual = fleet.usual_load * fleet.traffic_bias(sent, cores);
        usual.max(self.congestion(now, engine)) * cores + engine.own_threads
    }

    pub(crate) fn fleet_means(&self, now: Duration) -> FleetMeans {
        let estimates = &self.estimates;
        let sent_work = estimates.sent_work.decayed_to(estimates.sent_clock()).sum;
        FleetMeans {
            cores: estimates.mean_cores,
            sent_work: sent_work / self.engines_used(),
            request_work: estimates.sent_work.mean(),
            usual_load: estimates.usual_load(now),
        }
    }

    /// The needed share of an engine's memory; may exceed 1.
    pub(crate) fn memory_share(&self, engine: &Engine) -> f64 {
        let kind = self.deployment.machine_kinds.get(engine.entry.machine_kind as usize);
        let memory_mb = kind.map_or(0.0, |kind| kind.memory_mb);
        let granted = engine.report.as_ref().and_then(|report| report.load.memory_granted).unwrap_or(0.0);
        let mut needed = 0.0;
        if memory_mb > 0.0 && !self.many_fronts() {
            let by_class =
                |(attempts, class): (&u32, &RequestClass)| f64::from(*attempts) * class.memory.mean();
            let own: f64 = engine.attempts_by_class.iter().zip(&self.classes).map(by_class).sum();
            needed = own * self.estimates.fleet_multiple.mean().max(1.0) / memory_mb;
        }
        needed.max(granted * NEEDED_SHARE_OF_GRANT)
    }
}

impl Engine {
    fn record_report(&mut self, now: Duration, load: LoadReport, probe: Option<Duration>) {
        self.last_seen = now;
        self.fastest_probe = probe.map_or(self.fastest_probe, |probe| self.fastest_probe.min(probe));
        let fastest = self.fastest_probe.as_secs_f64().max(MIN_PROBE_SECONDS);
        self.report = Some(Report {
            at: now,
            load,
            own_threads: self.own_threads,
            own_in_flight: self.in_flight,
            probe_slowdown: probe.map_or(1.0, |probe| probe.as_secs_f64() / fastest),
        });
        self.congestion = None;
    }
}
