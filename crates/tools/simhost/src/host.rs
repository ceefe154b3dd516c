//! The fronts of a simulation, each with its own gateway.

use crate::translate::{self, ReportReader};
use crate::wire::{
    AttemptCode, Command, EndpointEntry, Frame, KNOWN_EVENTS, ListMode, Reply, SimulatorEvent,
};
use lemonusher::{EndpointUpdateKind, Event, Gateway};
use lemonusher_deployment::{Settings, deployment};
use serde::de::IgnoredAny;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// Maximum number of characters of a malformed event that an error message quotes.
const MAX_QUOTED_CHARS: usize = 60;

struct Front {
    gateway: Gateway,
    reports: ReportReader,
}

/// All fronts, and the endpoint lists that the simulator has defined.
#[derive(Default)]
pub struct Host {
    fronts: BTreeMap<u32, Front>,
    endpoint_lists: BTreeMap<u32, Vec<EndpointEntry>>,
    /// Fronts that were started or received an event in the current frame, and decide at its end.
    to_decide: BTreeSet<u32>,
    crashes: Vec<Command>,
}

impl Host {
    /// Handles all events of a frame, then lets each front that was started or received one decide. Fails on a
    /// malformed event. An event with an unknown name is reported on standard error and ignored.
    pub fn handle_frame(&mut self, frame: &Frame) -> Result<Reply, String> {
        let now = Duration::from_micros(frame.now_us);
        for raw in &frame.events {
            match serde_json::from_str::<SimulatorEvent>(raw.get()) {
                Ok(event) => self.handle_event(now, event),
                Err(error) => match unknown_event(raw.get()) {
                    Some(name) => eprintln!("frame {}: unknown event {name} ignored", frame.serial),
                    None => {
                        let quoted = quote(raw.get());
                        return Err(format!("frame {}: malformed event {quoted}: {error}", frame.serial));
                    }
                },
            }
        }
        let mut commands = std::mem::take(&mut self.crashes);
        for number in std::mem::take(&mut self.to_decide) {
            let Some(front) = self.fronts.get_mut(&number) else { continue };
            match catch_unwind(AssertUnwindSafe(|| front.gateway.decide(now))) {
                Ok(actions) => {
                    commands.extend(actions.into_iter().map(|action| translate::command(number, action)));
                }
                Err(panic) => commands.push(crash(number, panic)),
            }
        }
        Ok(Reply { serial: frame.serial, commands })
    }

    fn handle_event(&mut self, now: Duration, event: SimulatorEvent) {
        match event {
            SimulatorEvent::FrontStarted { front, seed, settings } => {
                self.start_front(front, seed, &settings);
            }
            SimulatorEvent::FrontRetired { front } => {
                if self.fronts.remove(&front).is_none() {
                    eprintln!("RETIRE for front {front}, which is not running: ignored");
                }
            }
            SimulatorEvent::EndpointList { list, entries } => {
                self.endpoint_lists.insert(list, entries);
            }
            SimulatorEvent::EndpointsShown { front, list, mode } => {
                self.show_endpoints(now, front, list, mode);
            }
            SimulatorEvent::RequestArrived(arrived) => {
                self.deliver(now, arrived.front, |_| Some(translate::arrival(arrived)));
            }
            SimulatorEvent::ResponseStarted { front, request } => {
                self.deliver(now, front, |_| Some(Event::ResponseStarted(request.into())));
            }
            SimulatorEvent::Progress { front, request, attempt, engine, what, level } => {
                self.deliver(now, front, |_| {
                    let progress = translate::progress(what, level)?;
                    Some(Event::Progress { request: request.into(), attempt, engine, progress })
                });
            }
            SimulatorEvent::AttemptEnded(ended) => {
                self.deliver(now, ended.front, |reports| Some(reports.attempt_ended(ended)));
            }
            SimulatorEvent::ClientGone { front, request } => {
                self.deliver(now, front, |_| Some(Event::ClientDisconnected(request.into())));
            }
            SimulatorEvent::TimerFired { front } => {
                self.deliver(now, front, |_| Some(Event::TimerFired));
            }
            SimulatorEvent::ProbeEnded { front, elapsed_us, outcome, engine, load } => {
                let answered = outcome == AttemptCode::Returned;
                let elapsed = Duration::from_micros(elapsed_us);
                self.deliver(now, front, |reports| {
                    Some(Event::ProbeEnded { engine, answered, elapsed, load: reports.load(load) })
                });
            }
            SimulatorEvent::PeerMessage { front, from, data } => {
                self.deliver(now, front, |_| Some(Event::PeerMessage { from, data }));
            }
        }
    }

    fn start_front(&mut self, front: u32, seed: u64, settings: &Settings) {
        let gateway = Gateway::new(deployment(settings), seed);
        self.fronts.insert(front, Front { gateway, reports: ReportReader::new(settings) });
        self.to_decide.insert(front);
    }

    fn show_endpoints(&mut self, now: Duration, front: u32, list: u32, mode: ListMode) {
        let kind = match mode {
            ListMode::Delta => EndpointUpdateKind::Delta,
            ListMode::Full => EndpointUpdateKind::Full,
            ListMode::Restored => EndpointUpdateKind::Restored,
            ListMode::Unavailable => {
                return self.deliver(now, front, |_| Some(Event::DiscoveryUnavailable));
            }
        };
        let Some(entries) = self.endpoint_lists.get(&list) else {
            eprintln!("unknown endpoint list {list} for front {front}: ignored");
            return;
        };
        let entries = entries.iter().map(translate::engine_entry).collect();
        self.deliver(now, front, |_| Some(Event::Endpoints(kind, entries)));
    }

    /// Delivers an event to a front. `event` builds it with the front's report reader. If it returns `None`, nothing is
    /// delivered, but the front decides at the end of the frame nevertheless.
    fn deliver(&mut self, now: Duration, front: u32, event: impl FnOnce(&ReportReader) -> Option<Event>) {
        let Some(running) = self.fronts.get_mut(&front) else {
            eprintln!("event for front {front}, which is not running: ignored");
            return;
        };
        self.to_decide.insert(front);
        let Some(event) = event(&running.reports) else { return };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| running.gateway.handle_event(now, event))) {
            self.crashes.push(crash(front, panic));
        }
    }
}

fn crash(front: u32, panic: Box<dyn Any + Send>) -> Command {
    let message = (panic.downcast_ref::<&str>().map(|text| text.to_string()))
        .or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".to_owned());
    Command::Crash { front, message }
}

/// The event's name, if this program does not know it.
fn unknown_event(raw: &str) -> Option<String> {
    let fields: BTreeMap<String, IgnoredAny> = serde_json::from_str(raw).ok()?;
    let name = fields.into_keys().next()?;
    (!KNOWN_EVENTS.contains(&name.as_str())).then_some(name)
}

fn quote(raw: &str) -> &str {
    raw.char_indices().nth(MAX_QUOTED_CHARS).map_or(raw, |(end, _)| &raw[..end])
}
