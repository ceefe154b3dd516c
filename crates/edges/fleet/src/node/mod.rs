//! A front's part in the fleet as a state machine: it hears datagrams and is woken, and what it wants sent is taken from
//! it. It opens no socket and reads no clock: time is a span since this incarnation began, chance comes from a seed. A thread
//! drives one with a socket ([`crate::start`]); hundreds can be driven in virtual time.

mod handle;
mod proposals;
mod show;

use crate::FleetConfig;
use crate::actions::{FencedActions, TokenRejection};
use crate::channel::{AuthenticatedChannel, TrafficCounters};
use crate::frame::{Body, MessageKind};
use crate::maintenance::{self, Maintenance};
use crate::state_folder::StateFolder;
use crate::zone_failover::{self, ZoneFailover};
use lemonusher_failure_detector as detector;
use lemonusher_leases::{
    Incarnation, LeaseChange, LeaseClient, MAX_TASKS, OutboundMessage, QuotaSlots, Voter, quota_share,
};
use lemonusher_maintenance::MAX_REQUESTS;
use lemonusher_registers::{self as registers, Acceptor, AcceptorState, Learner, Proposer};
use lemonusher_routing::ControlUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PROBE_INTERVAL_DIVISOR: u32 = 6; // The failure detector's period is this part of a lease.
const REGISTER_POLL_DIVISOR: u32 = 4; // Registers are asked about once in this part of a lease.

/// Bytes for an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Datagram {
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

/// A sealed message for another front.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    pub kind: MessageKind,
    pub datagram: Datagram,
}

/// What is drawn anew, or read from the machine, at each start.
#[derive(Debug, Clone, Copy)]
pub struct StartParameters {
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of this incarnation; never 0.
    pub incarnation: u64,
    /// Milliseconds since 1970.
    pub unix_time_ms: u64,
    pub seed: u64,
}

/// How much a front holds of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClusterStats {
    /// Other fronts that the failure detector sees.
    pub members: usize,
    /// Fronts that it has told as gone so far, rightly or not.
    pub members_lost: u64,
    /// Lives whose datagrams it has heard.
    pub incarnations: usize,
    /// Leases that it holds and may act under.
    pub leases_held: usize,
    /// Leases that it has granted as a voter.
    pub leases_granted: usize,
    /// Registers that it knows settled or, as a voter, has accepted.
    pub registers: usize,
    /// Bytes of all these, as their encoded form has them.
    pub bytes: usize,
}

pub struct Node {
    config: FleetConfig,
    channel: AuthenticatedChannel,
    chance: fastrand::Rng,
    state_folder: Option<StateFolder>,
    voter: Option<Voter>,
    lease_client: LeaseClient,
    quota_slots: Option<QuotaSlots>,
    quota: f64,
    acceptor: Option<Acceptor>,
    acceptor_state: Option<AcceptorState>,
    proposer: Proposer,
    /// The register that it proposes anew since nobody has in a new epoch.
    reproposed: Option<registers::Name>,
    learner: Learner,
    detector: detector::FailureDetector,
    actions: FencedActions,
    zone_failover: Option<ZoneFailover>,
    maintenance: Option<Maintenance>,
    members_lost: u64,
    outgoing: Vec<Message>,
    outgoing_actions: Vec<Datagram>,
    control_updates: Vec<ControlUpdate>,
}

