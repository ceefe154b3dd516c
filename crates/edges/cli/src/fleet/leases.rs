//! `lemonusher fleet` shows the leases and registers of the voters; `lemonusher hand-over` moves a lease to
//! another front.

use super::operator::{Operator, REPLY_TIMEOUT};
use crate::error::CommandError;
use lemonusher_fleet::{Body, LeaseRow, MemberRow, RegisterRow};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Instant;

struct VoterLeases {
    /// Whether the voter has started recently and does not vote yet.
    is_silent: bool,
    rows: Vec<LeaseRow>,
}

struct VoterRegisters {
    votes: bool,
    epoch: u64,
    rows: Vec<RegisterRow>,
}

/// The state that one voter shows.
struct VoterState {
    voter: SocketAddr,
    /// None if the voter does not reply.
    leases: Option<VoterLeases>,
    registers: Option<VoterRegisters>,
    members: Option<Vec<MemberRow>>,
}

impl Operator {
    fn voter_state(&mut self, voter: SocketAddr) -> Result<VoterState, CommandError> {
        let leases = self.leases(voter)?;
        let registers = if leases.is_some() { self.registers(voter)? } else { None };
        let members = if leases.is_some() { self.members(voter)? } else { None };
        Ok(VoterState { voter, leases, registers, members })
    }

