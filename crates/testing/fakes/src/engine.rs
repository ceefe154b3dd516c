//! Fake engines whose replies are sent by the test, except those to requests for a load report.

use crate::TEST_TIMEOUT;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

/// A message of a front to an engine.
pub struct EngineMessage {
    /// The command: `serve`, `cancel`, `read`, ... A `read` after a `cancel` of the same id is `read behind
    /// cancel`.
    pub command: String,
    /// Id of the request.
    pub id: String,
    /// Parameters of an attempt, page number or priority.
    pub arguments: String,
    /// Statement of an attempt; empty for other commands.
    pub body: Vec<u8>,
    /// Connection that the message arrived on.
    pub stream: TcpStream,
}

impl EngineMessage {
    /// Sends a reply of this kind.
    pub fn respond(&self, kind: &str, fields: &str, body: &[u8]) {
        let mut message = format!("{} {kind} {fields} {}\r\n", self.id, body.len()).into_bytes();
        message.extend_from_slice(body);
        message.extend_from_slice(b"\r\n");
        (&self.stream).write_all(&message).unwrap();
    }

    /// Closes the connection that the message arrived on.
    pub fn close_connection(&self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }

    /// The address that the front connected from.
    pub fn front_address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap()
    }
}

/// An engine that replies to requests for a load report (`gauges`) by itself, and passes all other messages to the
/// test.
pub struct Engine {
    /// Address that it listens on.
    pub address: SocketAddr,
    pub(crate) messages: Receiver<EngineMessage>,
    closed: Receiver<SocketAddr>,
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn start() -> Engine {
        Engine::serve_on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn serve_on(listener: TcpListener) -> Engine {
        let address = listener.local_addr().unwrap();
        let (send, messages) = channel();
        let (close, closed) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (send, close, from) = (send.clone(), close.clone(), stream.peer_addr());
                thread::spawn(move || {
                    serve_connection(stream, &send);
                    from.map(|from| close.send(from))
                });
            }
        });
        Engine { address, messages, closed }
    }

    /// Waits until the front closes a connection. Returns the front's address of that connection.
    pub fn next_closed_connection(&self) -> SocketAddr {
        self.closed.recv_timeout(TEST_TIMEOUT).expect("no connection was closed")
    }

    /// Waits for the next message, which must be this command.
    pub fn next_message(&self, command: &str) -> EngineMessage {
        let message = self.messages.recv_timeout(TEST_TIMEOUT).expect(command);
        assert_eq!(message.command, command, "{} {}", message.id, message.arguments);
        message
    }

    /// Waits for the next message, which must be this command. Returns `None` if none arrives within `timeout`.
    pub fn next_message_within(&self, command: &str, timeout: Duration) -> Option<EngineMessage> {
        let message = self.messages.recv_timeout(timeout).ok()?;
        assert_eq!(message.command, command, "{} {}", message.id, message.arguments);
        Some(message)
    }

    /// Waits for the next message. Returns `None` if none arrives within `timeout`. A message that is not an attempt is
    /// dropped, and the result is `None` as well.
    pub fn try_next_request(&self, timeout: Duration) -> Option<EngineMessage> {
        self.messages.recv_timeout(timeout).ok().filter(|message| message.command == "serve")
    }

    /// Returns whether no message arrives for this long.
    pub fn is_quiet(&self, duration: Duration) -> bool {
        matches!(self.messages.recv_timeout(duration), Err(RecvTimeoutError::Timeout))
    }
}

/// An engine that no connection can be established to until the test allows it, because its accept queue is full.
pub struct UnconnectableEngine {
    /// Address that it listens on.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl UnconnectableEngine {
    /// Starts an engine on a free port, and fills its accept queue.
    pub fn start() -> UnconnectableEngine {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let queued: Vec<TcpStream> = (0..64).map_while(connect).collect();
        assert!(queued.len() < 64, "the accept queue never fills up");
        UnconnectableEngine { address, listener, queued }
    }

    /// Accepts connections from now on. Earlier connection attempts succeed within a second or two, when the
    /// kernel retries them.
    pub fn accept_connections(self) -> Engine {
        drop(self.queued);
        Engine::serve_on(self.listener)
    }
}

fn serve_connection(stream: TcpStream, send: &Sender<EngineMessage>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    let mut cancelled = BTreeSet::new();
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut message = EngineMessage {
            command: words[0].to_owned(),
            id: words[1].to_owned(),
            arguments: words.get(2).copied().unwrap_or_default().to_owned(),
            body: Vec::new(),
            stream: stream.try_clone().unwrap(),
        };
        if message.command == "serve" {
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            lines.read_exact(&mut body).unwrap();
            body.truncate(body.len() - 2);
            message.body = body;
        }
        match message.command.as_str() {
            "gauges" => message.respond("PONG", "use=util:0.10", b""),
            "cancel" => drop(cancelled.insert(message.id.clone())),
            _ => {}
        }
        if message.command == "read" && cancelled.contains(&message.id) {
            message.command = "read behind cancel".to_owned();
        }
        if message.command != "gauges" {
            let _ = send.send(message);
        }
        line.clear();
    }
}
