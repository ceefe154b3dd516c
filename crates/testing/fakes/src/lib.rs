//! Stand-ins for all that a front speaks to, on loopback, and built programs as tests run them. They panic where
//! a test should fail.

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything takes, on however busy a machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Rows are read by base64 on the client's side.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let chunk = |three: &[u8]| {
        let bits = three.iter().fold(0u32, |sum, b| sum << 8 | u32::from(*b)) << (8 * (3 - three.len()));
        let digit = |place: usize| {
            let known = place <= three.len();
            if known { char::from(DIGITS[(bits >> (18 - 6 * place)) as usize & 63]) } else { '=' }
        };
        (0..4).map(digit).collect::<String>()
    };
    bytes.chunks(3).map(chunk).collect()
}

/// The front as built, ended with the test.
pub struct Front {
    child: Child,
    file: PathBuf,
    pub address: SocketAddr,
    log: Mutex<Receiver<String>>,
    before: Vec<String>,
}

pub fn settings() -> Value {
    let class = |name, aim, limit, effect| {
        json!({"name": name, "aim_us": aim, "aim_stretch": 1.5, "hard_limit_us": limit, "effect": effect,
            "points": 1.0, "late_value": 0.0, "group": "all", "key_ttl_us": 0, "stream": false})
    };
    json!({
        "areas": ["east", "west"], "kinds": ["std"], "balancers": 1, "my_number": 0, "zone": 0,
        "tick_us": 5000, "discovery": "pushed", "client_habits": {"marks_retry": true},
        "ceilings": {"cancel": true, "conn_idle_us": 30_000_000, "connect_timeout_us": 250_000,
            "max_attempts": 4, "max_retry_after_us": 2_000_000, "open_cap": 1000, "peers": false,
            "probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 32},
        "classes": [class("look-up", 1_000_000, 20_000_000, "safe"),
            class("load", 4_000_000, 20_000_000, "unsafe")],
        "family_info": {"class_load": [false, true], "class_threads": [1, 2], "cpu_of_kind": [8],
            "lanes_count": true, "memory_by_kind_mb": [16384.0], "note_period_us": 1_000_000,
            "says_cost": true, "takes_grants": true, "yields_to_loads": [true, false]},
        "obligations": {"ask_within_us": 10_000_000, "cold_from": 0.34, "cold_us": 14_000_000,
            "drain_grace_us": 2_000_000, "fall_multiple": 3.0, "tip_after_us": 1_500_000},
        "report": {"fields": ["busy"], "via": "on_probe"},
    })
}

/// What the front is told at its start, with these engines ready.
pub fn start_config(engines: &[(u32, SocketAddr)], channel: SocketAddr) -> Value {
    let member = |(id, address): &(u32, SocketAddr)| {
        json!({"id": format!("s-{id:08x}"), "host_port": address.to_string(), "locality": "east",
            "flavor": "std", "cell": 0, "phase": "Ready", "size": 1, "up_since_ms": 0})
    };
    let members: Vec<Value> = engines.iter().map(member).collect();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "channel": channel.to_string(),
        "known": {"cursor": 1, "cmds": [{"nodes": {"revision": 1, "complete": true, "members": members}}]},
        "settings": settings(),
    })
}

/// A front that is to fail at its start: its exit code, and what it wrote.
pub fn start_failure(program: &str, told: Option<&str>) -> (Option<i32>, String) {
    let mut command = Command::new(program);
    command.env_remove("PROXY_CONFIG");
    if let Some(text) = told {
        command.env("PROXY_CONFIG", temp_file("json", text));
    }
    let output = command.output().unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// A place of a test's own below the folder for temporary files.
pub fn temp_path(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("lemonusher-{}-{number}-{name}", std::process::id()))
}

/// A file that holds this text.
pub fn temp_file(ending: &str, text: &str) -> PathBuf {
    let path = temp_path(&format!("file.{ending}"));
    std::fs::write(&path, text).unwrap();
    path
}

impl Front {
    pub fn start(program: &str, told: &Value) -> Front {
        let file = temp_file("json", &told.to_string());
        let mut command = Command::new(program);
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", "info");
        Front::spawn(command, file)
    }

    /// The same, with so many descriptors as the system's own limit.
    pub fn start_within(program: &str, told: &Value, descriptors: u64) -> Front {
        let file = temp_file("json", &told.to_string());
        let mut command = Command::new("sh");
        command.arg("-c").arg(format!("ulimit -n {descriptors} && exec \"$0\"")).arg(program);
        command.env("PROXY_CONFIG", &file).env("RUST_LOG", "info");
        Front::spawn(command, file)
    }