    /// All leases that a voter has granted; none if it does not reply.
    fn leases(&mut self, voter: SocketAddr) -> Result<Option<VoterLeases>, CommandError> {
        let mut all: Vec<LeaseRow> = Vec::new();
        loop {
            let after = all.last().map(|row| row.task.clone()).unwrap_or_default();
            match self.ask(voter, &Body::ShowLeases { after })? {
                Some(Body::Leases { is_silent: silent, rows, more }) => {
                    all.extend(rows);
                    if !more {
                        return Ok(Some(VoterLeases { is_silent: silent, rows: all }));
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// All registers that a voter has accepted; none if it does not reply.
    fn registers(&mut self, voter: SocketAddr) -> Result<Option<VoterRegisters>, CommandError> {
        let mut all: Vec<RegisterRow> = Vec::new();
        loop {
            let after = all.last().map(|row| row.name.clone()).unwrap_or_default();
            match self.ask(voter, &Body::ShowRegisters { after })? {
                Some(Body::Registers { is_voting: votes, epoch: current_epoch, rows, more }) => {
                    all.extend(rows);
                    if !more {
                        return Ok(Some(VoterRegisters { votes, epoch: current_epoch, rows: all }));
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// All other fronts that a front knows; none if it does not reply.
    fn members(&mut self, front: SocketAddr) -> Result<Option<Vec<MemberRow>>, CommandError> {
        let mut all: Vec<MemberRow> = Vec::new();
        loop {
            let after = all.last().map(MemberRow::cursor).unwrap_or_default();
            match self.ask(front, &Body::ShowMembers { after })? {
                Some(Body::Members { rows, more }) => {
                    all.extend(rows);
                    if !more {
                        return Ok(Some(all));
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// Sends a hand-over request for a task to all voters.
    fn request_hand_over(&mut self, task: &str) -> Result<(), CommandError> {
        for voter in self.config.voters.clone() {
            self.send(Body::HandOver { task: task.to_owned() }, voter)?;
        }
        Ok(())
    }

    /// The lease on a task, from the first voter that shows one.
    fn holder(&mut self, task: &str) -> Result<Option<LeaseRow>, CommandError> {
        for voter in self.config.voters.clone() {
            let rows = self.leases(voter)?.map(|leases| leases.rows).unwrap_or_default();
            let lease = rows.into_iter().find(|row| row.task == task);
            if lease.is_some() {
                return Ok(lease);
            }
        }
        Ok(None)
    }
}

/// Prints the leases and registers of each voter, and the fronts that it knows. Fails unless a majority of
/// voters votes.
pub fn show(path: &Path, json: bool) -> Result<(), CommandError> {
    let mut operator = Operator::connect(path)?;
    let voters = operator.config.voters.clone();
    let mut voting = 0;
    for voter in &voters {
        let state = operator.voter_state(*voter)?;
        voting += usize::from(state.leases.as_ref().is_some_and(|leases| !leases.is_silent));
        if json { state.print_json() } else { state.print_text() }
    }
    if voting * 2 > voters.len() {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "{voting} of {} voters vote; without a majority no lease is granted",
        voters.len()
    )))
}

impl VoterState {
    fn print_json(&self) {
        let leases = self.leases.as_ref();
        let registers = self.registers.as_ref().map(
            |registers| json!({"votes": registers.votes, "era": registers.epoch, "rows": registers.rows}),
        );
        println!(
            "{}",
            json!({
                "voter": self.voter,
                "answers": leases.is_some(),
                "mute": leases.map(|leases| leases.is_silent),
                "leases": leases.map(|leases| &leases.rows),
                "registers": registers,
                "fronts": self.members,
            })
        );
    }

    fn print_text(&self) {
        let voter = self.voter;
        match &self.leases {
            None => println!("voter {voter}: does not answer"),
            Some(VoterLeases { is_silent: true, .. }) => {
                println!("voter {voter}: has started lately and does not vote yet");
            }
            Some(VoterLeases { rows, .. }) => {
                println!("voter {voter}: {} leases", rows.len());
                for LeaseRow { task, holder: front, fencing_token: token, remaining: time_left } in rows {
                    println!("  {task:<24} {front}  number {token}, {:.1} s left", time_left.as_secs_f64());
                }
            }
        }
        if let Some(VoterRegisters { votes, epoch, rows }) = &self.registers {
            let memory = if *votes { "it votes" } else { "it has no memory yet" };
            println!("  registers: {memory}, era {epoch}");
            for RegisterRow { name, version: written, fencing_token: token, value_bytes: length } in rows {
                println!("  {name:<24} version {}, written under {token}, {length} bytes", written.counter);
            }
        }
        if let Some(members) = &self.members {
            let names: Vec<&str> = members.iter().map(|row| row.name.as_str()).collect();
            println!("  it sees {} other fronts: {}", names.len(), names.join(", "));
        }
    }
}

/// Maximum wait for a hand-over, in holding times of a lease.
const HAND_OVER_HOLD_TIMES: u32 = 4;

/// Requests that the holder of a task hands it over to another front, and waits until another front holds it.
///
/// The request is a datagram that may be lost. It is sent again if the voters still show the same grant one and
/// a half holding times later. A released grant has expired at the voters by then, so a grant that they still show
/// was renewed by its holder, and the repeated request can't reach the next holder.
pub fn hand_over(path: &Path, task: &str, json: bool) -> Result<(), CommandError> {
    let mut operator = Operator::connect(path)?;
    let before =
        operator.holder(task)?.ok_or_else(|| CommandError::Failed(format!("nobody holds {task}")))?;
    operator.request_hand_over(task)?;
    let hold_time = operator.config.leases.voter_hold_time();
    let resend_after = hold_time * 3 / 2;
    let mut requested_at = Instant::now();
    let deadline = requested_at + hold_time * HAND_OVER_HOLD_TIMES;
    while Instant::now() < deadline {
        std::thread::sleep(REPLY_TIMEOUT / 5);
        let asked_at = Instant::now();
        let shown = operator.holder(task)?;
        let is_unchanged = shown.as_ref().is_some_and(|row| row.fencing_token == before.fencing_token);
        if is_unchanged && asked_at.saturating_duration_since(requested_at) >= resend_after {
            operator.request_hand_over(task)?;
            requested_at = Instant::now();
        }
        let Some(new_lease) = shown.filter(|row| row.fencing_token > before.fencing_token) else { continue };
        let LeaseRow { holder: new_holder, fencing_token: token, .. } = new_lease;
        if json {
            println!("{}", json!({"task": task, "from": before.holder, "to": new_holder, "number": token}));
        } else {
            println!("{task}: from {} to {new_holder}, number {token}", before.holder);
        }
        return Ok(());
    }
    Err(CommandError::Failed(format!("no other front has acquired {task}; {} held it", before.holder)))
}
