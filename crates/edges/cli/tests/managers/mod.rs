//! A front that runs with an operator's file, and clients of both management protocols, for tests.

use lemonusher_fakes::{
    CountingEngine, DiscoveryServer, Front, TEST_TIMEOUT, start_config, temp_file, temp_path,
};
use lemonusher_managed::gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use lemonusher_managed::gnmi::proto::gnmi::subscribe_request::Request as RequestMessage;
use lemonusher_managed::gnmi::proto::gnmi::subscribe_response::Response as ResponseMessage;
use lemonusher_managed::gnmi::proto::gnmi::typed_value::Value as TypedVal;
use lemonusher_managed::gnmi::proto::gnmi::*;
use lemonusher_managed::gnmi::proto::gnmi_ext::commit::Action;
use lemonusher_managed::gnmi::proto::gnmi_ext::extension::Ext;
use lemonusher_managed::gnmi::proto::gnmi_ext::{Commit, CommitRequest, Extension};
use lemonusher_netconf::{BASE, Element, Framer, Framing, frame, parse};
use russh::client;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::runtime::Runtime;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Status, Streaming};

pub fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap()
}

/// A temporary folder for a front's state; removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        Folder(temp_path("state"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A managed front, with the addresses of its management servers and a fake discovery server.
pub struct ManagedFront {
    pub front: Front,
    pub gnmi: SocketAddr,
    pub netconf: SocketAddr,
    /// Kept alive because the front connects to it.
    _discovery: DiscoveryServer,
}

/// Runs a front with these engines; `extra_toml` is added to section `[managed]` of the operator's file.
pub fn run(engines: &[&CountingEngine], folder: Option<&Path>, extra_toml: &str) -> ManagedFront {
    let discovery = DiscoveryServer::start();
    let engine_addresses: Vec<(u32, SocketAddr)> =
        engines.iter().enumerate().map(|(number, engine)| (number as u32 + 1, engine.address)).collect();
    run_with_start_file(&start_config(&engine_addresses, discovery.address), discovery, folder, extra_toml)
}

pub fn run_with_start_file(
    start_file: &Value,
    discovery: DiscoveryServer,
    folder: Option<&Path>,
    extra_toml: &str,
) -> ManagedFront {
    let start_file = temp_file("json", &start_file.to_string());
    let folder = folder.map(|folder| format!("folder = {:?}", folder.display().to_string()));
    let text = format!(
        "[front]\ntold = {:?}\n[managed]\nfreshness_ms = 5\n{}\n{extra_toml}\n[managed.gnmi]\nlisten = \"127.0.0.1:0\"\n[managed.netconf]\nlisten = \"127.0.0.1:0\"\n",
        start_file.display().to_string(),
        folder.unwrap_or_default(),
    );
    let managed = run_with_operator_file(&text, discovery);
    let _ = std::fs::remove_file(start_file);
    managed
}

/// Runs a front with an operator's file that enables both management servers.
pub fn run_with_operator_file(text: &str, discovery: DiscoveryServer) -> ManagedFront {
    let path = temp_file("toml", text);
    let mut command = Command::new(env!("CARGO_BIN_EXE_lemonusher"));
    command.arg("run").arg(&path);
    let front = Front::spawn(command, path);
    let address = |what: &str| front.startup_log_value(what).and_then(|text| text.parse().ok()).expect(what);
    ManagedFront { gnmi: address("gNMI at"), netconf: address("NETCONF at"), front, _discovery: discovery }
}

// gNMI client.

#[derive(Clone)]
pub struct Gnmi(pub GNmiClient<Channel>);

pub fn gnmi_path(path: &str) -> Option<lemonusher_managed::gnmi::proto::gnmi::Path> {
    let elem = lemonusher_model::parse_path(path).unwrap().into_iter();
    let elem = elem.map(|step| PathElem { name: step.name, key: step.keys.into_iter().collect() }).collect();
    Some(lemonusher_managed::gnmi::proto::gnmi::Path { elem, ..Default::default() })
}

