//! One NETCONF session: the hello exchange, then operations in sequence, interleaved with notifications.

mod notifications;
mod operations;

use super::ServerState;
use crate::hub::{Hub, ManagementEvent};
use crate::users::Grant;
use lemonusher_model::Schema;
use lemonusher_netconf::{
    BASE, Element, Framer, Framing, MONITORING, Operation, frame, hello, parse, read, reply,
};
use lemonusher_store::{Protocol, SessionId};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::sync::broadcast::Receiver;
use tokio::sync::broadcast::error::RecvError;

const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of bytes of incomplete messages that are buffered, over all sessions.
const MAX_BUFFERED_BYTES: usize = 64 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Timeout for the client's hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for writing one message; a client that doesn't read within it is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
const BASE_1_0: &str = "urn:ietf:params:netconf:base:1.0";
const BASE_1_1: &str = "urn:ietf:params:netconf:base:1.1";
/// The capability with which a client requests a private candidate datastore.
const PRIVATE_CANDIDATE: &str = "urn:ietf:params:netconf:capability:private-candidate:1.0";
/// The capabilities of RFC 6241 and RFC 5277, without their common prefix.
const CAPABILITIES: [&str; 8] = [
    "writable-running:1.0",
    "candidate:1.0",
    "confirmed-commit:1.1",
    "rollback-on-error:1.0",
    "validate:1.1",
    "startup:1.0",
    "notification:1.0",
    "interleave:1.0",
];

struct Session {
    id: SessionId,
    server: Arc<ServerState>,
    hub: Arc<Hub>,
    schema: Arc<Schema>,
    grant: Grant,
    framing: Framing,
    subscription: Option<Subscription>,
    /// This session's contribution to [`ServerState::buffered_bytes`].
    buffered_bytes: usize,
    /// Number of events that were dropped because the session did not receive them in time.
    lost_events: u64,
}

struct Subscription {
    events: Receiver<ManagementEvent>,
    filter: Option<Element>,
}

/// Releases the session's resources, however it ends.
impl Drop for Session {
    fn drop(&mut self) {
        self.server.buffered_bytes.fetch_sub(self.buffered_bytes, Ordering::SeqCst);
        if self.subscription.is_some() {
            self.server.subscription_count.fetch_sub(1, Ordering::SeqCst);
        }
        self.server.kill_signals().remove(&self.id);
        self.hub.close_session(self.id);
        tracing::info!(session = self.id, "NETCONF session closed");
    }
}

/// The next input of a session.
enum Incoming {
    Message(String),
    Event(ManagementEvent),
    /// The number of events that were dropped because the session fell behind the broadcast queue.
    Lost(u64),
}

/// Whether the session continues after a reply.
enum AfterReply {
    Continue,
    Close,
}

/// Runs a session on an SSH channel until it ends or another session kills it.
pub(super) async fn run(stream: impl AsyncRead + AsyncWrite + Unpin, server: Arc<ServerState>, grant: Grant) {
    let hub = server.hub.clone();
    let id = match hub.with_store(|store| store.open_session(&grant.user, Protocol::Netconf)) {
        Ok(id) => id,
        Err(error) => return tracing::warn!("NETCONF session for {} refused: {error}", grant.user),
    };
    let killed = Arc::new(Notify::new());
    server.kill_signals().insert(id, killed.clone());
    tracing::info!(session = id, user = grant.user, "NETCONF session opened");
    let mut session = Session {
        id,
        server,
        schema: hub.schema().clone(),
        hub,
        grant,
        framing: Framing::EndOfMessage,
        subscription: None,
        buffered_bytes: 0,
        lost_events: 0,
    };
    tokio::select! {
        ended = session.serve(stream) => {
            if let Err(why) = ended {
                tracing::info!(session = id, "NETCONF session failed: {why}");
            }
        }
        () = killed.notified() => tracing::info!(session = id, "NETCONF session killed"),
    }
}

impl Session {
    async fn serve(&mut self, stream: impl AsyncRead + AsyncWrite + Unpin) -> Result<(), String> {
        let (mut reader, mut writer) = tokio::io::split(stream);
        let our_hello = hello(&capabilities(&self.schema), self.id);
        write(&mut writer, Framing::EndOfMessage, &our_hello).await?;
        let mut framer = Framer::new(MAX_MESSAGE_BYTES);
        let first = tokio::time::timeout(HELLO_TIMEOUT, self.next_incoming(&mut reader, &mut framer)).await;
        let first = first.map_err(|_| "timed out waiting for the client's hello".to_owned())??;
        let Some(first) = first else { return Ok(()) };
        self.handle_hello(&first)?;
        framer.set_framing(self.framing);
        loop {
            let Some(incoming) = self.next_incoming(&mut reader, &mut framer).await? else { return Ok(()) };
            match incoming {
                Incoming::Message(text) => {
                    let (answer, after) = self.handle_message(&text).await;
                    write(&mut writer, self.framing, &answer).await?;
                    if let AfterReply::Close = after {
                        return Ok(());
                    }
                }
                Incoming::Event(event) => {
                    if let Some(text) = self.notify(&event) {
                        write(&mut writer, self.framing, &text).await?;
                    }
                }
                Incoming::Lost(count) => {
                    self.lost_events += count;
                    self.hub.record_lost_updates(self.id, self.lost_events);
                    write(&mut writer, self.framing, &self.lost_notification()).await?;
                }
            }
        }
    }

