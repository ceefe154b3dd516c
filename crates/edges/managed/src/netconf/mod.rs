//! The NETCONF server over SSH (RFC 6241, RFC 6242), on russh: connections, authentication, and the limits that apply
//! to all sessions together. The package `lemonusher-netconf` reads and writes the messages.

mod session;

use crate::hub::Hub;
use crate::users::{Grant, Users};
use russh::keys::{Algorithm, PrivateKey};
use russh::server::{Auth, ChannelOpenHandle, Config, Handle, Handler, Msg, Session, VerifiedPublicKey};
use russh::{Channel, ChannelId, MethodKind, MethodSet};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};

/// Maximum number of open connections. It is larger than the number of sessions, to leave room for connections that
/// have not authenticated yet.
const MAX_CONNECTIONS: usize = 1200;
/// Timeout for the client's SSH identification. A second timeout of the same length starts after it, for key exchange,
/// authentication and the start of the session together.
const LOGIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without received data after which a keepalive is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
/// Delay before the reply to a rejected authentication; the first `none` request is rejected without delay.
const REJECTION_DELAY: Duration = Duration::from_millis(300);
/// Delay before the next accept after the listener returned an error.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of unanswered keepalives after which a connection is closed.
const MAX_MISSED_KEEPALIVES: usize = 3;
const MAX_AUTH_ATTEMPTS: usize = 6;
const WINDOW_BYTES: u32 = 256 * 1024;
/// Messages that may be queued for an SSH channel.
const MAX_QUEUED_MESSAGES: usize = 16;

/// The state that all NETCONF sessions share.
pub(super) struct ServerState {
    pub hub: Arc<Hub>,
    pub users: Users,
    /// By session id: notified when another session kills this one.
    pub kill_signals: Mutex<BTreeMap<u32, Arc<Notify>>>,
    /// Bytes of incomplete messages that are buffered, over all sessions.
    pub buffered_bytes: AtomicUsize,
    /// Number of open subscriptions, over all sessions.
    pub subscription_count: AtomicUsize,
    /// Maximum number of open subscriptions, over all sessions.
    pub max_subscriptions: usize,
}

impl ServerState {
    pub(super) fn kill_signals(&self) -> std::sync::MutexGuard<'_, BTreeMap<u32, Arc<Notify>>> {
        self.kill_signals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The private SSH host key.
pub type HostKey = PrivateKey;

/// Parses the SSH host key from OpenSSH private key format, or generates one for this run if `text` is None.
pub fn host_key(text: Option<&str>) -> Result<PrivateKey, String> {
    match text {
        Some(text) => {
            PrivateKey::from_openssh(text).map_err(|error| format!("not an OpenSSH private key: {error}"))
        }
        None => PrivateKey::random(&mut rand::rng(), Algorithm::Ed25519).map_err(|error| error.to_string()),
    }
}

/// Accepts connections until the process ends. `max_subscriptions` limits all sessions together.
pub async fn serve(
    hub: Arc<Hub>,
    listener: TcpListener,
    key: HostKey,
    users: Users,
    max_subscriptions: usize,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    let config = Arc::new(ssh_config(key, &users));
    let server = Arc::new(ServerState {
        hub,
        users,
        kill_signals: Mutex::default(),
        buffered_bytes: AtomicUsize::new(0),
        subscription_count: AtomicUsize::new(0),
        max_subscriptions,
    });
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return Ok(()) };
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                tracing::warn!("NETCONF server failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        let (config, server) = (config.clone(), server.clone());
        tokio::spawn(async move {
            let _slot = slot;
            serve_connection(config, server, socket).await;
        });
    }
}

/// The SSH settings. If any user has a public key, only public keys are accepted; otherwise passwords are. If no users
/// are configured, every client is accepted.
fn ssh_config(key: HostKey, users: &Users) -> Config {
    let methods: &[MethodKind] = match (users.0.is_empty(), users.uses_keys()) {
        (true, _) => &[MethodKind::None, MethodKind::Password],
        (false, true) => &[MethodKind::PublicKey],
        (false, false) => &[MethodKind::Password],
    };
    Config {
        methods: MethodSet::from(methods),
        auth_rejection_time: REJECTION_DELAY,
        auth_rejection_time_initial: Some(Duration::ZERO),
        keys: vec![key],
        max_auth_attempts: MAX_AUTH_ATTEMPTS,
        inactivity_timeout: None,
        keepalive_interval: Some(KEEPALIVE_INTERVAL),
        keepalive_max: MAX_MISSED_KEEPALIVES,
        nodelay: true,
        window_size: WINDOW_BYTES,
        channel_buffer_size: MAX_QUEUED_MESSAGES,
        ..Config::default()
    }
}

