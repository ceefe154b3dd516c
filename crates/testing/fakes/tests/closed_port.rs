//! A closed port refuses connections and is assigned to no other socket.

use lemonusher_fakes::ClosedPort;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};

/// Guards against a test that connects to another test's engine, because the kernel assigned it the same port.
#[test]
fn no_other_listener_is_given_a_closed_port() {
    let (closed, reserved) = (ClosedPort::bind(), ClosedPort::reserve([127, 0, 0, 1]));
    let listeners: Vec<TcpListener> = (0..500).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    for address in [closed.address, reserved.address] {
        assert!(listeners.iter().all(|listener| listener.local_addr().unwrap() != address));
        assert_eq!(TcpStream::connect(address).unwrap_err().kind(), ErrorKind::ConnectionRefused);
    }
    assert!(TcpListener::bind(closed.address).is_err());
    // A program that is restarted at a reserved address can listen there each time.
    for _ in 0..3 {
        let listener = TcpListener::bind(reserved.address).unwrap();
        drop(TcpStream::connect(reserved.address).unwrap());
        drop(listener);
    }
}
