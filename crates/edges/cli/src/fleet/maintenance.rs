//! `lemonusher works`: maintenance requests. Each is a register that operators change as any front would.

use super::operator::Operator;
use crate::error::CommandError;
use crate::inputs::read_file;
use lemonusher_fleet::{Body, maintenance_register};
use lemonusher_maintenance::{
    MAX_CONCURRENT, MAX_MACHINES, MAX_NAME_BYTES, MAX_REQUESTS, Machine, MachineStatus, MaintenanceRequest,
    Phase,
};
use lemonusher_registers::{Entry, Operation, ProposalOutcome};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// How often a change is tried again after another came first.
const MAX_TRIES: usize = 8;

#[derive(clap::Subcommand)]
pub enum MaintenanceCommand {
    /// Asks for machines, named by their ids in hex, to be taken out.
    Ask {
        #[arg(required = true)]
        machines: Vec<String>,
        #[arg(long, default_value = "operator")]
        who: String,
        /// At most so many of them are out at once.
        #[arg(long, default_value_t = 1)]
        at_once: u16,
        /// For how long each may be out, in seconds; one that is out for longer stops the queue.
        #[arg(long, default_value_t = 3600)]
        out_for: u32,
        /// The greater goes first.
        #[arg(long, default_value_t = 1)]
        urgency: u8,
    },
    /// Lists all requests, how their machines stand, and why they wait.
    List,
    /// Begins nothing further of a request.
    Hold { number: u8 },
    /// Goes on with it.
    GoOn { number: u8 },
    /// Takes back what has not been released.
    Withdraw { number: u8 },
    /// Says that a machine is back from work.
    Back { machine: String },
    /// Does not wait for a front that is known to be dead, and will not come back before the request is over.
    Without { number: u8, front: String },
}

fn parse_machine(text: &str) -> Result<Machine, CommandError> {
    let hex = text.strip_prefix("s-").unwrap_or(text);
    Machine::from_str_radix(hex, 16)
        .map_err(|_| CommandError::Failed(format!("'{text}' is no engine's id in hex")))
}

/// Carries out a command on maintenance requests.
pub fn run(path: &Path, command: MaintenanceCommand, json: bool) -> Result<(), CommandError> {
    let mut operator = Operator::connect(path)?;
    match command {
        MaintenanceCommand::Ask { machines, who, at_once, out_for, urgency } => {
            let machines = machines.iter().map(|text| parse_machine(text)).collect::<Result<Vec<_>, _>>()?;
            check_bounds(&machines, &who, at_once)?;
            let request = MaintenanceRequest::new(&who, urgency, at_once, out_for, &machines);
            ask(&mut operator, &request, json)
        }
        MaintenanceCommand::List => list(&mut operator, &required_fronts(path).unwrap_or_default(), json),
        MaintenanceCommand::Hold { number } => edit(&mut operator, number, json, "is held", |work| {
            work.on_hold = true;
            true
        }),
        MaintenanceCommand::GoOn { number } => edit(&mut operator, number, json, "goes on", |work| {
            work.on_hold = false;
            true
        }),
        MaintenanceCommand::Withdraw { number } => {
            edit(&mut operator, number, json, "is withdrawn", |work| {
                work.withdraw();
                true
            })
        }
        MaintenanceCommand::Without { number, front } => {
            let fronts = required_fronts(path)?;
            edit(&mut operator, number, json, "does not wait for it", |work| {
                work.extension.dead_fronts.add(&fronts, &front)
            })
        }
        MaintenanceCommand::Back { machine } => mark_returned(&mut operator, parse_machine(&machine)?, json),
    }
}

fn check_bounds(machines: &[Machine], who: &str, at_once: u16) -> Result<(), CommandError> {
    let max_machines = MAX_MACHINES * MAX_REQUESTS;
    if machines.len() <= max_machines && at_once <= MAX_CONCURRENT && who.len() <= MAX_NAME_BYTES {
        return Ok(());
    }
    Err(CommandError::Failed(format!(
        "one request names {max_machines} machines at most, {MAX_CONCURRENT} of them out at once, and who asks in \
         {MAX_NAME_BYTES} bytes"
    )))
}

fn mark_returned(operator: &mut Operator, machine: Machine, json: bool) -> Result<(), CommandError> {
    for number in 0..MAX_REQUESTS as u8 {
        let returned = |current: Option<MaintenanceRequest>| {
            current.and_then(|mut request| request.mark_returned(machine).then_some(request))
        };
        if let Some(version) = change(operator, number, returned)? {
            print_change(json, number, version, "has a machine back");
            return Ok(());
        }
    }
    Err(CommandError::Failed(format!("{machine:08x} is not released: nobody expects it back")))
}