/// Serves one connection until it ends. Closes it if the client's identification takes longer than [`LOGIN_TIMEOUT`],
/// or if no session has begun within another [`LOGIN_TIMEOUT`].
async fn serve_connection(config: Arc<Config>, server: Arc<ServerState>, socket: TcpStream) {
    let connection = Connection { server, grant: None, channel: None, session_begun: Arc::default() };
    let session_begun = connection.session_begun.clone();
    let authenticating = russh::server::run_stream(config, socket, connection);
    let running = match tokio::time::timeout(LOGIN_TIMEOUT, authenticating).await {
        Ok(Ok(running)) => running,
        Ok(Err(_)) | Err(_) => return,
    };
    let handle = running.handle();
    let timed_out = async {
        tokio::select! {
            () = session_begun.notified() => std::future::pending().await,
            () = tokio::time::sleep(LOGIN_TIMEOUT) => {}
        }
    };
    tokio::select! {
        _ = running => {}
        () = timed_out => disconnect(&handle, "no session was begun in time").await,
    }
}

async fn disconnect(handle: &Handle, reason: &str) {
    let _ = handle.disconnect(russh::Disconnect::ByApplication, reason.to_owned(), String::new()).await;
}

/// One SSH connection.
struct Connection {
    server: Arc<ServerState>,
    /// Set from authentication until the session begins.
    grant: Option<Grant>,
    /// The open channel on which the client may request the `netconf` subsystem.
    channel: Option<Channel<Msg>>,
    /// Notified when the session begins.
    session_begun: Arc<Notify>,
}

impl Connection {
    fn accept(&mut self, grant: Option<Grant>) -> Auth {
        let Some(grant) = grant else { return Auth::reject() };
        self.grant = Some(grant);
        Auth::Accept
    }
}

impl Handler for Connection {
    type Error = russh::Error;

    async fn auth_none(&mut self, user: &str) -> Result<Auth, Self::Error> {
        let open = self.server.users.0.is_empty();
        let grant = if open { self.server.users.by_password(Some(user), None) } else { None };
        Ok(self.accept(grant))
    }

    async fn auth_password(&mut self, user: &str, password: &str) -> Result<Auth, Self::Error> {
        let uses_keys = self.server.users.uses_keys();
        let grant = if uses_keys { None } else { self.server.users.by_password(Some(user), Some(password)) };
        Ok(self.accept(grant))
    }

    async fn auth_publickey(&mut self, user: &str, key: VerifiedPublicKey<'_>) -> Result<Auth, Self::Error> {
        let text = key.public_key.to_openssh().unwrap_or_default();
        let grant = self.server.users.by_key(user, &text);
        Ok(self.accept(grant))
    }

    async fn channel_open_session(
        &mut self,
        channel: Channel<Msg>,
        reply: ChannelOpenHandle,
        _session: &mut Session,
    ) -> Result<(), Self::Error> {
        // Only one channel per connection is accepted. russh rejects a request that gets no reply here.
        if self.channel.is_none() && self.grant.is_some() {
            self.channel = Some(channel);
            reply.accept().await;
        }
        Ok(())
    }

    async fn subsystem_request(
        &mut self,
        channel: ChannelId,
        name: &str,
        session: &mut Session,
    ) -> Result<(), Self::Error> {
        let netconf = self.channel.take_if(|open| open.id() == channel && name == "netconf");
        let (Some(netconf), Some(grant)) = (netconf, self.grant.take()) else {
            return session.channel_failure(channel);
        };
        session.channel_success(channel)?;
        self.session_begun.notify_one();
        let (server, handle) = (self.server.clone(), session.handle());
        tokio::spawn(async move {
            session::run(netconf.into_stream(), server, grant).await;
            disconnect(&handle, "the session has ended").await;
        });
        Ok(())
    }
}
