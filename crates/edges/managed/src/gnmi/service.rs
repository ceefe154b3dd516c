//! The gNMI service: connection limits, authentication, and the dispatch of calls.

use super::proto::gnmi::g_nmi_server::{GNmi, GNmiServer};
use super::proto::gnmi::*;
use super::subscribe::{ResponseStream, Subscriptions};
use super::{get, set, subscribe};
use crate::hub::Hub;
use crate::start::Tls;
use crate::users::{Grant, Users};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::metadata::MetadataMap;
use tonic::transport::{Identity, Server, ServerTlsConfig};
use tonic::{Request, Response, Status};

const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;
const MAX_STREAMS_PER_CONNECTION: u32 = 64;
const MAX_CALLS_PER_CONNECTION: usize = 64;
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(20);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// The gNMI version that the server reports in its capabilities.
const VERSION: &str = "0.10.0";

struct Service {
    hub: Arc<Hub>,
    users: Users,
    subscriptions: Subscriptions,
}

/// Serves calls until the process ends. `max_subscriptions` limits all clients together.
pub async fn serve(
    hub: Arc<Hub>,
    listener: TcpListener,
    tls: Option<Tls>,
    users: Users,
    max_subscriptions: usize,
) -> Result<(), String> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(|error| error.to_string())?;
    let subscriptions = Subscriptions::new(hub.clone(), max_subscriptions);
    let service = Service { hub, users, subscriptions };
    let service = GNmiServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let mut server = Server::builder()
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .tcp_nodelay(true);
    if let Some(tls) = tls {
        let identity = Identity::from_pem(&tls.certificate, &tls.key);
        server = server.tls_config(ServerTlsConfig::new().identity(identity)).map_err(|e| e.to_string())?;
    }
    let incoming = TcpListenerStream::new(listener);
    server.add_service(service).serve_with_incoming(incoming).await.map_err(|error| error.to_string())
}

impl Service {
    /// Authenticates a call by the user name and password in its metadata.
    fn grant(&self, metadata: &MetadataMap) -> Result<Grant, Status> {
        let text = |name| metadata.get(name).and_then(|value| value.to_str().ok());
        let grant = self.users.by_password(text("username"), text("password"));
        grant.ok_or_else(|| Status::unauthenticated("username and password are not known"))
    }
}

#[tonic::async_trait]
impl GNmi for Service {
    async fn capabilities(
        &self,
        request: Request<CapabilityRequest>,
    ) -> Result<Response<CapabilityResponse>, Status> {
        self.grant(request.metadata())?;
        let schema = self.hub.schema();
        let model = ModelData {
            name: schema.module.clone(),
            organization: schema.organization.clone(),
            version: schema.revision.clone().unwrap_or_default(),
        };
        let encodings = [Encoding::Json, Encoding::JsonIetf, Encoding::Proto];
        Ok(Response::new(CapabilityResponse {
            supported_models: vec![model],
            supported_encodings: encodings.into_iter().map(i32::from).collect(),
            g_nmi_version: VERSION.to_owned(),
            extension: Vec::new(),
        }))
    }

    async fn get(&self, request: Request<GetRequest>) -> Result<Response<GetResponse>, Status> {
        self.grant(request.metadata())?;
        get::get(&self.hub, request.into_inner()).await.map(Response::new)
    }

    async fn set(&self, request: Request<SetRequest>) -> Result<Response<SetResponse>, Status> {
        let grant = self.grant(request.metadata())?;
        set::set(&self.hub, &grant, request.into_inner()).await.map(Response::new)
    }

    type SubscribeStream = ResponseStream;

    async fn subscribe(
        &self,
        request: Request<tonic::Streaming<SubscribeRequest>>,
    ) -> Result<Response<Self::SubscribeStream>, Status> {
        let grant = self.grant(request.metadata())?;
        let stream = subscribe::subscribe(&self.subscriptions, grant, request.into_inner()).await?;
        Ok(Response::new(stream))
    }
}