impl Node {
    pub fn new(
        config: FleetConfig,
        start: StartParameters,
        state_folder: Option<StateFolder>,
        counters: Arc<TrafficCounters>,
    ) -> Node {
        // Guards against numbers that fall where no voter remembers them: they begin above what an earlier incarnation can
        // have reached, by the folder, or else by the date. Should the date go back, what is acted upon tells what it
        // has seen.
        let floor = state_folder.as_ref().map_or(start.unix_time_ms, StateFolder::token_floor);
        let incarnation = Incarnation { name: config.name.clone(), id: start.incarnation };
        let voters = config.voters.len();
        let detector_config =
            detector::DetectorConfig { probe_interval: config.leases.duration / PROBE_INTERVAL_DIVISOR };
        let mut node = Node {
            channel: AuthenticatedChannel::new(
                config.key.clone(),
                incarnation.clone(),
                crate::config_fingerprint(&config),
                counters,
            ),
            chance: fastrand::Rng::with_seed(start.seed),
            voter: config.is_voter.then(|| Voter::new(Duration::ZERO, &config.leases, floor)),
            lease_client: LeaseClient::new(incarnation.clone(), voters),
            quota_slots: (config.quota_slots > 0)
                .then(|| QuotaSlots::new(config.quota_slots, config.wanted_slots, config.first_slot)),
            quota: 0.0,
            acceptor: new_acceptor(&config, &start, state_folder.as_ref()),
            acceptor_state: None,
            proposer: Proposer::new(incarnation.clone(), voters),
            reproposed: None,
            learner: Learner::new(voters, config.leases.duration / REGISTER_POLL_DIVISOR),
            detector: detector::FailureDetector::new(
                local_member(&config, &start),
                detector_config,
                start.incarnation,
            ),
            actions: FencedActions::new(&config.tasks),
            zone_failover: config
                .zone_failover
                .as_ref()
                .map(|report| ZoneFailover::new(report, config.zone, incarnation.id, config.is_voter)),
            maintenance: config.maintenance.as_ref().map(|report| Maintenance::new(report, config.is_voter)),
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

    /// Asks for what the terms say that it is to hold and follow.
    fn begin(&mut self) {
        if self.quota_slots.is_some() {
            self.update_front(ControlUpdate::Quota(0.0));
        }
        for task in &self.config.tasks {
            self.lease_client.acquire(Duration::ZERO, &task.name, task.fenced);
        }
        if self.zone_failover.is_some() {
            self.learner.watch(zone_failover::NAME);
            self.learner.watch(zone_failover::OVERRIDES_REGISTER);
            // A register refuses what was written under an older number, so nothing need be waited out.
            if self.config.is_voter {
                self.lease_client.acquire(Duration::ZERO, zone_failover::NAME, true);
            }
        }
        if self.maintenance.is_some() {
            (0..MAX_REQUESTS as u8).for_each(|work| self.learner.watch(&maintenance::register_name(work)));
            if self.config.is_voter {
                self.lease_client.acquire(Duration::ZERO, maintenance::LEASE, true);
            }
        }
        for voter in &self.config.voters {
            self.detector.add_seed(Duration::ZERO, *voter);
        }
        self.send_detector();
    }

    /// Does what is due.
    pub fn poll(&mut self, now: Duration) {
        let random = &mut self.chance;
        let messages = self.lease_client.poll(now, &self.config.leases, &mut || random.f64());
        self.send_lease_requests(messages);
        self.poll_quota_slots(now);
        self.poll_registers(now);
        self.poll_zone_failover(now);
        self.poll_maintenance(now);
        self.detector.poll(now);
        let report = self.actions.poll(now, &self.lease_client);
        self.outgoing_actions.extend(report);
        self.report_changes();
        self.send_detector();
    }

    /// When it wants to be woken next, at the latest. Acts, quota slots and what the front tells are looked at at each wake
    /// and are not counted here, so whoever drives it wakes it now and then besides.
    pub fn next_timeout(&self) -> Option<Duration> {
        let due = [
            self.lease_client.next_timeout(&self.config.leases),
            self.proposer.next_timeout(&self.config.leases),
            self.learner.next_timeout(),
            self.detector.next_timeout(),
            self.acceptor.as_ref().and_then(Acceptor::next_timeout),
        ];
        due.into_iter().flatten().min()
    }

    /// What is to be sent, in order.
    pub fn take_outgoing(&mut self) -> Vec<Message> {
        std::mem::take(&mut self.outgoing)
    }

    /// What is to be told to whoever is acted upon.
    pub fn take_actions(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing_actions)
    }

    /// What this front is to know, in order.
    pub fn take_control_updates(&mut self) -> Vec<ControlUpdate> {
        std::mem::take(&mut self.control_updates)
    }

    /// What was acted upon has seen a higher number, and refuses this front's: it asks for one above that.
    pub fn handle_token_rejection(&mut self, now: Duration, rejection: &TokenRejection) {
        let TokenRejection { task, highest_token: seen } = rejection;
        self.lease_client.observe_token(task, *seen);
        if self.lease_client.active_lease(now, task).is_some_and(|lease| lease.fencing_token < *seen) {
            tracing::warn!(task, seen, "fleet: a higher number has been seen; asks anew");
            let messages = self.lease_client.release(now, &self.config.leases, task, true);
            self.send_lease_requests(messages);
        }
    }

    /// Lets go of all that it holds, and says that it leaves.
    pub fn leave(&mut self, now: Duration) {
        let tasks: Vec<String> = self.lease_client.tasks().cloned().collect();
        for task in tasks {
            let messages = self.lease_client.release(now, &self.config.leases, &task, false);
            self.send_lease_requests(messages);
        }
        self.detector.leave(now);
        self.send_detector();
        self.report_changes();
    }

    /// Under which number it may act on a task now; none if it does not hold it.
    pub fn fencing_token(&self, now: Duration, task: &str) -> Option<u64> {
        self.lease_client.active_lease(now, task).map(|lease| lease.fencing_token)
    }

    /// How many leases it holds and may act under.
    pub fn leases_held(&self, now: Duration) -> usize {
        self.lease_client.tasks().filter(|task| self.lease_client.active_lease(now, task).is_some()).count()
    }

    /// How many other fronts its failure detector sees.
    pub fn member_count(&self) -> usize {
        self.detector.members().count()
    }

    fn poll_quota_slots(&mut self, now: Duration) {
        let Some(mut quota_slots) = self.quota_slots.take() else { return };
        let messages = quota_slots.poll(now, &self.config.leases, &mut self.lease_client);
        let held = quota_share(quota_slots.held(now, &self.lease_client).len(), self.config.quota_slots);
        self.quota_slots = Some(quota_slots);
        self.send_lease_requests(messages);
        if held != self.quota {
            self.quota = held;
            self.update_front(ControlUpdate::Quota(held));
        }
    }

    fn update_front(&mut self, update: ControlUpdate) {
        self.control_updates.push(update);
    }

    fn send(&mut self, body: Body, to: SocketAddr) {
        let kind = body.kind();
        if let Some(bytes) = self.channel.seal(body) {
            self.outgoing.push(Message { kind, datagram: Datagram { to, bytes } });
        }
    }

    fn send_to_voters(&mut self, body: &Body) {
        for voter in self.config.voters.clone() {
            self.send(body.clone(), voter);
        }
    }

    fn send_detector(&mut self) {
        for detector::Datagram { to, bytes } in self.detector.take_outgoing() {
            self.send(Body::FailureDetector(bytes), to);
        }
    }

    fn send_lease_requests(&mut self, messages: Vec<OutboundMessage>) {
        for OutboundMessage { voter, request } in messages {
            if let Some(address) = self.config.voters.get(voter).copied() {
                self.send(Body::LeaseRequest(request), address);
            }
        }
    }

    fn report_changes(&mut self) {
        for change in self.lease_client.take_changes() {
            match change {
                LeaseChange::Acquired { task, fencing_token: number } => {
                    tracing::info!(task, number, "fleet: holds a task")
                }
                LeaseChange::Expired { task, fencing_token: number } => {
                    tracing::warn!(
                        task,
                        number,
                        "fleet: a lease ran out, as too few voters answered in time"
                    );
                }
                LeaseChange::Released { task, fencing_token: number } => {
                    tracing::info!(task, number, "fleet: let a task go")
                }
            }
        }
        for change in self.detector.take_changes() {
            match change {
                detector::MembershipChange::Joined(who) => {
                    tracing::info!(name = who.name, "fleet: a front is there")
                }
                detector::MembershipChange::Left(who) => {
                    self.members_lost += 1;
                    tracing::info!(name = who.name, "fleet: a front seems gone");
                }
                detector::MembershipChange::Refuted => {
                    tracing::info!("fleet: others held this front for gone")
                }
            }
        }
        debug_assert!(self.lease_client.tasks().count() <= MAX_TASKS);
    }
}

/// A voter's part in registers; none for who does not vote.
fn new_acceptor(
    config: &FleetConfig,
    start: &StartParameters,
    state_folder: Option<&StateFolder>,
) -> Option<Acceptor> {
    let index = config.voter_index.filter(|_| config.is_voter)?;
    let voters = config.voters.len();
    // A folder that has never held a vote belongs to a voter that has never voted, or has lost it.
    let stored = state_folder.and_then(StateFolder::registers);
    Some(match stored {
        Some(stored) => Acceptor::restored(voters, index, start.incarnation, stored),
        None => Acceptor::without_memory(
            Duration::ZERO,
            &config.leases,
            voters,
            index,
            start.incarnation,
            start.unix_time_ms,
        ),
    })
}

/// How this front is known to the failure detector.
fn local_member(config: &FleetConfig, start: &StartParameters) -> detector::Member {
    detector::Member {
        name: config.name.clone(),
        address: config.advertised_address.unwrap_or(start.address),
        incarnation: start.incarnation,
        zone: config.zone,
        refutations: 0,
    }
}
