//! Hosts gateways for the bench: frames in on standard input, replies out on standard output. Each
//! instance has a gateway of its own; this program only translates.

mod translate;
#[allow(non_camel_case_types, clippy::upper_case_acronyms)]
mod wire;

use lemonusher::{Action, EndpointUpdateKind, Event, Gateway};
use lemonusher_deployment::deployment;
use serde::de::IgnoredAny;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::time::Duration;
use translate::Reading;
use wire::{Cmd, Entry, Frame, KNOWN, Mode, Msg, Reply};

struct Instance {
    gateway: Gateway,
    reading: Reading,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u32, Instance>,
    rosters: BTreeMap<u32, Vec<Entry>>,
    heard: BTreeSet<u32>,
    crashes: Vec<Cmd>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lemonusher-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut line = String::new();
    for count in 1u64.. {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("batch {count}: cannot read: {e}"))? == 0 {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let frame: Frame = serde_json::from_str(&line).map_err(|e| format!("batch {count}: {e}"))?;
        let reply = host.play(&frame)?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("cannot write: {e}"))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

impl Host {
    fn play(&mut self, frame: &Frame) -> Result<Reply, String> {
        let now = Duration::from_micros(frame.now_us);
        for raw in &frame.msgs {
            match serde_json::from_str::<Msg>(raw.get()) {
                Ok(msg) => self.hear(now, msg),
                Err(error) => match unknown(raw.get()) {
                    Some(name) => eprintln!("batch {}: unknown event {name} ignored", frame.serial),
                    None => {
                        return Err(format!("batch {}: event {}: {error}", frame.serial, head(raw.get())));
                    }
                },
            }
        }
        let mut cmds = std::mem::take(&mut self.crashes);
        for front in std::mem::take(&mut self.heard) {
            let Some(instance) = self.instances.get_mut(&front) else { continue };
            match catch_unwind(AssertUnwindSafe(|| instance.gateway.decide(now))) {
                Ok(actions) => cmds.extend(actions.into_iter().map(|a: Action| translate::command(front, a))),
                Err(panic) => cmds.push(crash(front, panic)),
            }
        }
        Ok(Reply { serial: frame.serial, cmds })
    }

    fn hear(&mut self, now: Duration, msg: Msg) {
        match msg {
            Msg::POWER_ON { front_id, rng_seed, settings } => {
                let gateway = Gateway::new(deployment(&settings), rng_seed);
                self.instances.insert(front_id, Instance { gateway, reading: Reading::of(&settings) });
                self.heard.insert(front_id);
            }
            Msg::RETIRE { front_id } => {
                if self.instances.remove(&front_id).is_none() {
                    eprintln!("RETIRE for instance {front_id}, which is not on: ignored");
                }
            }
            Msg::MANIFEST { roster_id, entries } => {
                self.rosters.insert(roster_id, entries);
            }
            Msg::PEERS_KNOWN { front_id, roster_id, mode } => {
                let kind = match mode {
                    Mode::Update => EndpointUpdateKind::Delta,
                    Mode::Replace => EndpointUpdateKind::Full,
                    Mode::Restored => EndpointUpdateKind::Restored,
                    Mode::Unavailable => {
                        return self.tell(now, front_id, |_| Some(Event::DiscoveryUnavailable));
                    }
                };
                let Some(list) = self.rosters.get(&roster_id) else {
                    eprintln!("list {roster_id} for instance {front_id} is not known: ignored");
                    return;
                };
                let entries = list.iter().map(translate::entry).collect();
                self.tell(now, front_id, |_| Some(Event::Endpoints(kind, entries)));
            }
            Msg::INGRESS(ingress) => {
                self.tell(now, ingress.front_id, |_| Some(translate::arrival(ingress)));
            }
            Msg::BEGUN { front_id, call } => {
                self.tell(now, front_id, |_| Some(Event::ResponseStarted(call.into())))
            }
            Msg::PROGRESS { front_id, call, n, engine, what, level } => self.tell(now, front_id, |_| {
                let note = translate::note(what, level)?;
                Some(Event::Progress { request: call.into(), attempt: n, engine, progress: note })
            }),
            Msg::REPLY(ended) => {
                self.tell(now, ended.front_id, |reading| Some(reading.ending(ended)));
            }
            Msg::CLIENT_LEFT { front_id, call } => {
                self.tell(now, front_id, |_| Some(Event::ClientGone(call.into())));
            }
            Msg::RING { front_id } => self.tell(now, front_id, |_| Some(Event::TimerFired)),
            Msg::HEALTH { front_id, cost_time_us, code, engine, gauge } => {
                self.tell(now, front_id, |reading| {
                    let answered = code == wire::Code::Done;
                    let after = Duration::from_micros(cost_time_us);
                    Some(Event::ProbeEnded { engine, answered, elapsed: after, load: reading.gauge(gauge) })
                })
            }
            Msg::PEER_DATA { front_id, sender, data } => {
                self.tell(now, front_id, |_| Some(Event::PeerMessage { from: sender, data }));
            }
        }
    }

    fn tell(&mut self, now: Duration, front: u32, event: impl FnOnce(&Reading) -> Option<Event>) {
        let Some(instance) = self.instances.get_mut(&front) else {
            eprintln!("event for instance {front}, which is not on: ignored");
            return;
        };
        self.heard.insert(front);
        let Some(event) = event(&instance.reading) else { return };
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| instance.gateway.handle_event(now, event))) {
            self.crashes.push(crash(front, panic));
        }
    }
}

fn crash(front_id: u32, panic: Box<dyn std::any::Any + Send>) -> Cmd {
    let line = (panic.downcast_ref::<&str>().map(|s| s.to_string()))
        .or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "panic".to_owned());
    Cmd::CRASH { front_id, line }
}

/// The event's name, if it is one this program does not know.
fn unknown(raw: &str) -> Option<String> {
    let named: BTreeMap<String, IgnoredAny> = serde_json::from_str(raw).ok()?;
    let name = named.into_keys().next()?;
    (!KNOWN.contains(&name.as_str())).then_some(name)
}

fn head(raw: &str) -> &str {
    raw.char_indices().nth(60).map_or(raw, |(end, _)| &raw[..end])
}
