//! A front's part in the fleet as a state machine. Its inputs are datagrams, token rejections and
//! [`Node::poll`]. Its outputs are [`Node::take_outgoing`], [`Node::take_actions`] and
//! [`Node::take_control_updates`]. It opens no socket and reads no clock: a time is a duration since this
//! incarnation began, and random numbers come from a generator with a given seed. A thread drives one node
//! with a socket ([`crate::start`]); a simulation can drive hundreds in virtual time.

mod changes;
mod control_plane;
mod handle;
mod proposals;
mod send;
mod show;
mod stats;

pub use stats::ClusterStats;

use crate::actions::{FencedActions, Notification, TokenRejection};
use crate::body::MessageKind;
use crate::channel::AuthenticatedChannel;
use crate::maintenance::{self, Maintenance};
use crate::state_folder::StateFolder;
use crate::zone_failover::{self, ZoneFailover};
use crate::{FleetConfig, TrafficCounters, config_fingerprint};
use lemonusher_failure_detector::{DetectorConfig, FailureDetector, Member};
use lemonusher_leases::{Incarnation, LeaseClient, QuotaSlots, Voter, quota_share};
use lemonusher_maintenance::MAX_REQUESTS;
use lemonusher_registers::{Acceptor, AcceptorState, Learner, Name, Proposer};
use lemonusher_routing::ControlUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The failure detector's probe interval is the lease duration divided by this number.
const PROBE_INTERVAL_DIVISOR: u32 = 6;
/// The learner's poll interval for registers is the lease duration divided by this number.
const REGISTER_POLL_DIVISOR: u32 = 4;

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    /// The destination address.
    pub to: SocketAddr,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// A sealed message for another front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The part of the front that the message belongs to.
    pub kind: MessageKind,
    /// The sealed datagram.
    pub datagram: Datagram,
}

/// Parameters of one incarnation: drawn at random, or read from the machine, at each start.
#[derive(Debug, Clone, Copy)]
pub struct StartParameters {
    /// The UDP address that this front has bound.
    pub address: SocketAddr,
    /// The incarnation's number, drawn at random; never 0.
    pub incarnation: u64,
    /// Time of the start, in milliseconds since the Unix epoch.
    pub unix_time_ms: u64,
    /// Seed of this incarnation's random numbers, except those of the failure detector: their seed is `incarnation`.
    pub seed: u64,
}

/// One front's part in the fleet.
pub struct Node {
    config: FleetConfig,
    channel: AuthenticatedChannel,
    rng: fastrand::Rng,
    state_folder: Option<StateFolder>,
    /// None at a front that is not a voter.
    voter: Option<Voter>,
    lease_client: LeaseClient,
    quota_slots: Option<QuotaSlots>,
    /// The share of the quota that this front holds.
    quota: LeasedShare,
    /// Whether `quota` has changed since it was last taken.
    quota_changed: bool,
    /// None at a front that is not a voter.
    acceptor: Option<Acceptor>,
    /// The state of the acceptor that was last logged.
    acceptor_state: Option<AcceptorState>,
    proposer: Proposer,
    /// The register whose value is being proposed again after a new epoch began with it; see `repropose`.
    reproposed: Option<Name>,
    learner: Learner,
    detector: FailureDetector,
    actions: FencedActions,
    zone_failover: Option<ZoneFailover>,
    maintenance: Option<Maintenance>,
    members_lost: u64,
    outgoing: Vec<Message>,
    outgoing_actions: Vec<Notification>,
    control_updates: Vec<ControlUpdate>,
}

