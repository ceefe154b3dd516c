use super::*;
use crate::program::test_support;
use crate::transport::{Socket, has_unread};
use async_channel::{Receiver, Sender};
use async_io::Async;
use lemonusher::{EndpointUpdateKind, EngineState, RequestId};
use lemonusher_deployment::deployment;
use lemonusher_fakes::{Engine, EngineMessage, delta_frame};
use lemonusher_routing::{
    Clock, ControlUpdate, Endpoint, IncomingRequest, Limits, QuotaShare, RequestRouter, Response,
    ResponseSink,
};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const ENGINE: EngineId = 1;
const QUIET: Duration = Duration::from_millis(200);

/// A client that waits for its responses.
struct Client {
    responses: Sender<Response>,
}

impl ResponseSink for Client {
    fn respond(&self, _ticket: u64, response: Response) {
        self.responses.try_send(response).unwrap();
    }

    fn is_waiting(self: Rc<Self>, _ticket: u64) -> bool {
        true
    }
}

fn incoming(sink: Rc<Client>, ticket: u64) -> RouterEvent {
    RouterEvent::Request(IncomingRequest {
        sink,
        ticket,
        request: RequestId::from(format!("{ticket:016x}")),
        request_class: 0,
        table_group: 0,
        client_timeout: Duration::from_secs(5),
        client_retry: false,
        statement: Rc::from(*b"x"),
    })
}

/// The router and the engine driver of a front, whose other tasks do not run.
struct RunningFront {
    shared: Rc<Shared>,
    events: Sender<RouterEvent>,
    client: Rc<Client>,
    responses: Receiver<Response>,
}

impl RunningFront {
    fn start() -> RunningFront {
        let (events, received_events) = async_channel::unbounded();
        let (commands, received_commands) = async_channel::unbounded();
        let (responses, received_responses) = async_channel::unbounded();
        let shared = test_support::stalled(events.clone());
        let limits =
            Limits { max_requests: 8, max_statement_bytes: 1024, probe_timeout: Duration::from_secs(1) };
        let deployment = deployment(&shared.settings);
        let clock = Clock::with_history(deployment.tick);
        let router = RequestRouter::new(deployment, 1, clock, limits, commands, shared.counters.clone());
        shared.executor.spawn(router.run(received_events)).detach();
        shared.executor.spawn(run(shared.clone(), received_commands)).detach();
        RunningFront { shared, events, client: Rc::new(Client { responses }), responses: received_responses }
    }

    /// Runs the front's tasks until the future has ended.
    fn run_until(&self, future: impl Future<Output = ()>) {
        async_io::block_on(self.shared.executor.run(future));
    }

    /// Tells the router of the engine.
    async fn add_engine(&self, engine: &Engine, started_at: Option<Duration>) {
        let endpoint = Endpoint {
            engine: ENGINE,
            address: engine.address,
            zone: 0,
            machine_kind: 0,
            cell: 0,
            state: EngineState::Active,
            started_at,
        };
        let update = RouterEvent::Endpoints(EndpointUpdateKind::Restored, vec![endpoint]);
        self.events.send(update).await.unwrap();
    }

    async fn send_request(&self, ticket: u64) {
        self.events.send(incoming(self.client.clone(), ticket)).await.unwrap();
    }
}

/// Both sides of a discovery channel. The front's side is read only when the engine driver asks for it.
struct Channel {
    server: TcpStream,
    socket: Socket,
}

fn connect_channel() -> Channel {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    Channel { server: listener.accept().unwrap().0, socket: Socket::new(Async::new(socket).unwrap()) }
}

/// Guards against an attempt to an engine whose drain has arrived unread: the router and the engine driver run, the task
/// that reads the discovery channel does not, as in one order of the tasks after a stand-still.
#[test]
fn attempt_is_not_written_to_an_engine_whose_drain_is_unread() {
    let engine = Engine::start();
    let front = RunningFront::start();
    let mut channel = connect_channel();
    let reader = front.shared.discovery.attach(channel.socket.clone(), 0);
    front.run_until(async {
        channel.server.write_all(&delta_frame(1, &[(ENGINE, engine.address, 0)])).unwrap();
        let _ = reader.next_update().await;
        front.add_engine(&engine, None).await;
        front.send_request(1).await;
        next_attempt(&engine).await.respond("HIT", "fetches=1", b"a\tb\tc\n");
        assert!(matches!(front.responses.recv().await, Ok(Response::Returned(_))));

        channel.server.write_all(&delta_frame(2, &[(ENGINE, engine.address, 1)])).unwrap();
        while !has_unread(&channel.socket) {
            futures_lite::future::yield_now().await;
        }
        // What was read last counts as current for a moment.
        Timer::after(Duration::from_millis(50)).await;
        front.send_request(2).await;
        Timer::after(QUIET).await;
        assert!(engine.is_quiet(Duration::ZERO), "an attempt was written");
    });
}

/// Guards against a front that uses its share of the quota past the end of its lease, because after a stand-still the
/// router decides before the fleet has told it so.
#[test]
fn share_of_the_quota_is_not_used_past_its_lease() {
    for is_expired in [false, true] {
        let engine = Engine::start();
        let front = RunningFront::start();
        let mut channel = connect_channel();
        let reader = front.shared.discovery.attach(channel.socket.clone(), 0);
        front.run_until(async {
            channel.server.write_all(&delta_frame(1, &[(ENGINE, engine.address, 0)])).unwrap();
            let _ = reader.next_update().await;
            let valid_until =
                Instant::now() + if is_expired { Duration::ZERO } else { Duration::from_secs(60) };
            let quota = QuotaShare { share: 1.0, valid_until: Some(valid_until) };
            let update = RouterEvent::Control(ControlUpdate::SlowStartQuota(quota));
            front.events.send(update).await.unwrap();
            // The engine has just started.
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
            front.add_engine(&engine, Some(now)).await;
            front.send_request(1).await;
            Timer::after(QUIET).await;
            let attempt = engine.try_next_request(Duration::ZERO);
            assert_eq!(attempt.is_some(), !is_expired, "expired: {is_expired}");
        });
    }
}

/// Waits for the engine's next attempt while the front's tasks run.
async fn next_attempt(engine: &Engine) -> EngineMessage {
    loop {
        if let Some(message) = engine.try_next_request(Duration::ZERO) {
            return message;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
}
