//! The verbs that speak gNMI to a running front.

use crate::Failure;
use clap::Args;
use lemonusher_managed::gnmi::proto::gnmi::g_nmi_client::GNmiClient;
use lemonusher_managed::gnmi::proto::gnmi::get_request::DataType;
use lemonusher_managed::gnmi::proto::gnmi::subscribe_request::Request as Asked;
use lemonusher_managed::gnmi::proto::gnmi::subscribe_response::Response as Said;
use lemonusher_managed::gnmi::proto::gnmi::typed_value::Value as Typed;
use lemonusher_managed::gnmi::proto::gnmi::*;
use lemonusher_managed::gnmi::proto::gnmi_ext::commit::Action;
use lemonusher_managed::gnmi::proto::gnmi_ext::extension::Ext;
use lemonusher_managed::gnmi::proto::gnmi_ext::{
    Commit, CommitCancel, CommitConfirm, CommitRequest, Extension, RegisteredExtension,
};
use lemonusher_managed::gnmi::{EXPECTED_VERSION_KEY, EXTENSION_ID};
use std::path::PathBuf;
use std::time::Duration;
use tonic::metadata::MetadataValue;
use tonic::transport::{Certificate, Channel, ClientTlsConfig, Endpoint};
use tonic::{Request, Status};

const PATIENCE: Duration = Duration::from_secs(10);
const LARGEST: usize = 256 * 1024 * 1024;

/// Which front, and as whom.
#[derive(Args, Clone)]
pub struct Reach {
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
pub struct SetTerms {
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

type Done = Result<(), Failure>;

fn failed(status: Status) -> Failure {
    Failure::Failed(format!("{}: {}", code(&status), status.message()))
}

fn code(status: &Status) -> String {
    format!("{:?}", status.code())
}

impl Client {
    pub async fn connect(reach: &Reach, json: bool) -> Result<Client, Failure> {
        let read = |path: &PathBuf| {
            std::fs::read(path).map_err(|error| Failure::File(vec![format!("{}: {error}", path.display())]))
        };
        let scheme = if reach.ca.is_some() { "https" } else { "http" };
        let wrong = |error: tonic::transport::Error| {
            let cause = std::error::Error::source(&error).map(|cause| format!(": {cause}"));
            Failure::Failed(format!("{}: {error}{}", reach.address, cause.unwrap_or_default()))
        };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{}", reach.address))
            .map_err(wrong)?
            .connect_timeout(PATIENCE);
        if let Some(ca) = &reach.ca {
            let mut tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(read(ca)?));
            if let Some(name) = &reach.server_name {
                tls = tls.domain_name(name);
            }
            endpoint = endpoint.tls_config(tls).map_err(wrong)?;
        }
        let user = match (&reach.user, &reach.password_file) {
            (Some(user), Some(file)) => {
                let password = String::from_utf8_lossy(&read(file)?).trim_end().to_owned();
                Some((user.clone(), password))
            }
            _ => None,
        };
        let channel = endpoint.connect().await.map_err(wrong)?;
        let inner = GNmiClient::new(channel).max_decoding_message_size(LARGEST);
        Ok(Client { inner, user, json })
    }

    fn request<T>(&self, message: T) -> Result<Request<T>, Failure> {
        let mut request = Request::new(message);
        if let Some((user, password)) = &self.user {
            for (name, value) in [("username", user), ("password", password)] {
                let value = MetadataValue::try_from(value.as_str())
                    .map_err(|_| Failure::Failed(format!("{name} can't be sent")))?;
                request.metadata_mut().insert(name, value);
            }
        }
        Ok(request)
    }

    pub async fn get(&mut self, path: &str, kind: DataType) -> Done {
        let encoding = if self.json { Encoding::JsonIetf } else { Encoding::Proto };
        let message = GetRequest {
            path: vec![path_of(path)?],
            r#type: kind.into(),
            encoding: encoding.into(),
            ..GetRequest::default()
        };
        let mut request = self.request(message)?;
        request.set_timeout(PATIENCE);
        let answer = self.inner.get(request).await.map_err(failed)?.into_inner();
        for update in answer.notification.into_iter().flat_map(|notification| notification.update) {
            self.print(&update, false);
        }
        Ok(())
    }

    pub async fn set(&mut self, path: &str, value: Option<&str>, terms: &SetTerms) -> Done {
        let path = path_of(path)?;
        let mut message = SetRequest::default();
        if terms.delete {
            message.delete.push(path);
        } else {
            let Some(value) = value else {
                return Err(Failure::Failed("VALUE is missing, or --delete".to_owned()));
            };
            let val = if value.starts_with(['{', '[']) {
                Typed::JsonIetfVal(value.as_bytes().to_vec())
            } else {
                Typed::AsciiVal(value.to_owned())
            };
            let update =
                Update { path: Some(path), val: Some(TypedValue { value: Some(val) }), duplicates: 0 };
            if terms.replace { message.replace.push(update) } else { message.update.push(update) }
        }
        if let Some(seconds) = terms.confirm_in {
            let rollback_duration = Some(prost_types::Duration { seconds: seconds as i64, nanos: 0 });
            let action = Action::Commit(CommitRequest { rollback_duration });
            message.extension.push(commit(&terms.id, action));
        }
        if let Some(expect) = terms.expect {
            message.extension.push(ours(&serde_json::json!({EXPECTED_VERSION_KEY: expect})));
        }
        self.change(message).await
    }

