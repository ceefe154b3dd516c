//! Engines that a test answers for.

use crate::TEST_TIMEOUT;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

/// A message of a front to an engine.
pub struct EngineMessage {
    /// First word: `serve`, `cancel`, `read`, ...
    pub verb: String,
    /// Id of the request.
    pub id: String,
    /// Fields, page number or priority.
    pub arguments: String,
    /// The statement of a request.
    pub body: Vec<u8>,
    /// The connection that it came on.
    pub stream: TcpStream,
}

impl EngineMessage {
    /// Answers it.
    pub fn respond(&self, kind: &str, fields: &str, body: &[u8]) {
        let mut message = format!("{} {kind} {fields} {}\r\n", self.id, body.len()).into_bytes();
        message.extend_from_slice(body);
        message.extend_from_slice(b"\r\n");
        (&self.stream).write_all(&message).unwrap();
    }

    /// Closes the connection that it came on.
    pub fn close_connection(&self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }

    /// The address that the front connected from.
    pub fn front_address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap()
    }
}

/// An engine that answers probes, and hands the test all other messages.
pub struct Engine {
    /// Its address.
    pub address: SocketAddr,
    pub(crate) messages: Receiver<EngineMessage>,
    closed: Receiver<SocketAddr>,
}

impl Engine {
    /// Starts one on a free port.
    pub fn start() -> Engine {
        Engine::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn on(listener: TcpListener) -> Engine {
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

    /// Address of the next connection that the front closes.
    pub fn next_closed(&self) -> SocketAddr {
        self.closed.recv_timeout(TEST_TIMEOUT).expect("an end")
    }

    /// The next message, which must be of this kind.
    pub fn next_message(&self, verb: &str) -> EngineMessage {
        let message = self.messages.recv_timeout(TEST_TIMEOUT).expect(verb);
        assert_eq!(message.verb, verb, "{} {}", message.id, message.arguments);
        message
    }

    /// The next message, which must be of this kind, if one comes within this time.
    pub fn next_message_within(&self, verb: &str, span: Duration) -> Option<EngineMessage> {
        let message = self.messages.recv_timeout(span).ok()?;
        assert_eq!(message.verb, verb, "{} {}", message.id, message.arguments);
        Some(message)
    }

    /// The next message, if one comes within this time and is a request.
    pub fn try_next_request(&self, span: Duration) -> Option<EngineMessage> {
        self.messages.recv_timeout(span).ok().filter(|message| message.verb == "serve")
    }

    /// Whether no message comes for this time.
    pub fn is_quiet(&self, span: Duration) -> bool {
        matches!(self.messages.recv_timeout(span), Err(RecvTimeoutError::Timeout))
    }
}

/// An engine to which no connection can be made until the test says so: its backlog is full.
pub struct UnconnectableEngine {
    /// Its address.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl UnconnectableEngine {
    /// Starts one on a free port, and fills its backlog.
    pub fn start() -> UnconnectableEngine {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let connect = |_| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let queued: Vec<TcpStream> = (0..64).map_while(connect).collect();
        assert!(queued.len() < 64, "connections go on coming up");
        UnconnectableEngine { address, listener, queued }
    }

    /// Accepts connections from now on; those that were tried before are made within a second or two.
    pub fn accept_connections(self) -> Engine {
        drop(self.queued);
        Engine::on(self.listener)
    }
}

fn serve_connection(stream: TcpStream, send: &Sender<EngineMessage>) {
    let mut lines = BufReader::new(stream.try_clone().unwrap());
    let mut cancelled = BTreeSet::new();
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut message = EngineMessage {
            verb: words[0].to_owned(),
            id: words[1].to_owned(),
            arguments: words.get(2).copied().unwrap_or_default().to_owned(),
            body: Vec::new(),
            stream: stream.try_clone().unwrap(),
        };
        if message.verb == "serve" {
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            lines.read_exact(&mut body).unwrap();
            body.truncate(body.len() - 2);
            message.body = body;
        }
        match message.verb.as_str() {
            "gauges" => message.respond("PONG", "use=util:0.10", b""),
            "cancel" => drop(cancelled.insert(message.id.clone())),
            _ => {}
        }
        if message.verb == "read" && cancelled.contains(&message.id) {
            message.verb = "read behind cancel".to_owned();
        }
        if message.verb != "gauges" {
            let _ = send.send(message);
        }
        line.clear();
    }
}
