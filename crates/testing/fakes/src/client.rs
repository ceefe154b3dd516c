//! A fake client of a front.

use crate::{TEST_TIMEOUT, base64};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A client connection to a front: JSON-RPC, one message per line.
pub struct Client {
    /// The connection.
    pub stream: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Client {
    /// Creates a client on an established connection.
    pub fn new(stream: TcpStream) -> Client {
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_write_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { lines: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Sends one line.
    pub fn send_line(&mut self, line: &str) {
        self.stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Sends one line. Returns false if the write fails.
    pub fn try_send_line(&mut self, line: &str) -> bool {
        self.stream.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    /// Waits for the next response. Returns `None` on any error, and at the end of the connection.
    pub fn try_next_response(&mut self) -> Option<Value> {
        let mut line = String::new();
        self.lines.read_line(&mut line).ok().filter(|length| *length > 0)?;
        serde_json::from_str(&line).ok()
    }

    /// Sends a request with this message id. Returns the request id, which engines receive.
    pub fn send_request(&mut self, id: u64, method: &str) -> String {
        self.send_request_with_timeout(id, method, 20_000)
    }

    /// Sends a request with a client timeout in milliseconds.
    pub fn send_request_with_timeout(&mut self, id: u64, method: &str, ttl: u64) -> String {
        self.send_request_with(id, method, ttl, if method == "load" { 3 } else { 17 })
    }

    /// Sends a request for a table group.
    pub fn send_request_for_table_group(&mut self, id: u64, method: &str, group: u64) -> String {
        self.send_request_with(id, method, 20_000, group)
    }

    fn send_request_with(&mut self, id: u64, method: &str, ttl: u64, group: u64) -> String {
        let call = format!("{:08x}{id:08x}", self.stream.local_addr().unwrap().port());
        let data = base64(format!("select * from sales_{group}.orders").as_bytes());
        let params = json!({"call": call, "ttl": ttl, "data": data});
        self.send_line(&json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).to_string());
        call
    }

    /// Waits for the next response. Returns `None` if the front has closed or reset the connection.
    #[allow(clippy::should_implement_trait)]
    pub fn next_response(&mut self) -> Option<Value> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(serde_json::from_str(&line).unwrap()),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(e) => panic!("reading a response failed: {e}"),
        }
    }

    /// Expects the next response to be a result with this id and these rows.
    pub fn expect_result(&mut self, id: u64, rows: &[u8]) {
        let expected = json!({"jsonrpc": "2.0", "id": id, "result": {"data": base64(rows)}});
        assert_eq!(self.next_response(), Some(expected));
    }

    /// Expects the next response to be an error with this id, and returns its code.
    pub fn expect_error(&mut self, id: Option<u64>) -> i64 {
        let answer = self.next_response().unwrap();
        assert_eq!(answer["id"], json!(id), "{answer}");
        answer["error"]["code"].as_i64().expect("the response is not an error")
    }

    /// Returns whether the front closed the connection gracefully (end of file, no reset) after its last
    /// response.
    pub fn is_closed_gracefully(&mut self) -> bool {
        let mut rest = Vec::new();
        let at_end = self.lines.read_to_end(&mut rest).is_ok_and(|_| rest.is_empty());
        // A reset after the end of file is visible only here.
        at_end && self.stream.take_error().unwrap().is_none()
    }

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Sends a heartbeat, and returns whether the front reports that it is serving.
    pub fn is_ready(&mut self) -> bool {
        self.send_line(r#"{"jsonrpc":"2.0","id":999,"method":"heartbeat"}"#);
        self.next_response().unwrap()["result"]["fit"].as_bool().unwrap()
    }
}
