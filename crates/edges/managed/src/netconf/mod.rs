//! NETCONF over SSH (RFC 6241, RFC 6242), on russh. Messages are `lemonusher-netconf`'s; here are connections,
//! who may come in, and the bounds of what they hold together.

mod session;

use crate::hub::Hub;
use crate::users::{Grant, Users};
use russh::keys::{Algorithm, PrivateKey};
use russh::server::{Auth, ChannelOpenHandle, Config, Handler, Msg, Session, VerifiedPublicKey};
use russh::{Channel, ChannelId, MethodKind, MethodSet};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, Semaphore};

/// Connections beyond the sessions that there may be, for those that have not come in yet.
const MAX_CONNECTIONS: usize = 1200;
const LOGIN_TIMEOUT: Duration = Duration::from_secs(30);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(30);
const REJECTION_DELAY: Duration = Duration::from_millis(300);

/// What all sessions share.
pub(super) struct ServerState {
    pub hub: Arc<Hub>,
    pub users: Users,
    /// Ends a session from another.
    pub kill_signals: Mutex<BTreeMap<u32, Arc<Notify>>>,
    /// Bytes of messages that have come in part, over all sessions.
    pub buffered_bytes: AtomicUsize,
    pub subscribed: AtomicUsize,
    /// Subscriptions that all sessions may have.
    pub max_subscriptions: usize,
}

impl ServerState {
    pub(super) fn kill_signals(&self) -> std::sync::MutexGuard<'_, BTreeMap<u32, Arc<Notify>>> {
        self.kill_signals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The host's key: what the file holds, or one that lasts as long as the process.
pub fn host_key(text: Option<&str>) -> Result<PrivateKey, String> {
    match text {
        Some(text) => PrivateKey::from_openssh(text).map_err(|error| format!("NETCONF's host key: {error}")),
        None => PrivateKey::random(&mut rand::rng(), Algorithm::Ed25519).map_err(|error| error.to_string()),
    }
}

/// Serves until the front ends.
pub async fn serve(
    hub: Arc<Hub>,
    listener: TcpListener,
    key: PrivateKey,
    users: Users,
    max_subscriptions: usize,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    let methods: &[MethodKind] = match (users.0.is_empty(), users.uses_keys()) {
        (true, _) => &[MethodKind::None, MethodKind::Password],
        (false, true) => &[MethodKind::PublicKey],
        (false, false) => &[MethodKind::Password],
    };
    let config = Arc::new(Config {
        methods: MethodSet::from(methods),
        auth_rejection_time: REJECTION_DELAY,
        auth_rejection_time_initial: Some(Duration::ZERO),
        keys: vec![key],
        max_auth_attempts: 6,
        inactivity_timeout: None,
        keepalive_interval: Some(KEEPALIVE_INTERVAL),
        keepalive_max: 3,
        nodelay: true,
        window_size: 256 * 1024,
        channel_buffer_size: 16,
        ..Config::default()
    });
    let server = Arc::new(ServerState {
        hub,
        users,
        kill_signals: Mutex::default(),
        buffered_bytes: AtomicUsize::new(0),
        subscribed: AtomicUsize::new(0),
        max_subscriptions,
    });
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return Ok(()) };
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                tracing::warn!("NETCONF can't accept: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        let (config, server) = (config.clone(), server.clone());
        tokio::spawn(async move {
            let _place = place;
            let visitor = Connection { server, grant: None, channel: None, began: Arc::default() };
            let began = visitor.began.clone();
            let running =
                match tokio::time::timeout(LOGIN_TIMEOUT, russh::server::run_stream(config, socket, visitor))
                    .await
                {
                    Ok(Ok(running)) => running,
                    Ok(Err(_)) | Err(_) => return,
                };
            let handle = running.handle();
            let late = async {
                tokio::select! {
                    () = began.notified() => std::future::pending().await,
                    () = tokio::time::sleep(LOGIN_TIMEOUT) => {}
                }
            };
            tokio::select! {
                _ = running => {}
                () = late => {
                    let said = "no session was begun in time".to_owned();
                    let _ = handle.disconnect(russh::Disconnect::ByApplication, said, String::new()).await;
                }
            }
        });
    }
}

/// One SSH connection.
struct Connection {
    server: Arc<ServerState>,
    grant: Option<Grant>,
    channel: Option<Channel<Msg>>,
    /// The session has begun.
    began: Arc<Notify>,
}

impl Connection {
    fn let_in(&mut self, grant: Option<Grant>) -> Auth {
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
        Ok(self.let_in(grant))
    }

    async fn auth_password(&mut self, user: &str, password: &str) -> Result<Auth, Self::Error> {
        let keyed = self.server.users.uses_keys();
        let grant = if keyed { None } else { self.server.users.by_password(Some(user), Some(password)) };
        Ok(self.let_in(grant))
    }

    async fn auth_publickey(&mut self, user: &str, key: VerifiedPublicKey<'_>) -> Result<Auth, Self::Error> {
        let text = key.public_key.to_openssh().unwrap_or_default();
        let grant = self.server.users.by_key(user, &text);
        Ok(self.let_in(grant))
    }

    async fn channel_open_session(
        &mut self,
        channel: Channel<Msg>,
        reply: ChannelOpenHandle,
        _session: &mut Session,
    ) -> Result<(), Self::Error> {
        // One channel a connection; without an answer the request counts as rejected.
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
        let ours = self.channel.take_if(|held| held.id() == channel && name == "netconf");
        let (Some(held), Some(grant)) = (ours, self.grant.take()) else {
            return session.channel_failure(channel);
        };
        session.channel_success(channel)?;
        self.began.notify_one();
        let (server, handle) = (self.server.clone(), session.handle());
        tokio::spawn(async move {
            session::run(held.into_stream(), server, grant).await;
            let said = "the session has ended".to_owned();
            let _ = handle.disconnect(russh::Disconnect::ByApplication, said, String::new()).await;
        });
        Ok(())
    }
}
