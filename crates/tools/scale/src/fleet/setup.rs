//! Configuration of a fleet of simulated fronts.

use super::network::Delays;
use crate::budget;
use async_channel::Receiver;
use lemonusher_fleet::{FleetConfig, FleetKey, MaintenanceSettings, TaskConfig, ZoneFailoverSettings};
use lemonusher_leases::LeaseConfig;
use lemonusher_routing::ZoneObservation;
use lemonusher_zone_failover as zones;
use std::net::SocketAddr;
use std::time::Duration;

/// The task for whose lease every front is a candidate.
pub const TASK: &str = "account";
/// Request classes of the zone failover plan.
const REQUEST_CLASSES: usize = 4;

/// The registers that fronts follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Registers {
    /// No registers.
    None,
    /// The zone failover plan and the operator overrides.
    Zones,
    /// Those of `Zones`, and one register for each maintenance request.
    ZonesAndWorks,
}

/// A fleet whose fronts all have the same configuration.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The number of fronts, including the voters.
    pub fronts: usize,
    /// The number of voters, which are the first fronts.
    pub voters: usize,
    /// The lease configuration.
    pub leases: LeaseConfig,
    /// Each front requests a quota slot of its own.
    pub quota_slots: bool,
    /// Each front is a candidate for the lease of [`TASK`].
    pub task: bool,
    /// The registers that fronts follow.
    pub registers: Registers,
    /// The delays of the network.
    pub delays: Delays,
    /// The probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// The seed of all random numbers.
    pub seed: u64,
}

impl Setup {
    /// A fleet with the failure detector alone, with the defaults of an operator's configuration file.
    pub fn detector(fronts: usize, loss: f64, seed: u64) -> Setup {
        Setup {
            fronts,
            voters: 3,
            leases: LeaseConfig {
                duration: Duration::from_secs(3),
                clock_drift_permille: 20,
                max_action_time: Duration::from_secs(1),
            },
            quota_slots: false,
            task: false,
            registers: Registers::None,
            delays: Delays::STATED,
            loss,
            seed,
        }
    }

    /// The fleet configuration of one front.
    pub fn terms(
        &self,
        front: usize,
        listen: SocketAddr,
        voters: Vec<SocketAddr>,
        location: u32,
        observation_receiver: Receiver<ZoneObservation>,
    ) -> FleetConfig {
        let votes = front < self.voters;
        FleetConfig {
            name: front_name(front),
            listen,
            key: key(),
            leases: self.leases,
            voters,
            is_voter: votes,
            voter_index: votes.then_some(front),
            advertised_address: None,
            zone: location,
            state_folder: None,
            tasks: if self.task { vec![task()] } else { Vec::new() },
            quota_slots: if self.quota_slots { self.fronts as u32 } else { 0 },
            wanted_slots: 1,
            first_slot: front as u32,
            zone_failover: (self.registers != Registers::None)
                .then(|| zone_failover_settings(observation_receiver)),
            maintenance: (self.registers == Registers::ZonesAndWorks).then(|| self.maintenance_settings()),
        }
    }

    fn maintenance_settings(&self) -> MaintenanceSettings {
        let maintenance_config = lemonusher_maintenance::MaintenanceConfig {
            poll_interval: zone_failover_config().report_interval,
            required_fronts: (0..self.fronts).map(front_name).collect(),
            min_reserve: 0.9,
            demand_margin: 0.1,
            probation: Duration::from_secs(10),
        };
        MaintenanceSettings { config: maintenance_config, notify: None }
    }
}

/// The key of every simulated fleet.
pub fn key() -> FleetKey {
    FleetKey::new(b"a key of the scale rig")
}

/// A front's name, by its index.
pub fn front_name(front: usize) -> String {
    format!("front-{front:04}")
}

fn task() -> TaskConfig {
    let task_interval = Duration::from_secs(1);
    TaskConfig {
        name: TASK.to_owned(),
        notify: None,
        interval: task_interval,
        action_time: Duration::from_millis(100),
        fenced: true,
    }
}

fn zone_failover_settings(observation_receiver: Receiver<ZoneObservation>) -> ZoneFailoverSettings {
    let class_load = zones::ClassLoad {
        priority_weight: 1.0,
        work: 0.01,
        rate: 0.0,
        latency_objective: 0.1,
        deadline: 5.0,
        floor: zone_failover_config().admission_floor,
        allowed_zones: None,
    };
    ZoneFailoverSettings {
        config: zone_failover_config(),
        classes: vec![class_load; REQUEST_CLASSES],
        observations: observation_receiver,
    }
}

/// The zone failover defaults of an operator's configuration file.
pub fn zone_failover_config() -> zones::FailoverConfig {
    let ms = Duration::from_millis;
    zones::FailoverConfig {
        report_interval: ms(500),
        confirmation_time: ms(2_000),
        probation: ms(4_000),
        ramp_interval: ms(5_000),
        recovery_backoff: ms(5_000),
        max_utilization: 0.8,
        admission_floor: 0.05,
        plan_timeout: ms(10_000),
    }
}

/// The observation of a front in a period without failures: the engines of every zone answer.
pub fn healthy_observation(location: u32) -> ZoneObservation {
    let engines_per_zone = budget::ENGINES / budget::ZONES;
    let zone_stats = (0..budget::ZONES).map(|zone_index| zones::ZoneStats {
        zone: zone_index,
        listed: engines_per_zone as u16,
        cores: engines_per_zone * CORES,
        answering: engines_per_zone as u16,
        silent: 0,
        returned: budget::REQUESTS_PER_SECOND / 2 / budget::ZONES,
        slow: 0,
        failed: 0,
    });
    let rate = budget::REQUESTS_PER_SECOND as f32 / REQUEST_CLASSES as f32;
    let demand = vec![zones::Demand { rate, work: 0.01 }; REQUEST_CLASSES];
    let report = zones::FrontReport { zone: location, zones: zone_stats.collect(), demand };
    let engine = |id: u32| zones::EngineObservation {
        engine: id,
        zone: id % budget::ZONES,
        cores: CORES,
        answers: Some(true),
    };
    ZoneObservation {
        report,
        local: zones::LocalView::default(),
        maintenance_version: 0,
        in_flight: Default::default(),
        engines: (0..budget::ENGINES).map(engine).collect(),
    }
}

/// Cores of an engine.
const CORES: u32 = 16;
