//! The gRPC server, which runs on its own thread.

use crate::events::ProxyEvent;
use crate::headers::{HeaderNames, RequestClass};
use crate::messages::unix_ms;
use crate::stream::{ProxyStream, StreamGuard};
use envoy_types::pb::envoy::service::ext_proc::v3::external_processor_server::{
    ExternalProcessor, ExternalProcessorServer,
};
use envoy_types::pb::envoy::service::ext_proc::v3::{ProcessingRequest, ProcessingResponse};
use lemonusher_external_call::{ProcessorId, SigningKey};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_stream::{Stream, StreamExt};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

/// Maximum number of proxies' events queued for the front.
const EVENT_QUEUE_LENGTH: usize = 4096;
/// Maximum number of messages queued for one stream: one response and a few timeout extensions.
const RESPONSE_QUEUE_LENGTH: usize = 8;
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
const MAX_STREAMS_PER_CONNECTION: u32 = 4096;
/// Interval between keepalive pings of a connection, and timeout after which a missing reply closes it.
const KEEPALIVE: Duration = Duration::from_secs(10);

/// Configuration of the server.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Names of the headers.
    pub header_names: HeaderNames,
    /// The deployment's request classes, by index.
    pub request_classes: Vec<RequestClass>,
    /// Issues and verifies continuation tokens.
    pub token_issuer: TokenIssuer,
    /// Maximum number of open streams, over all proxies.
    pub max_streams: usize,
    /// Reads the table group from a statement. If set, the server requests the bodies of requests, which
    /// contain the statements.
    pub read_table_group: Option<fn(&str) -> Option<u64>>,
}

/// What a processor needs to issue continuation tokens and to recognize its own.
#[derive(Debug, Clone)]
pub struct TokenIssuer {
    /// Key that signs continuation tokens, the same at all processors of a deployment.
    pub signing_key: SigningKey,
    /// Identifies this process among the processors of the deployment.
    pub processor: ProcessorId,
    /// How long a continuation token is valid.
    pub validity: Duration,
}

/// A running server.
pub struct StartedServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Events of the proxies' streams. The server waits while this queue is full.
    pub events: async_channel::Receiver<ProxyEvent>,
}

struct ProcessorService {
    config: ServerConfig,
    events: async_channel::Sender<ProxyEvent>,
    next_stream: AtomicU64,
    stream_permits: Arc<Semaphore>,
}

/// Starts the server on its own thread. Fails if the address can't be bound or the thread can't be started.
pub fn start(config: ServerConfig) -> io::Result<StartedServer> {
    let listener = TcpListener::bind(config.listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let (sender, events) = async_channel::bounded(EVENT_QUEUE_LENGTH);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let service = ProcessorService {
        stream_permits: Arc::new(Semaphore::new(config.max_streams)),
        config,
        events: sender,
        // Stream numbers start from the Unix time, so that the generated ids of requests without an id differ
        // between two runs of the process.
        next_stream: AtomicU64::new(unix_ms() << 20),
    };
    let run = move || {
        if let Err(error) = runtime.block_on(serve(listener, service)) {
            tracing::error!("external processor server failed: {error}");
        }
    };
    std::thread::Builder::new().name("processor".to_owned()).spawn(run)?;
    Ok(StartedServer { address, events })
}

async fn serve(listener: TcpListener, service: ProcessorService) -> io::Result<()> {
    let (reporter, health) = tonic_health::server::health_reporter();
    reporter.set_serving::<ExternalProcessorServer<ProcessorService>>().await;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let connections = TcpListenerStream::new(listener).map(|connection| {
        if let Ok(connection) = &connection {
            let _ = connection.set_nodelay(true);
        }
        connection
    });
    let service = ExternalProcessorServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let served = Server::builder()
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .http2_keepalive_interval(Some(KEEPALIVE))
        .http2_keepalive_timeout(Some(KEEPALIVE))
        .tcp_nodelay(true)
        .add_service(health)
        .add_service(service)
        .serve_with_incoming(connections);
    served.await.map_err(io::Error::other)
}

type ResponseStream = Pin<Box<dyn Stream<Item = Result<ProcessingResponse, Status>> + Send>>;

#[tonic::async_trait]
impl ExternalProcessor for ProcessorService {
    type ProcessStream = ResponseStream;

    async fn process(
        &self,
        request: Request<Streaming<ProcessingRequest>>,
    ) -> Result<Response<Self::ProcessStream>, Status> {
        let permit = self.stream_permits.clone().try_acquire_owned();
        let permit =
            permit.map_err(|_| Status::resource_exhausted("there are as many streams as there may be"))?;
        let number = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let guard = StreamGuard::new(number, self.events.clone());
        let (sender, responses) = mpsc::channel(RESPONSE_QUEUE_LENGTH);
        let stream = ProxyStream::new(self.config.clone(), guard, sender);
        let messages = request.into_inner();
        tokio::spawn(async move {
            let _permit = permit;
            stream.run(messages).await;
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(responses))))
    }
}
