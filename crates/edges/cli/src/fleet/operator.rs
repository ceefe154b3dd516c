//! Datagrams of an operator's command to the fleet. The command takes part under the name `operator` and holds
//! no lease.

use super::fleet_config;
use crate::error::CommandError;
use crate::inputs::read_file;
use lemonusher_fleet::{Body, FleetConfig, Frame};
use lemonusher_leases::Incarnation;
use lemonusher_registers::{Operation, ProposalOutcome, Proposer};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

/// Unit of the timeouts that do not follow from the lease configuration: the wait for a datagram in
/// [`Operator::propose`], its reserve beyond four lease durations, and the poll interval of a hand-over.
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the reply to the first attempt of a request; doubled with each further attempt.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of times that one request is sent.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum length of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// A connection of an operator's command to the fleet.
pub struct Operator {
    /// The fleet's configuration, from the operator's file.
    pub config: FleetConfig,
    incarnation: Incarnation,
    sequence: u64,
    socket: UdpSocket,
}

impl Operator {
    /// Reads the operator's file and opens a socket.
    pub fn connect(path: &Path) -> Result<Operator, CommandError> {
        let file = read_file(path)?;
        let section = file.fleet.as_ref().ok_or_else(|| {
            CommandError::File(vec![format!(
                "{}: the section [fleet], which names the voters, is missing",
                path.display()
            )])
        })?;
        let socket = open_socket()?;
        let incarnation = Incarnation { name: "operator".to_owned(), id: rand::random() };
        Ok(Operator { config: fleet_config(section, "operator", 0)?, incarnation, sequence: 0, socket })
    }

    /// Sends a message once.
    pub fn send(&mut self, body: Body, to: SocketAddr) -> Result<(), CommandError> {
        self.sequence += 1;
        let fingerprint = lemonusher_fleet::config_fingerprint(&self.config);
        let frame = Frame {
            from: self.incarnation.clone(),
            sequence: self.sequence,
            config_fingerprint: fingerprint,
            body,
        };
        let sealed = frame
            .seal(&self.config.key)
            .ok_or_else(|| CommandError::Failed("the message is too long for a datagram".to_owned()))?;
        self.socket.send_to(&sealed, to).map(drop).map_err(failed)
    }

    /// Sends a request to a voter, up to [`MAX_ATTEMPTS`] times, and returns the reply, or none. Replies don't
    /// name the request that they belong to, so each request has a socket of its own: a late reply to an
    /// earlier request goes to a closed socket.
    pub fn ask(&mut self, voter: SocketAddr, body: &Body) -> Result<Option<Body>, CommandError> {
        self.socket = open_socket()?;
        for attempt in 0..MAX_ATTEMPTS {
            self.send(body.clone(), voter)?;
            let reply = self.wait_for_reply(voter, FIRST_REPLY_TIMEOUT * 2_u32.pow(attempt))?;
            if reply.is_some() {
                return Ok(reply);
            }
        }
        Ok(None)
    }

    /// The next message of this voter, if one is received within the timeout; other datagrams are ignored.
    fn wait_for_reply(&mut self, voter: SocketAddr, timeout: Duration) -> Result<Option<Body>, CommandError> {
        let deadline = Instant::now() + timeout;
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            self.socket.set_read_timeout(Some(remaining)).map_err(failed)?;
            let Ok((length, from)) = self.socket.recv_from(&mut bytes) else { continue };
            if from == voter
                && let Ok(frame) = Frame::open(&bytes[..length], &self.config.key)
            {
                return Ok(Some(frame.body));
            }
        }
    }

    /// Proposes a change of a register by the same protocol as fronts do, and waits for the outcome.
    pub fn propose(&mut self, name: &str, change: Operation) -> Result<ProposalOutcome, CommandError> {
        let started = Instant::now();
        let mut proposer = Proposer::new(self.incarnation.clone(), self.config.voters.len());
        let lease_config = self.config.leases;
        self.socket.set_read_timeout(Some(REPLY_TIMEOUT / 10)).map_err(failed)?;
        let mut requests = proposer.propose(started.elapsed(), name, change);
        let timeout = lease_config.duration * 4 + REPLY_TIMEOUT * 4;
        while started.elapsed() < timeout {
            for sent in std::mem::take(&mut requests) {
                if let Some(voter) = self.config.voters.get(sent.voter).copied() {
                    self.send(Body::RegisterRequest(sent.request), voter)?;
                }
            }
            let mut bytes = [0; MAX_DATAGRAM_BYTES];
            if let Ok((length, from)) = self.socket.recv_from(&mut bytes)
                && let Some(voter) = self.config.voters.iter().position(|known| *known == from)
                && let Ok(Frame { body: Body::RegisterReply(reply), .. }) =
                    Frame::open(&bytes[..length], &self.config.key)
            {
                requests = proposer.handle_reply(
                    started.elapsed(),
                    &lease_config,
                    voter,
                    reply,
                    &mut rand::random::<f64>,
                );
            }
            requests.extend(proposer.poll(started.elapsed(), &lease_config, &mut rand::random::<f64>));
            if let Some(outcome) = proposer.take_outcomes().pop() {
                return Ok(outcome);
            }
        }
        Ok(ProposalOutcome::Unknown { name: name.to_owned() })
    }
}

fn open_socket() -> Result<UdpSocket, CommandError> {
    UdpSocket::bind(("127.0.0.1", 0)).map_err(failed)
}

fn failed(error: std::io::Error) -> CommandError {
    CommandError::Failed(error.to_string())
}
