//! Follows the command channel: the list of the start, then its changes, over a connection that is made
//! anew whenever it fails.

use super::shared::Shared;
use crate::protocol::channel::{self, LONGEST_FRAME, Member, News, State};
use crate::transport::{self, Bounds, Room, within};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};
use lemonusher::{EndpointUpdateKind, EngineState};
use lemonusher_routing::{Endpoint, RouterEvent};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

// A frame comes each second, if only an empty one. What the channel would have told counts as told four
// seconds after it fell silent, and two after it broke off: by then it has been asked again, more than once.
const SILENCE: Duration = Duration::from_millis(1800);
const FIRST_WAIT: Duration = Duration::from_millis(50);
const LONGEST_WAIT: Duration = Duration::from_millis(200);
/// Engines left out that are told in the log, each once; further ones are left out untold.
const MOST_TOLD: usize = 4096;

struct Follower {
    shared: Rc<Shared>,
    last: u64,
    left_out: BTreeSet<u32>,
}

/// Follows the channel at the latest of these addresses, on from the last event that it has told.
pub async fn run(shared: Rc<Shared>, addresses: Receiver<SocketAddr>, known: (u64, Vec<News>)) {
    let mut follower = Follower { shared, last: known.0, left_out: BTreeSet::new() };
    for news in known.1 {
        follower.tell(news, EndpointUpdateKind::Restored).await;
    }
    let (mut address, mut wait) = (None, FIRST_WAIT);
    loop {
        // What stands here may be dropped at any point where it waits.
        let stay = async {
            let Some(address) = address else { return std::future::pending().await };
            let error = follower.follow(address, &mut wait).await;
            // Once a loss; while it lasts, each try only at debug.
            let level = if wait == FIRST_WAIT { log::Level::Warn } else { log::Level::Debug };
            log::log!(level, "command channel: {error}; asking again from event {} on", follower.last);
            Timer::after(wait.mul_f64(0.5 + fastrand::f64())).await;
            wait = (wait * 2).min(LONGEST_WAIT);
            Some(address)
        };
        let moves = async {
            match addresses.recv().await {
                Ok(address) => Some(address),
                Err(_) => std::future::pending().await, // The front ends.
            }
        };
        let next = moves.or(stay).await;
        if next != address {
            (address, wait) = (next, FIRST_WAIT);
        }
    }
}

impl Follower {
    /// Follows one connection until it fails, and says why.
    async fn follow(&mut self, address: SocketAddr, wait: &mut Duration) -> String {
        let limit = self.shared.connect_timeout * 2;
        let wire = match transport::connect(address, limit).await {
            Ok(wire) => wire,
            Err(error) => return error.to_string(),
        };
        let hello = channel::hello(self.last);
        match within(limit, (&*wire).write_all(&hello)).await {
            Some(Ok(())) => {}
            Some(Err(error)) => return error.to_string(),
            None => return "takes nothing".to_owned(),
        }
        let bounds = Bounds { bytes: LONGEST_FRAME, time: SILENCE, room: Room::new(LONGEST_FRAME * 2) };
        let mut frames = transport::messages(wire, bounds, channel::cut);
        loop {
            let Some(next) = within(SILENCE, frames.next()).await else { return "fell silent".to_owned() };
            let Some(frame) = next else { return "closed".to_owned() };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return error.to_string(),
            };
            *wait = FIRST_WAIT;
            let whole = matches!(frame.news, News::All(_));
            if frame.news == News::Nothing || frame.number <= self.last {
                continue;
            }
            if frame.number > self.last + 1 && !whole {
                return format!("event {} came after {}", frame.number, self.last);
            }
            self.tell(frame.news, EndpointUpdateKind::Full).await;
            self.last = frame.number; // Only now: this may be dropped while it waits.
        }
    }

    async fn tell(&mut self, news: News, whole: EndpointUpdateKind) {
        let (kind, members) = match news {
            News::Nothing => return,
            News::All(members) => (whole, members),
            News::Changes(members) => (EndpointUpdateKind::Delta, members),
        };
        let listed = members.into_iter().filter_map(|member| self.listed(member)).collect();
        let _ = self.shared.queue.send(RouterEvent::Endpoints(kind, listed)).await;
    }

    /// An engine whose place or kind the deployment does not state is left out.
    fn listed(&mut self, member: Member) -> Option<Endpoint> {
        let settled = &self.shared.settled;
        let place = |number: Option<u32>, names: &[String]| number.filter(|n| (*n as usize) < names.len());
        let places = place(member.zone, &settled.zones).zip(place(member.kind, &settled.machine_kinds));
        let Some((location, kind)) = places else {
            if self.left_out.len() < MOST_TOLD && self.left_out.insert(member.id) {
                log::warn!("engine {:08x} is left out: unknown location or kind", member.id);
            }
            return None;
        };
        Some(Endpoint {
            engine: member.id,
            address: member.address,
            zone: location,
            machine_kind: kind,
            cell: member.cell,
            state: match member.state {
                State::Ready => EngineState::Active,
                State::Draining => EngineState::Draining,
                State::Gone => EngineState::Removed,
            },
            // Option's order is the right one: no date is long ago.
            started_at: (member.started_ms > 0)
                .then(|| Duration::from_millis(member.started_ms))
                .max(self.shared.cold_since),
        })
    }
}
