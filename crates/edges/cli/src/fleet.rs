//! The fleet's part of an operator's file, and what an operator asks of a fleet.

use crate::{Failure, file, read_file};
use lemonusher_fleet::{Body, Frame, Key, MemberRow, RegisterRow, Row, Task, Terms};
use lemonusher_leases::{Incarnation, LeaseConfig as LeaseTerms};
use lemonusher_registers::{Operation, ProposalOutcome, Proposer};
use lemonusher_zone_failover::OperatorOverride;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(500);
const TRIES: usize = 3;

/// What the file says, with the key read.
pub fn terms_of(held: &file::FleetSection, front: &str, location: u32) -> Result<Terms, Failure> {
    let ms = Duration::from_millis;
    let path = held.key_file.get_ref();
    let key =
        std::fs::read(path).map_err(|error| Failure::File(vec![format!("{}: {error}", path.display())]))?;
    if key.trim_ascii().len() < 16 {
        return Err(Failure::File(vec![format!("{}: a key has 16 bytes at least", path.display())]));
    }
    Ok(Terms {
        name: front.to_owned(),
        listen: *held.listen.get_ref(),
        key: Key::new(key.trim_ascii()),
        leases: LeaseTerms {
            duration: ms(*held.lease_ms.get_ref()),
            clock_drift_permille: *held.clock_drift_permille.get_ref(),
            max_action_time: ms(held.max_action_time_ms),
        },
        voters: held.voters.get_ref().clone(),
        votes: held.is_voter,
        place: held.own_voter_index(),
        known_as: held.advertised_address.as_ref().map(|address| *address.get_ref()),
        location,
        folder: held.state_folder.as_ref().map(|folder| folder.get_ref().clone()),
        tasks: (held.tasks.iter())
            .map(|task| Task {
                name: task.name.get_ref().clone(),
                tell: task.notify.as_ref().map(|to| *to.get_ref()),
                every: ms(*task.interval_ms.get_ref()),
                takes: ms(task.duration_ms),
                fenced: task.is_fenced,
            })
            .collect(),
        seats: held.quota_slots,
        wants: held.wanted_slots,
        number: held.first_slot,
        sites: None,
        works: None,
    })
}

/// An operator beside the fleet: it speaks under a name of its own and holds nothing.
pub struct Operator {
    pub terms: Terms,
    me: Incarnation,
    seq: u64,
    socket: UdpSocket,
}

impl Operator {
    pub fn of(path: &Path) -> Result<Operator, Failure> {
        let file = read_file(path)?;
        let held = file.fleet.as_ref().ok_or_else(|| {
            Failure::File(vec![format!("{}: has no [fleet], so there is nobody to ask", path.display())])
        })?;
        let failed = |error: std::io::Error| Failure::Failed(error.to_string());
        let socket = UdpSocket::bind(("127.0.0.1", 0)).map_err(failed)?;
        socket.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
        let me = Incarnation { name: "operator".to_owned(), id: rand::random() };
        Ok(Operator { terms: terms_of(held, "operator", 0)?, me, seq: 0, socket })
    }

    fn say(&mut self, body: Body, to: SocketAddr) -> Result<(), Failure> {
        self.seq += 1;
        let terms = lemonusher_fleet::mark(&self.terms);
        let frame = Frame { from: self.me.clone(), seq: self.seq, terms, body };
        let sealed =
            frame.seal(&self.terms.key).ok_or_else(|| Failure::Failed("it is too long".to_owned()))?;
        self.socket.send_to(&sealed, to).map(drop).map_err(|error| Failure::Failed(error.to_string()))
    }

    /// Asks a voter once, and again where no answer comes; none if none ever does.
    pub fn ask(&mut self, voter: SocketAddr, body: &Body) -> Result<Option<Body>, Failure> {
        for _ in 0..TRIES {
            self.say(body.clone(), voter)?;
            let mut bytes = [0; 2048];
            let Ok((long, from)) = self.socket.recv_from(&mut bytes) else { continue };
            if let Some(frame) = Frame::open(&bytes[..long], &self.terms.key).ok().filter(|_| from == voter) {
                return Ok(Some(frame.body));
            }
        }
        Ok(None)
    }

