//! Accepts client connections, and closes idle ones to free descriptors for new ones.

use super::accept_delay::AcceptDelay;
use super::session::ClientSession;
use crate::program::shared::Shared;
use crate::transport::{self, Socket};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use lemonusher_routing::Counter;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle time after which a connection is closed. Longer than the time after which clients close idle connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Idle time after which a connection is closed if no complete line has been read on it.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from the accept for which the first line of a new connection is assumed to be on its way.
const FIRST_LINE_GRACE: Duration = Duration::from_millis(100);
/// Interval of the check for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two warnings about failed accepts.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the next accept while no descriptor can be freed, and after a failed accept.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay after a close request, in which the connection checks whether it may close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The listener for clients, and all connections accepted from it.
pub struct ClientListener {
    shared: Rc<Shared>,
    listener: Async<TcpListener>,
    sessions: Rc<RefCell<BTreeMap<u64, Rc<ClientSession>>>>,
    next_session: Cell<u64>,
    accept_delay: AcceptDelay,
}

impl ClientListener {
    /// Creates a listener without connections. `queue_length` is the length of the kernel's accept queue.
    pub fn new(shared: Rc<Shared>, listener: Async<TcpListener>, queue_length: usize) -> Self {
        ClientListener {
            shared,
            listener,
            sessions: Rc::default(),
            next_session: Cell::new(0),
            accept_delay: AcceptDelay::new(queue_length),
        }
    }

    /// Accepts connections and closes idle ones until the future is dropped.
    pub async fn run(&self) {
        self.close_idle().or(self.accept()).await
    }

    async fn accept(&self) {
        let mut warned_at = Instant::now() - WARNING_INTERVAL;
        loop {
            self.wait_for_descriptor().await;
            match self.accept_next().await {
                Ok(socket) => self.serve(socket),
                Err(error) => {
                    if warned_at.elapsed() > WARNING_INTERVAL {
                        log::warn!("accepting a client connection failed: {error}");
                        warned_at = Instant::now();
                    }
                    self.close_longest_idle();
                    self.wait(DESCRIPTOR_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts the next connection, at once if one is queued.
    async fn accept_next(&self) -> io::Result<Socket> {
        let socket = match self.listener.get_ref().accept() {
            Ok((socket, _)) => Async::new(socket)?,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                self.accept_delay.handle_empty_queue();
                self.listener.accept().await?.0
            }
            Err(error) => return Err(error),
        };
        Ok(Socket::new(socket))
    }

    /// Waits without accepting, and records that time as accept delay.
    async fn wait(&self, delay: Duration) {
        let from = Instant::now();
        Timer::after(delay).await;
        self.accept_delay.handle_blocked(from.elapsed());
    }

    /// Serves a connection in a task of its own.
    fn serve(&self, socket: Socket) {
        let _ = socket.get_ref().set_nodelay(true);
        self.shared.counters.add(Counter::ClientConnections, None);
        let number = self.next_session.replace(self.next_session.get() + 1);
        let accept_wait = self.accept_delay.handle_accepted();
        let session = Rc::new(ClientSession::new(self.shared.clone(), socket, accept_wait));
        self.sessions.borrow_mut().insert(number, session.clone());
        let sessions = self.sessions.clone();
        let shared = self.shared.clone();
        let serve = async move {
            if AssertUnwindSafe(session.serve()).catch_unwind().await.is_err() {
                shared.counters.add(Counter::Panics, None);
                log::error!("client connection dropped after its task panicked");
            }
            session.end().await;
            sessions.borrow_mut().remove(&number);
        };
        self.shared.executor.spawn(serve).detach();
    }

    /// Waits until there is a descriptor for one more connection. To free one, it requests the close of the
    /// connection that has been idle or has lingered longest. While all are busy, new connections wait in the
    /// kernel's accept queue.
    async fn wait_for_descriptor(&self) {
        let limits = self.shared.descriptor_limits;
        loop {
            let (all, lingering) = {
                let sessions = self.sessions.borrow();
                (sessions.len(), sessions.values().filter(|session| session.is_lingering()).count())
            };
            if all - lingering >= limits.clients {
                let delay =
                    if self.close_longest_idle() { CLOSE_CHECK_INTERVAL } else { DESCRIPTOR_RETRY_DELAY };
                self.wait(delay).await;
            } else if all >= limits.clients + limits.lingering {
                self.close_longest_lingering();
                self.wait(CLOSE_CHECK_INTERVAL).await;
            } else {
                return;
            }
        }
    }

    /// Requests the close of one idle connection: preferably one without a first line in time, or else the one that
    /// has been idle longest. Returns false if none is idle.
    fn close_longest_idle(&self) -> bool {
        let sessions = self.sessions.borrow();
        let idle = sessions.values().filter_map(|session| Some((session, session.idle_time()?)));
        // A new connection is the last choice, because its first line is probably on its way.
        let rank = |session: &ClientSession, idle_time: Duration| match (
            session.has_received_line(),
            idle_time < FIRST_LINE_GRACE,
        ) {
            (false, false) => 2,
            (true, _) => 1,
            (false, true) => 0,
        };
        let longest_idle = idle
            .filter(|(session, _)| !transport::has_unread(&session.socket()))
            .max_by_key(|(session, idle_time)| (rank(session, *idle_time), *idle_time));
        longest_idle.inspect(|(session, _)| session.request_close()).is_some()
    }

    fn close_longest_lingering(&self) {
        let sessions = self.sessions.borrow();
        let lingering = sessions.values().filter_map(|session| Some((session.lingering_since()?, session)));
        if let Some((_, session)) = lingering.min_by_key(|(since, _)| *since) {
            session.request_close();
        }
    }

    /// Periodically requests the close of connections that have been idle for too long.
    async fn close_idle(&self) {
        loop {
            Timer::after(IDLE_CHECK_INTERVAL).await;
            for session in self.sessions.borrow().values() {
                let timeout = if session.has_received_line() { IDLE_TIMEOUT } else { FIRST_LINE_TIMEOUT };
                if session.idle_time().is_some_and(|idle_time| idle_time > timeout) {
                    session.request_close();
                }
            }
        }
    }

    /// Accepts the connections that are already queued, and no further ones. Each closes gracefully once no
    /// request is open on it. Returns when all have closed, or at the time `until`.
    pub async fn shut_down(self, until: Instant) {
        while let Ok((socket, _)) = self.listener.get_ref().accept() {
            if let Ok(socket) = Async::new(socket) {
                self.serve(Socket::new(socket));
            }
        }
        drop(self.listener);
        while !self.sessions.borrow().is_empty() && Instant::now() < until {
            for session in self.sessions.borrow().values().filter(|session| !session.is_lingering()) {
                // The first line of a new connection is probably on its way.
                let may_close = |idle_time| session.has_received_line() || idle_time > FIRST_LINE_GRACE;
                if session.idle_time().is_some_and(may_close) {
                    session.request_close();
                }
            }
            Timer::after(CLOSE_CHECK_INTERVAL * 4).await;
        }
    }
}
