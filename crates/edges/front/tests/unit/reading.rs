use super::*;
use crate::program::test_support::{self, QUEUE_LENGTH};
use async_io::Async;
use lemonusher_routing::ResponseSink;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};

/// Time within which what a client does on the loopback interface reaches the session's socket.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &str =
    r#"{"jsonrpc":"2.0","id":ID,"method":"look-up","params":{"call":"CALL","ttl":9000,"data":"eA=="}}"#;
const REVOKE: &str = r#"{"jsonrpc":"2.0","method":"revoke","params":{"id":1}}"#;

/// A session whose task never runs, as after a stand-still in which the task of its engine connection ran first.
struct Connected {
    session: Rc<ClientSession>,
    /// The client's side; none once it has closed.
    client: Option<TcpStream>,
}

/// Connects a client, and sends requests under these ids, which the router has received.
fn connected(ids: &[u64]) -> Connected {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.set_nodelay(true).unwrap();
    let socket = Async::new(listener.accept().unwrap().0).unwrap();
    let shared = test_support::stalled(async_channel::bounded(QUEUE_LENGTH).0);
    let session = Rc::new(ClientSession::new(shared, Socket::new(socket), Duration::ZERO));
    let connected = Connected { session, client: Some(client) };
    ids.iter().for_each(|id| connected.send_request(*id));
    connected.read_until(|session| session.open_requests.borrow().len() == ids.len());
    while connected.session.input.next_event().is_some() {}
    connected
}

impl Connected {
    fn send(&self, line: &str) {
        self.client.as_ref().unwrap().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    fn send_request(&self, id: u64) {
        self.send(&REQUEST.replace("ID", &id.to_string()).replace("CALL", &format!("{id:016x}")));
    }

    fn read_until(&self, condition: impl Fn(&ClientSession) -> bool) {
        let started_at = Instant::now();
        while !condition(&self.session) {
            assert!(started_at.elapsed() < ARRIVAL_TIMEOUT);
            self.session.read_available();
        }
    }

    /// Lets what has been read count as old, and asks as the engine driver does before it writes an attempt. Asks again
    /// until the answer is no, but not after what the client did must have arrived.
    fn waits(&self, id: u64) -> bool {
        let started_at = Instant::now();
        let ask = || {
            let read_at = Instant::now().checked_sub(MAX_INPUT_AGE * 2).unwrap();
            self.session.input.read_at.set(read_at);
            self.session.clone().is_waiting(id)
        };
        while ask() {
            if started_at.elapsed() > ARRIVAL_TIMEOUT {
                return true;
            }
        }
        false
    }
}

/// Guards against an attempt for a client that left while the front stood still: the engine driver may run before the
/// task that reads the client's connection.
#[test]
fn request_of_a_client_that_left_unread_counts_as_abandoned() {
    for leave in ["revoke", "close", "half", "reset", "request and close", "long line and close"] {
        let mut connected = connected(&[1]);
        assert!(connected.session.clone().is_waiting(1), "{leave}");
        match leave {
            "revoke" => connected.send(REVOKE),
            "half" => connected.client.as_ref().unwrap().shutdown(Shutdown::Write).unwrap(),
            "reset" => {
                let client = connected.client.take().unwrap();
                socket2::SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
            }
            "request and close" => connected.send_request(2),
            "long line and close" => connected.send(&"x".repeat(MAX_LINE_BYTES + 1)),
            _ => {}
        }
        if leave.ends_with("close") {
            connected.client = None;
        }
        assert!(!connected.waits(1), "{leave}");
    }
}

/// What is read before an attempt is written reaches the router later, and in order.
#[test]
fn requests_read_before_an_attempt_is_written_are_kept_for_the_router() {
    let connected = connected(&[1, 2]);
    connected.send_request(3);
    connected.send(REVOKE);
    assert!(!connected.waits(1));
    assert!(connected.session.clone().is_waiting(2));
    let events: Vec<RouterEvent> = std::iter::from_fn(|| connected.session.input.next_event()).collect();
    match &events[..] {
        [RouterEvent::Request(incoming), RouterEvent::ClientDisconnected { ticket: 1, .. }] => {
            assert_eq!(incoming.ticket, 3);
        }
        _ => panic!("{} events", events.len()),
    }
}

/// A request that is revoked before the router receives it never reaches the router.
#[test]
fn revoked_request_that_the_router_has_not_received_is_dropped() {
    let connected = connected(&[]);
    connected.send_request(1);
    connected.read_until(|session| !session.open_requests.borrow().is_empty());
    connected.send(REVOKE);
    connected.read_until(|session| session.open_requests.borrow().is_empty());
    assert!(connected.session.input.next_event().is_none());
}

/// Guards against a session that is never freed: its events hold it.
#[test]
fn session_that_ends_with_unforwarded_events_is_freed() {
    let connected = connected(&[1]);
    connected.send_request(2);
    connected.send(REVOKE);
    assert!(!connected.waits(1));
    connected.read_until(|session| session.open_requests.borrow().contains_key(&2));
    let freed = Rc::downgrade(&connected.session);
    futures_lite::future::block_on(connected.session.end());
    drop(connected);
    assert!(freed.upgrade().is_none());
}
