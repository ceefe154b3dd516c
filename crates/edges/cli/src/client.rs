//! The commands that manage a running front, over gNMI.

use crate::CommandError;
use clap::Args;
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
use lemonusher_managed::gnmi::{EXPECT, OURS};
use std::path::PathBuf;
use std::time::Duration;
use tonic::metadata::MetadataValue;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_MESSAGE_BYTES: usize = 256 * 1024 * 1024;

/// Which front, and as whom.
#[derive(Args, Clone)]
pub struct ConnectionArgs {
    /// The front's gNMI address.
    #[arg(long, global = true, default_value = "127.0.0.1:9339")]
    address: String,
    #[arg(long, global = true)]
    user: Option<String>,
    /// A file that holds the password.
    #[arg(long, global = true)]
    password_file: Option<PathBuf>,
    /// The certificate that the front's must be signed by, as PEM; with it, the connection uses TLS.
    #[arg(long, global = true)]
    ca: Option<PathBuf>,
    /// The name in the front's certificate, where it is not its address.
    #[arg(long, global = true)]
    server_name: Option<String>,
}

/// What `set` may be asked for besides the value.
#[derive(Args, Clone, Default)]
pub struct SetArgs {
    /// Takes away what stands at PATH.
    #[arg(long)]
    pub delete: bool,
    /// Puts VALUE in place of all that stands at PATH.
    #[arg(long)]
    pub replace: bool,
    /// Goes back unless `lemonusher commit ID` follows within so many seconds.
    #[arg(long, value_name = "SECONDS")]
    pub confirm_in: Option<u64>,
    /// The id that such a change goes by.
    #[arg(long, default_value = "cli")]
    pub id: String,
    /// The version that must be in force.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<u64>,
}

pub struct Client {
    inner: GNmiClient<Channel>,
    user: Option<(String, String)>,
    json: bool,
}

type CommandResult = Result<(), CommandError>;

fn failed(status: Status) -> CommandError {
    CommandError::Failed(format!("{}: {}", code(&status), status.message()))
}

fn code(status: &Status) -> String {
    format!("{:?}", status.code())
}

