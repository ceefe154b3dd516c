//! `lemonusher plan` and `lemonusher site`: the failover plan, and operators' overrides of zones.

use super::operator::Operator;
use crate::error::CommandError;
use crate::inputs::read_inputs;
use lemonusher_fleet::{Body, ClassRow, ZoneRow};
use lemonusher_front::DeploymentNames;
use lemonusher_registers::{Entry, Operation, ProposalOutcome};
use lemonusher_zone_failover::OperatorOverride;
use serde_json::json;
use std::path::Path;

/// Share of a request class's demand, in thousandths; a class of which less is served is short of capacity.
const SERVED_WHOLE_PERMILLE: u16 = 995;
/// Maximum number of proposals for one override; a proposal fails if another change of the register came first.
const MAX_TRIES: usize = 6;

/// Operator override of a zone. The variants' names and doc comments are the command's values and help texts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum ZoneOverride {
    /// No override: the fleet decides by the reports of its fronts.
    Auto,
    /// Drained in steps, and kept out.
    Out,
    /// Drained in steps, but returned automatically if outcomes in other zones degrade.
    Drill,
    /// A lost zone is not probed, so it does not return before another override is set.
    HoldReturn,
    /// Returned at twice the usual pace.
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

fn zone_index(names: &DeploymentNames, name: &str) -> Result<u32, CommandError> {
    let known = names.zones.iter().position(|known| known == name);
    known.map(|at| at as u32).ok_or_else(|| {
        CommandError::Failed(format!("unknown site '{name}'; known sites: {}", names.zones.join(", ")))
    })
}

/// A failover plan as a voter shows it.
struct ShownPlan {
    /// Epoch and version; none if no plan is committed yet.
    epoch: Option<(u64, u64)>,
    zones: Vec<ZoneRow>,
    classes: Vec<ClassRow>,
    /// Indices of request classes, in the order in which they are refused.
    refused_first: Vec<u8>,
}

/// Prints the plan of the first voter that replies, or the plan as it would be without some zones.
pub fn plan(path: &Path, without: &[String], json: bool) -> Result<(), CommandError> {
    let names = read_inputs(path)?.names()?;
    let without =
        without.iter().map(|name| zone_index(&names, name)).collect::<Result<Vec<u32>, CommandError>>()?;
    let mut operator = Operator::connect(path)?;
    for voter in operator.config.voters.clone() {
        let shown = operator.ask(voter, &Body::ShowPlan { without: without.clone() })?;
        let Some(Body::PlanShown {
            version,
            zones: zone_rows,
            classes: class_rows,
            shed_order: refused_first,
        }) = shown
        else {
            continue;
        };
        // The command prints the version as two numbers, the epoch and the counter.
        let epoch = version.map(|version| (version.epoch, version.counter));
        let plan = ShownPlan { epoch, zones: zone_rows, classes: class_rows, refused_first };
        if json {
            plan.print_json(&names)
        } else {
            plan.print_text(&names)
        }
        return Ok(());
    }
    Err(CommandError::Failed(
        "no voter returned a plan; check that [fleet.sites] is in the file and that the voters run"
            .to_owned(),
    ))
}

/// The name at an index, or the index as text if there is no name.
fn name_at(names: &[String], index: usize) -> String {
    names.get(index).cloned().unwrap_or_else(|| index.to_string())
}

fn share(permille: u16) -> f64 {
    f64::from(permille) / 1000.0
}

impl ShownPlan {
    fn print_json(&self, names: &DeploymentNames) {
        let zones = self.zones.iter().enumerate().map(|(index, zone)| {
            json!({"site": name_at(&names.zones, index), "state": zone.state, "open": share(zone.open_permille),
                "found": zone.health, "cores": zone.cores, "answers": share(zone.answering_permille),
                "filled": share(zone.filled_permille)})
        });
        let classes = self.classes.iter().enumerate().map(|(index, class)| {
            json!({"group": name_at(&names.request_classes, index), "rate": class.requests_per_second, "work": class.work_seconds,
                "served": share(class.served_permille), "may_run_nowhere": class.is_unplaceable})
        });
        let order = self.refused_first.iter();
        let order = order.map(|index| name_at(&names.request_classes, usize::from(*index)));
        println!(
            "{}",
            json!({"epoch": self.epoch, "sites": zones.collect::<Vec<_>>(),
                "groups": classes.collect::<Vec<_>>(), "refused_first": order.collect::<Vec<_>>()})
        );
    }