pub fn update(path: &str, value: &Value) -> Update {
    let val = TypedVal::JsonIetfVal(value.to_string().into_bytes());
    Update { path: gnmi_path(path), val: Some(TypedValue { value: Some(val) }), duplicates: 0 }
}

/// Extension for a commit that must be confirmed under this id within this time.
pub fn confirm_within(id: &str, seconds: i64) -> Extension {
    let rollback_duration = Some(prost_types::Duration { seconds, nanos: 0 });
    action(id, Action::Commit(CommitRequest { rollback_duration }))
}

pub fn action(id: &str, action: Action) -> Extension {
    Extension { ext: Some(Ext::Commit(Commit { id: id.to_owned(), action: Some(action) })) }
}

impl Gnmi {
    pub async fn connect(address: SocketAddr) -> Gnmi {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
        let client = GNmiClient::new(endpoint.connect().await.unwrap());
        Gnmi(client.max_decoding_message_size(64 * 1024 * 1024))
    }

    pub async fn get(&mut self, path: &str, kind: DataType) -> Result<Value, Status> {
        let request = GetRequest {
            path: gnmi_path(path).into_iter().collect(),
            r#type: kind.into(),
            encoding: Encoding::JsonIetf.into(),
            ..Default::default()
        };
        let response = self.0.get(request).await?.into_inner();
        let update = response.notification.into_iter().flat_map(|n| n.update).next();
        Ok(update.map(|update| value_of(&update)).unwrap_or_default())
    }

    pub async fn set(&mut self, updates: Vec<Update>) -> Result<(), Status> {
        self.change(SetRequest { update: updates, ..Default::default() }).await
    }

    pub async fn change(&mut self, request: SetRequest) -> Result<(), Status> {
        self.0.set(request).await.map(drop)
    }

    /// Subscribes to these paths. The request stream stays open until the result is dropped.
    pub async fn subscribe(
        &mut self,
        paths: &[&str],
        mode: SubscriptionMode,
        every_ms: u64,
    ) -> Result<Updates, Status> {
        let subscription = paths.iter().map(|path| Subscription {
            path: gnmi_path(path),
            mode: mode.into(),
            sample_interval: every_ms * 1_000_000,
            ..Default::default()
        });
        let list = SubscriptionList {
            subscription: subscription.collect(),
            encoding: Encoding::JsonIetf.into(),
            ..Default::default()
        };
        let first =
            SubscribeRequest { request: Some(RequestMessage::Subscribe(list)), extension: Vec::new() };
        let (open, requests) = tokio::sync::mpsc::channel(1);
        open.send(first).await.unwrap();
        let stream = self.0.subscribe(ReceiverStream::new(requests)).await?.into_inner();
        Ok(Updates { stream, _open: open })
    }
}

/// An open subscription.
pub struct Updates {
    stream: Streaming<SubscribeResponse>,
    _open: tokio::sync::mpsc::Sender<SubscribeRequest>,
}

pub fn value_of(update: &Update) -> Value {
    match update.val.as_ref().and_then(|val| val.value.as_ref()) {
        Some(TypedVal::JsonIetfVal(bytes)) => serde_json::from_slice(bytes).unwrap(),
        other => panic!("{other:?}"),
    }
}

/// The next updates of a subscription; none for a response without updates, such as a sync response.
pub async fn updates(updates: &mut Updates) -> Option<Vec<Update>> {
    let response =
        tokio::time::timeout(TEST_TIMEOUT, updates.stream.message()).await.expect("an update in time");
    match response.unwrap().expect("the stream goes on").response {
        Some(ResponseMessage::Update(notification)) => Some(notification.update),
        _ => None,
    }
}

// NETCONF client.

pub struct AcceptAnyKey;

impl client::Handler for AcceptAnyKey {
    type Error = russh::Error;

    async fn check_server_key(
        &mut self,
        _: &russh::keys::PublicKeyOrCertificate,
    ) -> Result<bool, Self::Error> {
        Ok(true)
    }
}

pub struct Netconf {
    stream: russh::ChannelStream<client::Msg>,
    _handle: client::Handle<AcceptAnyKey>,
    framer: Framer,
    framing: Framing,
    pub id: u32,
    next_message_id: u32,
}