    /// Receives the next message or, for a session with a subscription, the next event. None once the client has
    /// closed the channel.
    async fn next_incoming(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
        framer: &mut Framer,
    ) -> Result<Option<Incoming>, String> {
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        loop {
            if let Some(message) = framer.next_message().map_err(|error| error.to_string())? {
                self.count_buffered(framer.buffered_bytes())?;
                let text =
                    String::from_utf8(message).map_err(|_| "a message is not valid UTF-8".to_owned())?;
                return Ok(Some(Incoming::Message(text)));
            }
            self.count_buffered(framer.buffered_bytes())?;
            let event = async {
                match &mut self.subscription {
                    Some(subscription) => subscription.events.recv().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                read = reader.read(&mut bytes) => match read {
                    Ok(0) => return Ok(None),
                    Ok(count) => framer.push(&bytes[..count]),
                    Err(error) => return Err(error.to_string()),
                },
                event = event => match event {
                    Ok(event) => return Ok(Some(Incoming::Event(event))),
                    Err(RecvError::Lagged(count)) => return Ok(Some(Incoming::Lost(count))),
                    Err(RecvError::Closed) => return Ok(None),
                },
            }
        }
    }

    /// Replaces this session's share of the bytes that all sessions buffer. Fails if the total would exceed
    /// [`MAX_BUFFERED_BYTES`], unless this session buffers no more than one read.
    fn count_buffered(&mut self, bytes: usize) -> Result<(), String> {
        let total = &self.server.buffered_bytes;
        let others = total.fetch_sub(self.buffered_bytes, Ordering::SeqCst) - self.buffered_bytes;
        self.buffered_bytes = 0;
        if others + bytes > MAX_BUFFERED_BYTES && bytes > READ_BUFFER_BYTES {
            return Err("the limit on buffered bytes of all sessions is reached".to_owned());
        }
        total.fetch_add(bytes, Ordering::SeqCst);
        self.buffered_bytes = bytes;
        Ok(())
    }

    fn handle_hello(&mut self, first: &Incoming) -> Result<(), String> {
        let Incoming::Message(text) = first else {
            return Err("the first message is not a hello".to_owned());
        };
        let hello = parse(text).map_err(|error| format!("the hello is not valid XML: {error}"))?;
        if hello.name != "hello" || hello.ns != BASE || hello.child("session-id").is_some() {
            return Err("the first message is not a client hello".to_owned());
        }
        let capabilities = hello.child("capabilities");
        let has = |name: &str| {
            capabilities.is_some_and(|all| all.children.iter().any(|capability| capability.value() == name))
        };
        if has(BASE_1_1) {
            self.framing = Framing::Chunked;
        } else if !has(BASE_1_0) {
            return Err("the client supports neither NETCONF 1.0 nor 1.1".to_owned());
        }
        if has(PRIVATE_CANDIDATE) {
            let _ = self.hub.with_store(|store| store.use_private_candidate(self.id));
        }
        Ok(())
    }

    async fn handle_message(&mut self, text: &str) -> (String, AfterReply) {
        let rpc = match read(text) {
            Ok(rpc) => rpc,
            Err((attributes, error)) => {
                return (reply(&attributes, &Err(vec![error])), AfterReply::Continue);
            }
        };
        let after = match rpc.operation {
            Operation::CloseSession => AfterReply::Close,
            _ => AfterReply::Continue,
        };
        let answer = self.execute(rpc.operation).await;
        (reply(&rpc.attributes, &answer), after)
    }
}

fn capabilities(schema: &Schema) -> Vec<String> {
    let mut all = vec![BASE_1_0.to_owned(), BASE_1_1.to_owned()];
    all.extend(CAPABILITIES.iter().map(|name| format!("urn:ietf:params:netconf:capability:{name}")));
    all.push(PRIVATE_CANDIDATE.to_owned());
    all.push(format!("{MONITORING}?module=ietf-netconf-monitoring&revision=2010-10-04"));
    let revision = schema.revision.as_deref().unwrap_or_default();
    all.push(format!("{}?module={}&revision={revision}", schema.namespace, schema.module));
    all
}

/// Writes one message. Fails if that takes longer than [`WRITE_TIMEOUT`].
async fn write(writer: &mut (impl AsyncWrite + Unpin), framing: Framing, text: &str) -> Result<(), String> {
    let bytes = frame(framing, text);
    let written = tokio::time::timeout(WRITE_TIMEOUT, async {
        writer.write_all(&bytes).await?;
        writer.flush().await
    });
    match written.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err(format!("timed out after {WRITE_TIMEOUT:?} writing to the client")),
    }
}
