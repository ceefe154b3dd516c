use super::*;
use async_io::Async;
use futures_lite::future;
use lemonusher_fakes::delta_frame;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Time within which what the server writes on the loopback interface reaches the front's socket.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);
const ACTIVE: u8 = 0;
const DRAINING: u8 = 1;
const REMOVED: u8 = 2;

/// Both sides of a channel whose client never runs, as after a stand-still in which the engine driver ran first.
struct Channel {
    input: DiscoveryInput,
    /// The server's side; none once it has closed.
    server: Option<TcpStream>,
    socket: Socket,
    /// It is never polled, so this process counts as one that does not run.
    stall_detector: StallDetector,
}

impl Channel {
    fn connect() -> Channel {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let socket = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let server = listener.accept().unwrap().0;
        server.set_nodelay(true).unwrap();
        Channel {
            input: DiscoveryInput::new(),
            server: Some(server),
            socket: Socket::new(Async::new(socket).unwrap()),
            stall_detector: StallDetector::new(Duration::ZERO),
        }
    }

    fn attach(&self) -> AttachedReader<'_> {
        self.input.attach(self.socket.clone(), 0)
    }

    fn send(&self, number: u64, states: &[(EngineId, u8)]) {
        let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let records: Vec<(u32, SocketAddr, u8)> =
            states.iter().map(|(engine, state)| (*engine, address, *state)).collect();
        self.server.as_ref().unwrap().write_all(&delta_frame(number, &records)).unwrap();
    }

    /// Asks as the engine driver does, until the answer is the expected one or everything sent must have arrived.
    fn may_receive(&self, engine: EngineId, expected: bool) -> bool {
        let started_at = Instant::now();
        loop {
            let may_receive = self.input.may_receive(engine, &self.stall_detector);
            if may_receive == expected || started_at.elapsed() > ARRIVAL_TIMEOUT {
                return may_receive;
            }
        }
    }
}

/// Guards against an attempt past the drain grace: the engine driver may run before the client that reads the channel.
#[test]
fn engine_that_drains_in_an_unread_update_gets_nothing() {
    let channel = Channel::connect();
    let _reader = channel.attach();
    channel.send(1, &[(1, ACTIVE), (2, ACTIVE), (3, ACTIVE)]);
    assert!(channel.may_receive(1, true) && channel.may_receive(3, true));
    channel.send(2, &[(1, DRAINING), (2, REMOVED)]);
    assert!(!channel.may_receive(1, false) && !channel.may_receive(2, false));
    assert!(channel.may_receive(3, true));
    assert!(!channel.may_receive(4, false));
}

/// What is read for the engine driver reaches the client, each update once and in order, and then the loss.
#[test]
fn updates_read_for_the_engine_driver_are_kept_for_the_client() {
    let mut channel = Channel::connect();
    channel.send(1, &[(1, ACTIVE)]);
    channel.send(2, &[(2, ACTIVE)]);
    channel.send(1, &[(2, DRAINING)]); // Sent again: it is not applied.
    channel.send(3, &[(3, ACTIVE)]);
    channel.send(5, &[(3, DRAINING)]); // Event 4 is missing.
    channel.server = None;
    let reader = channel.attach();
    assert!(!reader.has_received_frame());
    assert!(channel.may_receive(3, true) && channel.may_receive(2, true));
    assert!(reader.has_received_frame());
    for number in [1, 2, 3] {
        assert!(matches!(future::block_on(reader.next_update()), Ok(frame) if frame.number == number));
    }
    let loss = future::block_on(reader.next_update());
    assert!(matches!(loss, Err(ChannelLoss::MissingEvents { number: 5, last_event: 3 })));
}

/// More updates than may be kept for the client: whether an engine may receive is then unknown.
#[test]
fn nothing_is_written_while_updates_wait_unread() {
    let channel = Channel::connect();
    let reader = channel.attach();
    channel.send(1, &[(1, ACTIVE)]);
    assert!(channel.may_receive(1, true));
    for number in 0..MAX_UNPUBLISHED_UPDATES as u64 {
        channel.send(number + 2, &[(2, ACTIVE)]);
    }
    assert!(!channel.may_receive(1, false));
    for _ in 0..=MAX_UNPUBLISHED_UPDATES {
        assert!(future::block_on(reader.next_update()).is_ok());
    }
    assert!(channel.may_receive(1, true));
}

/// Without a stall the client has run, and nothing is read for the engine driver.
#[test]
fn channel_is_read_ahead_only_after_a_stall() {
    let channel = Channel::connect();
    let _reader = channel.attach();
    channel.send(1, &[(1, ACTIVE)]);
    let polled = StallDetector::new(ARRIVAL_TIMEOUT);
    while !transport::has_unread(&channel.socket) {}
    std::thread::sleep(MAX_INPUT_AGE * 2);
    assert!(!channel.input.may_receive(1, &polled));
    assert!(channel.may_receive(1, true));
}

/// A connection that is given up must not be read any more.
#[test]
fn reader_ends_with_its_connection() {
    let channel = Channel::connect();
    drop(channel.attach());
    channel.send(1, &[(1, ACTIVE)]);
    while !transport::has_unread(&channel.socket) {}
    std::thread::sleep(MAX_INPUT_AGE * 2);
    assert!(!channel.input.may_receive(1, &channel.stall_detector));
}