impl Client {
    pub async fn connect(args: &ConnectionArgs, json: bool) -> Result<Client, CommandError> {
        let read = |path: &PathBuf| {
            std::fs::read(path)
                .map_err(|error| CommandError::File(vec![format!("{}: {error}", path.display())]))
        };
        let scheme = if args.ca.is_some() { "https" } else { "http" };
        let connect_error = |error: tonic::transport::Error| {
            let cause = std::error::Error::source(&error).map(|cause| format!(": {cause}"));
            CommandError::Failed(format!("{}: {error}{}", args.address, cause.unwrap_or_default()))
        };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", args.address))
            .map_err(connect_error)?
            .connect_timeout(TIMEOUT);
        if let Some(ca) = &args.ca {
            let mut tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(read(ca)?));
            if let Some(name) = &args.server_name {
                tls = tls.domain_name(name);
            }
            endpoint = endpoint.tls_config(tls).map_err(connect_error)?;
        }
        let user = match (&args.user, &args.password_file) {
            (Some(user), Some(file)) => {
                let password = String::from_utf8_lossy(&read(file)?).trim_end().to_owned();
                Some((user.clone(), password))
            }
            _ => None,
        };
        let channel = endpoint.connect().await.map_err(connect_error)?;
        let inner = GNmiClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        Ok(Client { inner, user, json })
    }

    fn request<T>(&self, message: T) -> Result<Request<T>, CommandError> {
        let mut request = Request::new(message);
        if let Some((user, password)) = &self.user {
            for (name, value) in [("username", user), ("password", password)] {
                let value = MetadataValue::try_from(value.as_str())
                    .map_err(|_| CommandError::Failed(format!("{name} can't be sent")))?;
                request.metadata_mut().insert(name, value);
            }
        }
        Ok(request)
    }

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

    pub async fn set(&mut self, path: &str, value: Option<&str>, args: &SetArgs) -> CommandResult {
        let path = parse_path(path)?;
        let mut message = SetRequest::default();
        if args.delete {
            message.delete.push(path);
        } else {
            let Some(value) = value else {
                return Err(CommandError::Failed("VALUE is missing, or --delete".to_owned()));
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
            message.extension.push(own_extension(&serde_json::json!({EXPECT: expect})));
        }
        self.change(message).await
    }

    pub async fn confirm(&mut self, id: &str, cancel: bool) -> CommandResult {
        let action = match cancel {
            true => Action::Cancel(CommitCancel {}),
            false => Action::Confirm(CommitConfirm {}),
        };
        self.change(SetRequest { extension: vec![commit_extension(id, action)], ..SetRequest::default() })
            .await
    }

    pub async fn rollback(&mut self, to: u64) -> CommandResult {
        let extension = vec![own_extension(&serde_json::json!({"rollback": to}))];
        self.change(SetRequest { extension, ..SetRequest::default() }).await
    }

    async fn change(&mut self, message: SetRequest) -> CommandResult {
        let mut request = self.request(message)?;
        request.set_timeout(TIMEOUT);
        let response = self.inner.set(request).await.map_err(failed)?.into_inner();
        let version = response.extension.into_iter().find_map(|extension| match extension.ext {
            Some(Ext::RegisteredExt(extension)) if extension.id == OURS => {
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

    /// Prints updates as they come, up to `count` of them.
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

fn commit_extension(id: &str, action: Action) -> Extension {
    Extension { ext: Some(Ext::Commit(Commit { id: id.to_owned(), action: Some(action) })) }
}

fn own_extension(content: &serde_json::Value) -> Extension {
    let extension = RegisteredExtension { id: OURS, msg: content.to_string().into_bytes() };
    Extension { ext: Some(Ext::RegisteredExt(extension)) }
}

fn parse_path(text: &str) -> Result<Path, CommandError> {
    let steps =
        lemonusher_model::parse_path(text).map_err(|error| CommandError::Failed(error.to_string()))?;
    let elem = steps
        .into_iter()
        .map(|step| PathElem { name: step.name, key: step.keys.into_iter().collect() })
        .collect();
    Ok(Path { elem, ..Path::default() })
}

fn path_text(path: &Path) -> String {
    let mut text = String::new();
    for elem in &path.elem {
        text.push('/');
        text.push_str(&elem.name);
        let keys: std::collections::BTreeMap<_, _> = elem.key.iter().collect();
        for (name, value) in keys {
            text.push_str(&format!("[{name}={}]", value.replace('\\', "\\\\").replace(']', "\\]")));
        }
    }
    if text.is_empty() { "/".to_owned() } else { text }
}

fn value_text(value: Option<&TypedValue>) -> String {
    match value.and_then(|value| value.value.as_ref()) {
        Some(Typed::StringVal(text) | Typed::AsciiVal(text)) => text.clone(),
        Some(Typed::UintVal(value)) => value.to_string(),
        Some(Typed::IntVal(value)) => value.to_string(),
        Some(Typed::BoolVal(value)) => value.to_string(),
        Some(Typed::LeaflistVal(list)) => {
            let all: Vec<String> = list.element.iter().map(|value| value_text(Some(value))).collect();
            all.join(" ")
        }
        Some(Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes)) => {
            String::from_utf8_lossy(bytes).into_owned()
        }
        _ => String::new(),
    }
}

fn update_json(update: &Update) -> Option<serde_json::Value> {
    Some(match update.val.as_ref()?.value.as_ref()? {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => serde_json::from_slice(bytes).ok()?,
        Typed::UintVal(value) => (*value).into(),
        Typed::IntVal(value) => (*value).into(),
        Typed::BoolVal(value) => (*value).into(),
        other => value_text(Some(&TypedValue { value: Some(other.clone()) })).into(),
    })
}
