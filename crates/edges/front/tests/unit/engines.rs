use super::*;
use crate::program::test_support;
use crate::transport::{Socket, has_unread};
use async_channel::Sender;
use async_io::Async;
use lemonusher::{EndpointUpdateKind, EngineState, RequestId};
use lemonusher_deployment::deployment;
use lemonusher_fakes::{Engine, delta_frame};
use lemonusher_routing::{Clock, Endpoint, IncomingRequest, Limits, RequestRouter, Response, ResponseSink};
use std::io::Write;
use std::net::{TcpListener, TcpStream};

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

/// Guards against an attempt to an engine whose drain has arrived unread: the router and the engine driver run, the task
/// that reads the discovery channel does not, as in one order of the tasks after a stand-still.
#[test]
fn attempt_is_not_written_to_an_engine_whose_drain_is_unread() {
    let engine = Engine::start();
    let (events, received_events) = async_channel::unbounded();
    let (commands, received_commands) = async_channel::unbounded();
    let (responses, received_responses) = async_channel::unbounded();
    let client = Rc::new(Client { responses });
    let shared = test_support::stalled(events.clone());
    let limits = Limits { max_requests: 8, max_statement_bytes: 1024, probe_timeout: Duration::from_secs(1) };
    let deployment = deployment(&shared.settings);
    let clock = Clock::with_history(deployment.tick);
    let router = RequestRouter::new(deployment, 1, clock, limits, commands, shared.counters.clone());
    let executor = shared.executor.clone();
    executor.spawn(router.run(received_events)).detach();
    executor.spawn(run(shared.clone(), received_commands)).detach();

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = Async::new(TcpStream::connect(listener.local_addr().unwrap()).unwrap()).unwrap();
    let (mut channel, socket) = (listener.accept().unwrap().0, Socket::new(socket));
    let reader = shared.discovery.attach(socket.clone(), 0);
    async_io::block_on(executor.run(async {
        channel.write_all(&delta_frame(1, &[(ENGINE, engine.address, 0)])).unwrap();
        let _ = reader.next_update().await;
        let endpoint = Endpoint {
            engine: ENGINE,
            address: engine.address,
            zone: 0,
            machine_kind: 0,
            cell: 0,
            state: EngineState::Active,
            started_at: None,
        };
        events.send(RouterEvent::Endpoints(EndpointUpdateKind::Restored, vec![endpoint])).await.unwrap();
        events.send(incoming(client.clone(), 1)).await.unwrap();
        let first = blocking_receive(&engine).await;
        first.respond("HIT", "fetches=1", b"a\tb\tc\n");
        assert!(matches!(received_responses.recv().await, Ok(Response::Returned(_))));

        channel.write_all(&delta_frame(2, &[(ENGINE, engine.address, 1)])).unwrap();
        while !has_unread(&socket) {
            futures_lite::future::yield_now().await;
        }
        // What was read last counts as current for a moment.
        Timer::after(Duration::from_millis(50)).await;
        events.send(incoming(client.clone(), 2)).await.unwrap();
        Timer::after(QUIET).await;
        assert!(engine.is_quiet(Duration::ZERO), "an attempt was written");
    }));
}

/// Waits for the engine's next attempt while the front's tasks run.
async fn blocking_receive(engine: &Engine) -> lemonusher_fakes::EngineMessage {
    loop {
        if let Some(message) = engine.try_next_request(Duration::ZERO) {
            return message;
        }
        Timer::after(Duration::from_millis(1)).await;
    }
}
