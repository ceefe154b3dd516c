//! The gNMI client of the management commands.

use super::values::{parse_path, path_text, update_json, value_text};
use super::{ConnectionArgs, SetArgs};
use crate::error::{CommandError, read_bytes};
use lemonusher_managed::gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use lemonusher_managed::gnmi::proto::gnmi::subscribe_request::Request as SubscribeMessage;
use lemonusher_managed::gnmi::proto::gnmi::subscribe_response::Response as SubscribeReply;
use lemonusher_managed::gnmi::proto::gnmi::typed_value::Value as Typed;
use lemonusher_managed::gnmi::proto::gnmi::*;
use lemonusher_managed::gnmi::proto::gnmi_ext::commit::Action;
use lemonusher_managed::gnmi::proto::gnmi_ext::extension::Ext;
use lemonusher_managed::gnmi::proto::gnmi_ext::{
    Commit, CommitCancel, CommitConfirm, CommitRequest, Extension, RegisteredExtension,
};
use lemonusher_managed::gnmi::{EXPECTED_VERSION_KEY, EXTENSION_ID};
use std::time::Duration;
use tonic::metadata::MetadataValue;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};

/// Timeout of the connection attempt and of the response to one request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of a received message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024 * 1024;

struct Credentials {
    user: String,
    password: String,
}

/// A connection to a front. Its methods print the responses on standard output.
pub struct Client {
    inner: GNmiClient<Channel>,
    credentials: Option<Credentials>,
    json: bool,
}

type CommandResult = Result<(), CommandError>;

fn failed(status: Status) -> CommandError {
    CommandError::Failed(format!("{}: {}", code(&status), status.message()))
}

fn code(status: &Status) -> String {
    format!("{:?}", status.code())
}

fn commit_extension(id: &str, action: Action) -> Extension {
    Extension { ext: Some(Ext::Commit(Commit { id: id.to_owned(), action: Some(action) })) }
}

fn own_extension(content: &serde_json::Value) -> Extension {
    let extension = RegisteredExtension { id: EXTENSION_ID, msg: content.to_string().into_bytes() };
    Extension { ext: Some(Ext::RegisteredExt(extension)) }
}

