//! The fleet's part of an operator's file, and what an operator asks of a fleet.

use crate::{CommandError, file, read_file};
use lemonusher_fleet::{Body, Frame, Key, MemberRow, RegisterRow, Row, Task, Terms};
use lemonusher_leases::{Incarnation, LeaseConfig as LeaseTerms};
use lemonusher_registers::{Operation, ProposalOutcome, Proposer};
use lemonusher_zone_failover::OperatorOverride;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;

const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_TRIES: usize = 3;

/// What the file says, with the key read.
pub fn fleet_config(section: &file::FleetSection, front: &str, zone: u32) -> Result<Terms, CommandError> {
    let ms = Duration::from_millis;
    let path = section.key_file.get_ref();
    let key = std::fs::read(path)
        .map_err(|error| CommandError::File(vec![format!("{}: {error}", path.display())]))?;
    if key.trim_ascii().len() < 16 {
        return Err(CommandError::File(vec![format!("{}: a key has 16 bytes at least", path.display())]));
    }
    Ok(Terms {
        name: front.to_owned(),
        listen: *section.listen.get_ref(),
        key: Key::new(key.trim_ascii()),
        leases: LeaseTerms {
            duration: ms(*section.lease_ms.get_ref()),
            clock_drift_permille: *section.clock_drift_permille.get_ref(),
            max_action_time: ms(section.max_action_time_ms),
        },
        voters: section.voters.get_ref().clone(),
        votes: section.is_voter,
        place: section.own_voter_index(),
        known_as: section.advertised_address.as_ref().map(|address| *address.get_ref()),
        location: zone,
        folder: section.state_folder.as_ref().map(|folder| folder.get_ref().clone()),
        tasks: (section.tasks.iter())
            .map(|task| Task {
                name: task.name.get_ref().clone(),
                tell: task.notify.as_ref().map(|to| *to.get_ref()),
                every: ms(*task.interval_ms.get_ref()),
                takes: ms(task.duration_ms),
                fenced: task.is_fenced,
            })
            .collect(),
        seats: section.quota_slots,
        wants: section.wanted_slots,
        number: section.first_slot,
        sites: None,
        works: None,
    })
}

/// An operator beside the fleet: it speaks under a name of its own and holds nothing.
pub struct Operator {
    pub config: Terms,
    incarnation: Incarnation,
    sequence: u64,
    socket: UdpSocket,
}

impl Operator {
    pub fn connect(path: &Path) -> Result<Operator, CommandError> {
        let file = read_file(path)?;
        let section = file.fleet.as_ref().ok_or_else(|| {
            CommandError::File(vec![format!("{}: has no [fleet], so there is nobody to ask", path.display())])
        })?;
        let failed = |error: std::io::Error| CommandError::Failed(error.to_string());
        let socket = UdpSocket::bind(("127.0.0.1", 0)).map_err(failed)?;
        socket.set_read_timeout(Some(REPLY_TIMEOUT)).map_err(failed)?;
        let incarnation = Incarnation { name: "operator".to_owned(), id: rand::random() };
        Ok(Operator { config: fleet_config(section, "operator", 0)?, incarnation, sequence: 0, socket })
    }

    fn send(&mut self, body: Body, to: SocketAddr) -> Result<(), CommandError> {
        self.sequence += 1;
        let terms = lemonusher_fleet::mark(&self.config);
        let frame = Frame { from: self.incarnation.clone(), seq: self.sequence, terms, body };
        let sealed =
            frame.seal(&self.config.key).ok_or_else(|| CommandError::Failed("it is too long".to_owned()))?;
        self.socket.send_to(&sealed, to).map(drop).map_err(|error| CommandError::Failed(error.to_string()))
    }

    /// Asks a voter once, and again where no answer comes; none if none ever does.
    pub fn ask(&mut self, voter: SocketAddr, body: &Body) -> Result<Option<Body>, CommandError> {
        for _ in 0..MAX_TRIES {
            self.send(body.clone(), voter)?;
            let mut bytes = [0; 2048];
            let Ok((long, from)) = self.socket.recv_from(&mut bytes) else { continue };
            if let Some(frame) = Frame::open(&bytes[..long], &self.config.key).ok().filter(|_| from == voter)
            {
                return Ok(Some(frame.body));
            }
        }
        Ok(None)
    }

