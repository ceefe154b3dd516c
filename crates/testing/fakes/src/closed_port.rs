//! An address that refuses connections.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;

/// An address that refuses connections until this value is dropped. The port is bound, so that the kernel
/// assigns it to no other socket, and nothing listens on it.
pub struct ClosedPort {
    /// Address of the port.
    pub address: SocketAddr,
    _socket: Socket,
}

impl ClosedPort {
    /// Binds a free port.
    pub fn bind() -> ClosedPort {
        ClosedPort::bind_to(SocketAddr::from(([127, 0, 0, 1], 0)), false)
    }

    /// Reserves a free port on which a program that binds this exact address can still listen, also after a
    /// restart.
    pub fn reserve(host: [u8; 4]) -> ClosedPort {
        ClosedPort::bind_to(SocketAddr::from((host, 0)), true)
    }

    fn bind_to(address: SocketAddr, reuse: bool) -> ClosedPort {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(reuse).unwrap();
        socket.bind(&address.into()).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        ClosedPort { address, _socket: socket }
    }
}