impl Client {
    /// Connects, with TLS if a certificate is given.
    pub async fn connect(args: &ConnectionArgs, json: bool) -> Result<Client, CommandError> {
        let scheme = if args.ca.is_some() { "https" } else { "http" };
        let connect_error = |error: tonic::transport::Error| {
            let cause = std::error::Error::source(&error).map(|cause| format!(": {cause}"));
            CommandError::Failed(format!("{}: {error}{}", args.address, cause.unwrap_or_default()))
        };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", args.address))
            .map_err(connect_error)?
            .connect_timeout(TIMEOUT);
        if let Some(ca) = &args.ca {
            let mut tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(read_bytes(ca)?));
            if let Some(name) = &args.server_name {
                tls = tls.domain_name(name);
            }
            endpoint = endpoint.tls_config(tls).map_err(connect_error)?;
        }
        let credentials = match (&args.user, &args.password_file) {
            (Some(user), Some(file)) => {
                let password = String::from_utf8_lossy(&read_bytes(file)?).trim_end().to_owned();
                Some(Credentials { user: user.clone(), password })
            }
            _ => None,
        };
        let channel = endpoint.connect().await.map_err(connect_error)?;
        let inner = GNmiClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        Ok(Client { inner, credentials, json })
    }

    fn request<T>(&self, message: T) -> Result<Request<T>, CommandError> {
        let mut request = Request::new(message);
        if let Some(Credentials { user, password }) = &self.credentials {
            for (name, value) in [("username", user), ("password", password)] {
                let value = MetadataValue::try_from(value.as_str()).map_err(|_| {
                    CommandError::Failed(format!("{name} contains characters that gRPC metadata can't carry"))
                })?;
                request.metadata_mut().insert(name, value);
            }
        }
        Ok(request)
    }

    /// Prints the values at a path.
    pub async fn get(&mut self, path: &str, kind: DataType) -> CommandResult {
        let encoding = if self.json { Encoding::JsonIetf } else { Encoding::Proto };
        let message = GetRequest {
            path: vec![parse_path(path)?],
            r#type: kind.into(),
            encoding: encoding.into(),
            ..GetRequest::default()
        };
        let mut request = self.request(message)?;
        request.set_timeout(TIMEOUT);
        let response = self.inner.get(request).await.map_err(failed)?.into_inner();
        for update in response.notification.into_iter().flat_map(|notification| notification.update) {
            self.print(&update, false);
        }
        Ok(())
    }

    /// Deletes, replaces or updates the node at a path.
    pub async fn set(&mut self, path: &str, value: Option<&str>, args: &SetArgs) -> CommandResult {
        let path = parse_path(path)?;
        let mut message = SetRequest::default();
        if args.delete {
            message.delete.push(path);
        } else {
            let Some(value) = value else {
                return Err(CommandError::Failed("VALUE or --delete is required".to_owned()));
            };
            let val = if value.starts_with(['{', '[']) {
                Typed::JsonIetfVal(value.as_bytes().to_vec())
            } else {
                Typed::AsciiVal(value.to_owned())
            };
            let update =
                Update { path: Some(path), val: Some(TypedValue { value: Some(val) }), duplicates: 0 };
            if args.replace { message.replace.push(update) } else { message.update.push(update) }
        }
        if let Some(seconds) = args.confirm_in {
            let rollback_duration = Some(prost_types::Duration { seconds: seconds as i64, nanos: 0 });
            let action = Action::Commit(CommitRequest { rollback_duration });
            message.extension.push(commit_extension(&args.id, action));
        }
        if let Some(expect) = args.expect {
            message.extension.push(own_extension(&serde_json::json!({EXPECTED_VERSION_KEY: expect})));
        }
        self.change(message).await
    }

    /// Confirms a change that awaits confirmation, or cancels it.
    pub async fn confirm(&mut self, id: &str, cancel: bool) -> CommandResult {
        let action = match cancel {
            true => Action::Cancel(CommitCancel {}),
            false => Action::Confirm(CommitConfirm {}),
        };
        self.change(SetRequest { extension: vec![commit_extension(id, action)], ..SetRequest::default() })
            .await
    }

    /// Puts an earlier version in force.
    pub async fn rollback(&mut self, to: u64) -> CommandResult {
        let extension = vec![own_extension(&serde_json::json!({"rollback": to}))];
        self.change(SetRequest { extension, ..SetRequest::default() }).await
    }

    async fn change(&mut self, message: SetRequest) -> CommandResult {
        let mut request = self.request(message)?;
        request.set_timeout(TIMEOUT);
        let response = self.inner.set(request).await.map_err(failed)?.into_inner();
        let version = response.extension.into_iter().find_map(|extension| match extension.ext {
            Some(Ext::RegisteredExt(extension)) if extension.id == EXTENSION_ID => {
                serde_json::from_slice::<serde_json::Value>(&extension.msg).ok()?.get("version")?.as_u64()
            }
            _ => None,
        });
        match (self.json, version) {
            (true, version) => println!("{}", serde_json::json!({"version": version})),
            (false, Some(version)) => println!("version {version} is in force"),
            (false, None) => println!("done"),
        }
        Ok(())
    }

    /// Prints the commits that can be rolled back to.
    pub async fn history(&mut self) -> CommandResult {
        let message = GetRequest {
            path: vec![parse_path("/front/state/commit")?],
            encoding: Encoding::JsonIetf.into(),
            ..GetRequest::default()
        };
        let mut request = self.request(message)?;
        request.set_timeout(TIMEOUT);
        let response = self.inner.get(request).await.map_err(failed)?.into_inner();
        let updates = response.notification.into_iter().flat_map(|notification| notification.update);
        let mut commits: Vec<serde_json::Value> = updates.filter_map(|update| update_json(&update)).collect();
        let number = |commit: &serde_json::Value| {
            commit.get("version").and_then(|v| v.as_str()).and_then(|v| v.parse::<u64>().ok())
        };
        commits.sort_by_key(|commit| std::cmp::Reverse(number(commit)));
        if self.json {
            println!("{}", serde_json::Value::from(commits));
            return Ok(());
        }
        println!("{:>8}  {:>15}  {:>8}  {:<8}  {:<16}  cause", "version", "unix ms", "changes", "by", "user");
        for commit in commits {
            let text = |name: &str| match commit.get(name) {
                Some(serde_json::Value::String(text)) => text.clone(),
                Some(other) => other.to_string(),
                None => String::new(),
            };
            println!(
                "{:>8}  {:>15}  {:>8}  {:<8}  {:<16}  {}",
                text("version"),
                text("at"),
                text("changes"),
                text("protocol"),
                text("user"),
                text("cause")
            );
        }
        Ok(())
    }

    /// Prints updates as they are received, up to `count` of them.
    pub async fn watch(
        &mut self,
        path: &str,
        every: Option<Duration>,
        count: Option<usize>,
    ) -> CommandResult {
        let (mode, sample_interval) = match every {
            Some(every) => (SubscriptionMode::Sample, every.as_nanos() as u64),
            None => (SubscriptionMode::OnChange, 0),
        };
        let list = SubscriptionList {
            subscription: vec![Subscription {
                path: Some(parse_path(path)?),
                mode: mode.into(),
                sample_interval,
                ..Subscription::default()
            }],
            encoding: Encoding::Proto.into(),
            ..SubscriptionList::default()
        };
        let first =
            SubscribeRequest { request: Some(SubscribeMessage::Subscribe(list)), extension: Vec::new() };
        // The stream of requests stays open for as long as updates are wanted.
        let requests = tokio_stream::StreamExt::chain(tokio_stream::iter([first]), tokio_stream::pending());
        let request = self.request(requests)?;
        let mut responses = self.inner.subscribe(request).await.map_err(failed)?.into_inner();
        let mut printed = 0;
        while let Some(response) = responses.message().await.map_err(failed)? {
            let Some(SubscribeReply::Update(notification)) = response.response else { continue };
            for path in &notification.delete {
                printed += 1;
                match self.json {
                    true => println!("{}", serde_json::json!({"path": path_text(path), "deleted": true})),
                    false => println!("{} is gone", path_text(path)),
                }
            }
            for update in &notification.update {
                self.print(update, true);
                printed += 1;
            }
            if count.is_some_and(|count| printed >= count) {
                return Ok(());
            }
        }
        Ok(())
    }

    fn print(&self, update: &Update, line: bool) {
        let path = update.path.as_ref().map(path_text).unwrap_or_default();
        if !self.json {
            return println!("{path} {}", value_text(update.val.as_ref()));
        }
        let value = update_json(update);
        if line {
            println!("{}", serde_json::json!({"path": path, "value": value}));
        } else {
            println!("{}", value.unwrap_or_default());
        }
    }
}
