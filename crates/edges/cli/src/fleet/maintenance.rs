//! `lemonusher works`: maintenance requests. Each is stored in a register, which the commands change by the
//! same protocol as fronts do. A request of many machines is split over several registers.

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

/// Maximum number of proposals for one change, including the read before the first change; a proposal fails if
/// another change of the register came first.
const MAX_TRIES: usize = 8;

#[derive(clap::Subcommand)]
pub enum MaintenanceCommand {
    /// Requests that machines are taken out of service. They are named by their engine ids in hex.
    Ask {
        #[arg(required = true)]
        machines: Vec<String>,
        #[arg(long, default_value = "operator")]
        who: String,
        /// Maximum number of these machines that are out at once.
        #[arg(long, default_value_t = 1)]
        at_once: u16,
        /// Longest time that a machine may be out, in seconds; one that is out for longer stops the queue.
        #[arg(long, default_value_t = 3600)]
        out_for: u32,
        /// Requests of a higher urgency are served first.
        #[arg(long, default_value_t = 1)]
        urgency: u8,
    },
    /// Lists all requests, the state of their machines, and the reasons why they wait.
    List,
    /// Suspends a request: no further machine of it is drained.
    Hold { number: u8 },
    /// Resumes a suspended request.
    GoOn { number: u8 },
    /// Withdraws a request for the machines that have not been released.
    Withdraw { number: u8 },
    /// Reports that the work on a machine is done and that it has returned.
    Back { machine: String },
    /// Stops waiting for the confirmations of a front that is known to be dead and will not return before the
    /// request is over.
    Without { number: u8, front: String },
}

fn parse_machine(text: &str) -> Result<Machine, CommandError> {
    let hex = text.strip_prefix("s-").unwrap_or(text);
    Machine::from_str_radix(hex, 16)
        .map_err(|_| CommandError::Failed(format!("'{text}' is not an engine id in hex")))
}