    fn print_text(&self, names: &DeploymentNames) {
        match self.epoch {
            Some((epoch, version)) => println!("epoch {epoch}.{version}"),
            None => println!("no plan is settled yet"),
        }
        for (index, zone) in self.zones.iter().enumerate() {
            println!(
                "site {:<16} {}, {:.1} % open; looks {}, {} cores, {:.0} % answer; filled to {:.0} %",
                name_at(&names.zones, index),
                zone.state,
                share(zone.open_permille) * 100.0,
                zone.health.to_lowercase(),
                zone.cores,
                share(zone.answering_permille) * 100.0,
                share(zone.filled_permille) * 100.0
            );
        }
        for index in self.refused_first.iter().map(|index| usize::from(*index)) {
            let Some(class) = self.classes.get(index) else { continue };
            let nowhere = if class.is_unplaceable { "; it may run nowhere that is left" } else { "" };
            println!(
                "group {:<15} {:.1} a second of {:.2} s work, {:.1} % served{nowhere}",
                name_at(&names.request_classes, index),
                class.requests_per_second,
                class.work_seconds,
                share(class.served_permille) * 100.0
            );
        }
        println!("(groups in the order in which they are refused)");
        let is_short = |class: &ClassRow| {
            class.served_permille < SERVED_WHOLE_PERMILLE && class.requests_per_second > 0.0
        };
        if self.classes.iter().any(is_short) {
            println!("warning: what is left can't carry all");
        }
    }
}

/// Commits an override of a zone in the register of overrides, which the coordinator reads.
pub fn override_zone(
    path: &Path,
    zone: &str,
    requested: ZoneOverride,
    json: bool,
) -> Result<(), CommandError> {
    let index = zone_index(&read_inputs(path)?.names()?, zone)? as usize;
    let mut operator = Operator::connect(path)?;
    let mut overrides = Vec::new();
    let mut operation = Operation::Read;
    for _ in 0..MAX_TRIES {
        match operator.propose(lemonusher_fleet::OVERRIDES_REGISTER, operation)? {
            ProposalOutcome::Committed { entry: Some(entry), .. }
                if !overrides.is_empty() && lemonusher_fleet::decode_overrides(&entry.value) == overrides =>
            {
                let version = entry.version.counter;
                if json {
                    println!("{}", json!({"site": zone, "version": version}));
                } else {
                    println!("{zone}: {requested:?} is settled, version {version}");
                }
                return Ok(());
            }
            ProposalOutcome::Committed { entry, .. } | ProposalOutcome::Conflict { entry, .. } => {
                overrides = with_override(entry.as_ref(), index, operator_override(requested));
                let (expected, fencing_token) =
                    entry.map_or((None, 0), |entry| (Some(entry.version), entry.fencing_token));
                let value = lemonusher_fleet::encode_overrides(&overrides);
                operation = Operation::CompareAndSet { expected, fencing_token, value };
            }
            ProposalOutcome::Unknown { .. } => break,
        }
    }
    Err(CommandError::Failed(
        "too few voters answered, or other changes came first; the outcome is unknown, try again".to_owned(),
    ))
}

/// The overrides in a register's entry, with the one of a zone replaced.
fn with_override(entry: Option<&Entry>, index: usize, requested: OperatorOverride) -> Vec<OperatorOverride> {
    let mut overrides =
        entry.map(|entry| lemonusher_fleet::decode_overrides(&entry.value)).unwrap_or_default();
    overrides.resize(overrides.len().max(index + 1), OperatorOverride::Auto);
    overrides[index] = requested;
    overrides
}