    /// What a voter shows, whole; none if it does not answer.
    fn table(&mut self, voter: SocketAddr) -> Result<Option<(bool, Vec<Row>)>, Failure> {
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
    fn registers(&mut self, voter: SocketAddr) -> Result<Option<(bool, u64, Vec<RegisterRow>)>, Failure> {
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
    fn members(&mut self, front: SocketAddr) -> Result<Option<Vec<MemberRow>>, Failure> {
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

/// Prints what each voter knows to be held.
pub fn show(path: &Path, json: bool) -> Result<(), Failure> {
    let mut operator = Operator::of(path)?;
    let (mut answered, voters) = (0, operator.terms.voters.clone());
    for voter in &voters {
        let table = operator.table(*voter)?;
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
    Err(Failure::Failed(format!("{answered} of {} voters vote: nothing is granted", voters.len())))
}

/// Asks the holder of a task to let it go to another.
pub fn hand_over(path: &Path, task: &str, json: bool) -> Result<(), Failure> {
    let mut operator = Operator::of(path)?;
    let holder = |operator: &mut Operator| -> Result<Option<Row>, Failure> {
        for voter in operator.terms.voters.clone() {
            let held =
                operator.table(voter)?.and_then(|(_, rows)| rows.into_iter().find(|row| row.task == task));
            if held.is_some() {
                return Ok(held);
            }
        }
        Ok(None)
    };
    let before = holder(&mut operator)?.ok_or_else(|| Failure::Failed(format!("nobody holds {task}")))?;
    for voter in operator.terms.voters.clone() {
        operator.say(Body::HandOver { task: task.to_owned() }, voter)?;
    }
    let until = std::time::Instant::now() + operator.terms.leases.voter_hold_time() * 4;
    while std::time::Instant::now() < until {
        std::thread::sleep(PATIENCE / 5);
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
    Err(Failure::Failed(format!("{task} was not taken by another; {} held it", before.who)))
}

/// What may be wanted of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum SiteWish {
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

fn wish_of(wish: SiteWish) -> OperatorOverride {
    match wish {
        SiteWish::Auto => OperatorOverride::Auto,
        SiteWish::Out => OperatorOverride::Disable,
        SiteWish::Drill => OperatorOverride::Drill,
        SiteWish::HoldReturn => OperatorOverride::HoldRecovery,
        SiteWish::Hurry => OperatorOverride::FastRecovery,
    }
}

/// The names by which the deployment speaks; where the file names none, sites are numbers.
fn names_of(path: &Path) -> Result<lemonusher_front::DeploymentNames, Failure> {
    let (_, told) = crate::read(path)?;
    lemonusher_front::read_names(&told).map_err(|unfit| Failure::File(vec![unfit.to_string()]))
}

fn site_of(names: &lemonusher_front::DeploymentNames, name: &str) -> Result<u32, Failure> {
    let known = names.zones.iter().position(|known| known == name);
    known.map(|at| at as u32).ok_or_else(|| {
        Failure::Failed(format!("there is no site '{name}'; there are {}", names.zones.join(", ")))
    })
}

/// Prints the plan as a voter has it.
pub fn plan(path: &Path, without: &[String], json: bool) -> Result<(), Failure> {
    let names = names_of(path)?;
    let without = without.iter().map(|name| site_of(&names, name)).collect::<Result<Vec<u32>, Failure>>()?;
    let mut operator = Operator::of(path)?;
    for voter in operator.terms.voters.clone() {
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
    Err(Failure::Failed("no voter shows a plan: is [fleet.sites] in the file, and do voters run?".to_owned()))
}

/// Settles what is wanted of a site, in a register that the plan's holder follows.
pub fn wish(path: &Path, site: &str, wish: SiteWish, json: bool) -> Result<(), Failure> {
    let number = site_of(&names_of(path)?, site)? as usize;
    let mut operator = Operator::of(path)?;
    let mut wishes = Vec::new();
    let mut change = Operation::Read;
    for _ in 0..TRIES * 2 {
        match operator.propose(lemonusher_fleet::WISHES, change)? {
            ProposalOutcome::Committed { entry: Some(entry), .. }
                if lemonusher_fleet::read_wishes(&entry.value) == wishes && !wishes.is_empty() =>
            {
                if json {
                    println!("{}", serde_json::json!({"site": site, "version": entry.version.counter}));
                } else {
                    println!("{site}: {wish:?} is settled, version {}", entry.version.counter);
                }
                return Ok(());
            }
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
                wishes = entry
                    .as_ref()
                    .map(|entry| lemonusher_fleet::read_wishes(&entry.value))
                    .unwrap_or_default();
                wishes.resize(wishes.len().max(number + 1), OperatorOverride::Auto);
                wishes[number] = wish_of(wish);
                let value = lemonusher_fleet::write_wishes(&wishes);
                let (after, number) =
                    entry.map_or((None, 0), |entry| (Some(entry.version), entry.fencing_token));
                change = Operation::CompareAndSet { expected: after, fencing_token: number, value };
            }
            ProposalOutcome::Unknown { .. } => break,
        }
    }
    Err(Failure::Failed("too few voters answered; ask again".to_owned()))
}

impl Operator {
    /// Changes a register as any front would, and waits for the outcome.
    pub fn propose(&mut self, name: &str, change: Operation) -> Result<ProposalOutcome, Failure> {
        let clock = std::time::Instant::now();
        let mut proposer = Proposer::new(self.me.clone(), self.terms.voters.len());
        let terms = self.terms.leases;
        self.socket.set_read_timeout(Some(PATIENCE / 10)).map_err(|e| Failure::Failed(e.to_string()))?;
        let mut posts = proposer.propose(clock.elapsed(), name, change);
        let until = terms.duration * 4 + PATIENCE * 4;
        while clock.elapsed() < until {
            for post in std::mem::take(&mut posts) {
                if let Some(voter) = self.terms.voters.get(post.voter).copied() {
                    self.say(Body::RegisterRequest(post.request), voter)?;
                }
            }
            let mut bytes = [0; 2048];
            if let Ok((long, from)) = self.socket.recv_from(&mut bytes)
                && let Some(voter) = self.terms.voters.iter().position(|known| *known == from)
                && let Ok(Frame { body: Body::RegisterReply(reply), .. }) =
                    Frame::open(&bytes[..long], &self.terms.key)
            {
                posts =
                    proposer.handle_reply(clock.elapsed(), &terms, voter, reply, &mut rand::random::<f64>);
            }
            posts.extend(proposer.poll(clock.elapsed(), &terms, &mut rand::random::<f64>));
            if let Some(outcome) = proposer.take_outcomes().pop() {
                return Ok(outcome);
            }
        }
        Ok(ProposalOutcome::Unknown { name: name.to_owned() })
    }
}