fn print_change(json: bool, number: u8, version: u64, what: &str) {
    if json {
        println!("{}", json!({"request": number, "version": version}));
    } else {
        println!("request {number} {what}, version {version}");
    }
}

/// The fronts that count, as the operator's file names them.
fn required_fronts(path: &Path) -> Result<Vec<String>, CommandError> {
    let works = read_file(path)?.fleet.and_then(|fleet| fleet.maintenance);
    let works =
        works.ok_or_else(|| CommandError::File(vec![format!("{}: has no [fleet.works]", path.display())]))?;
    Ok(works.into_inner().required_fronts)
}

/// Asks for machines, in as many registers as they need; nothing is asked for unless there are as many free.
fn ask(operator: &mut Operator, work: &MaintenanceRequest, json: bool) -> Result<(), CommandError> {
    let mut parts = work.split(rand::random());
    let free =
        |current: &Option<MaintenanceRequest>| current.as_ref().is_none_or(MaintenanceRequest::is_over);
    if parts.len() > 1 {
        let mut free_places = 0;
        for number in 0..MAX_REQUESTS as u8 {
            free_places += usize::from(free(&read(operator, number)?));
        }
        if free_places < parts.len() {
            return Err(CommandError::Failed(format!(
                "{free_places} of {MAX_REQUESTS} places for {MAX_MACHINES} machines each are free, and this takes {}; ask again \
                 when a request is over",
                parts.len()
            )));
        }
    }
    parts.reverse();
    for number in 0..MAX_REQUESTS as u8 {
        let Some(part) = parts.last() else { return Ok(()) };
        if let Some(version) = change(operator, number, |current| free(&current).then(|| part.clone()))? {
            print_change(json, number, version, "is asked for");
            parts.pop();
        }
    }
    if parts.is_empty() {
        return Ok(());
    }
    Err(CommandError::Failed(format!("{MAX_REQUESTS} requests are under way; ask again when one is over")))
}

/// Edits a request, in all registers that hold parts of it.
fn edit(
    operator: &mut Operator,
    number: u8,
    json: bool,
    what: &str,
    edit: impl Fn(&mut MaintenanceRequest) -> bool,
) -> Result<(), CommandError> {
    let edited =
        |current: Option<MaintenanceRequest>| current.and_then(|mut work| edit(&mut work).then_some(work));
    let whole = read(operator, number)?;
    for part in 0..MAX_REQUESTS as u8 {
        if part != number
            && let Some(whole) = whole.as_ref().filter(|whole| whole.extension.request_group != 0)
        {
            let part_of_it = |current: Option<MaintenanceRequest>| {
                edited(current.filter(|other| other.is_same_request(whole)))
            };
            if let Some(version) = change(operator, part, part_of_it)? {
                print_change(json, part, version, what);
            }
        }
    }
    match change(operator, number, edited)? {
        Some(version) => {
            print_change(json, number, version, what);
            Ok(())
        }
        None => Err(CommandError::Failed(format!("there is no request {number}, or it can't be changed so"))),
    }
}

/// What current in a register, by a whole round.
fn read(operator: &mut Operator, number: u8) -> Result<Option<MaintenanceRequest>, CommandError> {
    match operator.propose(&maintenance_register(number), Operation::Read)? {
        ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
            Ok(entry.and_then(|entry| MaintenanceRequest::from_bytes(&entry.value)))
        }
        ProposalOutcome::Unknown { .. } => {
            Err(CommandError::Failed("too few voters answered; look and ask again".to_owned()))
        }
    }
}

/// Settles what `next` makes of what current there, however often another comes first; none where it makes nothing.
fn change(
    operator: &mut Operator,
    number: u8,
    next: impl Fn(Option<MaintenanceRequest>) -> Option<MaintenanceRequest>,
) -> Result<Option<u64>, CommandError> {
    let name = maintenance_register(number);
    let mut wanted = Operation::Read;
    for _ in 0..MAX_TRIES {
        let reads = wanted == Operation::Read;
        let current: Option<Entry> = match operator.propose(&name, wanted)? {
            ProposalOutcome::Committed { entry, .. } if !reads => {
                return Ok(entry.map(|entry| entry.version.counter));
            }
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => entry,
            ProposalOutcome::Unknown { .. } => break,
        };
        let Some(value) =
            next(current.as_ref().and_then(|entry| MaintenanceRequest::from_bytes(&entry.value)))
        else {
            return Ok(None);
        };
        let (after, number) = current.map_or((None, 0), |entry| (Some(entry.version), entry.fencing_token));
        wanted = Operation::CompareAndSet { expected: after, fencing_token: number, value: value.to_bytes() };
    }
    Err(CommandError::Failed("too few voters answered, or others came first; look and ask again".to_owned()))
}