    /// Waits until what the command starts says this.
    pub fn spawn_until(command: Command, file: PathBuf, said: &str) -> Front {
        Front::spawn_with(command, file, |line| {
            line.contains(said).then(|| SocketAddr::from(([127, 0, 0, 1], 0)))
        })
    }

    /// Waits until the front that the command starts listens.
    pub fn spawn(command: Command, file: PathBuf) -> Front {
        Front::spawn_with(command, file, |line| {
            let address = line.split_once("listens on ").and_then(|(_, rest)| rest.split(',').next());
            address.and_then(|text| text.parse().ok())
        })
    }

    fn spawn_with(mut command: Command, file: PathBuf, ready: impl Fn(&str) -> Option<SocketAddr>) -> Front {
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (send, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).for_each(|line| drop(send.send(line))));
        let mut before = Vec::new();
        let address = loop {
            let line: String =
                log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("no start: {before:?}"));
            if let Some(address) = ready(&line) {
                break address;
            }
            before.push(line);
        };
        Front { child, file, address, log: Mutex::new(log), before }
    }

    /// What the log said before the front listened, after this text.
    pub fn startup_log_value(&self, text: &str) -> Option<String> {
        self.before.iter().find_map(|line| Some(line.split_once(text)?.1.trim().to_owned()))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends it as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn client(&self) -> Client {
        Client::new(TcpStream::connect(self.address).unwrap())
    }

    /// A client that can be sent next to nothing for as long as it does not read.
    pub fn slow_reader(&self) -> Client {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        socket.connect(&self.address.into()).unwrap();
        Client::new(socket.into())
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().unwrap().success());
    }

    /// Stops all of it where it stands, and returns once it does.
    pub fn freeze(&self) {
        self.signal("STOP");
        let stands = |task: &std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        let tasks = || std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap();
        while !tasks().all(|task| stands(&task.unwrap())) {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Puts another text in place of what the front was told, and says so.
    pub fn reload(&self, told: &str) {
        std::fs::write(&self.file, told).unwrap();
        self.signal("HUP");
    }

    /// All that the log has said since it was last read.
    pub fn take_log_lines(&self) -> Vec<String> {
        self.log.lock().unwrap().try_iter().collect()
    }

    /// The next line of the log that holds this text.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.lock().unwrap().recv_timeout(TEST_TIMEOUT).expect(text);
            if line.contains(text) {
                return line;
            }
        }
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Its exit code, if it ends within this time.
    pub fn exit_code_within(&mut self, span: Duration) -> Option<i32> {
        let from = Instant::now();
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return status.code(),
                None if from.elapsed() > span => return None,
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// How many descriptors it has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

pub struct Client {
    pub stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Client {
    pub fn new(wire: TcpStream) -> Client {
        wire.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        wire.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { lines: BufReader::new(wire.try_clone().unwrap()), stream: wire }
    }

    pub fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// The same, where the front may have gone.
    pub fn try_send_line(&mut self, line: &str) -> bool {
        self.stream.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    /// The next answer; `None` once there is none to come, for whatever reason.
    pub fn try_next_response(&mut self) -> Option<Value> {
        let mut line = String::new();
        self.lines.read_line(&mut line).ok().filter(|length| *length > 0)?;
        serde_json::from_str(&line).ok()
    }

    /// Asks under an id that makes the call as well; the call is returned.
    pub fn send_request(&mut self, id: u64, method: &str) -> String {
        self.send_request_with_timeout(id, method, 20_000)
    }

    /// The same, with so many milliseconds of patience.
    pub fn send_request_with_timeout(&mut self, id: u64, method: &str, ttl: u64) -> String {
        self.ask_all(id, method, ttl, if method == "load" { 3 } else { 17 })
    }

    /// The same, of this group of tables.
    pub fn send_request_for_table_group(&mut self, id: u64, method: &str, group: u64) -> String {
        self.ask_all(id, method, 20_000, group)
    }

    fn ask_all(&mut self, id: u64, method: &str, ttl: u64, group: u64) -> String {
        let call = format!("{:08x}{id:08x}", self.stream.local_addr().unwrap().port());
        let data = base64(format!("select * from sales_{group}.orders").as_bytes());
        let params = json!({"call": call, "ttl": ttl, "data": data});
        self.send_line(&json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).to_string());
        call
    }

    /// The next answer; `None` once the front has closed the connection.
    #[allow(clippy::should_implement_trait)]
    pub fn next_response(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(e) => panic!("no answer: {e}"),
        }
    }

    pub fn expect_result(&mut self, id: u64, rows: &[u8]) {
        let wanted = json!({"jsonrpc": "2.0", "id": id, "result": {"data": base64(rows)}});
        assert_eq!(self.next_response(), Some(wanted));
    }

    pub fn expect_error(&mut self, id: Option<u64>) -> i64 {
        let answer = self.next_response().unwrap();
        assert_eq!(answer["id"], json!(id), "{answer}");
        answer["error"]["code"].as_i64().expect("an error")
    }

    /// Whether the front has ended the connection in order, after what stood before that: an end of file, no reset.
    pub fn is_closed_in_order(&mut self) -> bool {
        let mut rest = Vec::new();
        let ended = self.lines.read_to_end(&mut rest).is_ok_and(|_| rest.is_empty());
        // A reset that comes after an end of file is told by this alone.
        ended && self.stream.take_error().unwrap().is_none()
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    pub fn is_ready(&mut self) -> bool {
        self.send_line(r#"{"jsonrpc":"2.0","id":999,"method":"heartbeat"}"#);
        self.next_response().unwrap()["result"]["fit"].as_bool().unwrap()
    }
}

/// Something that a front said to an engine.
pub struct EngineMessage {
    pub verb: String,
    pub id: String,
    /// Fields, page number or priority.
    pub arguments: String,
    pub body: Vec<u8>,
    pub stream: TcpStream,
}

impl EngineMessage {
    pub fn respond(&self, word: &str, fields: &str, body: &[u8]) {
        let mut message = format!("{} {word} {fields} {}\r\n", self.id, body.len()).into_bytes();
        message.extend_from_slice(body);
        message.extend_from_slice(b"\r\n");
        (&self.stream).write_all(&message).unwrap();
    }

    pub fn close_connection(&self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }

    pub fn front_address(&self) -> SocketAddr {
        self.stream.peer_addr().unwrap()
    }
}

/// An engine that answers probes, and tells the test of all else.
pub struct Engine {
    pub address: SocketAddr,
    said: Receiver<EngineMessage>,
    ends: Receiver<SocketAddr>,
}

impl Engine {
    pub fn start() -> Engine {
        Engine::on(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    fn on(listener: TcpListener) -> Engine {
        let address = listener.local_addr().unwrap();
        let (send, said) = channel();
        let (end, ends) = channel();
        thread::spawn(move || {
            for wire in listener.incoming().map_while(Result::ok) {
                let (send, end, from) = (send.clone(), end.clone(), wire.peer_addr());
                thread::spawn(move || {
                    converse(wire, &send);
                    from.map(|from| end.send(from))
                });
            }
        });
        Engine { address, said, ends }
    }

    /// Which connection the front has ended next.
    pub fn next_closed(&self) -> SocketAddr {
        self.ends.recv_timeout(TEST_TIMEOUT).expect("an end")
    }

    pub fn next_message(&self, verb: &str) -> EngineMessage {
        let said = self.said.recv_timeout(TEST_TIMEOUT).expect(verb);
        assert_eq!(said.verb, verb, "{} {}", said.id, said.arguments);
        said
    }

    /// This, if it comes next and within this time.
    pub fn next_message_within(&self, verb: &str, span: Duration) -> Option<EngineMessage> {
        let said = self.said.recv_timeout(span).ok()?;
        assert_eq!(said.verb, verb, "{} {}", said.id, said.arguments);
        Some(said)
    }

    /// A request, if one comes within this time.
    pub fn try_next_request(&self, span: Duration) -> Option<EngineMessage> {
        self.said.recv_timeout(span).ok().filter(|said| said.verb == "serve")
    }

    /// Whether nothing comes for a while.
    pub fn is_quiet(&self, span: Duration) -> bool {
        matches!(self.said.recv_timeout(span), Err(RecvTimeoutError::Timeout))
    }
}

/// An engine to which no connection comes up until the test says so: its queue of connections is full.
pub struct UnconnectableEngine {
    pub address: SocketAddr,
    listener: TcpListener,
    queued: Vec<TcpStream>,
}

impl UnconnectableEngine {
    pub fn start() -> UnconnectableEngine {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let come_up = |_| TcpStream::connect_timeout(&address, Duration::from_millis(300)).ok();
        let queued: Vec<TcpStream> = (0..64).map_while(come_up).collect();
        assert!(queued.len() < 64, "connections go on coming up");
        UnconnectableEngine { address, listener, queued }
    }

    /// Connections come up from now on; those that were asked for before, within a second or two.
    pub fn accept_connections(self) -> Engine {
        drop(self.queued);
        Engine::on(self.listener)
    }
}

fn converse(wire: TcpStream, send: &Sender<EngineMessage>) {
    let mut lines = BufReader::new(wire.try_clone().unwrap());
    let mut cancelled = BTreeSet::new();
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let mut said = EngineMessage {
            verb: words[0].to_owned(),
            id: words[1].to_owned(),
            arguments: words.get(2).copied().unwrap_or_default().to_owned(),
            body: Vec::new(),
            stream: wire.try_clone().unwrap(),
        };
        if said.verb == "serve" {
            let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
            lines.read_exact(&mut body).unwrap();
            body.truncate(body.len() - 2);
            said.body = body;
        }
        match said.verb.as_str() {
            "gauges" => said.respond("PONG", "use=util:0.10", b""),
            "cancel" => drop(cancelled.insert(said.id.clone())),
            _ => {}
        }
        if said.verb == "read" && cancelled.contains(&said.id) {
            said.verb = "read behind cancel".to_owned();
        }
        if said.verb != "gauges" {
            let _ = send.send(said);
        }
        line.clear();
    }
}

/// The command channel: connections of the front, each with the number that it asked from.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl DiscoveryServer {
    pub fn start() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        DiscoveryServer { address: listener.local_addr().unwrap(), listener }
    }

    pub fn next_connection(&self) -> (u64, TcpStream) {
        let (mut wire, _) = self.listener.accept().unwrap();
        wire.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut last = [0; 8];
        wire.read_exact(&mut last).unwrap();
        (u64::from_be_bytes(last), wire)
    }
}

/// A frame of changes: engine, address, state.
pub fn changes(number: u64, records: &[(u32, SocketAddr, u8)]) -> Vec<u8> {
    let mut frame = ((9 + 27 * records.len()) as u32).to_be_bytes().to_vec();
    frame.extend(number.to_be_bytes());
    frame.push(2);
    for (id, address, state) in records {
        let SocketAddr::V4(address) = address else { unreachable!() };
        frame.extend(id.to_be_bytes());
        frame.extend(address.ip().octets());
        frame.extend(address.port().to_be_bytes());
        frame.extend([*state, 0, 0]);
        frame.extend(0u16.to_be_bytes());
        frame.extend(1000u32.to_be_bytes());
        frame.extend(0u64.to_be_bytes());
    }
    frame
}

/// What a tallying engine does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineBehavior {
    Result,
    /// The same, after so many milliseconds of work as it says.
    ResultAfterWork(u32),
    Fail,
    Reject,
    CloseConnection,
}

fn hit(id: &str, work_ms: u32) -> String {
    format!("{id} HIT fetches=1,effort={work_ms},high=1 6\r\nx\ty\tz\n\r\n")
}

/// An engine that answers by itself and tallies what it was sent.
pub struct CountingEngine {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl CountingEngine {
    /// `answers` is asked with the number of each request, from zero.
    pub fn start(answers: impl Fn(usize) -> EngineBehavior + Send + Sync + 'static) -> CountingEngine {
        let engine = Engine::start();
        let tally: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let (address, kept) = (engine.address, tally.clone());
        thread::spawn(move || {
            while let Ok(said) = engine.said.recv() {
                if said.verb != "serve" {
                    continue;
                }
                let number = {
                    let mut kept = kept.lock().unwrap();
                    kept.push((Instant::now(), said.id.clone()));
                    kept.len() - 1
                };
                // The front may have gone: then nobody is told.
                let message = match answers(number) {
                    EngineBehavior::Result => hit(&said.id, 1),
                    EngineBehavior::ResultAfterWork(work_ms) => hit(&said.id, work_ms),
                    EngineBehavior::Fail => format!("{} FAULT - 0\r\n\r\n", said.id),
                    EngineBehavior::Reject => format!("{} SHED - 0\r\n\r\n", said.id),
                    EngineBehavior::CloseConnection => {
                        let _ = said.stream.shutdown(Shutdown::Both);
                        continue;
                    }
                };
                let _ = (&said.stream).write_all(message.as_bytes());
            }
        });
        CountingEngine { address, requests: tally }
    }

    /// Every request that was sent there, and when.
    pub fn tally(&self) -> Vec<(Instant, String)> {
        self.requests.lock().unwrap().clone()
    }
}