impl Node {
    /// Creates a node that begins to acquire its leases and to watch its registers at time zero.
    pub fn new(
        config: FleetConfig,
        start: StartParameters,
        state_folder: Option<StateFolder>,
        counters: Arc<TrafficCounters>,
    ) -> Node {
        // Fencing tokens must increase even if no voter remembers the earlier ones. They start above the limit in the
        // state folder or, without a folder or with a new one, above the start time in milliseconds. If that is not
        // above all earlier tokens, because the clock was set back, resources report the highest token that they have
        // seen.
        let stored = state_folder.as_ref().and_then(StateFolder::token_floor);
        let token_floor = stored.unwrap_or(start.unix_time_ms);
        let incarnation = Incarnation { name: config.name.clone(), id: start.incarnation };
        let (leases, voters) = (config.leases, config.voters.len());
        let fingerprint = config_fingerprint(&config);
        let mut node = Node {
            channel: AuthenticatedChannel::new(
                config.key.clone(),
                incarnation.clone(),
                fingerprint,
                counters,
            ),
            rng: fastrand::Rng::with_seed(start.seed),
            voter: config.is_voter.then(|| Voter::new(Duration::ZERO, &leases, token_floor)),
            lease_client: LeaseClient::new(incarnation.clone(), voters),
            quota_slots: new_quota_slots(&config),
            quota: LeasedShare::default(),
            quota_changed: false,
            acceptor: new_acceptor(&config, &start, state_folder.as_ref()),
            acceptor_state: None,
            proposer: Proposer::new(incarnation, voters),
            reproposed: None,
            learner: Learner::new(voters, leases.duration / REGISTER_POLL_DIVISOR),
            detector: new_detector(&config, &start),
            actions: FencedActions::new(&config.tasks),
            zone_failover: new_zone_failover(&config, &start),
            maintenance: new_maintenance(&config),
            state_folder,
            members_lost: 0,
            outgoing: Vec::new(),
            outgoing_actions: Vec::new(),
            control_updates: Vec::new(),
            config,
        };
        node.begin();
        node
    }

    /// Begins to acquire the configured leases, to watch the registers and to discover the other members.
    fn begin(&mut self) {
        self.quota_changed = self.quota_slots.is_some();
        for task in &self.config.tasks {
            self.lease_client.acquire(Duration::ZERO, &task.name, task.fenced);
        }
        // The coordinators' leases are fenced: a register rejects a write under an older token.
        if self.zone_failover.is_some() {
            self.learner.watch(zone_failover::NAME);
            self.learner.watch(zone_failover::OVERRIDES_REGISTER);
            if self.config.is_voter {
                self.lease_client.acquire(Duration::ZERO, zone_failover::NAME, true);
            }
        }
        if self.maintenance.is_some() {
            for request in 0..MAX_REQUESTS as u8 {
                self.learner.watch(&maintenance::register_name(request));
            }
            if self.config.is_voter {
                self.lease_client.acquire(Duration::ZERO, maintenance::LEASE, true);
            }
        }
        for voter in &self.config.voters {
            self.detector.add_seed(Duration::ZERO, *voter);
        }
        self.send_detector_messages();
    }

    /// Runs everything that is due at `now`.
    pub fn poll(&mut self, now: Duration) {
        let random = &mut self.rng;
        let messages = self.lease_client.poll(now, &self.config.leases, &mut || random.f64());
        self.send_lease_requests(messages);
        self.poll_quota_slots(now);
        self.poll_registers(now);
        self.poll_zone_failover(now);
        self.poll_maintenance(now);
        self.detector.poll(now);
        let notifications = self.actions.poll(now, &self.lease_client);
        self.outgoing_actions.extend(notifications);
        self.handle_changes();
        self.send_detector_messages();
    }