/// Executes a command on maintenance requests.
pub fn run(path: &Path, command: MaintenanceCommand, json: bool) -> Result<(), CommandError> {
    let mut operator = Operator::connect(path)?;
    match command {
        MaintenanceCommand::Ask { machines, who, at_once, out_for, urgency } => {
            let machines = machines.iter().map(|text| parse_machine(text)).collect::<Result<Vec<_>, _>>()?;
            check_bounds(&machines, &who, at_once)?;
            let request = MaintenanceRequest::new(&who, urgency, at_once, out_for, &machines);
            submit(&mut operator, &request, json)
        }
        MaintenanceCommand::List => list(&mut operator, &required_fronts(path).unwrap_or_default(), json),
        MaintenanceCommand::Hold { number } => edit(&mut operator, number, json, "is held", |request| {
            request.on_hold = true;
            true
        }),
        MaintenanceCommand::GoOn { number } => edit(&mut operator, number, json, "goes on", |request| {
            request.on_hold = false;
            true
        }),
        MaintenanceCommand::Withdraw { number } => {
            edit(&mut operator, number, json, "is withdrawn", |request| {
                request.withdraw();
                true
            })
        }
        MaintenanceCommand::Without { number, front } => {
            let fronts = required_fronts(path)?;
            edit(&mut operator, number, json, "does not wait for it", |request| {
                request.extension.dead_fronts.add(&fronts, &front)
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
        "one request names {max_machines} machines at most, --at-once is {MAX_CONCURRENT} at most, and --who has \
         {MAX_NAME_BYTES} bytes at most"
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
    Err(CommandError::Failed(format!("{machine:08x} is not released, so nobody expects it back")))
}

fn print_change(json: bool, number: u8, version: u64, what: &str) {
    if json {
        println!("{}", json!({"request": number, "version": version}));
    } else {
        println!("request {number} {what}, version {version}");
    }
}

/// Names of the fronts whose drain confirmations are required, from the operator's file.
fn required_fronts(path: &Path) -> Result<Vec<String>, CommandError> {
    let section = read_file(path)?.fleet.and_then(|fleet| fleet.maintenance);
    let section = section.ok_or_else(|| {
        CommandError::File(vec![format!("{}: the section [fleet.works] is missing", path.display())])
    })?;
    Ok(section.into_inner().required_fronts)
}

/// Stores a request, split over as many registers as it needs. If it needs several and fewer are free, nothing is
/// stored.
fn submit(operator: &mut Operator, request: &MaintenanceRequest, json: bool) -> Result<(), CommandError> {
    let mut parts = request.split(rand::random());
    let free =
        |current: &Option<MaintenanceRequest>| current.as_ref().is_none_or(MaintenanceRequest::is_over);
    if parts.len() > 1 {
        let mut free_registers = 0;
        for number in 0..MAX_REQUESTS as u8 {
            free_registers += usize::from(free(&read(operator, number)?));
        }
        if free_registers < parts.len() {
            return Err(CommandError::Failed(format!(
                "{free_registers} of {MAX_REQUESTS} registers for {MAX_MACHINES} machines each are free, and this request needs {}; \
                 try again when another request is over",
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
    Err(CommandError::Failed(format!("{MAX_REQUESTS} requests are under way; try again when one is over")))
}

/// Edits a request in all registers that hold parts of it.
fn edit(
    operator: &mut Operator,
    number: u8,
    json: bool,
    what: &str,
    edit: impl Fn(&mut MaintenanceRequest) -> bool,
) -> Result<(), CommandError> {
    let edited = |current: Option<MaintenanceRequest>| {
        current.and_then(|mut request| edit(&mut request).then_some(request))
    };
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
        None => Err(CommandError::Failed(format!(
            "there is no request {number}, or this change does not apply to it"
        ))),
    }
}

/// Reads the committed maintenance request of a register with a full round of the consensus protocol.
fn read(operator: &mut Operator, number: u8) -> Result<Option<MaintenanceRequest>, CommandError> {
    match operator.propose(&maintenance_register(number), Operation::Read)? {
        ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
            Ok(entry.and_then(|entry| MaintenanceRequest::from_bytes(&entry.value)))
        }
        ProposalOutcome::Unknown { .. } => {
            Err(CommandError::Failed("too few voters answered; the state is unknown, try again".to_owned()))
        }
    }
}

/// Commits the result of `next`, which is applied to the current value of a register, and returns the version.
/// Retries up to [`MAX_TRIES`] proposals if other changes come first. Returns none if `next` returns none.
fn change(
    operator: &mut Operator,
    number: u8,
    next: impl Fn(Option<MaintenanceRequest>) -> Option<MaintenanceRequest>,
) -> Result<Option<u64>, CommandError> {
    let name = maintenance_register(number);
    let mut operation = Operation::Read;
    for _ in 0..MAX_TRIES {
        let is_read = operation == Operation::Read;
        let current: Option<Entry> = match operator.propose(&name, operation)? {
            ProposalOutcome::Committed { entry, .. } if !is_read => {
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
        let (read_version, token) =
            current.map_or((None, 0), |entry| (Some(entry.version), entry.fencing_token));
        operation = Operation::CompareAndSet {
            expected: read_version,
            fencing_token: token,
            value: value.to_bytes(),
        };
    }
    Err(CommandError::Failed(
        "too few voters answered, or other changes came first; check the outcome with `list` and try again"
            .to_owned(),
    ))
}

/// A maintenance request as the voters show it.
struct ShownRequest {
    number: u8,
    /// Version of the register's entry: epoch and counter.
    version: (u64, u64),
    request: MaintenanceRequest,
    /// Number of the first register that holds a part of the request, if it is stored in several.
    part_of: Option<u8>,
    /// The coordinator's reason why the request waits; none if it does not wait or the coordinator did not reply.
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
    Err(CommandError::Failed("no voter replied, or [fleet.works] is not in the file".to_owned()))
}

/// The latest version of a request that any voter shows. A voter that does not reply is removed from `voters`.
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
            stored: entry,
            blocked_reason: reason,
            is_coordinator: from_coordinator,
            ..
        }) = operator.ask(voter, &Body::ShowMaintenance { request: number })?
        else {
            voters.retain(|other| *other != voter);
            continue;
        };
        *has_answer = true;
        if from_coordinator {
            blocked = reason;
        }
        let shown = entry.and_then(|stored| {
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