    /// What a voter shows, whole; none if it does not answer.
    fn leases(&mut self, voter: SocketAddr) -> Result<Option<(bool, Vec<Row>)>, CommandError> {
        let mut all: Vec<Row> = Vec::new();
        loop {
            let after = all.last().map(|row| row.task.clone()).unwrap_or_default();
            match self.ask(voter, &Body::ShowLeases { after })? {
                Some(Body::Leases { mute, rows, more }) => {
                    all.extend(rows);
                    if !more {
                        return Ok(Some((mute, all)));
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// The registers that a voter has accepted, and whether it votes on them.
    fn registers(
        &mut self,
        voter: SocketAddr,
    ) -> Result<Option<(bool, u64, Vec<RegisterRow>)>, CommandError> {
        let mut all: Vec<RegisterRow> = Vec::new();
        loop {
            let after = all.last().map(|row| row.name.clone()).unwrap_or_default();
            match self.ask(voter, &Body::ShowRegisters { after })? {
                Some(Body::Registers { votes, era, rows, more }) => {
                    all.extend(rows);
                    if !more {
                        return Ok(Some((votes, era, all)));
                    }
                }
                _ => return Ok(None),
            }
        }
    }

    /// The other fronts that a front sees.
    fn members(&mut self, front: SocketAddr) -> Result<Option<Vec<MemberRow>>, CommandError> {
        let mut all: Vec<MemberRow> = Vec::new();
        loop {
            let after = all.last().map(|row| (row.name.clone(), row.born)).unwrap_or_default();
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
}

/// Prints what each voter knows to be section.
pub fn show(path: &Path, json: bool) -> Result<(), CommandError> {
    let mut operator = Operator::connect(path)?;
    let (mut answered, voters) = (0, operator.config.voters.clone());
    for voter in &voters {
        let table = operator.leases(*voter)?;
        let registers = if table.is_some() { operator.registers(*voter)? } else { None };
        let members = if table.is_some() { operator.members(*voter)? } else { None };
        answered += usize::from(table.as_ref().is_some_and(|(mute, _)| !mute));
        if json {
            let rows = table.as_ref().map(|(_, rows)| rows);
            let mute = table.as_ref().map(|(mute, _)| *mute);
            println!(
                "{}",
                serde_json::json!({
                    "voter": voter, "answers": table.is_some(), "mute": mute, "leases": rows,
                    "registers": registers.as_ref().map(|(votes, era, rows)| {
                        serde_json::json!({"votes": votes, "era": era, "rows": rows})
                    }),
                    "fronts": members,
                })
            );
            continue;
        }
        match table {
            None => println!("voter {voter}: does not answer"),
            Some((true, _)) => println!("voter {voter}: has started lately and does not vote yet"),
            Some((false, rows)) => {
                println!("voter {voter}: {} leases", rows.len());
                for Row { task, who, number, left } in rows {
                    println!("  {task:<24} {who}  number {number}, {:.1} s left", left.as_secs_f64());
                }
            }
        }
        if let Some((votes, era, rows)) = registers {
            println!("  registers: {}, era {era}", if votes { "it votes" } else { "it has no memory yet" });
            for RegisterRow { name, stamp, number, long } in rows {
                println!("  {name:<24} version {}, written under {number}, {long} bytes", stamp.counter);
            }
        }
        if let Some(members) = members {
            let names: Vec<&str> = members.iter().map(|row| row.name.as_str()).collect();
            println!("  it sees {} other fronts: {}", names.len(), names.join(", "));
        }
    }
    if answered * 2 > voters.len() {
        return Ok(());
    }
    Err(CommandError::Failed(format!("{answered} of {} voters vote: nothing is granted", voters.len())))
}

/// Asks the holder of a task to let it go to another.
pub fn hand_over(path: &Path, task: &str, json: bool) -> Result<(), CommandError> {
    let mut operator = Operator::connect(path)?;
    let holder = |operator: &mut Operator| -> Result<Option<Row>, CommandError> {
        for voter in operator.config.voters.clone() {
            let held =
                operator.leases(voter)?.and_then(|(_, rows)| rows.into_iter().find(|row| row.task == task));
            if held.is_some() {
                return Ok(held);
            }
        }
        Ok(None)
    };
    let before =
        holder(&mut operator)?.ok_or_else(|| CommandError::Failed(format!("nobody holds {task}")))?;
    for voter in operator.config.voters.clone() {
        operator.send(Body::HandOver { task: task.to_owned() }, voter)?;
    }
    let until = std::time::Instant::now() + operator.config.leases.voter_hold_time() * 4;
    while std::time::Instant::now() < until {
        std::thread::sleep(REPLY_TIMEOUT / 5);
        if let Some(now) = holder(&mut operator)?.filter(|row| row.number > before.number) {
            if json {
                println!(
                    "{}",
                    serde_json::json!({"task": task, "from": before.who, "to": now.who, "number": now.number})
                );
            } else {
                println!("{task}: from {} to {}, number {}", before.who, now.who, now.number);
            }
            return Ok(());
        }
    }
    Err(CommandError::Failed(format!("{task} was not taken by another; {} held it", before.who)))
}

/// What may be wanted of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum ZoneOverride {
    /// The fleet decides by what it sees.
    Auto,
    /// Taken out in steps, and kept out.
    Out,
    /// The same, and given back by itself if outcomes elsewhere worsen.
    Drill,
    /// Not returned until another word.
    HoldReturn,
    /// Returned at twice the pace.
    Hurry,
}

fn operator_override(requested: ZoneOverride) -> OperatorOverride {
    match requested {
        ZoneOverride::Auto => OperatorOverride::Auto,
        ZoneOverride::Out => OperatorOverride::Disable,
        ZoneOverride::Drill => OperatorOverride::Drill,
        ZoneOverride::HoldReturn => OperatorOverride::HoldRecovery,
        ZoneOverride::Hurry => OperatorOverride::FastRecovery,
    }
}

/// The names by which the deployment speaks; where the file names none, sites are numbers.
fn deployment_names(path: &Path) -> Result<lemonusher_front::DeploymentNames, CommandError> {
    let (_, start_file) = crate::read_with_start_file(path)?;
    lemonusher_front::read_names(&start_file).map_err(|error| CommandError::File(vec![error.to_string()]))
}

fn zone_index(names: &lemonusher_front::DeploymentNames, name: &str) -> Result<u32, CommandError> {
    let known = names.zones.iter().position(|known| known == name);
    known.map(|at| at as u32).ok_or_else(|| {
        CommandError::Failed(format!("there is no site '{name}'; there are {}", names.zones.join(", ")))
    })
}

/// Prints the plan as a voter has it.
pub fn plan(path: &Path, without: &[String], json: bool) -> Result<(), CommandError> {
    let names = deployment_names(path)?;
    let without =
        without.iter().map(|name| zone_index(&names, name)).collect::<Result<Vec<u32>, CommandError>>()?;
    let mut operator = Operator::connect(path)?;
    for voter in operator.config.voters.clone() {
        let Some(Body::PlanShown { epoch, sites, groups, refused_first }) =
            operator.ask(voter, &Body::ShowPlan { without: without.clone() })?
        else {
            continue;
        };
        let site = |at: usize| names.zones.get(at).cloned().unwrap_or_else(|| at.to_string());
        let group = |at: usize| names.request_classes.get(at).cloned().unwrap_or_else(|| at.to_string());
        let part = |thousandths: u16| f64::from(thousandths) / 1000.0;
        if json {
            let sites = sites.iter().enumerate().map(|(at, one)| {
                serde_json::json!({"site": site(at), "state": one.state, "open": part(one.open),
                    "found": one.finding, "cores": one.cores, "answers": part(one.part), "filled": part(one.filled)})
            });
            let rows = groups.iter().enumerate().map(|(at, one)| {
                serde_json::json!({"group": group(at), "rate": one.rate, "work": one.work,
                    "served": part(one.served), "may_run_nowhere": one.nowhere})
            });
            let order: Vec<String> = refused_first.iter().map(|at| group(usize::from(*at))).collect();
            let (sites, rows): (Vec<_>, Vec<_>) = (sites.collect(), rows.collect());
            println!(
                "{}",
                serde_json::json!({"epoch": epoch, "sites": sites, "groups": rows, "refused_first": order})
            );
        } else {
            match epoch {
                Some((era, version)) => println!("epoch {era}.{version}"),
                None => println!("no plan is settled yet"),
            }
            for (at, one) in sites.iter().enumerate() {
                println!(
                    "site {:<16} {}, {:.1} % open; looks {}, {} cores, {:.0} % answer; filled to {:.0} %",
                    site(at),
                    one.state,
                    part(one.open) * 100.0,
                    one.finding.to_lowercase(),
                    one.cores,
                    part(one.part) * 100.0,
                    part(one.filled) * 100.0
                );
            }
            for at in refused_first.iter().map(|at| usize::from(*at)) {
                let Some(one) = groups.get(at) else { continue };
                let nowhere = if one.nowhere { "; it may run nowhere that is left" } else { "" };
                println!(
                    "group {:<15} {:.1} a second of {:.2} s work, {:.1} % served{nowhere}",
                    group(at),
                    one.rate,
                    one.work,
                    part(one.served) * 100.0
                );
            }
            println!("(groups in the order in which they are refused)");
        }
        let short = groups.iter().any(|one| one.served < 995 && one.rate > 0.0);
        if short && !json {
            println!("warning: what is left can't carry all");
        }
        return Ok(());
    }
    Err(CommandError::Failed(
        "no voter shows a plan: is [fleet.sites] in the file, and do voters run?".to_owned(),
    ))
}

/// Settles what is wanted of a site, in a register that the plan's holder follows.
pub fn override_zone(
    path: &Path,
    site: &str,
    requested: ZoneOverride,
    json: bool,
) -> Result<(), CommandError> {
    let number = zone_index(&deployment_names(path)?, site)? as usize;
    let mut operator = Operator::connect(path)?;
    let mut overrides = Vec::new();
    let mut change = Operation::Read;
    for _ in 0..MAX_TRIES * 2 {
        match operator.propose(lemonusher_fleet::WISHES, change)? {
            ProposalOutcome::Committed { entry: Some(entry), .. }
                if lemonusher_fleet::read_wishes(&entry.value) == overrides && !overrides.is_empty() =>
            {
                if json {
                    println!("{}", serde_json::json!({"site": site, "version": entry.version.counter}));
                } else {
                    println!("{site}: {requested:?} is settled, version {}", entry.version.counter);
                }
                return Ok(());
            }
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
                overrides = entry
                    .as_ref()
                    .map(|entry| lemonusher_fleet::read_wishes(&entry.value))
                    .unwrap_or_default();
                overrides.resize(overrides.len().max(number + 1), OperatorOverride::Auto);
                overrides[number] = operator_override(requested);
                let value = lemonusher_fleet::write_wishes(&overrides);
                let (after, number) =
                    entry.map_or((None, 0), |entry| (Some(entry.version), entry.fencing_token));
                change = Operation::CompareAndSet { expected: after, fencing_token: number, value };
            }
            ProposalOutcome::Unknown { .. } => break,
        }
    }
    Err(CommandError::Failed("too few voters answered; ask again".to_owned()))
}

impl Operator {
    /// Changes a register as any front would, and waits for the outcome.
    pub fn propose(&mut self, name: &str, change: Operation) -> Result<ProposalOutcome, CommandError> {
        let started = std::time::Instant::now();
        let mut proposer = Proposer::new(self.incarnation.clone(), self.config.voters.len());
        let terms = self.config.leases;
        self.socket
            .set_read_timeout(Some(REPLY_TIMEOUT / 10))
            .map_err(|e| CommandError::Failed(e.to_string()))?;
        let mut requests = proposer.propose(started.elapsed(), name, change);
        let until = terms.duration * 4 + REPLY_TIMEOUT * 4;
        while started.elapsed() < until {
            for sent in std::mem::take(&mut requests) {
                if let Some(voter) = self.config.voters.get(sent.voter).copied() {
                    self.send(Body::RegisterRequest(sent.request), voter)?;
                }
            }
            let mut bytes = [0; 2048];
            if let Ok((long, from)) = self.socket.recv_from(&mut bytes)
                && let Some(voter) = self.config.voters.iter().position(|known| *known == from)
                && let Ok(Frame { body: Body::RegisterReply(reply), .. }) =
                    Frame::open(&bytes[..long], &self.config.key)
            {
                requests =
                    proposer.handle_reply(started.elapsed(), &terms, voter, reply, &mut rand::random::<f64>);
            }
            requests.extend(proposer.poll(started.elapsed(), &terms, &mut rand::random::<f64>));
            if let Some(outcome) = proposer.take_outcomes().pop() {
                return Ok(outcome);
            }
        }
        Ok(ProposalOutcome::Unknown { name: name.to_owned() })
    }
}