    /// Latest time at which [`Node::poll`] must be called next. Actions, quota slots and the router's
    /// observations are handled in each poll and have no timeout here, so a driver must also poll at regular
    /// intervals.
    pub fn next_timeout(&self) -> Option<Duration> {
        let timeouts = [
            self.lease_client.next_timeout(&self.config.leases),
            self.proposer.next_timeout(&self.config.leases),
            self.learner.next_timeout(),
            self.detector.next_timeout(),
            self.acceptor.as_ref().and_then(Acceptor::next_timeout),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Takes the messages for other fronts and operators that were queued since the last call, in order.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the notifications for resources, and of released machines, that were queued since the last call,
    /// in order. `now` is the time at which they are sent: one whose lease has ended since it was queued is dropped.
    pub fn take_actions(&mut self, now: Duration) -> Vec<Datagram> {
        let queued = std::mem::take(&mut self.outgoing_actions).into_iter();
        let lease_client = &self.lease_client;
        let sent = queued.filter(|notification| notification.may_be_sent(now, lease_client));
        sent.map(|notification| notification.datagram).collect()
    }

    /// Takes this front's share of the quota if it has changed since the last call, its leases' ends included.
    pub fn take_quota(&mut self) -> Option<LeasedShare> {
        std::mem::take(&mut self.quota_changed).then_some(self.quota)
    }

    /// Takes the other updates for this front's router that were queued since the last call, in order.
    pub fn take_control_updates(&mut self) -> Vec<ControlUpdate> {
        std::mem::take(&mut self.control_updates)
    }

    /// Handles a resource's report of a higher fencing token. If this front may act on the task under a lower
    /// token, it releases the task and later tries to acquire it again, under a token above the reported one.
    pub fn handle_token_rejection(&mut self, now: Duration, rejection: &TokenRejection) {
        let TokenRejection { task, highest_token } = rejection;
        self.lease_client.observe_token(task, *highest_token);
        if self.fencing_token(now, task).is_some_and(|fencing_token| fencing_token < *highest_token) {
            tracing::warn!(
                task,
                seen = highest_token,
                "fleet: a resource has seen a higher fencing token; this front releases the task to reacquire it"
            );
            let messages = self.lease_client.release(now, &self.config.leases, task, true);
            self.send_lease_requests(messages);
        }
    }

    /// Releases all leases and announces to the other members that this front leaves.
    pub fn leave(&mut self, now: Duration) {
        let tasks: Vec<String> = self.lease_client.tasks().cloned().collect();
        for task in tasks {
            let messages = self.lease_client.release(now, &self.config.leases, &task, false);
            self.send_lease_requests(messages);
        }
        self.detector.leave(now);
        self.send_detector_messages();
        self.handle_changes();
    }

    /// The fencing token under which an action on a task may begin now; none if this front may not act on the
    /// task.
    pub fn fencing_token(&self, now: Duration, task: &str) -> Option<u64> {
        self.lease_client.active_lease(now, task).map(|lease| lease.fencing_token)
    }

    fn poll_quota_slots(&mut self, now: Duration) {
        let Some(mut quota_slots) = self.quota_slots.take() else { return };
        let messages = quota_slots.poll(now, &self.config.leases, &mut self.lease_client);
        let held = quota_slots.held(now, &self.lease_client);
        let leases =
            held.iter().filter_map(|slot| self.lease_client.active_lease(now, &QuotaSlots::task_name(*slot)));
        let quota = LeasedShare {
            share: quota_share(held.len(), self.config.quota_slots),
            valid_until: leases.map(|lease| lease.until).min(),
        };
        self.quota_slots = Some(quota_slots);
        self.send_lease_requests(messages);
        self.quota_changed |= quota != self.quota;
        self.quota = quota;
    }

    fn update_router(&mut self, update: ControlUpdate) {
        self.control_updates.push(update);
    }
}

/// A share of the quota, by the leases of its slots.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeasedShare {
    /// The share, from 0 to 1.
    pub share: f64,
    /// When the first of the leases ends, by the node's clock; none without a lease.
    pub valid_until: Option<Duration>,
}

fn new_quota_slots(config: &FleetConfig) -> Option<QuotaSlots> {
    let has_quota = config.quota_slots > 0;
    has_quota.then(|| QuotaSlots::new(config.quota_slots, config.wanted_slots, config.first_slot))
}

/// Creates a voter's acceptor; none at a front that is not a voter. A voter without stored registers has never
/// voted or has lost its memory, and starts as a voter without memory.
fn new_acceptor(
    config: &FleetConfig,
    start: &StartParameters,
    state_folder: Option<&StateFolder>,
) -> Option<Acceptor> {
    let index = config.voter_index.filter(|_| config.is_voter)?;
    let voters = config.voters.len();
    let incarnation = start.incarnation;
    Some(match state_folder.and_then(StateFolder::registers) {
        Some(stored) => Acceptor::restored(voters, index, incarnation, stored),
        None => {
            let first_epoch = start.unix_time_ms;
            Acceptor::without_memory(Duration::ZERO, &config.leases, voters, index, incarnation, first_epoch)
        }
    })
}

fn new_detector(config: &FleetConfig, start: &StartParameters) -> FailureDetector {
    let local = Member {
        name: config.name.clone(),
        address: config.advertised_address.unwrap_or(start.address),
        incarnation: start.incarnation,
        zone: config.zone,
        refutations: 0,
    };
    let probe_interval = config.leases.duration / PROBE_INTERVAL_DIVISOR;
    FailureDetector::new(local, DetectorConfig { probe_interval }, start.incarnation)
}

fn new_zone_failover(config: &FleetConfig, start: &StartParameters) -> Option<ZoneFailover> {
    let settings = config.zone_failover.as_ref()?;
    Some(ZoneFailover::new(settings, config.zone, start.incarnation, config.is_voter))
}

fn new_maintenance(config: &FleetConfig) -> Option<Maintenance> {
    Some(Maintenance::new(config.maintenance.as_ref()?, config.is_voter))
}
