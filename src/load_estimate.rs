//! Load estimation: how many threads per core an engine is taken to run, and how much of its memory is needed.
//!
//! By what is known, in this order:
//! 1. A report no older than the longest that is used. Where it counts requests, each of those of other fronts counts for
//!    as many threads as a request of this front usually has. Where it tells busy cores, these count with what this front has changed
//!    since; in many-front mode a probe that was slow counts as load, too. Above [`CPU_SATURATED`] busy cores a report does not tell how many
//!    threads run, so what all fronts run is estimated from this front's own.
//! 2. In many-front mode without a report: the load that engines usually report, times how much more than the mean this front has
//!    sent there (all fronts hash alike, so each is a sample of all), or the engine's congestion if that is higher, and this
//!    front's own threads.
//! 3. Else this front's own threads times the number of fronts.
//!
//! Memory: what this front's requests there need, times the fleet multiple, or what the engine reports as granted, as a
//! share of its memory. This guards against paging and spilling. A front of little traffic knows its part badly.

use crate::admission::{ADMIT_ALL_UP_TO, ADMIT_NONE_AT_LIMIT_MULTIPLE, ADMIT_NONE_AT_THREADS_PER_CORE};
use crate::decaying_mean::DecayingMean;
use crate::endpoint::EngineId;
use crate::engine::{Engine, Report};
use crate::event::LoadReport;
use crate::gateway::Gateway;
use crate::request_class::RequestClass;
use std::time::Duration;

/// The share of its time that a running thread spends on a core.
const CPU_SHARE_OF_THREAD: f64 = 0.3;
/// Above this share of busy cores a report does not tell how many threads run.
const CPU_SATURATED: f64 = 0.9;
/// Threads per core that many-front mode adds where reports count requests.
const UNREPORTED_THREADS: f64 = 0.4;
/// Weight, in reports, of the prior `ADMIT_ALL_UP_TO`. As reports decay the usual load returns to it; else a front that
/// takes all engines for full would send nothing and get no new report.
const USUAL_LOAD_PRIOR_WEIGHT: f64 = 5.0;
/// The time constant of work sent, in requests sent for each engine that this front spreads its requests over.
const SENT_WORK_SPAN: f64 = 2.0;
/// The share of granted memory that requests need.
const NEEDED_SHARE_OF_GRANT: f64 = 0.36;
/// The shortest probe that is told apart, in seconds.
const MIN_PROBE: f64 = 1e-6;

/// What is learned of all engines and fronts together.
#[derive(Default)]
pub(crate) struct LoadEstimates {
    /// What all fronts together run, as a multiple of what this front runs.
    pub(crate) fleet_multiple: DecayingMean,
    /// Threads per core that engines usually report.
    usual_load: DecayingMean,
    /// Threads of a request, weighted by the time that requests are in flight.
    pub(crate) typical_threads: DecayingMean,
    /// Mean cores of an engine.
    pub(crate) mean_cores: f64,
    /// Work sent to all engines, in seconds, decaying with each request sent.
    sent_work: DecayingMean,
    /// Requests sent so far.
    sent_requests: u64,
}

/// What an engine is compared with: the same for all engines within one decision.
pub(crate) struct FleetMeans {
    /// Cores of an engine.
    cores: f64,
    /// Work sent lately to an engine, in seconds.
    sent_work: f64,
    /// The mean work of a request sent lately, in seconds.
    request_work: f64,
    /// Threads per core that engines usually report.
    usual_load: f64,
}

impl FleetMeans {
    /// How much more than the mean this front has sent lately to an engine of so many cores; chance counts a little, too.
    fn traffic_bias(&self, sent_work: f64, cores: f64) -> f64 {
        let (speed, prior) = (cores / self.cores, self.request_work);
        (sent_work / speed + prior) / (self.sent_work + prior).max(f64::MIN_POSITIVE)
    }
}

impl LoadEstimates {
    /// Time constants in seconds.
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

    /// The clock by which work sent decays: one second for each request sent.
    fn sent_clock(&self) -> Duration {
        Duration::from_secs(self.sent_requests)
    }

    /// Threads per core that engines usually report, falling back to `ADMIT_ALL_UP_TO` as reports decay.
    pub(crate) fn usual_load(&self, now: Duration) -> f64 {
        let reported = self.usual_load.decayed_to(now);
        (reported.sum + USUAL_LOAD_PRIOR_WEIGHT * ADMIT_ALL_UP_TO)
            / (reported.weight + USUAL_LOAD_PRIOR_WEIGHT)
    }

    fn record_reported_load(&mut self, now: Duration, threads_per_core: f64) {
        self.usual_load.add(now, threads_per_core.min(ADMIT_NONE_AT_THREADS_PER_CORE), 1.0);
    }

    /// Counts a request of so much work as sent to an engine. `spread` is over how many engines this front spreads its requests.
    pub(crate) fn record_sent(&mut self, engine: &mut Engine, work: f64, spread: f64) {
        self.sent_requests += 1;
        let clock = self.sent_clock();
        self.sent_work.time_constant = SENT_WORK_SPAN * spread;
        let none = DecayingMean::new(self.sent_work.time_constant, 0.0);
        engine.sent_work.get_or_insert(none).add(clock, work, 1.0);
        self.sent_work.add(clock, work, 1.0);
    }
}

impl Gateway {
    /// Takes in a load report. `probe` is how long the probe took that brought it, if one did.
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
            if engine.is_unpressured(now, self.spans.max_report_age) && busy < CPU_SATURATED {
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

    /// Threads per core that an engine is estimated to run.
    pub(crate) fn threads_per_core(&self, now: Duration, engine: &Engine, fleet: &FleetMeans) -> f64 {
        let cores = self.deployment.cores(&engine.entry);
        let fresh = |report: &&Report| report.at + self.spans.max_report_age > now;
        let threads = match engine.report.as_ref().filter(fresh) {
            Some(report) => self.reported_threads(engine, report, cores),
            None => None,
        };
        threads.unwrap_or_else(|| self.unreported_threads(now, engine, fleet, cores)) / cores
    }

    /// Threads by a report; `None` if it tells nothing of them.
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
        // In many-front mode what this front has there says nothing of the threads of what others have.
        let each = if many_fronts { self.estimates.typical_threads.mean() } else { own.max(1.0) };
        let others = (in_flight - f64::from(report.own_in_flight)).max(0.0) * each;
        engine.own_threads + others + f64::from(u8::from(many_fronts)) * UNREPORTED_THREADS * cores
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
            sent_work: sent_work / self.spread(),
            request_work: estimates.sent_work.mean(),
            usual_load: estimates.usual_load(now),
        }
    }

    /// The share of an engine's memory that is needed.
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
        let fastest = self.fastest_probe.as_secs_f64().max(MIN_PROBE);
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