/// A maintenance request as the voters show it.
struct ShownRequest {
    number: u8,
    /// Epoch and counter of the register's entry.
    version: (u64, u64),
    request: MaintenanceRequest,
    /// Number of the first register that holds a part of it, if it is kept in several.
    part_of: Option<u8>,
    /// Why it does not go on, as the coordinator says.
    blocked: Option<String>,
}

fn list(operator: &mut Operator, fronts: &[String], json: bool) -> Result<(), CommandError> {
    let mut voters = operator.config.voters.clone();
    let mut has_answer = false;
    let mut first_parts: BTreeMap<u64, u8> = BTreeMap::new();
    for number in 0..MAX_REQUESTS as u8 {
        let Some(mut shown) = show_request(operator, number, &mut voters, &mut has_answer)? else { continue };
        let group = shown.request.extension.request_group;
        let first = *first_parts.entry(group).or_insert(number);
        shown.part_of = (group != 0).then_some(first);
        if json { shown.print_json(fronts) } else { shown.print_text() }
    }
    if has_answer {
        return Ok(());
    }
    Err(CommandError::Failed("no voter answered, or [fleet.works] is not in the file".to_owned()))
}

/// The latest version of a request that any voter shows. A voter that does not answer is not asked again.
fn show_request(
    operator: &mut Operator,
    number: u8,
    voters: &mut Vec<SocketAddr>,
    has_answer: &mut bool,
) -> Result<Option<ShownRequest>, CommandError> {
    let mut latest: Option<((u64, u64), MaintenanceRequest)> = None;
    let mut blocked = None;
    for voter in voters.clone() {
        let Some(Body::MaintenanceShown {
            stored: work, blocked_reason: why, is_coordinator: foreman, ..
        }) = operator.ask(voter, &Body::ShowMaintenance { request: number })?
        else {
            voters.retain(|other| *other != voter);
            continue;
        };
        *has_answer = true;
        if foreman {
            blocked = why;
        }
        let shown = work.and_then(|stored| {
            let version = (stored.version.epoch, stored.version.counter);
            Some((version, MaintenanceRequest::from_bytes(&stored.value)?))
        });
        if shown.as_ref().map(|(version, _)| *version) > latest.as_ref().map(|(version, _)| *version) {
            latest = shown;
        }
    }
    let shown = |(version, request)| ShownRequest { number, version, request, part_of: None, blocked };
    Ok(latest.map(shown))
}

impl ShownRequest {
    fn print_json(&self, fronts: &[String]) {
        let request = &self.request;
        let excluded: Vec<&String> = fronts.iter().filter(|front| request.excludes(fronts, front)).collect();
        let machines = request.machines.iter().map(
            |MachineStatus { machine, phase }| json!({"machine": format!("{machine:08x}"), "phase": phase}),
        );
        println!(
            "{}",
            json!({"request": self.number, "version": self.version.1, "who": request.requester,
                "urgency": request.urgency, "at_once": request.max_concurrent, "part_of": self.part_of,
                "held": request.on_hold, "over": request.is_over(), "waits": self.blocked,
                "without": excluded, "machines": machines.collect::<Vec<_>>()})
        );
    }

    fn print_text(&self) {
        let ShownRequest { number, request, .. } = self;
        let count =
            |matches: fn(&Phase) -> bool| request.machines.iter().filter(|one| matches(&one.phase)).count();
        println!(
            "request {number} of {}: {} machines, {} asked, {} out, {} over{}",
            request.requester,
            request.machines.len(),
            count(|phase| *phase == Phase::Pending),
            count(|phase| phase.is_unavailable()),
            count(|phase| phase.is_over()),
            if request.on_hold { "; held" } else { "" }
        );
        if let Some(first) = self.part_of.filter(|first| first != number) {
            println!("  part of request {first}");
        }
        for MachineStatus { machine, phase } in
            request.machines.iter().filter(|one| one.phase.is_unavailable())
        {
            println!("  {machine:08x} {phase}");
        }
        if let Some(blocked) = &self.blocked {
            println!("  waits: {blocked}");
        }
    }
}