impl Netconf {
    pub async fn connect(address: SocketAddr) -> Netconf {
        Netconf::connect_with(address, &["urn:ietf:params:netconf:base:1.1"]).await
    }

    pub async fn connect_with(address: SocketAddr, capabilities: &[&str]) -> Netconf {
        let config = Arc::new(client::Config::default());
        let mut handle = client::connect(config, address, AcceptAnyKey).await.unwrap();
        assert!(handle.authenticate_none("ops").await.unwrap().success());
        let channel = handle.channel_open_session().await.unwrap();
        channel.request_subsystem(true, "netconf").await.unwrap();
        let mut netconf = Netconf {
            stream: channel.into_stream(),
            _handle: handle,
            framer: Framer::new(64 * 1024 * 1024),
            framing: Framing::EndOfMessage,
            id: 0,
            next_message_id: 1,
        };
        let capabilities: String =
            capabilities.iter().map(|name| format!("<capability>{name}</capability>")).collect();
        let hello = format!("<hello xmlns=\"{BASE}\"><capabilities>{capabilities}</capabilities></hello>");
        netconf.send(&hello).await;
        let server_hello = parse(&netconf.receive().await.expect("a hello")).unwrap();
        netconf.id = server_hello.child("session-id").unwrap().value().parse().unwrap();
        if capabilities.contains("base:1.1") {
            netconf.framing = Framing::Chunked;
            netconf.framer.set_framing(Framing::Chunked);
        }
        netconf
    }

    pub async fn send(&mut self, text: &str) {
        let bytes = frame(self.framing, text);
        self.stream.write_all(&bytes).await.unwrap();
        self.stream.flush().await.unwrap();
    }

    pub async fn send_raw(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok() && self.stream.flush().await.is_ok()
    }

    /// The next message, or none after the session has ended.
    pub async fn receive(&mut self) -> Option<String> {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            if let Some(message) = self.framer.next_message().unwrap() {
                return Some(String::from_utf8(message).unwrap());
            }
            let read = tokio::time::timeout(TEST_TIMEOUT, self.stream.read(&mut bytes))
                .await
                .expect("an answer in time");
            match read {
                Ok(0) | Err(_) => return None,
                Ok(count) => self.framer.push(&bytes[..count]),
            }
        }
    }

    pub async fn ask(&mut self, operation: &str) -> Element {
        self.next_message_id += 1;
        let text = format!("<rpc xmlns=\"{BASE}\" message-id=\"{}\">{operation}</rpc>", self.next_message_id);
        self.send(&text).await;
        parse(&self.receive().await.expect("a reply")).unwrap()
    }

    pub async fn ok(&mut self, operation: &str) {
        let reply = self.ask(operation).await;
        assert!(reply.child("ok").is_some(), "{operation}: {reply:?}");
    }

    /// Sends an operation that must fail. Returns the error's tag.
    pub async fn error(&mut self, operation: &str) -> String {
        let reply = self.ask(operation).await;
        let error = reply.child("rpc-error").unwrap_or_else(|| panic!("{operation}: {reply:?}"));
        error.child("error-tag").unwrap().value().to_owned()
    }

    /// The bytes of the reply from the element `data` on, without the message id.
    pub async fn bytes(&mut self, operation: &str) -> String {
        self.next_message_id += 1;
        let text = format!("<rpc xmlns=\"{BASE}\" message-id=\"{}\">{operation}</rpc>", self.next_message_id);
        self.send(&text).await;
        let reply = self.receive().await.expect("a reply");
        reply.split_once("<data").map(|(_, rest)| rest.to_owned()).expect(&reply)
    }
}

pub const RUNNING: &str = "<get-config><source><running/></source></get-config>";

pub fn edit(target: &str, front: &str) -> String {
    format!(
        "<edit-config xmlns:nc=\"{BASE}\"><target><{target}/></target><config><front xmlns=\"urn:lemonusher:front\">{front}</front></config></edit-config>"
    )
}
