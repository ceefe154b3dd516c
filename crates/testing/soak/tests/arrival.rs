//! The receive times of messages, on real connections whose reader runs late.

use lemonusher_soak::{ReceiveTimestamps, TimedReader};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime};

const PAUSE: Duration = Duration::from_millis(60);

struct Connected {
    _timestamps: ReceiveTimestamps,
    reader: TimedReader,
    writer: TcpStream,
}

fn connect() -> Connected {
    let timestamps = ReceiveTimestamps::enable().unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected_from = SystemTime::now();
    let writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    writer.set_nodelay(true).unwrap();
    let reader = TimedReader::new(listener.accept().unwrap().0, connected_from, &timestamps).unwrap();
    Connected { _timestamps: timestamps, reader, writer }
}

/// When a write began and had returned.
struct Written {
    from: SystemTime,
    until: SystemTime,
}

impl Connected {
    fn write(&mut self, text: &str) -> Written {
        let from = SystemTime::now();
        self.writer.write_all(text.as_bytes()).unwrap();
        Written { from, until: SystemTime::now() }
    }

    fn expect(&mut self, line: &str) -> SystemTime {
        let message = self.reader.next_message(|line| if line.starts_with("body") { 4 } else { 0 }).unwrap();
        assert_eq!(message.line, line);
        message.received_from
    }
}

/// Guards against a late reader that makes a message appear late: the message has the time of its arrival.
#[test]
fn message_that_is_read_late_has_the_time_of_its_arrival() {
    let mut connected = connect();
    for line in ["a", "b"] {
        let written = connected.write(&format!("{line}\n"));
        thread::sleep(PAUSE);
        let received_from = connected.expect(line);
        assert!(received_from >= written.from && received_from <= written.until, "{line}");
    }
}

/// Guards against the time of a later message: the kernel merges what waits, and states one time for it.
#[test]
fn messages_that_are_read_together_have_no_time_after_their_arrival() {
    let mut connected = connect();
    connected.write("a\n");
    connected.expect("a");
    let first = connected.write("body b\nxyz\n");
    thread::sleep(PAUSE);
    let second = connected.write("c\n");
    thread::sleep(PAUSE);
    assert!(connected.expect("body b") <= first.until);
    let received_from = connected.expect("c");
    assert!(received_from >= second.from && received_from <= second.until);
}

/// A message in two pieces, the second of which comes while the reader waits for it, counts from its first one.
#[test]
fn message_in_pieces_has_the_time_of_its_first_piece() {
    let mut connected = connect();
    let first = connected.write("body a\nx");
    let mut writer = connected.writer.try_clone().unwrap();
    let rest = thread::spawn(move || {
        thread::sleep(PAUSE);
        writer.write_all(b"yz\nb\n").unwrap();
    });
    assert!(connected.expect("body a") <= first.until);
    connected.expect("b");
    rest.join().unwrap();
    drop(connected.writer);
    assert_eq!(connected.reader.next_message(|_| 0), None);
}