    pub async fn confirm(&mut self, id: &str, cancel: bool) -> Done {
        let action = match cancel {
            true => Action::Cancel(CommitCancel {}),
            false => Action::Confirm(CommitConfirm {}),
        };
        self.change(SetRequest { extension: vec![commit(id, action)], ..SetRequest::default() }).await
    }

    pub async fn roll_back(&mut self, to: u64) -> Done {
        let extension = vec![ours(&serde_json::json!({"rollback": to}))];
        self.change(SetRequest { extension, ..SetRequest::default() }).await
    }

    async fn change(&mut self, message: SetRequest) -> Done {
        let mut request = self.request(message)?;
        request.set_timeout(PATIENCE);
        let answer = self.inner.set(request).await.map_err(failed)?.into_inner();
        let version = answer.extension.into_iter().find_map(|extension| match extension.ext {
            Some(Ext::RegisteredExt(told)) if told.id == EXTENSION_ID => {
                serde_json::from_slice::<serde_json::Value>(&told.msg).ok()?.get("version")?.as_u64()
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

    pub async fn history(&mut self) -> Done {
        let message = GetRequest {
            path: vec![path_of("/front/state/commit")?],
            encoding: Encoding::JsonIetf.into(),
            ..GetRequest::default()
        };
        let mut request = self.request(message)?;
        request.set_timeout(PATIENCE);
        let answer = self.inner.get(request).await.map_err(failed)?.into_inner();
        let updates = answer.notification.into_iter().flat_map(|notification| notification.update);
        let mut commits: Vec<serde_json::Value> = updates.filter_map(|update| json_of(&update)).collect();
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
    pub async fn watch(&mut self, path: &str, every: Option<Duration>, count: Option<usize>) -> Done {
        let (mode, sample_interval) = match every {
            Some(every) => (SubscriptionMode::Sample, every.as_nanos() as u64),
            None => (SubscriptionMode::OnChange, 0),
        };
        let list = SubscriptionList {
            subscription: vec![Subscription {
                path: Some(path_of(path)?),
                mode: mode.into(),
                sample_interval,
                ..Subscription::default()
            }],
            encoding: Encoding::Proto.into(),
            ..SubscriptionList::default()
        };
        let first = SubscribeRequest { request: Some(Asked::Subscribe(list)), extension: Vec::new() };
        // The stream of requests stays open for as long as updates are wanted.
        let requests = tokio_stream::StreamExt::chain(tokio_stream::iter([first]), tokio_stream::pending());
        let request = self.request(requests)?;
        let mut answers = self.inner.subscribe(request).await.map_err(failed)?.into_inner();
        let mut printed = 0;
        while let Some(answer) = answers.message().await.map_err(failed)? {
            let Some(Said::Update(notification)) = answer.response else { continue };
            for path in &notification.delete {
                printed += 1;
                match self.json {
                    true => println!("{}", serde_json::json!({"path": text_of(path), "deleted": true})),
                    false => println!("{} is gone", text_of(path)),
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
        let path = update.path.as_ref().map(text_of).unwrap_or_default();
        if !self.json {
            return println!("{path} {}", value_text(update.val.as_ref()));
        }
        let value = json_of(update);
        if line {
            println!("{}", serde_json::json!({"path": path, "value": value}));
        } else {
            println!("{}", value.unwrap_or_default());
        }
    }
}

fn commit(id: &str, action: Action) -> Extension {
    Extension { ext: Some(Ext::Commit(Commit { id: id.to_owned(), action: Some(action) })) }
}

fn ours(told: &serde_json::Value) -> Extension {
    let told = RegisteredExtension { id: EXTENSION_ID, msg: told.to_string().into_bytes() };
    Extension { ext: Some(Ext::RegisteredExt(told)) }
}

fn path_of(text: &str) -> Result<Path, Failure> {
    let steps = lemonusher_model::parse_path(text).map_err(|fault| Failure::Failed(fault.to_string()))?;
    let elem = steps
        .into_iter()
        .map(|step| PathElem { name: step.name, key: step.keys.into_iter().collect() })
        .collect();
    Ok(Path { elem, ..Path::default() })
}

fn text_of(path: &Path) -> String {
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

fn json_of(update: &Update) -> Option<serde_json::Value> {
    Some(match update.val.as_ref()?.value.as_ref()? {
        Typed::JsonVal(bytes) | Typed::JsonIetfVal(bytes) => serde_json::from_slice(bytes).ok()?,
        Typed::UintVal(value) => (*value).into(),
        Typed::IntVal(value) => (*value).into(),
        Typed::BoolVal(value) => (*value).into(),
        other => value_text(Some(&TypedValue { value: Some(other.clone()) })).into(),
    })
}
